#include <burdock/retry/suspect_exchange.hpp>

namespace burdock::retry {

SuspectExchange::SuspectExchange(u64 ownProcess)
    : m_ownProcess(ownProcess)
{
}

SuspectUpdate SuspectExchange::makeUpdate(const Quarantine &quarantine, u32 crashes, TimePoint now) const
{
    return {quarantine.records(now, m_confirmed, crashes), quarantine.sequence(), m_heard, m_heardProcess};
}

bool SuspectExchange::applyUpdate(Quarantine &quarantine, const SuspectUpdate &news, u64 process, TimePoint now)
{
    bool isNew = false;
    for (const auto &record : news.records) {
        isNew = quarantine.merge(record, now) || isNew;
    }
    m_heard = news.lastSequence;
    m_heardProcess = process;
    m_confirmed = news.acknowledgedProcess == m_ownProcess ? news.acknowledgedSequence : 0;
    return isNew;
}

} // namespace burdock::retry
