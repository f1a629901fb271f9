#include <burdock/weights/announced_weights.hpp>
#include <burdock/weights/leader_lease.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace burdock;
using namespace burdock::weights;

namespace {

using namespace std::chrono_literals;

constexpr Duration Bound = 12s;

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::hours(1)) + since;
}

std::optional<Duration> bound(Duration since)
{
    return at(since).time_since_epoch();
}

/** @brief The oldest version on which requests may begin. */
u64 oldestAllowed(const AnnouncedWeights &named, Duration bound, TimePoint now)
{
    for (u64 version = 0; version < named.wanted(); ++version) {
        if (const auto expiry = named.expiryOf(version, bound); !expiry || now < *expiry) {
            return version;
        }
    }
    return named.wanted();
}

/** @brief A process that watched three versions being named. */
AnnouncedWeights witness()
{
    AnnouncedWeights named;
    named.noteAnnounced(1, std::nullopt, at(-60s));
    named.noteAnnounced(2, at(6s), at(6s));
    named.noteAnnounced(3, at(8s), at(8s));
    named.noteAnnounced(4, at(10s), at(10s));
    return named;
}

} // namespace

TEST_CASE("weights may be used until the bound after newer ones were named")
{
    AnnouncedWeights named;
    CHECK(named.noteAnnounced(2, at(0ms), at(100ms)));
    CHECK(named.noteAnnounced(3, at(5s), at(5s)));
    CHECK_FALSE(named.noteAnnounced(2, at(6s), at(6s)));
    CHECK(named.wanted() == 3);
    CHECK(oldestAllowed(named, 12s, at(11s)) == 0);
    CHECK(oldestAllowed(named, 12s, at(12s)) == 2);
    CHECK(oldestAllowed(named, 12s, at(17s)) == 3);
}

// Guards against a restarted process that counts the bound of old weights from the newest naming in place of the first one.
TEST_CASE("a process that missed the first of several names learns from others when old weights expire")
{
    AnnouncedWeights restarted;
    restarted.noteAnnounced(4, std::nullopt, at(13s));
    restarted.merge(witness().history(), at(14s));
    CHECK(oldestAllowed(restarted, Bound, at(17900ms)) == 1);
    CHECK(oldestAllowed(restarted, Bound, at(18s)) == 2);
    CHECK(oldestAllowed(restarted, Bound, at(20s)) == 3);
    CHECK(oldestAllowed(restarted, Bound, at(22s)) == 4);
}

// Guards against old weights in use at a process that can't know for how long newer ones are named.
TEST_CASE("weights count as expired while nobody knows since when newer ones are named")
{
    AnnouncedWeights restarted;
    restarted.noteAnnounced(4, std::nullopt, at(13s));
    CHECK(restarted.isSupersededAtUnknownTime(1));
    CHECK(oldestAllowed(restarted, Bound, at(13s)) == 4);
    AnnouncedWeights other;
    other.noteAnnounced(4, std::nullopt, at(13s));
    restarted.merge(other.history(), at(14s));
    CHECK(oldestAllowed(restarted, Bound, at(14s)) == 4);
    CHECK(restarted.noteAnnounced(5, at(15s), at(15s)));
    CHECK(oldestAllowed(restarted, Bound, at(15s)) == 4);
    CHECK(oldestAllowed(restarted, Bound, at(27s)) == 5);
}

// Guards against an estimate by the times of day that outlives better knowledge.
TEST_CASE("an estimate counts only where nothing is certain")
{
    AnnouncedWeights restarted;
    restarted.noteAnnounced(4, std::nullopt, at(13s));
    restarted.setEstimate({{2, bound(3500ms)}, {3, bound(5500ms)}, {4, bound(7500ms)}, {5, bound(9s)}}, at(13s));
    CHECK(restarted.wanted() == 4);
    CHECK(restarted.isSupersededAtUnknownTime(1));
    CHECK(oldestAllowed(restarted, Bound, at(15400ms)) == 0);
    CHECK(oldestAllowed(restarted, Bound, at(15500ms)) == 2);
    restarted.merge(witness().history(), at(14s));
    CHECK_FALSE(restarted.isSupersededAtUnknownTime(1));
    CHECK(oldestAllowed(restarted, Bound, at(17900ms)) == 1);
    CHECK(oldestAllowed(restarted, Bound, at(18s)) == 2);
}

// Guards against knowledge of several processes that together allow more than the true times do.
TEST_CASE("whatever processes miss and tell each other, no version is allowed past the bound of its first successor")
{
    std::minstd_rand random(7);
    for (u32 round = 0; round < 500; ++round) {
        std::vector<AnnouncedWeights> processes(3);
        for (auto &process : processes) {
            process.noteAnnounced(1, std::nullopt, at(0s));
        }
        std::vector<TimePoint> asOf(3, at(0s));
        std::vector<TimePoint> namedAt{at(-1h)};
        for (u32 step = 1; step < 120; ++step) {
            const auto now = at(step * 250ms);
            if (random() % 10 == 0) {
                namedAt.push_back(now);
            }
            const std::size_t index = random() % processes.size();
            auto &process = processes[index];
            switch (random() % 4) {
            case 0: // starts again, and reads the store
                process = AnnouncedWeights();
                process.noteAnnounced(namedAt.size(), std::nullopt, now);
                asOf[index] = now;
                break;
            case 1: // hears of the newest name only
                process.noteAnnounced(namedAt.size(), asOf[index], now);
                asOf[index] = now;
                break;
            default: // is told by another one, by an answer to a question that was asked a while ago
                process.merge(shiftedBy(processes[random() % processes.size()].history(), -Duration(random() % 2000000)), now);
            }
            for (const auto &asked : processes) {
                REQUIRE(isOrdered(asked.history()));
                const u64 oldest = oldestAllowed(asked, Bound, now);
                for (u64 version = std::max<u64>(1, oldest); version < asked.wanted(); ++version) {
                    REQUIRE(now - namedAt[version] < Bound);
                }
            }
        }
    }
}

// Guards against a version that outlives its bound because the entry which bounds it was dropped.
TEST_CASE("the bound of a dropped entry passes to the oldest one that stays")
{
    AnnouncementHistory history{{2, bound(1s)}, {3, bound(2s)}, {4, bound(3s)}};
    keepNewest(history, 2);
    CHECK(history == AnnouncementHistory{{3, bound(1s)}, {4, bound(3s)}});
}

// Guards against a holder that started late and overwrites what the holder before it saw.
TEST_CASE("the record of the duty keeps superseded names over a change of the holder")
{
    constexpr Duration Pause = 3s;
    LeaderLease first("vm-1", 1, Pause);
    first.observe(std::nullopt, 0, at(0s));
    first.setAnnounced("m", {{2, 6s}, {3, 8s}});
    const auto write = first.nextWrite({}, at(0s));
    REQUIRE(write);
    LeaderLease second("vm-2", 2, Pause);
    second.observe(write->record, 1, at(0s));
    second.setAnnounced("m", {{3, std::nullopt}, {4, 10s}});
    const auto next = second.nextWrite({}, at(2s));
    REQUIRE(next);
    CHECK(next->record.announced.at("m") == AnnouncementHistory{{2, 6s}, {3, 8s}, {4, 10s}});
}

// Guards against a time of day that was set forward when the first holder wrote, and makes old weights younger for good.
TEST_CASE("a holder whose clock is right again corrects the record, and the record stays in order")
{
    CHECK(earliest({{2, 11s}, {3, 13s}}, {{2, 6s}, {3, 8s}, {4, 10s}}) == AnnouncementHistory{{2, 6s}, {3, 8s}, {4, 10s}});
    CHECK(earliest({{2, 11s}, {3, 13s}}, {{3, std::nullopt}, {4, 10s}}) == AnnouncementHistory{{2, 10s}, {3, 10s}, {4, 10s}});
}
