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

/** @brief The record in the store, with its conditional update. */
struct Store
{
    std::optional<LeaseRecord> record;
    u64 revision = 0;

    bool write(const LeaderLease::Write &write)
    {
        const bool holds = write.revision ? record && *write.revision == revision : !record;
        if (holds) {
            record = write.record;
            ++revision;
        }
        return holds;
    }
};

// One round of a process that is in touch with the store.
bool act(LeaderLease &lease, Store &store, const std::vector<std::string> &subjects, TimePoint now)
{
    lease.observe(store.record, store.revision, now);
    const auto write = lease.nextWrite(subjects, now);
    if (write && store.write(*write)) {
        lease.noteWritten(write->record, store.revision, now, now);
    }
    return lease.mayAct(now);
}

} // namespace

TEST_CASE("the first to write holds the duty, and the others don't while it renews")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    CHECK(act(first, store, {}, at(0ms)));
    for (u32 i = 1; i < 100; ++i) {
        const auto now = at(std::chrono::milliseconds(100 * i));
        CHECK(act(first, store, {}, now));
        CHECK_FALSE(act(second, store, {}, now));
    }
}

// Two gateways order the same replica within the same moment. The first holder is suspended just before it orders, wakes after the
// second took over, and orders: its lease looked fresh on a clock that stood still. Cause of harm: weights that go back.
TEST_CASE("a holder that was suspended does not act when it wakes, and its subjects rest for the pause")
{
    Store store;
    LeaderLease first("vm-1", 1, Pause);
    LeaderLease second("vm-2", 2, Pause);
    REQUIRE(act(first, store, {"replica-a"}, at(0ms)));
    CHECK(first.mayActOn("replica-a", at(100ms)));
    CHECK_FALSE(first.mayActOn("replica-b", at(100ms)));
    first.noteAct("replica-a", at(100ms));
    CHECK_FALSE(act(second, store, {}, at(200ms)));
    CHECK_FALSE(act(second, store, {"replica-b"}, at(1200ms)));
    REQUIRE(act(second, store, {"replica-b"}, at(1600ms)));
    CHECK(second.token() == 2);
    CHECK(second.mayActOn("replica-b", at(1600ms)));
    CHECK(second.isBlocked("replica-a", at(4500ms)));
    CHECK_FALSE(second.isBlocked("replica-a", at(4700ms)));
    CHECK_FALSE(first.mayAct(at(1600ms)));
    CHECK_FALSE(act(first, store, {"replica-a"}, at(1600ms)));
}

// The store carries a write out whose answer was lost, or late. The writer must not act on it before it has an answer.
TEST_CASE("a lost answer gives no right to act, and the next renewal does")
{
    Store store;
    LeaderLease lease("vm-1", 1, Pause);
    lease.observe(std::nullopt, 0, at(0ms));
    const auto write = lease.nextWrite({}, at(0ms));
    REQUIRE(write);
    REQUIRE(store.write(*write));
    CHECK_FALSE(lease.mayAct(at(10ms)));
    CHECK(act(lease, store, {}, at(20ms)));
    CHECK(store.record->token == 1);
}

TEST_CASE("the same VM takes its duty back at once after a restart, with a higher token")
{
    Store store;
    LeaderLease before("vm-1", 1, Pause);
    REQUIRE(act(before, store, {}, at(0ms)));
    LeaderLease after("vm-1", 2, Pause);
    CHECK(act(after, store, {}, at(100ms)));
    CHECK(after.token() == 2);
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

TEST_CASE("replicas load a few at a time, the oldest weights first, then the least busy")
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

// An order that no one answered may never be carried out, or later. The replica is ordered again, and not before the time for a load.
TEST_CASE("a replica that keeps its old weights is ordered again, one that refused sooner")
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

// A prompt runs on memory that was given to another one: its part was freed in the store under its fetch. For every way in which
// entries may hear of new weights, the last fetch must have ended when the part is freed.
TEST_CASE("no part is freed while an entry may still have it fetched")
{
    const cache::RetirementPolicy policy;
    const cache::PartRetirement retirement(policy);
    const TimePoint namedAt = at(30s);
    for (u32 part = 0; part < 50; ++part) {
        const auto id = "part-" + std::to_string(part);
        for (const Duration hearsAfter : {Duration(0ms), Duration(2s), Duration(24s)}) {
            // The freeing entry hears at once; the other one later, and knows until then that nothing was named before its last look.
            AnnouncedWeights freeing;
            freeing.noteAnnounced(2, namedAt - 1s, namedAt);
            AnnouncedWeights other;
            TimePoint lastFetch{};
            TimePoint freed{};
            const auto heardAt = namedAt + hearsAfter;
            for (auto now = namedAt; now < namedAt + 60s; now += 100ms) {
                if (now >= heardAt && other.wanted() == 0) {
                    other.noteAnnounced(2, namedAt - 1s, heardAt);
                }
                const auto asOf = now < heardAt ? namedAt - 1s : now;
                if (retirement.mayFetch(other, 1, id, asOf, now)) {
                    lastFetch = now;
                }
                const auto knownToAll = now >= heardAt ? std::optional(heardAt) : std::nullopt;
                if (freed == TimePoint{} && retirement.mayFree(freeing, 1, id, knownToAll, now)) {
                    freed = now;
                }
            }
            REQUIRE(freed != TimePoint{});
            CHECK(freed >= lastFetch + policy.maxFetchTime);
        }
    }
}
