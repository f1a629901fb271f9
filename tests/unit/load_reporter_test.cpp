#include <burdock/endpoints/load_reporter.hpp>

#include <doctest/doctest.h>
#include <random>

using namespace burdock;
using namespace burdock::endpoints;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time)
{
    return TimePoint(time);
}

} // namespace

TEST_CASE("messages between whole ones name just the endpoints at which work changed, and those that have none any more")
{
    LoadReporter teller;
    const LoadsById before{{1, Load{1, 10, 10}}, {2, Load{2, 20, 0}}};
    const auto first = teller.next(before, false, at(0ms));
    CHECK(first.isSnapshot);
    CHECK(first.loads == before);
    CHECK(teller.next(before, false, at(40ms)).loads.empty());
    const auto changed = teller.next({{1, Load{1, 10, 0}}, {3, Load{1, 5, 5}}}, false, at(80ms));
    CHECK_FALSE(changed.isSnapshot);
    CHECK(changed.loads == LoadsById{{1, Load{1, 10, 0}}, {2, Load{}}, {3, Load{1, 5, 5}}});
    CHECK(teller.next(before, true, at(120ms)).isSnapshot);
    CHECK_FALSE(teller.next(before, false, at(160ms)).isSnapshot);
    CHECK(teller.next(before, false, at(520ms)).isSnapshot);
}

// Guards against others that hold on to what a lost message would have changed.
TEST_CASE("the others know an entry's work again half a second after messages were lost")
{
    LoadReporter teller;
    PeerLoads others(1500ms);
    std::mt19937 random(7);
    LoadsById own;
    u64 sequence = 0;
    const auto step = [&](Duration now, bool isLost) {
        const auto told = teller.next(own, false, at(now));
        PeerLoads::Report report;
        report.bootId = 1;
        report.sequence = ++sequence;
        report.loads = told.loads;
        report.isSnapshot = told.isSnapshot;
        if (!isLost) {
            others.take("entry", report, at(now));
        }
    };
    const auto period = LoadReporter::period(27);
    Duration now{};
    for (u32 i = 0; i < 200; ++i, now += period) {
        own[random() % 50] = Load{1 + static_cast<u32>(random() % 3), random() % 1000, random() % 1000};
        own.erase(random() % 50);
        step(now, random() % 10 == 0);
    }
    for (Duration quiet{}; quiet < 500ms; quiet += period, now += period) {
        step(now, false);
    }
    for (u64 endpoint = 0; endpoint < 50; ++endpoint) {
        const auto known = own.find(endpoint);
        CHECK((others.at(endpoint) == (known == own.end() ? Load{} : known->second)));
    }
}

// Load pattern: 28 entries give 474 prompts a second to 50 engines, each read in some 100 ms. With news that are 160 ms apart three of
// ten prompts find an engine busy that looked idle; the time that they wait must shrink with fresher news.
TEST_CASE("prompts of 28 entries wait a third less than with news every 160 ms")
{
    constexpr u32 Entries = 28;
    constexpr u32 Engines = 50;
    constexpr u64 ReadMs = 85;
    const auto meanWait = [&](Duration period) {
        std::mt19937 random(3);
        std::exponential_distribution<double> gap(474.0 / 1000);
        std::vector<double> freeAt(Engines, 0);
        std::vector<std::vector<u32>> unseen(Entries, std::vector<u32>(Engines, 0)); // placed here since the last news
        std::vector<double> told(Engines, 0); // when each engine is free, by the last news
        const double periodMs = toMilliseconds(period);
        double now = 0;
        double nextNews = 0;
        double waited = 0;
        constexpr u32 Prompts = 20'000;
        for (u32 i = 0; i < Prompts; ++i) {
            now += gap(random);
            if (now >= nextNews) {
                told = freeAt;
                unseen.assign(Entries, std::vector<u32>(Engines, 0));
                nextNews = now + periodMs;
            }
            auto &own = unseen[random() % Entries];
            const u32 first = static_cast<u32>(random() % Engines);
            u32 chosen = first;
            const auto expected = [&](u32 engine) {
                return std::max(0.0, told[engine] - now) + static_cast<double>(own[engine] * ReadMs);
            };
            for (u32 k = 1; k < Engines; ++k) {
                const u32 engine = (first + k) % Engines;
                chosen = expected(engine) < expected(chosen) ? engine : chosen;
            }
            ++own[chosen];
            waited += std::max(0.0, freeAt[chosen] - now);
            freeAt[chosen] = std::max(freeAt[chosen], now) + static_cast<double>(ReadMs);
        }
        return waited / Prompts;
    };
    CHECK(meanWait(LoadReporter::period(Entries - 1)) < meanWait(160ms) * 2 / 3);
}
