#include <burdock/reading/present_entries.hpp>

#include <algorithm>

namespace burdock::reading {

namespace {

/** Entries that are suspended for a moment, or of which a few messages are lost, are still there. */
constexpr Duration MinSilence = std::chrono::seconds(2);
constexpr int ReportsOfSilence = 4;

} // namespace

PresentEntries::PresentEntries(std::string own)
    : m_own(std::move(own))
    , m_maxSilence(MinSilence)
{
}

void PresentEntries::setListed(const std::vector<std::string> &names, Duration reportPeriod, TimePoint now)
{
    m_maxSilence = std::max(MinSilence, ReportsOfSilence * reportPeriod);
    std::map<std::string, TimePoint, std::less<>> listed;
    for (const auto &name : names) {
        const auto known = m_lastHeard.find(name);
        listed.emplace(name, known == m_lastHeard.end() ? now : known->second);
    }
    m_lastHeard = std::move(listed);
}

void PresentEntries::noteHeard(std::string_view name, TimePoint now)
{
    const auto known = m_lastHeard.find(name);
    if (known != m_lastHeard.end()) {
        known->second = now;
    }
}

std::optional<std::vector<std::string>> PresentEntries::changed(TimePoint now)
{
    std::vector<std::string> present;
    for (const auto &[name, heardAt] : m_lastHeard) {
        if (name == m_own || now - heardAt < m_maxSilence) {
            present.push_back(name);
        }
    }
    if (m_last == present) {
        return std::nullopt;
    }
    m_last = present;
    return present;
}

} // namespace burdock::reading
