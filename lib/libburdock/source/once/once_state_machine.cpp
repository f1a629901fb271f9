#include <burdock/once/once_state_machine.hpp>

namespace burdock::once {

namespace {

// Races over one record settle in a step or two; the bound keeps a misbehaving store from holding a caller.
constexpr u32 MaxSteps = 8;

} // namespace

OnceStateMachine::OnceStateMachine(const Nonce &nonce, const hash::Digest256 &requestDigest)
    : m_nonce(nonce)
    , m_requestDigest(requestDigest)
{
}

Action OnceStateMachine::start()
{
    m_claimSent = true;
    return Action::CreateRecord;
}

Action OnceStateMachine::handleClaimResult(StoreResult answer)
{
    if (++m_steps > MaxSteps) {
        return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
    }
    switch (answer) {
    case StoreResult::Written:
        m_hasRun = true;
        return Action::Run;
    case StoreResult::Unreachable:
        return refuse(RefusalReason::PlatformUnavailable, Action::Refuse);
    default:
        // Guards against a claim whose answer was lost: it shows as a timeout, or as a conflict with our own earlier claim.
        // Reading back holds because the nonce tells our record from any other.
        return Action::ReadRecord;
    }
}

Action OnceStateMachine::handleReadResult(StoreResult answer, const std::optional<Record> &record)
{
    if (++m_steps > MaxSteps) {
        return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
    }
    if (answer == StoreResult::Found && record) {
        return found(*record);
    }
    if (answer == StoreResult::Absent) {
        // Our first write was lost, or is still on its way; creating again with the same nonce is harmless in both cases.
        return Action::CreateRecord;
    }
    return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
}

Action OnceStateMachine::found(const Record &record)
{
    if (record.requestDigest != m_requestDigest) {
        return refuse(RefusalReason::KeyReused, Action::Refuse);
    }
    if (record.state == RecordState::Done) {
        return Action::ReturnRecorded;
    }
    if (record.state == RecordState::Free) {
        return Action::ReplaceFree;
    }
    if (record.nonce == m_nonce && m_claimSent && !m_hasRun) {
        m_hasRun = true;
        return Action::Run;
    }
    return refuse(RefusalReason::KeyUnderWay, Action::Refuse);
}

Action OnceStateMachine::refuse(RefusalReason reason, Action action)
{
    m_refusal = reason;
    return action;
}

RefusalReason OnceStateMachine::refusal() const
{
    return m_refusal;
}

} // namespace burdock::once
