#include <burdock/hash/digest.hpp>
#include <burdock/serving/link_messages.hpp>
#include <burdock/serving/suspect_table.hpp>

#include <algorithm>
#include <mutex>

namespace burdock::serving {

namespace {

constexpr Duration SuspectLifetime = std::chrono::minutes(30);
constexpr std::size_t MaxSuspects = 4096;

/** Endpoint processes tell of crashes at once and notice them without delay. */
retry::CrashAttributionPolicy attributionPolicy()
{
    retry::CrashAttributionPolicy policy;
    policy.timeToHear = Duration::zero();
    return policy;
}

constexpr retry::TrialPolicy HeldTrialPolicy{retry::LossesToHold, std::chrono::seconds(10)};

} // namespace

SuspectTable::SuspectTable(Process &process, u32 minCrashesToShare)
    : m_process(process)
    , m_minCrashesToShare(minCrashesToShare)
    , m_quarantine(SuspectLifetime, MaxSuspects)
    , m_attribution(attributionPolicy())
{
}

void SuspectTable::setUpdateListener(std::function<void()> listener)
{
    m_updateListener = std::move(listener);
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
    return m_quarantine.tryBegin(fingerprint, HeldTrialPolicy, m_process.clock.now());
}

void SuspectTable::returnTrial(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.returnTrial(fingerprint, HeldTrialPolicy, m_process.clock.now());
}

Duration SuspectTable::timeUntilTrial(u64 fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.timeUntilTrial(fingerprint, HeldTrialPolicy, m_process.clock.now());
}

retry::SuspectRecord SuspectTable::noteCrash(u64 fingerprint, retry::CrashEvidence evidence)
{
    retry::SuspectRecord updated;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_process.clock.now();
        m_quarantine.noteCrash(fingerprint, now, evidence);
        updated = m_quarantine.record(fingerprint, now);
    }
    notifyListener(updated.crashes >= m_minCrashesToShare);
    return updated;
}

void SuspectTable::noteSuccess(u64 fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.noteSuccess(fingerprint);
}

bool SuspectTable::tryBegin(const Features &features)
{
    const std::lock_guard lock(m_mutex);
    return m_attribution.tryBegin(features, m_process.clock.now()) != retry::RunPermission::Refused;
}

bool SuspectTable::mayTryElsewhere(const Features &features)
{
    const std::lock_guard lock(m_mutex);
    return m_attribution.blamed(features, m_process.clock.now()).empty();
}

void SuspectTable::returnPermission(const Features &features)
{
    const std::lock_guard lock(m_mutex);
    m_attribution.returnPermission(features, m_process.clock.now());
}

Duration SuspectTable::timeUntilTrial(const Features &features)
{
    const std::lock_guard lock(m_mutex);
    return m_attribution.timeUntilTrial(features, m_process.clock.now());
}

void SuspectTable::noteCrash(const Features &features, TimePoint begun)
{
    {
        const std::lock_guard lock(m_mutex);
        m_attribution.noteCrash(hash::hash64(m_process.vmName), features, begun, m_process.clock.now());
    }
    notifyListener(!features.empty());
}

void SuspectTable::noteSuccess(const Features &features, TimePoint begun)
{
    const std::lock_guard lock(m_mutex);
    m_attribution.noteSuccess(features, begun, m_process.clock.now());
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
    notifyListener(isNew && record.crashes >= m_minCrashesToShare);
}

void SuspectTable::addUpdate(const std::string &peer, schema::Heartbeat &heartbeat)
{
    const std::lock_guard lock(m_mutex);
    addSuspectUpdate(heartbeat, exchange(peer).makeUpdate(m_quarantine, m_attribution, m_minCrashesToShare, m_process.clock.now()));
}

void SuspectTable::applyUpdate(const std::string &peer, const schema::Heartbeat &heartbeat)
{
    bool hasNewRecords = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto update = toSuspectUpdate(heartbeat);
        const bool isNew = exchange(peer).applyUpdate(m_quarantine, m_attribution, update, heartbeat.boot_id(), m_process.clock.now());
        hasNewRecords = isNew && std::any_of(update.records.begin(), update.records.end(), [this](const auto &record) {
                            return record.crashes >= m_minCrashesToShare;
                        });
    }
    notifyListener(hasNewRecords);
}

void SuspectTable::removePeer(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_exchanges.erase(peer);
}

u64 SuspectTable::updateCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_updateCount;
}

// Notifies at once instead of waiting for the next heartbeat: a caller may retry a crashing request through another entry before
// that, which would cost one more crash per entry. Only crashes within the time that a message takes remain possible.
void SuspectTable::notifyListener(bool hasNewRecords)
{
    if (!hasNewRecords) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_updateCount;
    }
    if (m_updateListener) {
        m_updateListener();
    }
}

retry::SuspectExchange &SuspectTable::exchange(const std::string &peer)
{
    return m_exchanges.try_emplace(peer, m_process.bootId).first->second;
}

} // namespace burdock::serving
