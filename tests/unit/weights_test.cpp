#include <burdock/cache/part_retirement.hpp>
#include <burdock/weights/announced_weights.hpp>
#include <burdock/weights/leader_lease.hpp>
#include <burdock/weights/weight_rollout.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace burdock::weights;

namespace {

using namespace std::chrono_literals;

constexpr Duration Pause = 3s;

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::hours(1)) + since;
}

/** @brief The store of the lease record, with conditional updates. */
struct Store
{
    std::optional<LeaseRecord> record;
    u64 revision = 0;

    bool write(const LeaderLease::Write &write)
    {
        const bool isExpected = write.revision ? record && *write.revision == revision : !record;
        if (isExpected) {
            record = write.record;
            ++revision;
        }
        return isExpected;
    }
};

// One round of a process that is connected to the store; returns whether it may act.
bool runRound(LeaderLease &lease, Store &store, const std::vector<std::string> &subjects, TimePoint now)
{
    lease.observe(store.record, store.revision, now);
    const auto write = lease.nextWrite(subjects, now);
    if (write && store.write(*write)) {
        lease.noteWritten(write->record, store.revision, now, now);
    }
    return lease.mayAct(now);
}

} // namespace

TEST_CASE("the first writer holds the lease, and no other process does while it renews")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    CHECK(runRound(first, store, {}, at(0ms)));
    for (u32 i = 1; i < 100; ++i) {
        const auto now = at(std::chrono::milliseconds(100 * i));
        CHECK(runRound(first, store, {}, now));
        CHECK_FALSE(runRound(second, store, {}, now));
    }
}

// Guards against two gateways that order the same replica at the same time, which can revert weights. The first holder is suspended
// just before it sends an order and resumes after the second took over; on a clock that stopped, its lease still looks valid.
TEST_CASE("a holder that was suspended does not act when it resumes, and its subjects are blocked for the pause")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    REQUIRE(runRound(first, store, {"replica-a"}, at(0ms)));
    CHECK(first.mayActOn("replica-a", at(100ms)));
    CHECK_FALSE(first.mayActOn("replica-b", at(100ms)));
    first.noteAct("replica-a", at(100ms));
    CHECK_FALSE(runRound(second, store, {}, at(200ms)));
    CHECK_FALSE(runRound(second, store, {"replica-b"}, at(1200ms)));
    REQUIRE(runRound(second, store, {"replica-b"}, at(1600ms)));
    CHECK(second.token() == 2);
    CHECK(second.mayActOn("replica-b", at(1600ms)));
    CHECK(second.isBlocked("replica-a", at(4500ms)));
    CHECK_FALSE(second.isBlocked("replica-a", at(4700ms)));
    CHECK_FALSE(first.mayAct(at(1600ms)));
    CHECK_FALSE(runRound(first, store, {"replica-a"}, at(1600ms)));
}

// The store executes a write whose response is lost or late. The writer must not act on the lease before it has a response.
TEST_CASE("a process may not act after a lost response, but may after the next renewal")
{
    Store store;
    LeaderLease lease("vm-1", 1, Pause);
    lease.observe(std::nullopt, 0, at(0ms));
    const auto write = lease.nextWrite({}, at(0ms));
    REQUIRE(write);
    REQUIRE(store.write(*write));
    CHECK_FALSE(lease.mayAct(at(10ms)));
    CHECK(runRound(lease, store, {}, at(20ms)));
    CHECK(store.record->token == 1);
}

TEST_CASE("the same VM reacquires its lease immediately after a restart, with a higher token")
{
    Store store;
    LeaderLease before("vm-1", 1, Pause);
    REQUIRE(runRound(before, store, {}, at(0ms)));
    LeaderLease after("vm-1", 2, Pause);
    CHECK(runRound(after, store, {}, at(100ms)));
    CHECK(after.token() == 2);
}

// Guards against a new holder that acts on what the previous one has just acted on, as the answer to its takeover was lost.
TEST_CASE("a takeover that wasn't acknowledged blocks the previous holder's subjects for the pause")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    REQUIRE(runRound(first, store, {"replica-a"}, at(0ms)));
    first.noteAct("replica-a", at(100ms));
    CHECK_FALSE(runRound(second, store, {}, at(100ms)));
    second.observe(store.record, store.revision, at(1500ms));
    const auto takeover = second.nextWrite({"replica-b"}, at(1500ms));
    REQUIRE(takeover);
    REQUIRE(store.write(*takeover));
    REQUIRE(runRound(second, store, {"replica-b"}, at(2500ms)));
    CHECK(second.mayActOn("replica-b", at(2500ms)));
    CHECK(second.isBlocked("replica-a", at(2500ms)));
    CHECK(second.isBlocked("replica-a", at(3000ms)));
    // The next renewals don't prolong the pause.
    for (auto now = 2600ms; now < 5600ms; now += 100ms) {
        CHECK(runRound(second, store, {"replica-b"}, at(now)));
    }
    CHECK_FALSE(second.isBlocked("replica-a", at(5600ms)));
    REQUIRE(runRound(second, store, {"replica-a"}, at(5900ms)));
    CHECK(second.mayActOn("replica-a", at(5900ms)));
    CHECK(store.record->inherited.empty());
}

// Guards against a holder that forgets in a restart what the previous one has just acted on.
TEST_CASE("a holder that restarts after its takeover blocks the previous holder's subjects for the pause, but not its own")
{
    for (const auto killedAfter : {0ms, 150ms, 600ms, 2500ms}) {
        CAPTURE(killedAfter.count());
        Store store;
        LeaderLease first("vm-1", 1, Pause);
        LeaderLease before("vm-2", 2, Pause);
        REQUIRE(runRound(first, store, {"replica-a"}, at(0ms)));
        first.noteAct("replica-a", at(100ms));
        CHECK_FALSE(runRound(before, store, {}, at(100ms)));
        auto now = 1500ms;
        REQUIRE(runRound(before, store, {"replica-b"}, at(now)));
        before.noteAct("replica-b", at(now));
        for (; now < 1500ms + killedAfter; now += 50ms) {
            REQUIRE(runRound(before, store, {"replica-b"}, at(now)));
        }
        LeaderLease after("vm-2", 3, Pause);
        now += 500ms;
        REQUIRE(runRound(after, store, {"replica-a", "replica-b"}, at(now)));
        CHECK(after.mayActOn("replica-b", at(now)));
        CHECK((!after.mayActOn("replica-a", at(now)) || now >= 100ms + Pause));
        CHECK_FALSE(after.isBlocked("replica-a", at(now + 3100ms)));
    }
}

// Guards against subjects that are forgotten where the lease changes its holder twice within the pause.
TEST_CASE("the subjects of two previous holders are blocked")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    LeaderLease third("vm-3", 3, Pause);
    REQUIRE(runRound(first, store, {"replica-a"}, at(0ms)));
    CHECK_FALSE(runRound(second, store, {}, at(100ms)));
    REQUIRE(runRound(second, store, {"replica-b"}, at(1500ms)));
    CHECK_FALSE(runRound(third, store, {}, at(1500ms)));
    REQUIRE(runRound(third, store, {"replica-c"}, at(2900ms)));
    CHECK(third.isBlocked("replica-a", at(2900ms)));
    CHECK(third.isBlocked("replica-b", at(4400ms)));
    CHECK_FALSE(third.isBlocked("replica-c", at(2900ms)));
}

TEST_CASE("a slow write leaves less time to act, and none if it took too long")
{
    LeaderLease lease("vm-1", 1, Pause);
    lease.observe(std::nullopt, 0, at(0ms));
    const auto write = lease.nextWrite({}, at(0ms));
    REQUIRE(write);
    lease.noteWritten(write->record, 1, at(0ms), at(700ms));
    CHECK_FALSE(lease.mayAct(at(700ms)));
}

TEST_CASE("replicas load a few at a time, the oldest weights first, then the least loaded")
{
    WeightRollout rollout(4s);
    std::vector<ReplicaWeights> replicas;
    for (u32 i = 0; i < 12; ++i) {
        replicas.push_back({"r" + std::to_string(i), i < 4 ? 2U : 1U, i});
    }
    const auto first = rollout.nextReplicas(3, replicas, at(0ms));
    CHECK(first == std::vector<std::string>{"r4", "r5"});
    for (const auto &id : first) {
        rollout.noteOrdered(id, 3, at(0ms));
    }
    CHECK(rollout.nextReplicas(3, replicas, at(100ms)).empty());
    rollout.noteLoading("r4");
    CHECK(rollout.nextReplicas(3, replicas, at(200ms)) == std::vector<std::string>{"r6"});
    replicas[4].version = 3;
    CHECK(rollout.nextReplicas(3, replicas, at(1500ms)) == std::vector<std::string>{"r6"});
}

// An order without a response may be executed late or never. It is repeated, but not before the time for a load has passed.
TEST_CASE("the order to a replica with old weights is repeated, sooner if it was refused")
{
    WeightRollout rollout(4s);
    const std::vector<ReplicaWeights> replicas{{"r1", 1, 0}};
    rollout.noteOrdered("r1", 2, at(0ms));
    CHECK(rollout.nextReplicas(2, replicas, at(3900ms)).empty());
    CHECK(rollout.nextReplicas(2, replicas, at(4000ms)).size() == 1);
    rollout.noteOrdered("r1", 2, at(4000ms));
    rollout.noteRefused("r1", at(4100ms));
    CHECK(rollout.nextReplicas(2, replicas, at(4200ms)).empty());
    CHECK(rollout.nextReplicas(2, replicas, at(4600ms)).size() == 1);
}

// Guards against a prompt that runs on reused memory because its part was freed in the store during the fetch. However late entries
// learn of new weights, the last fetch must have ended when the part is freed.
TEST_CASE("no part is freed while an entry may still have it fetched")
{
    const cache::RetirementPolicy policy;
    const cache::PartRetirement retirement(policy);
    const TimePoint announcedAt = at(30s);
    for (u32 part = 0; part < 50; ++part) {
        const auto id = "part-" + std::to_string(part);
        for (const Duration learnsAfter : {Duration(0ms), Duration(2s), Duration(24s)}) {
            // The freeing entry learns immediately. The other one learns later; until then it only knows that nothing was announced
            // before its last look, one second before the announcement.
            AnnouncedWeights freeing;
            freeing.noteAnnounced(2, announcedAt - 1s, announcedAt);
            AnnouncedWeights other;
            TimePoint lastFetch{};
            TimePoint freed{};
            const auto learnedAt = announcedAt + learnsAfter;
            for (auto now = announcedAt; now < announcedAt + 60s; now += 100ms) {
                if (now >= learnedAt && other.wanted() == 0) {
                    other.noteAnnounced(2, announcedAt - 1s, learnedAt);
                }
                const auto asOf = now < learnedAt ? announcedAt - 1s : now;
                if (retirement.mayFetch(other, 1, id, asOf, now)) {
                    lastFetch = now;
                }
                const auto knownToAllSince = now >= learnedAt ? std::optional(learnedAt) : std::nullopt;
                if (freed == TimePoint{} && retirement.mayFree(freeing, 1, id, knownToAllSince, now)) {
                    freed = now;
                }
            }
            REQUIRE(freed != TimePoint{});
            CHECK(freed >= lastFetch + policy.maxFetchTime);
        }
    }
}
