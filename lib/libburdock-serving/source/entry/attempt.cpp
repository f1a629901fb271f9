#include "attempt.hpp"

#include <algorithm>

namespace burdock::serving::detail {

namespace {

constexpr u64 AckIntervalBytes = 16 * 1024;
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
// Shorter than the time for which an endpoint process remembers a run: within it, "unknown" proves that the request never arrived.
constexpr Duration UnknownMeansNotRunPeriod = std::chrono::seconds(10);

schema::LinkMessage ackMessage(const schema::RunRef &ref, u64 offset)
{
    schema::LinkMessage message;
    *message.mutable_run_ack()->mutable_ref() = ref;
    message.mutable_run_ack()->set_offset(offset);
    return message;
}

schema::LinkMessage resumeMessage(const schema::RunRef &ref, u64 offset)
{
    schema::LinkMessage message;
    *message.mutable_run_resume()->mutable_ref() = ref;
    message.mutable_run_resume()->set_offset(offset);
    return message;
}

schema::LinkMessage cancelMessage(const schema::RunRef &ref)
{
    schema::LinkMessage message;
    *message.mutable_run_cancel()->mutable_ref() = ref;
    return message;
}

} // namespace

Attempt::Attempt(Process &process, Fleet &fleet, const RunSpec &spec, DeliveredResponse &delivery,
                 std::shared_ptr<runtime::link::Client> link, const schema::RunRef &ref, Duration acceptTimeout, FailoverPolicy &failover)
    : m_process(process)
    , m_fleet(fleet)
    , m_spec(spec)
    , m_delivery(delivery)
    , m_link(std::move(link))
    , m_ref(ref)
    , m_failover(failover)
    , m_bootIdAtSend(m_link->peerBootId())
    , m_sentAt(process.clock.now())
    , m_acceptDeadline(m_sentAt + acceptTimeout)
{
}

TimePoint Attempt::eventDeadline() const
{
    return m_isAccepted ? m_spec.deadline : std::min(m_acceptDeadline, m_spec.deadline);
}

Attempt::Outcome Attempt::onTimeout()
{
    if (m_link->cancelUnsent(m_ref)) {
        return notRun(AttemptStatus::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    if (m_process.clock.now() >= m_spec.deadline) {
        return lost(RefusalReason::DeadlinePassed);
    }
    // Failing over costs a retry. If none is left, or all other links are silent too, the run waits for this link to be replaced.
    m_acceptDeadline = m_spec.deadline;
    if (m_failover.tryReserveRetry()) {
        auto result = lost(RefusalReason::BackEndLost);
        result.status = AttemptStatus::NoResponse;
        return result;
    }
    return std::nullopt;
}

Attempt::Outcome Attempt::onPeerDead()
{
    if (m_link->cancelUnsent(m_ref)) {
        return notRun(AttemptStatus::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    return lost(RefusalReason::BackEndLost);
}

void Attempt::onLinkReplaced()
{
    resume();
}

void Attempt::resume()
{
    m_link->send(resumeMessage(m_ref, m_cursor.position()));
}

void Attempt::noteHeard()
{
    m_isAccepted = true;
}

Attempt::Outcome Attempt::onRefused(const schema::RunRefused &refused)
{
    const auto reason = refusalReasonFrom(refused.reason()).value_or(RefusalReason::BackEndLost);
    auto result = notRun(AttemptStatus::NotRun, reason, std::chrono::milliseconds(refused.retry_after_ms()));
    result.refusal.mayHaveRun = refused.may_have_run();
    return result;
}

std::string_view Attempt::newData(const schema::RunChunk &chunk)
{
    std::string_view data = chunk.data();
    const auto chunkStatus = m_cursor.accept(chunk.offset(), data);
    if (chunkStatus == run::ChunkStatus::Gap) {
        resume();
    }
    return chunkStatus == run::ChunkStatus::New ? data : std::string_view();
}

void Attempt::noteDelivered(std::string_view data)
{
    if (m_spec.prompt) {
        m_delivery.text += data;
    }
    m_delivery.bytes += data.size();
    if (m_cursor.position() - m_acknowledged >= AckIntervalBytes) {
        acknowledge();
    }
}

Attempt::Outcome Attempt::onEnd(const schema::RunEnd &end)
{
    switch (end.outcome()) {
    case schema::RunEnd::COMPLETE:
        if (end.length() != m_cursor.position()) {
            // An earlier chunk was lost in transit.
            resume();
            return std::nullopt;
        }
        acknowledge();
        return AttemptResult{AttemptStatus::Complete, {}, end};
    case schema::RunEnd::UNKNOWN:
        return onUnknown();
    default:
        return onBroken(end);
    }
}

Attempt::Outcome Attempt::onUnknown()
{
    // "Unknown" only proves that the request never ran if the answering process is the one it was sent to and still remembers runs
    // of that age. A restarted process knows nothing about the runs of its predecessor.
    const bool isSameProcess = m_bootIdAtSend != 0 && m_bootIdAtSend == m_link->peerBootId();
    const bool isRemembered = m_process.clock.now() - m_sentAt < UnknownMeansNotRunPeriod;
    if (isSameProcess && isRemembered && m_cursor.position() == 0) {
        return notRun(AttemptStatus::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    return lost(RefusalReason::BackEndLost);
}

Attempt::Outcome Attempt::onBroken(const schema::RunEnd &end)
{
    if (end.endpoint_crashed()) {
        m_fleet.suspects().noteCrashes({m_spec.fingerprint, end.suspect_crashes(), Duration::zero(), end.suspect_unproven()});
    }
    m_link->send(ackMessage(m_ref, end.length()));
    if (!end.may_have_run()) {
        return notRun(AttemptStatus::NotRun, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    return AttemptResult{AttemptStatus::Lost, {RefusalReason::BackEndLost, DefaultRetryAfter}, {}};
}

AttemptResult Attempt::notRun(AttemptStatus status, RefusalReason reason, Duration retryAfter) const
{
    return {status, {reason, retryAfter}, {}};
}

AttemptResult Attempt::lost(RefusalReason reason)
{
    m_link->send(cancelMessage(m_ref));
    return {AttemptStatus::Lost, {reason, DefaultRetryAfter}, {}};
}

AttemptResult Attempt::callerDisconnected()
{
    m_link->send(cancelMessage(m_ref));
    return {AttemptStatus::CallerDisconnected, {}, {}};
}

void Attempt::acknowledge()
{
    m_acknowledged = m_cursor.position();
    m_link->send(ackMessage(m_ref, m_acknowledged));
}

} // namespace burdock::serving::detail
