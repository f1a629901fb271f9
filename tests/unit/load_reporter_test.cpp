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

TEST_CASE("messages between snapshots list only endpoints whose load changed, including those that have no load any more")
{
    LoadReporter reporter;
    const LoadsById before{{1, Load{1, 10, 10}}, {2, Load{2, 20, 0}}};
    const auto first = reporter.nextUpdate(before, false, at(0ms));
    CHECK(first.isSnapshot);
    CHECK(first.loads == before);
    CHECK(reporter.nextUpdate(before, false, at(40ms)).loads.empty());
    const auto changed = reporter.nextUpdate({{1, Load{1, 10, 0}}, {3, Load{1, 5, 5}}}, false, at(80ms));
    CHECK_FALSE(changed.isSnapshot);
    CHECK(changed.loads == LoadsById{{1, Load{1, 10, 0}}, {2, Load{}}, {3, Load{1, 5, 5}}});
    CHECK(reporter.nextUpdate(before, true, at(120ms)).isSnapshot);
    CHECK_FALSE(reporter.nextUpdate(before, false, at(160ms)).isSnapshot);
    CHECK(reporter.nextUpdate(before, false, at(520ms)).isSnapshot);
}

// Guards against peers that keep outdated loads because the message with the change was lost.
TEST_CASE("peers have an entry's current load again half a second after messages were lost")
{
    LoadReporter reporter;
    PeerLoads peers(1500ms);
    std::mt19937 random(7);
    LoadsById own;
    u64 sequence = 0;
    const auto step = [&](Duration now, bool isLost) {
        const auto update = reporter.nextUpdate(own, false, at(now));
        PeerLoads::Report report;
        report.bootId = 1;
        report.sequence = ++sequence;
        report.loads = update.loads;
        report.isSnapshot = update.isSnapshot;
        if (!isLost) {
            peers.apply("entry", report, at(now));
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
        CHECK((peers.at(endpoint) == (known == own.end() ? Load{} : known->second)));
    }
}

// 28 entries send 474 prompts per second to 50 engines, each of which processes a prompt in some 100 ms. With updates every 160 ms, three
// of ten prompts reach a busy engine that appeared idle. More frequent updates must shorten the time that prompts wait.
TEST_CASE("prompts of 28 entries wait a third less than with updates every 160 ms")
{
    constexpr u32 Entries = 28;
    constexpr u32 Engines = 50;
    constexpr u64 PrefillMs = 85;
    const auto meanWait = [&](Duration period) {
        std::mt19937 random(3);
        std::exponential_distribution<double> gap(474.0 / 1000);
        std::vector<double> freeAt(Engines, 0);
        std::vector<std::vector<u32>> sentSinceUpdate(Entries, std::vector<u32>(Engines, 0)); // by entry and engine
        std::vector<double> reportedFreeAt(Engines, 0); // when each engine becomes free, as of the last update
        const double periodMs = toMilliseconds(period);
        double now = 0;
        double nextUpdate = 0;
        double totalWait = 0;
        constexpr u32 Prompts = 20'000;
        for (u32 i = 0; i < Prompts; ++i) {
            now += gap(random);
            if (now >= nextUpdate) {
                reportedFreeAt = freeAt;
                sentSinceUpdate.assign(Entries, std::vector<u32>(Engines, 0));
                nextUpdate = now + periodMs;
            }
            auto &ownSent = sentSinceUpdate[random() % Entries];
            const u32 first = static_cast<u32>(random() % Engines);
            u32 chosen = first;
            const auto expected = [&](u32 engine) {
                return std::max(0.0, reportedFreeAt[engine] - now) + static_cast<double>(ownSent[engine] * PrefillMs);
            };
            for (u32 k = 1; k < Engines; ++k) {
                const u32 engine = (first + k) % Engines;
                chosen = expected(engine) < expected(chosen) ? engine : chosen;
            }
            ++ownSent[chosen];
            totalWait += std::max(0.0, freeAt[chosen] - now);
            freeAt[chosen] = std::max(freeAt[chosen], now) + static_cast<double>(PrefillMs);
        }
        return totalWait / Prompts;
    };
    CHECK(meanWait(LoadReporter::period(Entries - 1)) < meanWait(160ms) * 2 / 3);
}
