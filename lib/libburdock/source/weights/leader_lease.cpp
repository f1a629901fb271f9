#include <burdock/weights/leader_lease.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

/** Divisors of the handover pause for the interval of renewals and for the period in which a holder may act after a renewal. */
constexpr int RenewalIntervalDivisor = 12;
constexpr int ActionPeriodDivisor = 5;
/** Maximum number of versions of a model in the record. */
constexpr std::size_t MaxVersionsInRecord = 8;

/** Covers slow responses to renewals and the delay until a change of the record is observed. */
constexpr Duration ObservationMargin = std::chrono::milliseconds(700);

} // namespace

LeaderLease::LeaderLease(std::string vm, u64 bootId, Duration handoverPause)
    : m_vm(std::move(vm))
    , m_bootId(bootId)
    , m_handoverPause(handoverPause)
{
}

void LeaderLease::observe(const std::optional<LeaseRecord> &record, u64 revision, TimePoint now)
{
    if (m_isObserved && revision <= m_revision && record.has_value() == m_record.has_value()) {
        return;
    }
    m_isObserved = true;
    m_record = record;
    m_revision = revision;
    m_changedAt = now;
    blockInherited(now);
}

// When the record was taken over isn't known to a process that has restarted since or whose write was not acknowledged, so the pause counts
// from when it finds its VM as the holder.
void LeaderLease::blockInherited(TimePoint now)
{
    if (!m_record || m_record->vm != m_vm || m_record->token == m_blockedToken) {
        return;
    }
    m_blockedToken = m_record->token;
    for (const auto &subject : m_record->inherited) {
        m_blockedUntil[subject] = now + m_handoverPause;
    }
}

std::optional<LeaderLease::Write> LeaderLease::nextWrite(const std::vector<std::string> &subjects, TimePoint now) const
{
    if (!m_isObserved) {
        return std::nullopt;
    }
    LeaseRecord next = m_record.value_or(LeaseRecord{m_vm, m_bootId, 1, 0, {}, {}, {}});
    ++next.renewals;
    next.subjects = recentSubjects(now);
    next.subjects.insert(subjects.begin(), subjects.end());
    for (const auto &[model, announced] : m_announced) {
        auto &stored = next.announced[model];
        // The wall clock can be wrong for some time. A bound that is too early only makes older weights expire sooner.
        stored = mergeEarliestBounds(stored, announced);
        keepNewest(stored, MaxVersionsInRecord);
    }
    if (!m_record) {
        return Write{next, std::nullopt};
    }
    if (isHeldByThisProcess()) {
        const bool isFresh = m_renewedAt && now - *m_renewedAt < m_handoverPause / RenewalIntervalDivisor;
        next.inherited = blockedSubjects(now);
        const bool isCovered
            = std::includes(m_record->subjects.begin(), m_record->subjects.end(), next.subjects.begin(), next.subjects.end());
        return isFresh && isCovered ? std::nullopt : std::optional(Write{next, m_revision});
    }
    // A process on the same VM that holds the lease is the predecessor of this one and no longer runs, so there is no need to wait.
    const bool isSameVm = m_record->vm == m_vm;
    if (!isSameVm && now - m_changedAt < m_handoverPause / ActionPeriodDivisor + ObservationMargin) {
        return std::nullopt;
    }
    if (!isSameVm) {
        next.inherited.insert(m_record->subjects.begin(), m_record->subjects.end());
    }
    next.vm = m_vm;
    next.bootId = m_bootId;
    ++next.token;
    return Write{next, m_revision};
}

void LeaderLease::noteWritten(const LeaseRecord &record, u64 revision, TimePoint startedAt, TimePoint now)
{
    observe(record, revision, now);
    m_renewedAt = startedAt;
}

bool LeaderLease::mayAct(TimePoint now) const
{
    return m_record && isHeldByThisProcess() && m_renewedAt && now - *m_renewedAt < m_handoverPause / ActionPeriodDivisor;
}

bool LeaderLease::mayActOn(const std::string &subject, TimePoint now) const
{
    return mayAct(now) && m_record->subjects.count(subject) > 0 && !isBlocked(subject, now);
}

bool LeaderLease::isBlocked(const std::string &subject, TimePoint now) const
{
    const auto blocked = m_blockedUntil.find(subject);
    return blocked != m_blockedUntil.end() && now < blocked->second;
}

std::set<std::string> LeaderLease::blockedSubjects(TimePoint now) const
{
    std::set<std::string> subjects;
    for (const auto &[subject, until] : m_blockedUntil) {
        if (now < until) {
            subjects.insert(subject);
        }
    }
    return subjects;
}

void LeaderLease::noteAct(const std::string &subject, TimePoint now)
{
    m_ownActions[subject] = now;
}

std::set<std::string> LeaderLease::recentSubjects(TimePoint now) const
{
    std::set<std::string> subjects;
    for (const auto &[subject, at] : m_ownActions) {
        if (now - at < m_handoverPause) {
            subjects.insert(subject);
        }
    }
    return subjects;
}

u64 LeaderLease::token() const
{
    return m_record ? m_record->token : 0;
}

void LeaderLease::setAnnounced(const std::string &model, const AnnouncementHistory &announced)
{
    m_announced[model] = announced;
}

const LeaseRecord *LeaderLease::record() const
{
    return m_record ? &*m_record : nullptr;
}

bool LeaderLease::isHeldByThisProcess() const
{
    return m_record->vm == m_vm && m_record->bootId == m_bootId;
}

} // namespace burdock::weights
