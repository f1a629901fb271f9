#pragma once

#include <burdock/types.hpp>

#include <deque>

namespace burdock::admission {

/** @brief What was known when an endpoint was asked how many runs it works on. */
struct RunningQuery
{
    u64 begun = 0;
    u64 abandoned = 0;
};

/**
 * @brief Counts the runs that were given up here while their endpoint may still work on them.
 *
 * An endpoint notices a closed connection late, so the slot of such a run is free only once the endpoint reports fewer runs. Runs that are
 * not given up are part of its report too, but only those that certainly had begun are taken off, so that the count errs upwards.
 */
class AbandonedRuns
{
public:
    /** @brief Records that the endpoint has begun a run. */
    void noteBegun();

    /** @brief Records the end of a run that had begun, whoever ended it. */
    void noteEnded();

    /** @brief Records that a run was given up. */
    void noteAbandoned(TimePoint now);

    /** @brief To be called before the endpoint is asked, and given to noteReport() with its report. */
    [[nodiscard]] RunningQuery query() const;

    /** @brief Takes off the runs that the endpoint, by its report, no longer works on, and those that were given up long ago. */
    void noteReport(const RunningQuery &query, u64 running, TimePoint now);

    /** @brief Records that it isn't known any more which runs have begun, as the endpoint may have restarted. */
    void forgetBegun();

    /** @brief Records that the endpoint has restarted: it works on no earlier run. */
    void clear();

    [[nodiscard]] u32 count() const;

private:
    std::deque<TimePoint> m_abandonedAt;
    u64 m_begun = 0;
    u64 m_ended = 0;
    u64 m_abandoned = 0;
};

} // namespace burdock::admission
