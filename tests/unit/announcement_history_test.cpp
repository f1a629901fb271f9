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

/** @brief Returns the oldest version on which requests may begin. */
u64 oldestAllowed(const AnnouncedWeights &announced, Duration bound, TimePoint now)
{
    for (u64 version = 0; version < announced.wanted(); ++version) {
        if (const auto expiry = announced.expiryOf(version, bound); !expiry || now < *expiry) {
            return version;
        }
    }
    return announced.wanted();
}

/** @brief Returns the knowledge of a process that observed three announcements. */
AnnouncedWeights uninterruptedObserver()
{
    AnnouncedWeights announced;
    announced.noteAnnounced(1, std::nullopt, at(-60s));
    announced.noteAnnounced(2, at(6s), at(6s));
    announced.noteAnnounced(3, at(8s), at(8s));
    announced.noteAnnounced(4, at(10s), at(10s));
    return announced;
}

} // namespace

TEST_CASE("weights may be used until the bound after newer ones were announced")
{
    AnnouncedWeights announced;
    CHECK(announced.noteAnnounced(2, at(0ms), at(100ms)));
    CHECK(announced.noteAnnounced(3, at(5s), at(5s)));
    CHECK_FALSE(announced.noteAnnounced(2, at(6s), at(6s)));
    CHECK(announced.wanted() == 3);
    CHECK(oldestAllowed(announced, 12s, at(11s)) == 0);
    CHECK(oldestAllowed(announced, 12s, at(12s)) == 2);
    CHECK(oldestAllowed(announced, 12s, at(17s)) == 3);
}

// Guards against a restarted process that counts the bound of old weights from the newest announcement instead of the first one.
TEST_CASE("a process that missed the first of several announcements learns from others when old weights expire")
{
    AnnouncedWeights restarted;
    restarted.noteAnnounced(4, std::nullopt, at(13s));
    restarted.merge(uninterruptedObserver().history(), at(14s));
    CHECK(oldestAllowed(restarted, Bound, at(17900ms)) == 1);
    CHECK(oldestAllowed(restarted, Bound, at(18s)) == 2);
    CHECK(oldestAllowed(restarted, Bound, at(20s)) == 3);
    CHECK(oldestAllowed(restarted, Bound, at(22s)) == 4);
}

// Guards against old weights being used by a process that cannot know when newer ones were announced.
TEST_CASE("weights count as expired while no process knows when newer ones were announced")
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

// Guards against a wall-clock estimate that stays in use after certain bounds are known.
TEST_CASE("an estimate is used only where no certain bound is known")
{
    AnnouncedWeights restarted;
    restarted.noteAnnounced(4, std::nullopt, at(13s));
    restarted.setEstimate({{2, bound(3500ms)}, {3, bound(5500ms)}, {4, bound(7500ms)}, {5, bound(9s)}}, at(13s));
    CHECK(restarted.wanted() == 4);
    CHECK(restarted.isSupersededAtUnknownTime(1));
    CHECK(oldestAllowed(restarted, Bound, at(15400ms)) == 0);
    CHECK(oldestAllowed(restarted, Bound, at(15500ms)) == 2);
    restarted.merge(uninterruptedObserver().history(), at(14s));
    CHECK_FALSE(restarted.isSupersededAtUnknownTime(1));
    CHECK(oldestAllowed(restarted, Bound, at(17900ms)) == 1);
    CHECK(oldestAllowed(restarted, Bound, at(18s)) == 2);
}

// Guards against processes whose merged knowledge allows weights for longer than the true announcement times do.
TEST_CASE("regardless of what processes miss and exchange, no version is allowed past the bound of its first successor")
{
    std::minstd_rand random(7);
    for (u32 round = 0; round < 500; ++round) {
        std::vector<AnnouncedWeights> processes(3);
        for (auto &process : processes) {
            process.noteAnnounced(1, std::nullopt, at(0s));
        }
        std::vector<TimePoint> asOf(3, at(0s));
        std::vector<TimePoint> announcedAt{at(-1h)};
        for (u32 step = 1; step < 120; ++step) {
            const auto now = at(step * 250ms);
            if (random() % 10 == 0) {
                announcedAt.push_back(now);
            }
            const std::size_t index = random() % processes.size();
            auto &process = processes[index];
            switch (random() % 4) {
            case 0: // restarts and reads the store
                process = AnnouncedWeights();
                process.noteAnnounced(announcedAt.size(), std::nullopt, now);
                asOf[index] = now;
                break;
            case 1: // learns of the newest announcement only
                process.noteAnnounced(announcedAt.size(), asOf[index], now);
                asOf[index] = now;
                break;
            default: // merges the history of another process from a delayed answer
                process.merge(shiftedBy(processes[random() % processes.size()].history(), -Duration(random() % 2000000)), now);
            }
            for (const auto &asked : processes) {
                REQUIRE(isOrdered(asked.history()));
                const u64 oldest = oldestAllowed(asked, Bound, now);
                for (u64 version = std::max<u64>(1, oldest); version < asked.wanted(); ++version) {
                    REQUIRE(now - announcedAt[version] < Bound);
                }
            }
        }
    }
}

// Guards against a version that stays in use past its bound because the history entry with the bound was dropped.
TEST_CASE("the bound of a dropped entry passes to the oldest remaining one")
{
    AnnouncementHistory history{{2, bound(1s)}, {3, bound(2s)}, {4, bound(3s)}};
    keepNewest(history, 2);
    CHECK(history == AnnouncementHistory{{3, bound(1s)}, {4, bound(3s)}});
}

// Guards against a holder that started late and overwrites the announcements that the previous holder observed.
TEST_CASE("the lease record keeps superseded announcements when the holder changes")
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

// Guards against a wall clock that was ahead when the first holder wrote, and would permanently delay the expiry of old weights.
TEST_CASE("a holder with a correct clock corrects the record, and the record stays ordered")
{
    CHECK(mergeEarliestBounds({{2, 11s}, {3, 13s}}, {{2, 6s}, {3, 8s}, {4, 10s}}) == AnnouncementHistory{{2, 6s}, {3, 8s}, {4, 10s}});
    CHECK(mergeEarliestBounds({{2, 11s}, {3, 13s}}, {{3, std::nullopt}, {4, 10s}}) == AnnouncementHistory{{2, 10s}, {3, 10s}, {4, 10s}});
}
