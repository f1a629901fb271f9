#include <burdock/weights/leader_lease.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

/** Parts of the pause after which a holder renews, and for which it acts after a renewal. */
constexpr int RenewalsPerPause = 12;
constexpr int ActsPerPause = 5;
/** Versions of a model in the record. */
constexpr std::size_t MostVersionsTold = 8;

/** Covers a renewal that is answered slowly, and the time between a change of the record and its sight here. */
constexpr Duration ObservationMargin = std::chrono::milliseconds(700);

} // namespace

LeaderLease::LeaderLease(std::string vm, u64 boot, Duration pause)
    : m_vm(std::move(vm))
    , m_boot(boot)
    , m_pause(pause)
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
}

std::optional<LeaderLease::Write> LeaderLease::nextWrite(const std::vector<std::string> &subjects, TimePoint now) const
{
    if (!m_isObserved) {
        return std::nullopt;
    }
    LeaseRecord next = m_record.value_or(LeaseRecord{m_vm, m_boot, 1, 0, {}, {}});
    ++next.renewals;
    next.subjects = recentSubjects(now);
    next.subjects.insert(subjects.begin(), subjects.end());
    for (const auto &[model, named] : m_named) {
        auto &told = next.announced[model];
        // Times of day may be wrong for a while; a bound that is too early only lets older weights go sooner.
        told = earliest(told, named);
        keepNewest(told, MostVersionsTold);
    }
    if (!m_record) {
        return Write{next, std::nullopt};
    }
    if (isOwn()) {
        const bool isFresh = m_renewedAt && now - *m_renewedAt < m_pause / RenewalsPerPause;
        const bool isCovered
            = std::includes(m_record->subjects.begin(), m_record->subjects.end(), next.subjects.begin(), next.subjects.end());
        return isFresh && isCovered ? std::nullopt : std::optional(Write{next, m_revision});
    }
    // The same VM started again: its earlier process is gone, so there is nobody to wait for.
    const bool isSameVm = m_record->vm == m_vm;
    if (!isSameVm && now - m_changedAt < m_pause / ActsPerPause + ObservationMargin) {
        return std::nullopt;
    }
    next.vm = m_vm;
    next.bootId = m_boot;
    ++next.token;
    return Write{next, m_revision};
}

void LeaderLease::noteWritten(const LeaseRecord &record, u64 revision, TimePoint startedAt, TimePoint now)
{
    const bool isTakenOver = m_record && !isOwn() && m_record->vm != m_vm;
    if (isTakenOver) {
        for (const auto &subject : m_record->subjects) {
            m_blockedUntil[subject] = now + m_pause;
        }
    }
    observe(record, revision, now);
    m_renewedAt = startedAt;
}

bool LeaderLease::mayAct(TimePoint now) const
{
    return m_record && isOwn() && m_renewedAt && now - *m_renewedAt < m_pause / ActsPerPause;
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

void LeaderLease::noteAct(const std::string &subject, TimePoint now)
{
    m_acts[subject] = now;
}

std::set<std::string> LeaderLease::recentSubjects(TimePoint now) const
{
    std::set<std::string> subjects;
    for (const auto &[subject, at] : m_acts) {
        if (now - at < m_pause) {
            subjects.insert(subject);
        }
    }
    return subjects;
}

u64 LeaderLease::token() const
{
    return m_record ? m_record->token : 0;
}

void LeaderLease::setAnnounced(const std::string &model, const AnnouncementHistory &named)
{
    m_named[model] = named;
}

const LeaseRecord *LeaderLease::record() const
{
    return m_record ? &*m_record : nullptr;
}

bool LeaderLease::isOwn() const
{
    return m_record->vm == m_vm && m_record->bootId == m_boot;
}

} // namespace burdock::weights
