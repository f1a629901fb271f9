#include <burdock/retry/suspect_exchange.hpp>

namespace burdock::retry {

SuspectExchange::SuspectExchange(u64 ownProcess)
    : m_ownProcess(ownProcess)
{
}

SuspectNews SuspectExchange::news(const Quarantine &quarantine, u32 crashes, TimePoint now) const
{
    return {quarantine.records(now, m_confirmed, crashes), quarantine.sequence(), m_heard, m_heardProcess};
}

bool SuspectExchange::take(Quarantine &quarantine, const SuspectNews &news, u64 process, TimePoint now)
{
    bool isNew = false;
    for (const auto &record : news.records) {
        isNew = quarantine.merge(record, now) || isNew;
    }
    m_heard = news.upTo;
    m_heardProcess = process;
    m_confirmed = news.heardProcess == m_ownProcess ? news.heard : 0;
    return isNew;
}

} // namespace burdock::retry
