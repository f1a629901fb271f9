#include <burdock/admission/admission_controller.hpp>

#include <algorithm>

namespace burdock::admission {

namespace {

// Weight of the newest sample in the exponential moving average of service times.
constexpr double ServiceTimeSmoothing = 0.1;
// Lower bound, as a caller that retries immediately would only be refused again.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

} // namespace

AdmissionController::AdmissionController(const AdmissionPolicy &policy)
    : m_policy(policy)
    , m_limit(policy.warmUp)
{
}

AdmissionDecision AdmissionController::request(const AdmissionRequest &request, TimePoint now)
{
    const bool mustWait = request.isSuspect ? m_isSuspectRunning || !m_suspects.empty() : m_queue.size() > 0;
    if (mustWait || !hasRoom()) {
        return enqueue(request, now);
    }
    ++m_running;
    m_isSuspectRunning = m_isSuspectRunning || request.isSuspect;
    AdmissionDecision decision;
    decision.status = AdmissionStatus::Admitted;
    return decision;
}

AdmissionDecision AdmissionController::enqueue(const AdmissionRequest &request, TimePoint now)
{
    AdmissionDecision decision;
    const Duration wait = expectedWait();
    const Duration retryAfter = std::max(wait, MinRetryAfter);
    if (now + wait >= request.deadline) {
        decision.refusal = {RefusalReason::DeadlineTooShort, retryAfter};
        return decision;
    }
    if (queued() >= m_policy.queueLimit) {
        const auto victim = m_queue.evictFor(request.customer);
        if (!victim) {
            decision.refusal = {RefusalReason::Overloaded, retryAfter};
            return decision;
        }
        decision.evicted = victim->ticket;
    }
    if (request.isSuspect) {
        m_suspects.push_back(request);
    } else {
        m_queue.push(request);
    }
    decision.status = AdmissionStatus::Queued;
    return decision;
}

void AdmissionController::noteBegun(Epoch admittedIn)
{
    if (admittedIn == m_epoch) {
        m_abandoned.noteBegun();
    }
}

AdmissionChanges AdmissionController::finishRun(const FinishedRun &run, TimePoint now)
{
    m_running -= std::min<u32>(m_running, 1);
    if (run.admittedIn == m_epoch) {
        if (run.hasBegun) {
            m_abandoned.noteEnded();
        }
        if (run.outcome == RunOutcome::Abandoned) {
            m_abandoned.noteAbandoned(now);
        }
    }
    if (run.wasSuspect) {
        m_isSuspectRunning = false;
    }
    if (run.outcome == RunOutcome::Success) {
        const double serviceMs = toMilliseconds(run.serviceTime);
        m_meanServiceMs
            = m_meanServiceMs == 0 ? serviceMs : (1 - ServiceTimeSmoothing) * m_meanServiceMs + ServiceTimeSmoothing * serviceMs;
        if (!hasStartedBeforeRestart(run)) {
            m_limit.noteSuccess();
        }
    }
    if (run.outcome == RunOutcome::EndpointRestarted) {
        noteRestart(now);
    }
    return expire(now);
}

RunningQuery AdmissionController::runningQuery() const
{
    return m_abandoned.query();
}

AdmissionChanges AdmissionController::noteReportedRunning(const RunningQuery &query, u64 running, TimePoint now)
{
    m_abandoned.noteReport(query, running, now);
    return expire(now);
}

AdmissionChanges AdmissionController::expire(TimePoint now)
{
    AdmissionChanges changes;
    const auto isExpired = [now](const AdmissionRequest &request) {
        return request.deadline <= now;
    };
    for (const auto &request : m_queue.takeExpired(now)) {
        changes.expired.push_back(request.ticket);
    }
    for (const auto &request : m_suspects) {
        if (isExpired(request)) {
            changes.expired.push_back(request.ticket);
        }
    }
    std::erase_if(m_suspects, isExpired);
    admitWaiting(changes);
    return changes;
}

void AdmissionController::admitWaiting(AdmissionChanges &changes)
{
    // Suspects (requests that were running at a crash) run one at a time. A request that crashes endpoints is then never running
    // together with another suspect, so an innocent suspect is not involved in a second crash.
    if (!m_suspects.empty() && !m_isSuspectRunning && hasRoom()) {
        changes.admitted.push_back(m_suspects.front().ticket);
        m_suspects.pop_front();
        m_isSuspectRunning = true;
        ++m_running;
    }
    while (hasRoom()) {
        const auto next = m_queue.pop();
        if (!next) {
            return;
        }
        changes.admitted.push_back(next->ticket);
        ++m_running;
    }
}

bool AdmissionController::abandon(Ticket ticket)
{
    return m_queue.remove(ticket) || std::erase_if(m_suspects, [ticket](const auto &request) { return request.ticket == ticket; }) > 0;
}

void AdmissionController::noteRestart(TimePoint now)
{
    ++m_epoch;
    m_restartedAt = now;
    m_abandoned.forgetBegun();
    m_limit.noteRestart();
}

bool AdmissionController::noteBootId(const std::string &bootId, TimePoint now)
{
    if (m_bootId == bootId) {
        return false;
    }
    const bool isRestart = !m_bootId.empty();
    m_bootId = bootId;
    if (isRestart) {
        noteRestart(now);
        m_abandoned.clear();
    }
    return isRestart;
}

Epoch AdmissionController::epoch() const
{
    return m_epoch;
}

bool AdmissionController::mayStart(Epoch admittedIn, const std::string &bootId) const
{
    return admittedIn == m_epoch && bootId == m_bootId;
}

const std::string &AdmissionController::bootId() const
{
    return m_bootId;
}

void AdmissionController::hold()
{
    ++m_holdCount;
}

AdmissionChanges AdmissionController::release(TimePoint now)
{
    m_holdCount -= std::min<u32>(m_holdCount, 1);
    return expire(now);
}

// Successes of runs that were admitted before a restart was seen don't count towards warm-up. Otherwise the many runs that end around
// a crash would make the restarted engine look warm, and the load would crash it again. A run admitted after the restart was seen can
// only have run in the restarted engine.
bool AdmissionController::hasStartedBeforeRestart(const FinishedRun &run) const
{
    return m_restartedAt && run.startedAt <= *m_restartedAt;
}

void AdmissionController::setPolicy(const AdmissionPolicy &policy)
{
    m_policy = policy;
    m_limit.setPolicy(policy.warmUp);
}

u32 AdmissionController::running() const
{
    return m_running + m_abandoned.count();
}

u32 AdmissionController::queued() const
{
    return static_cast<u32>(m_queue.size() + m_suspects.size());
}

u32 AdmissionController::limit() const
{
    return m_limit.limit();
}

bool AdmissionController::isCold() const
{
    return m_limit.isCold();
}

Duration AdmissionController::expectedWait() const
{
    if (hasRoom() && queued() == 0) {
        return Duration::zero();
    }
    const double rounds = static_cast<double>(queued() + 1) / m_limit.limit();
    return fromMilliseconds(rounds * m_meanServiceMs);
}

bool AdmissionController::hasRoom() const
{
    return m_holdCount == 0 && running() < m_limit.limit();
}

} // namespace burdock::admission
