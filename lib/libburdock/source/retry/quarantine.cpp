#include <burdock/retry/quarantine.hpp>

#include <algorithm>

namespace burdock::retry {

namespace {

/** Keeps the pause between trials from running over. */
constexpr u32 MostDoublings = 10;
/** Crashes within this time of each other are one sign: many runs are under way when an endpoint goes. */
constexpr Duration SameMoment = std::chrono::seconds(2);

} // namespace

Quarantine::Quarantine(Duration forgetAfter, std::size_t capacity)
    : m_forgetAfter(forgetAfter)
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
    return {fingerprint, entry->crashes, now - entry->touched, entry->crashes - entry->proven};
}

const Quarantine::Entry *Quarantine::find(u64 fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || found->second.touched + m_forgetAfter < now ? nullptr : &found->second;
}

bool Quarantine::tryBegin(u64 fingerprint, const TrialPolicy &policy, TimePoint now)
{
    const u32 count = crashes(fingerprint, now);
    if (count < policy.crashThreshold) {
        return true;
    }
    auto &entry = m_entries.at(fingerprint);
    if (now - entry.touched < pauseOf(entry, policy)) {
        return false;
    }
    entry.touched = now;
    entry.isTrialUnderWay = true;
    return true;
}

void Quarantine::returnTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && found->second.isTrialUnderWay) {
        found->second.isTrialUnderWay = false;
        found->second.touched = now - pauseOf(found->second, policy);
    }
}

Duration Quarantine::timeUntilTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now) const
{
    const auto *entry = find(fingerprint, now);
    if (entry == nullptr || entry->crashes < policy.crashThreshold) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), entry->touched + pauseOf(*entry, policy) - now);
}

Duration Quarantine::pauseOf(const Entry &entry, const TrialPolicy &policy)
{
    return policy.firstPause * (1U << std::min(entry.failedTrials, MostDoublings));
}

// A crash long after the one before it, of a request that was refused meanwhile, can only come of a trial, here or elsewhere.
void Quarantine::noteCrashes(Entry &entry, u32 crashes, TimePoint at)
{
    if (entry.crashes >= TrialPolicy{}.crashThreshold && at - entry.crashedAt > SameMoment) {
        ++entry.failedTrials;
    }
    entry.crashes = crashes;
    entry.isTrialUnderWay = false;
    entry.touched = at;
    entry.crashedAt = at;
}

void Quarantine::noteCrash(u64 fingerprint, TimePoint now, CrashEvidence evidence)
{
    if (m_innocent.count(fingerprint) > 0) {
        return;
    }
    auto &entry = m_entries[fingerprint];
    if (entry.touched + m_forgetAfter < now) {
        entry = Entry{};
    }
    noteCrashes(entry, entry.crashes + 1, now);
    entry.proven += evidence == CrashEvidence::Restart ? 1 : 0;
    entry.sequence = ++m_sequence;
    dropOldest();
}

void Quarantine::noteSuccess(u64 fingerprint)
{
    m_entries.erase(fingerprint);
    if (!m_innocent.insert(fingerprint).second) {
        return;
    }
    m_innocentInOrder.push_back(fingerprint);
    if (m_innocentInOrder.size() > m_capacity) {
        m_innocent.erase(m_innocentInOrder.front());
        m_innocentInOrder.pop_front();
    }
}

bool Quarantine::merge(const SuspectRecord &record, TimePoint now)
{
    if (record.age >= m_forgetAfter || m_innocent.count(record.fingerprint) > 0) {
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
    dropOldest();
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
        if (entry.touched + m_forgetAfter >= now && entry.sequence > after && entry.crashes >= crashes) {
            out.push_back({fingerprint, entry.crashes, now - entry.touched, entry.crashes - entry.proven});
        }
    }
    return out;
}

void Quarantine::dropOldest()
{
    if (m_entries.size() <= m_capacity) {
        return;
    }
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [](const auto &left, const auto &right) { return left.second.touched < right.second.touched; }));
}

} // namespace burdock::retry
