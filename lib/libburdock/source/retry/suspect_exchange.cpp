#include <burdock/retry/suspect_exchange.hpp>

namespace burdock::retry {

SuspectExchange::SuspectExchange(u64 ownProcess)
    : m_ownProcess(ownProcess)
{
}

SuspectUpdate SuspectExchange::makeUpdate(const Quarantine &quarantine, const CrashAttribution &attribution, u32 crashes,
                                          TimePoint now) const
{
    SuspectUpdate update;
    update.records = quarantine.records(now, m_acknowledgedByPeer, crashes);
    update.features = attribution.observations(m_featuresAcknowledgedByPeer, now);
    update.lastSequence = quarantine.sequence();
    update.lastFeatureSequence = attribution.sequence();
    update.acknowledgedSequence = m_lastPeerSequence;
    update.acknowledgedFeatureSequence = m_lastPeerFeatureSequence;
    update.acknowledgedProcess = m_peerProcess;
    return update;
}

bool SuspectExchange::applyUpdate(Quarantine &quarantine, CrashAttribution &attribution, const SuspectUpdate &update, u64 peerProcess,
                                  TimePoint now)
{
    bool isNew = false;
    for (const auto &record : update.records) {
        isNew = quarantine.merge(record, now) || isNew;
    }
    for (const auto &record : update.features) {
        isNew = attribution.merge(record, now) || isNew;
    }
    m_lastPeerSequence = update.lastSequence;
    m_lastPeerFeatureSequence = update.lastFeatureSequence;
    m_peerProcess = peerProcess;
    const bool isForThisProcess = update.acknowledgedProcess == m_ownProcess;
    m_acknowledgedByPeer = isForThisProcess ? update.acknowledgedSequence : 0;
    m_featuresAcknowledgedByPeer = isForThisProcess ? update.acknowledgedFeatureSequence : 0;
    return isNew;
}

} // namespace burdock::retry
