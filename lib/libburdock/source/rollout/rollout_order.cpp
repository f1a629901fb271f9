#include <burdock/rollout/rollout_order.hpp>

#include <algorithm>
#include <array>

namespace burdock::rollout {

namespace {

constexpr std::array<std::string_view, 3> StateNames{"active", "completed", "reverted"};

/** Time before the deadline at which a version that isn't bad is completed, so that the write can fail and be repeated. */
constexpr Duration CompletionLead = std::chrono::seconds(3);

/** Time after a completion in which the others end. Later ones are versions like any other. */
constexpr Duration SettleTime = std::chrono::seconds(5);

} // namespace

std::string_view toString(OrderState state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

bool OrderRecord::isDecided() const
{
    return state && *state != OrderState::Active && stateTarget == target;
}

bool OrderRecord::isSameOrder(const OrderRecord &other) const
{
    return service == other.service && target == other.target && duration == other.duration && createdRevision == other.createdRevision;
}

RolloutOrder::RolloutOrder(OrderRecord record, TimePoint learntAt)
    : m_record(std::move(record))
    , m_knownSince(learntAt)
{
    noteRecord(learntAt);
}

RolloutOrder::Change RolloutOrder::observe(const OrderRecord &record, TimePoint now)
{
    if (record.revision < m_record.revision) {
        return Change::None;
    }
    // The operator may order the same again after a decision, and then takes the status away.
    const bool isOrderedAgain = m_record.isDecided() && !record.state;
    if (!record.isSameOrder(m_record) || isOrderedAgain) {
        return Change::Replaced;
    }
    m_record = record;
    m_isWithdrawn = false;
    m_mustRead = false;
    noteRecord(now);
    return Change::None;
}

void RolloutOrder::noteRecord(TimePoint now)
{
    if (m_record.isDecided()) {
        m_state = *m_record.state;
        m_settledAt = m_settledAt.value_or(now);
    }
}

void RolloutOrder::noteWithdrawn()
{
    m_isWithdrawn = true;
    m_mustRead = false;
}

void RolloutOrder::noteKnownSince(TimePoint time)
{
    m_knownSince = std::min(m_knownSince, time);
}

void RolloutOrder::noteDecided(OrderState state)
{
    if (m_state == OrderState::Active) {
        m_state = state;
    }
}

void RolloutOrder::decide(const RolloutVerdict &verdict, TimePoint now)
{
    if (m_state != OrderState::Active || m_isWithdrawn) {
        return;
    }
    const bool isDue = now >= deadline() - std::min(CompletionLead, m_record.duration / 2);
    if (verdict.isBad()) {
        m_state = OrderState::Reverted;
    } else if (isDue) {
        m_state = verdict.conclude() == Judgement::Good ? OrderState::Completed : OrderState::Reverted;
    }
}

OrderState RolloutOrder::state() const
{
    return m_state;
}

std::optional<OrderState> RolloutOrder::dueWrite() const
{
    const bool isWritten = m_record.state == m_state && m_record.stateTarget == m_record.target;
    if (m_isWithdrawn || m_mustRead || isWritten) {
        return std::nullopt;
    }
    return m_state;
}

bool RolloutOrder::mustRead() const
{
    return m_mustRead;
}

void RolloutOrder::noteWriting()
{
    m_mustRead = true;
}

void RolloutOrder::noteWritten(OrderState state, u64 revision, TimePoint now)
{
    m_mustRead = false;
    if (revision > m_record.revision) {
        m_record.state = state;
        m_record.stateTarget = m_record.target;
        m_record.revision = revision;
        noteRecord(now);
    }
}

void RolloutOrder::noteConflict()
{
    m_mustRead = true;
}

TargetUse RolloutOrder::targetUse(TimePoint now) const
{
    if (m_isWithdrawn) {
        return isOver(now) ? TargetUse::Unrestricted : TargetUse::None;
    }
    switch (m_state) {
    case OrderState::Completed:
        // The others end only once the decision stands in the record, and until then the target's share holds.
        if (!m_settledAt) {
            return TargetUse::None;
        }
        return now < *m_settledAt + SettleTime ? TargetUse::Only : TargetUse::Unrestricted;
    case OrderState::Reverted:
        return TargetUse::None;
    default:
        return TargetUse::Limited;
    }
}

bool RolloutOrder::isWithdrawn() const
{
    return m_isWithdrawn;
}

bool RolloutOrder::isOver(TimePoint now) const
{
    return m_isWithdrawn && now >= deadline();
}

const OrderRecord &RolloutOrder::record() const
{
    return m_record;
}

TimePoint RolloutOrder::deadline() const
{
    return m_knownSince + m_record.duration;
}

} // namespace burdock::rollout
