#include <burdock/rollout/exposure_limit.hpp>
#include <burdock/rollout/sender_clock.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace burdock;
using namespace burdock::rollout;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr double Share = 0.1;

struct FleetTotals
{
    u64 sent = 0;
    u64 reached = 0; ///< requests that were sent to any replica since the order
};

/** @brief One process of a gateway. The totals outlive it. */
struct Process
{
    explicit Process(TimePoint now)
        : limit(Share, now)
    {
    }

    ExposureLimit limit;
    bool isCutOff = false;
};

void sendRequest(Process &process, FleetTotals &totals, std::mt19937 &random, TimePoint now)
{
    const bool isRepeated = random() % 10 == 0;
    const bool isAnswered = random() % 20 != 0;
    ++totals.reached;
    for (int attempt = 0; attempt < (isRepeated ? 2 : 1); ++attempt) {
        if (process.limit.maySend(now)) {
            process.limit.noteSent();
            ++totals.sent;
        }
    }
    if (isAnswered) {
        process.limit.noteAnswered(now);
    }
}

ExposureLimit limitWith(u64 answered)
{
    ExposureLimit limit(Share, Start);
    for (u64 i = 0; i < answered; ++i) {
        limit.noteAnswered(Start);
    }
    limit.noteUndecided(Start);
    return limit;
}

} // namespace

// Guards against a share that holds at each gateway but not over all of them, with gateways that start anew and forget what they sent.
TEST_CASE("the share holds over all gateways at every moment while they start anew, are cut off and come back")
{
    for (const u32 gateways : {1U, 4U, 29U, 68U, 300U}) {
        CAPTURE(gateways);
        std::mt19937 random(gateways);
        std::vector<std::unique_ptr<Process>> processes;
        for (u32 i = 0; i < gateways; ++i) {
            processes.push_back(std::make_unique<Process>(Start));
        }
        FleetTotals totals;
        bool isWithin = true;
        for (TimePoint now = Start; now < Start + 25s; now += 20ms) {
            for (auto &process : processes) {
                const u32 event = random() % 2000;
                if (event == 0) {
                    process = std::make_unique<Process>(now);
                } else if (event == 1) {
                    process->isCutOff = !process->isCutOff;
                }
                if (!process->isCutOff) {
                    process->limit.noteUndecided(now - Duration(random() % 900'000));
                }
            }
            for (u32 i = 0; i < std::max(14U, gateways / 4); ++i) {
                sendRequest(*processes.at(random() % gateways), totals, random, now);
                isWithin = isWithin && static_cast<double>(totals.sent) <= Share * static_cast<double>(totals.reached);
            }
        }
        CHECK(isWithin);
        CHECK(totals.sent > totals.reached / 40);
    }
}

TEST_CASE("a gateway sends its first request to the target after ten answers")
{
    CHECK_FALSE(limitWith(9).maySend(Start));
    auto limit = limitWith(10);
    CHECK(limit.maySend(Start));
    limit.noteSent();
    CHECK_FALSE(limit.maySend(Start));
}

// Guards against answers to requests from before the order that make room for the target.
TEST_CASE("answers to requests that were sent before the order was learnt don't count")
{
    ExposureLimit limit(Share, Start);
    for (int i = 0; i < 100; ++i) {
        limit.noteAnswered(Start - 1ms);
    }
    limit.noteUndecided(Start);
    CHECK_FALSE(limit.maySend(Start));
    CHECK(limit.answered() == 0);
}

// Guards against a gateway that is cut off or frozen while the order is reverted, and goes on sending to the target.
TEST_CASE("permission ends by itself a second after the order was last known to be undecided")
{
    auto limit = limitWith(100);
    CHECK(limit.maySend(Start + 999ms));
    CHECK_FALSE(limit.maySend(Start + 1s));
    limit.noteUndecided(Start - 10s);
    CHECK_FALSE(limit.maySend(Start + 1s));
    limit.noteUndecided(Start + 2s);
    CHECK(limit.maySend(Start + 2s));
}

TEST_CASE("without news of the order nothing is sent")
{
    ExposureLimit limit(Share, Start);
    for (int i = 0; i < 100; ++i) {
        limit.noteAnswered(Start);
    }
    CHECK_FALSE(limit.maySend(Start));
}

// Guards against news of the time before the verdict that arrive after it.
TEST_CASE("after the end of an order late news permit nothing")
{
    auto limit = limitWith(100);
    limit.end();
    limit.noteUndecided(Start + 1s);
    CHECK_FALSE(limit.maySend(Start + 1s));
}

// Guards against messages that waited in a socket buffer while this process was suspended and are taken for new.
TEST_CASE("messages that waited while the process was suspended show their age")
{
    SenderClock clock;
    const Duration offset = 17min;
    constexpr Duration Delay = 2ms;
    const auto sentAt = [offset](Duration time) {
        return Start.time_since_epoch() + time - offset;
    };
    CHECK_FALSE(clock.noteReceived(sentAt(0ms), Start + Delay).has_value());
    CHECK_FALSE(clock.noteReceived(sentAt(100ms), Start + 100ms + Delay).has_value());
    CHECK(clock.noteReceived(sentAt(400ms), Start + 400ms + Delay) == Start + 400ms + Delay);
    CHECK(clock.noteReceived(sentAt(500ms), Start + 6s) == Start + 500ms + Delay);
    CHECK(clock.noteReceived(sentAt(600ms), Start + 6s) == Start + 600ms + Delay);
}

// Guards against the same at a process that wakes up and hears of a sender for the first time.
TEST_CASE("messages of an unknown sender that are all received at once permit nothing")
{
    SenderClock clock;
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(clock.noteReceived(Start.time_since_epoch() + i * 40ms, Start + 6s).has_value());
    }
    const auto fresh = clock.noteReceived(Start.time_since_epoch() + 6s + 200ms, Start + 6s + 201ms);
    CHECK_FALSE(fresh.has_value());
    CHECK(clock.noteReceived(Start.time_since_epoch() + 6s + 400ms, Start + 6s + 401ms) == Start + 6s + 401ms);
    CHECK(clock.noteReceived(Start.time_since_epoch() + 760ms, Start + 6s + 500ms) == Start + 761ms);
}
