#pragma once

#include <burdock/admission/abandoned_runs.hpp>
#include <burdock/admission/fair_queue.hpp>
#include <burdock/admission/warm_up_limit.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <string>
#include <vector>

namespace burdock::admission {

/** @brief Concurrency and queue limits of one endpoint. */
struct AdmissionPolicy
{
    WarmUpPolicy warmUp;
    u32 queueLimit = 0;
};

/** @brief Result of an admission request. */
enum class AdmissionStatus : u8 {
    Admitted, ///< may start immediately
    Queued, ///< waiting; a later AdmissionChanges reports its ticket
    Refused, ///< not run; the decision holds the refusal
};

/** @brief Counts the signs of a restart of the endpoint; work admitted in one epoch must not start in a later one. */
using Epoch = u64;

/** @brief Decision on an admission request. */
struct AdmissionDecision
{
    AdmissionStatus status = AdmissionStatus::Refused;
    Refusal refusal;
    /** Ticket of the queued request that was removed to make room for this one. */
    std::optional<Ticket> evicted;
};

/** @brief Queued requests that may start now, or whose deadline has passed. */
struct AdmissionChanges
{
    std::vector<Ticket> admitted;
    std::vector<Ticket> expired;
};

/** @brief How an admitted run ended. */
enum class RunOutcome : u8 {
    Success,
    Failure,
    Abandoned, ///< given up here; the endpoint may still work on it
    EndpointRestarted,
    NotStarted, ///< the admission was no longer valid when the run was about to start
};

/** @brief An admitted run that has ended. */
struct FinishedRun
{
    RunOutcome outcome = RunOutcome::Success;
    Duration serviceTime{};
    bool wasSuspect = false;
    TimePoint startedAt{}; ///< when it began after its admission
    Epoch admittedIn = 0;
    bool hasBegun = false; ///< noteBegun() was called for it
};

/**
 * @brief Admits, queues or refuses the requests of one endpoint.
 *
 * Not thread-safe; the caller holds the endpoint's lock (docs/CONCURRENCY.md).
 */
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionPolicy &policy);

    /** @brief Admits, queues or refuses a request; may evict a queued one of another customer. */
    [[nodiscard]] AdmissionDecision request(const AdmissionRequest &request, TimePoint now);

    /** @brief Records that the endpoint has begun a run that was admitted in this epoch. */
    void noteBegun(Epoch admittedIn);

    /** @brief Releases the slot of a run that has ended, unless it was abandoned, then expires and admits queued requests. */
    [[nodiscard]] AdmissionChanges finishRun(const FinishedRun &run, TimePoint now);

    /** @brief To be called before the endpoint is asked how many runs it works on. */
    [[nodiscard]] RunningQuery runningQuery() const;

    /** @brief Releases the slots of abandoned runs as far as the endpoint's report allows, then expires and admits queued requests. */
    [[nodiscard]] AdmissionChanges noteReportedRunning(const RunningQuery &query, u64 running, TimePoint now);

    /** @brief Removes queued requests whose deadline has passed, then admits others as far as the limit allows. */
    [[nodiscard]] AdmissionChanges expire(TimePoint now);

    /** @brief Removes a queued request; returns false if it was not queued. */
    bool abandon(Ticket ticket);

    /** @brief Records a sign of a restart that was seen outside of a run. */
    void noteRestart(TimePoint now);

    /** @brief Records the boot id that the endpoint reported; true if it shows a restart. */
    bool noteBootId(const std::string &bootId, TimePoint now);

    /** @brief The epoch of what is admitted now. */
    [[nodiscard]] Epoch epoch() const;

    /**
     * @brief Whether work admitted in this epoch may start in the process with this boot id.
     *
     * An admission counts against the limit of its epoch, and a process that started later may bear less.
     */
    [[nodiscard]] bool mayStart(Epoch admittedIn, const std::string &bootId) const;

    /** @brief The boot id that was reported last; empty if none. */
    [[nodiscard]] const std::string &bootId() const;

    /**
     * @brief Stops admission until release() has been called once for each hold().
     *
     * Called while a suspected restart is being checked, as work admitted meanwhile would only have to be admitted again (mayStart()).
     */
    void hold();

    /** @brief Ends one hold(); after the last one, expires and admits queued requests. */
    [[nodiscard]] AdmissionChanges release(TimePoint now);

    void setPolicy(const AdmissionPolicy &policy);

    /** @brief Number of slots in use, those of abandoned runs included. */
    [[nodiscard]] u32 running() const;
    [[nodiscard]] u32 queued() const;
    [[nodiscard]] u32 limit() const;
    [[nodiscard]] bool isCold() const;

    /** @brief Expected waiting time of a request that arrives now. */
    [[nodiscard]] Duration expectedWait() const;

private:
    [[nodiscard]] bool hasRoom() const;
    [[nodiscard]] bool hasStartedBeforeRestart(const FinishedRun &run) const;
    [[nodiscard]] AdmissionDecision enqueue(const AdmissionRequest &request, TimePoint now);
    void admitWaiting(AdmissionChanges &changes);

    AdmissionPolicy m_policy;
    WarmUpLimit m_limit;
    FairQueue m_queue;
    std::deque<AdmissionRequest> m_suspects;
    u32 m_running = 0;
    AbandonedRuns m_abandoned;
    u32 m_holdCount = 0;
    std::optional<TimePoint> m_restartedAt;
    Epoch m_epoch = 0;
    std::string m_bootId;
    bool m_isSuspectRunning = false;
    double m_meanServiceMs = 0;
};

} // namespace burdock::admission
