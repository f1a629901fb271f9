#pragma once

#include <burdock/admission/admission_controller.hpp>
#include <burdock/link.pb.h>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/endpoint/response_stream.hpp>
#include <burdock/serving/process.hpp>

#include <atomic>
#include <map>

namespace burdock::serving {

/** @brief The one door of an endpoint: every run goes in and out through it. Thread-safe. */
class AdmissionGate
{
public:
    AdmissionGate(Process &process, const admission::AdmissionPolicy &policy);

    void setPolicy(const admission::AdmissionPolicy &policy);

    /** @brief Waits for room. None if the run may start; otherwise the refusal. */
    [[nodiscard]] boost::asio::awaitable<Refusal> waitForAdmission(admission::AdmissionRequest request, std::shared_ptr<RunSignals> signals,
                                                                   const ResponseStream &response);

    /** @brief Gives room back. */
    void finishRun(const admission::FinishedRun &run);

    /** @brief The endpoint showed a sign of a restart. */
    void noteRestart();

    /** @brief Lets nothing in until release(), which is called once for each hold(). */
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
