#pragma once

#include <burdock/admission/admission_controller.hpp>
#include <burdock/link.pb.h>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/endpoint/response_stream.hpp>
#include <burdock/serving/process.hpp>

#include <atomic>
#include <map>

namespace burdock::serving {

/** @brief Outcome of waiting for admission. */
struct Admission
{
    /** RefusalReason::None if the run may start */
    Refusal refusal;
    admission::Epoch epoch = 0;
};

/** @brief Admission control of one endpoint: every run is admitted here and reports its end here. Thread-safe. */
class AdmissionGate
{
public:
    AdmissionGate(Process &process, const admission::AdmissionPolicy &policy);

    void setPolicy(const admission::AdmissionPolicy &policy);

    /** @brief Waits until the run is admitted, evicted or cancelled, or its deadline has passed. */
    [[nodiscard]] boost::asio::awaitable<Admission> waitForAdmission(admission::AdmissionRequest request,
                                                                     std::shared_ptr<RunSignals> signals, const ResponseStream &response);

    /** @brief Records that the endpoint has begun a run that was admitted in this epoch. */
    void noteBegun(admission::Epoch admittedIn);

    /** @brief Frees the capacity of a run that has ended, unless the endpoint may still work on it. */
    void finishRun(const admission::FinishedRun &run);

    /** @brief To be called before the endpoint is asked how many runs it works on. */
    [[nodiscard]] admission::RunningQuery runningQuery() const;

    /** @brief Frees the capacity of abandoned runs as far as the endpoint's report allows. */
    void noteReportedRunning(const admission::RunningQuery &query, u64 running);

    /** @brief Records a sign that the endpoint has restarted. */
    void noteRestart();

    /** @brief Records the boot id that the endpoint reported; true if it shows a restart. */
    bool noteBootId(const std::string &bootId);
    [[nodiscard]] std::string bootId() const;

    /** @brief Whether a run admitted in this epoch may start in the process with this boot id. */
    [[nodiscard]] bool mayStart(admission::Epoch admittedIn, const std::string &bootId) const;

    /** @brief Admits nothing until release(), which must be called once for each hold(). */
    void hold();
    void release();

    [[nodiscard]] schema::EndpointLoad load() const;

private:
    enum class WaitState : u8 {
        Queued,
        Admitted,
        Evicted,
    };
    struct Waiter
    {
        std::shared_ptr<RunSignals> signals; // shared with the run's coroutine
        WaitState state = WaitState::Queued;
        admission::Epoch epoch = 0; // set when admitted
    };

    void notifyAdmitted(const admission::AdmissionChanges &changes);
    void notifyWaiter(admission::Ticket ticket, WaitState state);

    Process &m_process;
    mutable runtime::OrderedMutex<runtime::LockLevel::Admission> m_mutex;
    admission::AdmissionController m_controller;
    std::map<admission::Ticket, Waiter> m_waiters;
    admission::Ticket m_lastTicket = 0;
};

} // namespace burdock::serving
