#include <burdock/retry/quarantine.hpp>

#include <algorithm>

namespace burdock::retry {

namespace {

/** Keeps the backoff between trials from overflowing. */
constexpr u32 MaxBackoffDoublings = 10;
/** Crashes within this time of each other count as one failed trial, as the loss of one endpoint may end many runs. */
constexpr Duration CrashGroupWindow = std::chrono::seconds(2);

} // namespace

Quarantine::Quarantine(Duration retentionTime, std::size_t capacity)
    : m_retentionTime(retentionTime)
    , m_capacity(capacity)
{
}

SuspectState Quarantine::state(u64 fingerprint, TimePoint now) const
{
    const auto *entry = find(fingerprint, now);
    if (entry == nullptr || entry->crashes == 0) {
        return SuspectState::Clear;
    }
    if (entry->proven >= CrashesToQuarantine) {
        return SuspectState::Quarantined;
    }
    return entry->crashes >= LossesToHold ? SuspectState::Held : SuspectState::Suspect;
}

u32 Quarantine::crashes(u64 fingerprint, TimePoint now) const
{
    return record(fingerprint, now).crashes;
}

SuspectRecord Quarantine::record(u64 fingerprint, TimePoint now) const
{
    const auto *entry = find(fingerprint, now);
    if (entry == nullptr) {
        return {fingerprint, 0, Duration::zero(), 0};
    }
    return {fingerprint, entry->crashes, now - entry->lastEventAt, entry->crashes - entry->proven};
}

const Quarantine::Entry *Quarantine::find(u64 fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || found->second.lastEventAt + m_retentionTime < now ? nullptr : &found->second;
}

bool Quarantine::tryBegin(u64 fingerprint, const TrialPolicy &policy, TimePoint now)
{
    const u32 count = crashes(fingerprint, now);
    if (count < policy.crashThreshold) {
        return true;
    }
    auto &entry = m_entries.at(fingerprint);
    if (now - entry.lastEventAt < backoffOf(entry, policy)) {
        return false;
    }
    entry.lastEventAt = now;
    entry.isTrialRunning = true;
    return true;
}

void Quarantine::returnTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && found->second.isTrialRunning) {
        found->second.isTrialRunning = false;
        found->second.lastEventAt = now - backoffOf(found->second, policy);
    }
}

Duration Quarantine::timeUntilTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now) const
{
    const auto *entry = find(fingerprint, now);
    if (entry == nullptr || entry->crashes < policy.crashThreshold) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), entry->lastEventAt + backoffOf(*entry, policy) - now);
}

Duration Quarantine::backoffOf(const Entry &entry, const TrialPolicy &policy)
{
    return policy.initialBackoff * (1U << std::min(entry.failedTrials, MaxBackoffDoublings));
}

// A request at the threshold is refused, so a crash outside of the group window can only come from a trial, here or in another process.
void Quarantine::noteCrashes(Entry &entry, u32 crashes, TimePoint at)
{
    if (entry.crashes >= TrialPolicy{}.crashThreshold && at - entry.lastCrashAt > CrashGroupWindow) {
        ++entry.failedTrials;
    }
    entry.crashes = crashes;
    entry.isTrialRunning = false;
    entry.lastEventAt = at;
    entry.lastCrashAt = at;
}

void Quarantine::noteCrash(u64 fingerprint, TimePoint now, CrashEvidence evidence)
{
    if (m_cleared.count(fingerprint) > 0) {
        return;
    }
    auto &entry = m_entries[fingerprint];
    if (entry.lastEventAt + m_retentionTime < now) {
        entry = Entry{};
    }
    noteCrashes(entry, entry.crashes + 1, now);
    entry.proven += evidence == CrashEvidence::Restart ? 1 : 0;
    entry.sequence = ++m_sequence;
    evictOldest();
}

void Quarantine::noteSuccess(u64 fingerprint)
{
    m_entries.erase(fingerprint);
    if (!m_cleared.insert(fingerprint).second) {
        return;
    }
    m_clearedInOrder.push_back(fingerprint);
    if (m_clearedInOrder.size() > m_capacity) {
        m_cleared.erase(m_clearedInOrder.front());
        m_clearedInOrder.pop_front();
    }
}

bool Quarantine::merge(const SuspectRecord &record, TimePoint now)
{
    if (record.age >= m_retentionTime || m_cleared.count(record.fingerprint) > 0) {
        return false;
    }
    auto &entry = m_entries[record.fingerprint];
    const u32 proven = record.crashes - std::min(record.unproven, record.crashes);
    if (record.crashes <= entry.crashes && proven <= entry.proven) {
        return false;
    }
    noteCrashes(entry, std::max(record.crashes, entry.crashes), now - record.age);
    entry.proven = std::max(proven, entry.proven);
    entry.sequence = ++m_sequence;
    evictOldest();
    return true;
}

u64 Quarantine::sequence() const
{
    return m_sequence;
}

std::vector<SuspectRecord> Quarantine::records(TimePoint now, u64 after, u32 crashes) const
{
    std::vector<SuspectRecord> out;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.lastEventAt + m_retentionTime >= now && entry.sequence > after && entry.crashes >= crashes) {
            out.push_back({fingerprint, entry.crashes, now - entry.lastEventAt, entry.crashes - entry.proven});
        }
    }
    return out;
}

void Quarantine::evictOldest()
{
    if (m_entries.size() <= m_capacity) {
        return;
    }
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
        return left.second.lastEventAt < right.second.lastEventAt;
    }));
}

} // namespace burdock::retry
