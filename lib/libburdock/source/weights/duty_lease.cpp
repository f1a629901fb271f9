#include <burdock/weights/duty_lease.hpp>

namespace burdock::weights {

namespace {

/** Parts of the pause after which a holder renews, and for which it acts after a renewal. */
constexpr int RenewalsPerPause = 12;
constexpr int ActsPerPause = 5;

/** Covers the time between a change of the record and its sight here. */
constexpr Duration ObservationMargin = std::chrono::milliseconds(300);

} // namespace

DutyLease::DutyLease(std::string vm, u64 boot, Duration pause)
    : m_vm(std::move(vm))
    , m_boot(boot)
    , m_pause(pause)
{
}

void DutyLease::observe(const std::optional<LeaseRecord> &record, u64 revision, TimePoint now)
{
    if (m_isObserved && revision <= m_revision && record.has_value() == m_record.has_value()) {
        return;
    }
    m_isObserved = true;
    m_record = record;
    m_revision = revision;
    m_changedAt = now;
}

std::optional<DutyLease::Write> DutyLease::due(TimePoint now) const
{
    if (!m_isObserved) {
        return std::nullopt;
    }
    if (!m_record) {
        return Write{LeaseRecord{m_vm, m_boot, 1, 1}, std::nullopt};
    }
    LeaseRecord next = *m_record;
    ++next.beat;
    if (isOwn()) {
        const bool isFresh = m_renewedAt && now - *m_renewedAt < m_pause / RenewalsPerPause;
        return isFresh ? std::nullopt : std::optional(Write{next, m_revision});
    }
    // The same VM started again: its earlier process is gone, so there is nobody to wait for.
    const bool isSameVm = m_record->vm == m_vm;
    if (!isSameVm && now - m_changedAt < m_pause + m_pause / ActsPerPause + ObservationMargin) {
        return std::nullopt;
    }
    next.vm = m_vm;
    next.boot = m_boot;
    ++next.token;
    return Write{next, m_revision};
}

void DutyLease::noteWritten(const LeaseRecord &record, u64 revision, TimePoint startedAt, TimePoint now)
{
    observe(record, revision, now);
    m_renewedAt = startedAt;
}

bool DutyLease::mayAct(TimePoint now) const
{
    return m_record && isOwn() && m_renewedAt && now - *m_renewedAt < m_pause / ActsPerPause;
}

u64 DutyLease::token() const
{
    return m_record ? m_record->token : 0;
}

bool DutyLease::isOwn() const
{
    return m_record->vm == m_vm && m_record->boot == m_boot;
}

} // namespace burdock::weights
