#pragma once

#include <burdock/admission/fair_queue.hpp>
#include <burdock/admission/warm_up_limit.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <vector>

namespace burdock::admission {

/** @brief Limits of one endpoint. */
struct AdmissionPolicy
{
    WarmUpPolicy warmUp;
    u32 queueLimit = 0;
};

/** @brief What became of a request for room. */
enum class AdmissionStatus : u8 {
    Admitted, ///< may start now
    Queued, ///< waits; it will be named by a later AdmissionChanges
    Refused, ///< not run, with the refusal
};

struct AdmissionDecision
{
    AdmissionStatus status = AdmissionStatus::Refused;
    Refusal refusal;
    /** A waiting request that lost its place to this one. */
    std::optional<Ticket> evicted;
};

/** @brief Waiting requests whose turn has come, or never will. */
struct AdmissionChanges
{
    std::vector<Ticket> admitted;
    std::vector<Ticket> expired;
};

/** @brief How a run that held room came to its end. */
enum class RunOutcome : u8 {
    Success,
    Failure,
    EndpointRestarted,
};

/** @brief A run that gives its room back. */
struct FinishedRun
{
    RunOutcome outcome = RunOutcome::Success;
    Duration serviceTime{};
    bool wasSuspect = false;
    TimePoint began{}; ///< when it took its room
};

/**
 * @brief Decides what one endpoint runs, queues and refuses.
 *
 * Not thread-safe; the caller holds the endpoint's lock (docs/CONCURRENCY.md).
 */
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionPolicy &policy);

    [[nodiscard]] AdmissionDecision request(const AdmissionRequest &request, TimePoint now);

    /** @brief A run ended and gives its room back. */
    [[nodiscard]] AdmissionChanges finishRun(const FinishedRun &run, TimePoint now);

    /** @brief Takes out waiting requests that have passed their deadline. */
    [[nodiscard]] AdmissionChanges expire(TimePoint now);

    /** @brief A waiting request is no longer wanted. */
    bool abandon(Ticket ticket);

    /** @brief The endpoint showed a sign of a restart apart from any run. */
    void noteRestart(TimePoint now);

    /**
     * @brief Starts nothing until release(), which is called once for each hold().
     *
     * Guards against work let in to an endpoint that has just restarted: it shows as an engine that falls over again, as what came
     * between the first sign and its confirmation met it cold. Holding until that is known holds because all work waits here.
     */
    void hold();

    [[nodiscard]] AdmissionChanges release(TimePoint now);

    void setPolicy(const AdmissionPolicy &policy);

    [[nodiscard]] u32 running() const;
    [[nodiscard]] u32 queued() const;
    [[nodiscard]] u32 limit() const;
    [[nodiscard]] bool isCold() const;

    /** @brief Expected time until a request that came now would start. */
    [[nodiscard]] Duration expectedWait() const;

private:
    [[nodiscard]] bool hasRoom() const;
    [[nodiscard]] bool isFromBeforeRestart(const FinishedRun &run) const;
    [[nodiscard]] AdmissionDecision enqueue(const AdmissionRequest &request, TimePoint now);
    void startWaiting(AdmissionChanges &changes);

    AdmissionPolicy m_policy;
    WarmUpLimit m_limit;
    FairQueue m_queue;
    std::deque<AdmissionRequest> m_suspects;
    u32 m_running = 0;
    u32 m_holds = 0;
    std::optional<TimePoint> m_restartedAt;
    bool m_suspectRuns = false;
    double m_meanServiceMs = 0;
};

} // namespace burdock::admission
