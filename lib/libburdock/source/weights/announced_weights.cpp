#include <burdock/weights/announced_weights.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

/** Maximum number of versions in the history; older ones no longer affect any process. */
constexpr std::size_t MaxVersions = 16;

} // namespace

bool AnnouncedWeights::noteAnnounced(u64 version, std::optional<TimePoint> notBefore, TimePoint learnedAt)
{
    if (version <= wanted()) {
        return false;
    }
    auto history = m_history;
    history.push_back({version, notBefore ? std::optional(notBefore->time_since_epoch()) : std::nullopt});
    setHistory(mergeTightestBounds(history, {}), learnedAt);
    return true;
}

void AnnouncedWeights::merge(const AnnouncementHistory &other, TimePoint learnedAt)
{
    setHistory(mergeTightestBounds(m_history, upTo(other, wanted())), learnedAt);
}

void AnnouncedWeights::setEstimate(const AnnouncementHistory &estimate, TimePoint learnedAt)
{
    m_estimate = upTo(estimate, wanted());
    AnnouncementHistory versions = m_estimate;
    for (auto &announcement : versions) {
        announcement.notBefore.reset();
    }
    setHistory(mergeTightestBounds(m_history, versions), learnedAt);
}

u64 AnnouncedWeights::wanted() const
{
    return m_history.empty() ? 0 : m_history.back().version;
}

std::optional<TimePoint> AnnouncedWeights::expiryOf(u64 version, Duration bound) const
{
    if (version >= wanted()) {
        return std::nullopt;
    }
    const auto supersededAt = firstAnnouncedAfter(effectiveHistory(), version);
    return supersededAt ? TimePoint(*supersededAt) + bound : TimePoint::min();
}

bool AnnouncedWeights::isSupersededAtUnknownTime(u64 version) const
{
    return version < wanted() && !firstAnnouncedAfter(m_history, version);
}

std::optional<AnnouncedWeights::AnnouncedVersion> AnnouncedWeights::successorOf(u64 version) const
{
    const auto next = std::find_if(m_history.begin(), m_history.end(),
                                   [version](const Announcement &announcement) { return announcement.version > version; });
    if (next == m_history.end()) {
        return std::nullopt;
    }
    const auto notBefore = next->notBefore ? std::optional(TimePoint(*next->notBefore)) : std::nullopt;
    return AnnouncedVersion{next->version, notBefore, m_learnedAt.at(next->version)};
}

const AnnouncementHistory &AnnouncedWeights::history() const
{
    return m_history;
}

AnnouncementHistory AnnouncedWeights::effectiveHistory() const
{
    return fillUnknownBounds(m_history, m_estimate);
}

void AnnouncedWeights::setHistory(AnnouncementHistory history, TimePoint learnedAt)
{
    m_history = std::move(history);
    keepNewest(m_history, MaxVersions);
    for (const auto &announcement : m_history) {
        m_learnedAt.try_emplace(announcement.version, learnedAt);
    }
    m_learnedAt.erase(m_learnedAt.begin(), m_learnedAt.lower_bound(m_history.empty() ? 0 : m_history.front().version));
}

} // namespace burdock::weights
