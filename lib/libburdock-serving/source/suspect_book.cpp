#include <burdock/serving/link_messages.hpp>
#include <burdock/serving/suspect_book.hpp>

#include <algorithm>
#include <mutex>

namespace burdock::serving {

namespace {

constexpr Duration ForgetSuspects = std::chrono::minutes(30);
constexpr std::size_t MaxSuspects = 4096;
constexpr retry::TrialPolicy Trials{retry::LossesToHold, std::chrono::seconds(10)};

} // namespace

SuspectBook::SuspectBook(Process &process, u32 leastCrashesTold)
    : m_process(process)
    , m_leastCrashesTold(leastCrashesTold)
    , m_quarantine(ForgetSuspects, MaxSuspects)
{
}

void SuspectBook::setOnNews(std::function<void()> onNews)
{
    m_onNews = std::move(onNews);
}

retry::SuspectState SuspectBook::state(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.state(fingerprint, m_process.clock.now());
}

retry::SuspectRecord SuspectBook::record(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.record(fingerprint, m_process.clock.now());
}

bool SuspectBook::tryBegin(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.tryBegin(fingerprint, Trials, m_process.clock.now());
}

void SuspectBook::returnTrial(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.returnTrial(fingerprint, Trials, m_process.clock.now());
}

Duration SuspectBook::timeUntilTrial(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.timeUntilTrial(fingerprint, Trials, m_process.clock.now());
}

retry::SuspectRecord SuspectBook::noteCrash(u64 fingerprint, retry::CrashEvidence evidence)
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

void SuspectBook::noteSuccess(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.noteSuccess(fingerprint);
}

void SuspectBook::noteCrashes(const retry::SuspectRecord &record)
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

void SuspectBook::tell(const std::string &peer, schema::Heartbeat &heartbeat)
{
    const std::lock_guard lock(m_mutex);
    addSuspectUpdate(heartbeat, exchange(peer).makeUpdate(m_quarantine, m_leastCrashesTold, m_process.clock.now()));
}

void SuspectBook::hear(const std::string &peer, const schema::Heartbeat &heartbeat)
{
    bool isNews = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto news = toSuspectUpdate(heartbeat);
        const bool isNew = exchange(peer).applyUpdate(m_quarantine, news, heartbeat.boot_id(), m_process.clock.now());
        isNews = isNew && std::any_of(news.records.begin(), news.records.end(), [this](const auto &record) {
                     return record.crashes >= m_leastCrashesTold;
                 });
    }
    announce(isNews);
}

void SuspectBook::forget(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_exchanges.erase(peer);
}

u64 SuspectBook::newsCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_newsCount;
}

// Guards against a poisonous request that its caller sends again through another entry before the next heartbeat: it shows as
// one more crash for each entry. Telling at once holds but for the moment that a message takes.
void SuspectBook::announce(bool isNews)
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

retry::SuspectExchange &SuspectBook::exchange(const std::string &peer)
{
    return m_exchanges.try_emplace(peer, m_process.bootId).first->second;
}

} // namespace burdock::serving
