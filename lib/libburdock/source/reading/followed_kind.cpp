#include <burdock/reading/followed_kind.hpp>

#include <algorithm>

namespace burdock::reading {

void FollowedKind::noteListed(u64 revision, TimePoint started)
{
    const bool isOlder = revision < m_revision;
    m_asOf = isOlder ? started : std::max(m_asOf.value_or(started), started);
    m_revision = revision;
    m_followedSince = revision;
    m_lastChange = 0;
    // Changes that were told of may have been made by a store that has since lost them, or may be nonsense.
    m_toldChange = 0;
}

Continuity FollowedKind::noteChanges(u64 since, u64 revision)
{
    if (!m_asOf || since > m_revision) {
        noteToldOf(revision);
        return Continuity::Gap;
    }
    if (revision <= m_revision) {
        return Continuity::Known;
    }
    m_revision = revision;
    m_lastChange = revision;
    return Continuity::New;
}

void FollowedKind::noteUnchanged(u64 revision)
{
    m_revision = std::max(m_revision, revision);
}

void FollowedKind::noteComplete(TimePoint asOf)
{
    if (m_asOf) {
        m_asOf = std::max(*m_asOf, asOf);
    }
}

void FollowedKind::noteToldOf(u64 change)
{
    m_toldChange = std::max(m_toldChange, change);
}

std::optional<TimePoint> FollowedKind::noteConfirmation(const Confirmation &confirmation, TimePoint asked)
{
    noteToldOf(confirmation.lastChange);
    const auto asOf = asked - confirmation.age;
    const bool isCovered = m_revision >= confirmation.since && m_revision >= confirmation.lastChange;
    if (!m_asOf || !isCovered || asOf <= *m_asOf) {
        return std::nullopt;
    }
    m_revision = std::max(m_revision, confirmation.revision);
    m_asOf = asOf;
    return asOf;
}

std::optional<Confirmation> FollowedKind::confirmation(TimePoint now) const
{
    if (!m_asOf) {
        return std::nullopt;
    }
    return Confirmation{m_followedSince, m_lastChange, m_revision, std::max(Duration::zero(), now - *m_asOf)};
}

u64 FollowedKind::revision() const
{
    return m_revision;
}

u64 FollowedKind::unchangedSince() const
{
    return std::max(m_followedSince, m_lastChange);
}

std::optional<TimePoint> FollowedKind::asOf() const
{
    return m_asOf;
}

bool FollowedKind::isBehind() const
{
    return m_asOf && m_toldChange > m_revision;
}

} // namespace burdock::reading
