#include "attempt.hpp"

#include <algorithm>

namespace burdock::serving::detail {

namespace {

constexpr u64 AckEveryBytes = 16 * 1024;
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
// Shorter than an endpoint process remembers a run, so that within it "unknown" means "never came".
constexpr Duration UnknownIsProofFor = std::chrono::seconds(10);

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

Attempt::Attempt(Process &process, Fleet &fleet, const RunSpec &spec, Delivery &delivery, std::shared_ptr<runtime::link::Client> link,
                 const schema::RunRef &ref, Duration acceptTimeout, RetryPayer &payer)
    : m_process(process)
    , m_fleet(fleet)
    , m_spec(spec)
    , m_delivery(delivery)
    , m_link(std::move(link))
    , m_ref(ref)
    , m_payer(payer)
    , m_bootAtSend(m_link->peerBootId())
    , m_sentAt(process.clock.now())
    , m_acceptDeadline(m_sentAt + acceptTimeout)
{
}

TimePoint Attempt::waitUntil() const
{
    return m_isAccepted ? m_spec.deadline : std::min(m_acceptDeadline, m_spec.deadline);
}

Attempt::Outcome Attempt::onSilence()
{
    if (m_link->withdraw(m_ref)) {
        return notRun(AttemptKind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    if (m_process.clock.now() >= m_spec.deadline) {
        return lost(RefusalReason::DeadlinePassed);
    }
    // Going elsewhere costs a retry; without one, or with all links as silent, waiting for this one to be replaced is the better way.
    m_acceptDeadline = m_spec.deadline;
    if (m_payer.pay()) {
        auto left = lost(RefusalReason::BackEndLost);
        left.kind = AttemptKind::Silent;
        return left;
    }
    return std::nullopt;
}

Attempt::Outcome Attempt::onPeerDead()
{
    if (m_link->withdraw(m_ref)) {
        return notRun(AttemptKind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
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
    return notRun(AttemptKind::NotRun, reason, std::chrono::milliseconds(refused.retry_after_ms()));
}

std::string_view Attempt::fresh(const schema::RunChunk &chunk)
{
    std::string_view data = chunk.data();
    const auto use = m_cursor.accept(chunk.offset(), data);
    if (use == run::ChunkStatus::Gap) {
        resume();
    }
    return use == run::ChunkStatus::Deliver ? data : std::string_view();
}

void Attempt::noteDelivered(std::string_view data)
{
    if (m_spec.prompt) {
        m_delivery.text += data;
    }
    m_delivery.bytes += data.size();
    if (m_cursor.position() - m_acknowledged >= AckEveryBytes) {
        acknowledge();
    }
}

Attempt::Outcome Attempt::onEnd(const schema::RunEnd &end)
{
    switch (end.outcome()) {
    case schema::RunEnd::COMPLETE:
        if (end.length() != m_cursor.position()) {
            // Something before the end was lost on the way.
            resume();
            return std::nullopt;
        }
        acknowledge();
        return AttemptResult{AttemptKind::Complete, {}, end};
    case schema::RunEnd::UNKNOWN:
        return onUnknown();
    default:
        return onBroken(end);
    }
}

Attempt::Outcome Attempt::onUnknown()
{
    // "Never seen, never will run" is said by a process about itself and about what it still remembers; of a predecessor, and of
    // a time long past, it knows nothing.
    const bool isSameProcess = m_bootAtSend != 0 && m_bootAtSend == m_link->peerBootId();
    const bool isRemembered = m_process.clock.now() - m_sentAt < UnknownIsProofFor;
    if (isSameProcess && isRemembered && m_cursor.position() == 0) {
        return notRun(AttemptKind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
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
        return notRun(AttemptKind::NotRun, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
    }
    return AttemptResult{AttemptKind::Lost, {RefusalReason::BackEndLost, DefaultRetryAfter}, {}};
}

AttemptResult Attempt::notRun(AttemptKind kind, RefusalReason reason, Duration retryAfter) const
{
    return {kind, {reason, retryAfter}, {}};
}

AttemptResult Attempt::lost(RefusalReason reason)
{
    m_link->send(cancelMessage(m_ref));
    return {AttemptKind::Lost, {reason, DefaultRetryAfter}, {}};
}

AttemptResult Attempt::callerGone()
{
    m_link->send(cancelMessage(m_ref));
    return {AttemptKind::CallerGone, {}, {}};
}

void Attempt::acknowledge()
{
    m_acknowledged = m_cursor.position();
    m_link->send(ackMessage(m_ref, m_acknowledged));
}

} // namespace burdock::serving::detail
