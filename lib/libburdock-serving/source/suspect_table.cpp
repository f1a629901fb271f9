#include <burdock/serving/link_messages.hpp>
#include <burdock/serving/suspect_table.hpp>

#include <algorithm>
#include <mutex>

namespace burdock::serving {

namespace {

constexpr Duration ForgetSuspects = std::chrono::minutes(30);
constexpr std::size_t MaxSuspects = 4096;
constexpr retry::TrialPolicy Trials{retry::LossesToHold, std::chrono::seconds(10)};

} // namespace

SuspectTable::SuspectTable(Process &process, u32 leastCrashesTold)
    : m_process(process)
    , m_leastCrashesTold(leastCrashesTold)
    , m_quarantine(ForgetSuspects, MaxSuspects)
{
}

void SuspectTable::setUpdateListener(std::function<void()> onNews)
{
    m_onNews = std::move(onNews);
}

retry::SuspectState SuspectTable::state(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.state(fingerprint, m_process.clock.now());
}

retry::SuspectRecord SuspectTable::record(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.record(fingerprint, m_process.clock.now());
}

bool SuspectTable::tryBegin(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.tryBegin(fingerprint, Trials, m_process.clock.now());
}

void SuspectTable::giveBack(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.giveBack(fingerprint, Trials, m_process.clock.now());
}

Duration SuspectTable::untilTrial(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.untilTrial(fingerprint, Trials, m_process.clock.now());
}

retry::SuspectRecord SuspectTable::noteCrash(u64 fingerprint, retry::CrashEvidence evidence)
{
    retry::SuspectRecord counted;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_process.clock.now();
        m_quarantine.noteCrash(fingerprint, now, evidence);
        counted = m_quarantine.record(fingerprint, now);
    }
    announce(counted.crashes >= m_leastCrashesTold);
    return counted;
}

void SuspectTable::noteSuccess(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.noteSuccess(fingerprint);
}

void SuspectTable::noteCrashes(const retry::SuspectRecord &record)
{
    if (record.crashes == 0) {
        return;
    }
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        isNew = m_quarantine.merge(record, m_process.clock.now());
    }
    announce(isNew && record.crashes >= m_leastCrashesTold);
}

void SuspectTable::addUpdate(const std::string &peer, schema::Heartbeat &heartbeat)
{
    const std::lock_guard lock(m_mutex);
    addSuspectNews(heartbeat, exchange(peer).news(m_quarantine, m_leastCrashesTold, m_process.clock.now()));
}

void SuspectTable::applyUpdate(const std::string &peer, const schema::Heartbeat &heartbeat)
{
    bool isNews = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto news = toSuspectNews(heartbeat);
        const bool isNew = exchange(peer).take(m_quarantine, news, heartbeat.boot_id(), m_process.clock.now());
        isNews = isNew && std::any_of(news.records.begin(), news.records.end(), [this](const auto &record) {
                     return record.crashes >= m_leastCrashesTold;
                 });
    }
    announce(isNews);
}

void SuspectTable::removePeer(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_exchanges.erase(peer);
}

u64 SuspectTable::updateCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_newsCount;
}

// Guards against a poisonous request that its caller sends again through another entry before the next heartbeat: it shows as
// one more crash for each entry. Telling at once holds but for the moment that a message takes.
void SuspectTable::announce(bool isNews)
{
    if (!isNews) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_newsCount;
    }
    if (m_onNews) {
        m_onNews();
    }
}

retry::SuspectExchange &SuspectTable::exchange(const std::string &peer)
{
    return m_exchanges.try_emplace(peer, m_process.bootId).first->second;
}

} // namespace burdock::serving
