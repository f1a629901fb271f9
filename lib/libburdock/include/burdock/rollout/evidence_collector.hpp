#pragma once

#include <burdock/rollout/evidence.hpp>
#include <burdock/rollout/slowness_baseline.hpp>

#include <map>
#include <optional>
#include <utility>

namespace burdock::rollout {

/** @brief How a request ended at a replica. */
enum class End : u8 {
    Answered,
    Failed, ///< an error of the replica's own, or the deadline passed there
    Lost, ///< the connection or stream broke off, or couldn't be made
    NoEvidence, ///< declined, the caller left, or the weights expired
};

/** @brief One request that ended at a replica. */
struct Observation
{
    u64 route = 0; ///< hash of its name
    Side side = Side::Others;
    u64 replica = 0; ///< hash of the replica and its instance
    End end = End::NoEvidence;
    bool isCold = false; ///< the replica was cold or loaded weights, so its times say nothing
    std::optional<Duration>
        firstEvent; ///< or the whole answer if it isn't a stream; not given if the replica read parts anew that others have
    std::optional<Duration> longestPause; ///< between events
    TimePoint sentAt{};
};

/**
 * @brief Counts what one gateway observes of one order. Not thread-safe.
 *
 * A request that was lost says something about the version only if the replica lives on: a crash loses all that were under way, and is
 * one event. So lost requests of a replica are counted, but for the first, once it has answered a later request.
 */
class EvidenceCollector
{
public:
    void note(const Observation &observation, TimePoint now);

    [[nodiscard]] const Evidence &evidence() const;

private:
    struct RouteBaseline
    {
        SlownessBaseline firstEvents;
        SlownessBaseline pauses;
    };

    struct LostRequests
    {
        std::map<std::pair<u64, Side>, u64> waiting; ///< not counted yet, by route and version
        TimePoint lastAt{};
    };

    void noteTimes(const Observation &observation, VersionCounts &counts, TimePoint now);
    void noteLost(const Observation &observation, VersionCounts &counts, TimePoint now);
    void noteAlive(const Observation &observation);

    Evidence m_evidence;
    std::map<u64, RouteBaseline> m_baselines; ///< by route
    std::map<u64, LostRequests> m_lost; ///< by replica
};

} // namespace burdock::rollout
