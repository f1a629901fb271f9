#include <burdock/run/software_record.hpp>

#include <algorithm>

namespace burdock::run {

void SoftwareRecord::noteStored(SoftwareSet software, u64 revision, TimePoint now)
{
    if (revision != m_revision) {
        m_knownSince = now;
    }
    m_software = std::move(software);
    m_revision = revision;
}

const SoftwareSet &SoftwareRecord::software() const
{
    return m_software;
}

u64 SoftwareRecord::revision() const
{
    return m_revision;
}

std::optional<SoftwareSet> SoftwareRecord::next(const SoftwareSet &registered, const std::optional<SoftwareSet> &recent, Duration retention,
                                                TimePoint now) const
{
    auto wanted = m_software;
    wanted.insert(registered.begin(), registered.end());
    if (wanted != m_software) {
        return wanted;
    }
    // Another entry may have recorded a version of which this one learns a moment later.
    const bool isSettled = now - m_knownSince >= retention;
    if (!recent || !isSettled) {
        return std::nullopt;
    }
    std::erase_if(wanted, [&recent](u64 software) { return recent->count(software) == 0; });
    return wanted == m_software ? std::nullopt : std::optional(std::move(wanted));
}

} // namespace burdock::run
