#include <burdock/once/once_state_machine.hpp>

namespace burdock::once {

namespace {

// Races for a record end after one or two results; the bound keeps a misbehaving store from blocking a caller.
constexpr u32 MaxStoreResults = 8;

} // namespace

OnceStateMachine::OnceStateMachine(const Nonce &nonce, const hash::Digest256 &requestDigest)
    : m_nonce(nonce)
    , m_requestDigest(requestDigest)
{
}

Action OnceStateMachine::start()
{
    m_hasSentClaim = true;
    return Action::CreateRecord;
}

Action OnceStateMachine::handleClaimResult(StoreResult result)
{
    if (++m_storeResults > MaxStoreResults) {
        return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
    }
    switch (result) {
    case StoreResult::Written:
        m_hasRun = true;
        return Action::Run;
    case StoreResult::Unreachable:
        return refuse(RefusalReason::PlatformUnavailable, Action::Refuse);
    default:
        // The store's answer to the claim may have been lost, which shows as a timeout or as a conflict with our own earlier claim.
        // Reading the record back resolves this, as the nonce identifies our claim.
        return Action::ReadRecord;
    }
}

Action OnceStateMachine::handleReadResult(StoreResult result, const std::optional<Record> &record)
{
    if (++m_storeResults > MaxStoreResults) {
        return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
    }
    if (result == StoreResult::Found && record) {
        return evaluateRecord(*record);
    }
    if (result == StoreResult::Absent) {
        // The first write was lost or is still in transit; creating again with the same nonce is safe in both cases.
        return Action::CreateRecord;
    }
    return refuse(RefusalReason::PlatformUnavailable, Action::RefuseAndRelease);
}

Action OnceStateMachine::evaluateRecord(const Record &record)
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
    if (record.nonce == m_nonce && m_hasSentClaim && !m_hasRun) {
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
