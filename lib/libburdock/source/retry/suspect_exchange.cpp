#include <burdock/retry/suspect_exchange.hpp>

namespace burdock::retry {

SuspectExchange::SuspectExchange(u64 ownProcess)
    : m_ownProcess(ownProcess)
{
}

SuspectUpdate SuspectExchange::makeUpdate(const Quarantine &quarantine, u32 crashes, TimePoint now) const
{
    return {quarantine.records(now, m_acknowledgedByPeer, crashes), quarantine.sequence(), m_lastPeerSequence, m_peerProcess};
}

bool SuspectExchange::applyUpdate(Quarantine &quarantine, const SuspectUpdate &update, u64 peerProcess, TimePoint now)
{
    bool isNew = false;
    for (const auto &record : update.records) {
        isNew = quarantine.merge(record, now) || isNew;
    }
    m_lastPeerSequence = update.lastSequence;
    m_peerProcess = peerProcess;
    m_acknowledgedByPeer = update.acknowledgedProcess == m_ownProcess ? update.acknowledgedSequence : 0;
    return isNew;
}

} // namespace burdock::retry
