#include <burdock/serving/endpoint/admission_gate.hpp>

namespace burdock::serving {

namespace {

constexpr Duration RetryAfterEviction = std::chrono::milliseconds(500);

} // namespace

AdmissionGate::AdmissionGate(Process &process, const admission::AdmissionPolicy &policy)
    : m_process(process)
    , m_controller(policy)
{
}

void AdmissionGate::setPolicy(const admission::AdmissionPolicy &policy)
{
    const std::lock_guard lock(m_mutex);
    m_controller.setPolicy(policy);
}

boost::asio::awaitable<Admission> AdmissionGate::waitForAdmission(admission::AdmissionRequest request, std::shared_ptr<RunSignals> signals,
                                                                  const ResponseStream &response)
{
    const TimePoint deadline = request.deadline;
    {
        const std::lock_guard lock(m_mutex);
        request.ticket = ++m_lastTicket;
        const auto decision = m_controller.request(request, m_process.clock.now());
        if (decision.status == admission::AdmissionStatus::Admitted) {
            co_return Admission{{}, m_controller.epoch()};
        }
        if (decision.status == admission::AdmissionStatus::Refused) {
            co_return Admission{decision.refusal};
        }
        m_waiters.emplace(request.ticket, Waiter{signals});
        if (decision.evicted) {
            notifyWaiter(*decision.evicted, WaitState::Evicted);
        }
    }
    while (true) {
        const auto signal = co_await signals->receive(deadline);
        const std::lock_guard lock(m_mutex);
        const WaitState state = m_waiters.at(request.ticket).state;
        const admission::Epoch epoch = m_waiters.at(request.ticket).epoch;
        const bool isAbandoned = !signal || response.isCancelled();
        if (state == WaitState::Queued && !isAbandoned) {
            continue;
        }
        m_waiters.erase(request.ticket);
        if (state == WaitState::Admitted) {
            co_return Admission{{}, epoch};
        }
        if (state == WaitState::Evicted) {
            co_return Admission{{RefusalReason::Overloaded, RetryAfterEviction}};
        }
        m_controller.abandon(request.ticket);
        co_return Admission{{RefusalReason::DeadlineTooShort, m_controller.expectedWait()}};
    }
}

void AdmissionGate::noteBegun(admission::Epoch admittedIn)
{
    const std::lock_guard lock(m_mutex);
    m_controller.noteBegun(admittedIn);
}

admission::RunningQuery AdmissionGate::runningQuery() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.runningQuery();
}

void AdmissionGate::noteReportedRunning(const admission::RunningQuery &query, u64 running)
{
    const std::lock_guard lock(m_mutex);
    notifyAdmitted(m_controller.noteReportedRunning(query, running, m_process.clock.now()));
}

void AdmissionGate::finishRun(const admission::FinishedRun &run)
{
    const std::lock_guard lock(m_mutex);
    notifyAdmitted(m_controller.finishRun(run, m_process.clock.now()));
}

void AdmissionGate::hold()
{
    const std::lock_guard lock(m_mutex);
    m_controller.hold();
}

void AdmissionGate::release()
{
    const std::lock_guard lock(m_mutex);
    notifyAdmitted(m_controller.release(m_process.clock.now()));
}

// Expired requests need no notification: each waiter times out at its own deadline.
void AdmissionGate::notifyAdmitted(const admission::AdmissionChanges &changes)
{
    for (const auto ticket : changes.admitted) {
        notifyWaiter(ticket, WaitState::Admitted);
    }
}

void AdmissionGate::notifyWaiter(admission::Ticket ticket, WaitState state)
{
    auto &waiter = m_waiters.at(ticket);
    waiter.state = state;
    waiter.epoch = m_controller.epoch();
    waiter.signals->push(state == WaitState::Admitted ? RunSignal::Admitted : RunSignal::Evicted);
}

void AdmissionGate::noteRestart()
{
    const std::lock_guard lock(m_mutex);
    m_controller.noteRestart(m_process.clock.now());
}

bool AdmissionGate::noteBootId(const std::string &bootId)
{
    const std::lock_guard lock(m_mutex);
    return m_controller.noteBootId(bootId, m_process.clock.now());
}

std::string AdmissionGate::bootId() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.bootId();
}

bool AdmissionGate::mayStart(admission::Epoch admittedIn, const std::string &bootId) const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.mayStart(admittedIn, bootId);
}

schema::EndpointLoad AdmissionGate::load() const
{
    schema::EndpointLoad load;
    const std::lock_guard lock(m_mutex);
    load.set_running(m_controller.running());
    load.set_queued(m_controller.queued());
    load.set_limit(m_controller.limit());
    load.set_cold(m_controller.isCold());
    return load;
}

} // namespace burdock::serving
