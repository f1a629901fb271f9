#include <burdock/weights/announced_weights.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

/** Versions that are remembered; older ones bind no one any more. */
constexpr std::size_t MaxRemembered = 16;

} // namespace

bool AnnouncedWeights::noteAnnounced(u64 version, std::optional<TimePoint> notBefore, TimePoint heard)
{
    if (version <= wanted()) {
        return false;
    }
    auto history = m_history;
    history.push_back({version, notBefore ? std::optional(notBefore->time_since_epoch()) : std::nullopt});
    setHistory(tightest(history, {}), heard);
    return true;
}

void AnnouncedWeights::merge(const AnnouncementHistory &told, TimePoint heard)
{
    setHistory(tightest(m_history, upTo(told, wanted())), heard);
}

void AnnouncedWeights::setEstimate(const AnnouncementHistory &estimate, TimePoint heard)
{
    m_estimate = upTo(estimate, wanted());
    AnnouncementHistory versions = m_estimate;
    for (auto &naming : versions) {
        naming.notBefore.reset();
    }
    setHistory(tightest(m_history, versions), heard);
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
    const auto superseded = firstAnnouncedAfter(effectiveHistory(), version);
    return superseded ? TimePoint(*superseded) + bound : TimePoint::min();
}

bool AnnouncedWeights::isSupersededAtUnknownTime(u64 version) const
{
    return version < wanted() && !firstAnnouncedAfter(m_history, version);
}

std::optional<AnnouncedWeights::Named> AnnouncedWeights::successorOf(u64 version) const
{
    const auto next
        = std::find_if(m_history.begin(), m_history.end(), [version](const Announcement &naming) { return naming.version > version; });
    if (next == m_history.end()) {
        return std::nullopt;
    }
    const auto notBefore = next->notBefore ? std::optional(TimePoint(*next->notBefore)) : std::nullopt;
    return Named{next->version, notBefore, m_heard.at(next->version)};
}

const AnnouncementHistory &AnnouncedWeights::history() const
{
    return m_history;
}

AnnouncementHistory AnnouncedWeights::effectiveHistory() const
{
    return completed(m_history, m_estimate);
}

void AnnouncedWeights::setHistory(AnnouncementHistory history, TimePoint heard)
{
    m_history = std::move(history);
    keepNewest(m_history, MaxRemembered);
    for (const auto &naming : m_history) {
        m_heard.try_emplace(naming.version, heard);
    }
    m_heard.erase(m_heard.begin(), m_heard.lower_bound(m_history.empty() ? 0 : m_history.front().version));
}

} // namespace burdock::weights
