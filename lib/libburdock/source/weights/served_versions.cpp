#include <burdock/weights/served_versions.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

void raise(ServedVersions::VersionsByModel &versions, std::string_view model, u64 version)
{
    auto &known = versions[std::string(model)];
    known = std::max(known, version);
}

u64 versionOf(const ServedVersions::VersionsByModel &versions, std::string_view model)
{
    const auto known = versions.find(model);
    return known == versions.end() ? 0 : known->second;
}

} // namespace

void ServedVersions::noteLowestServed(std::string_view model, u64 version)
{
    raise(m_own, model, version);
}

void ServedVersions::notePromise(std::string_view model, u64 version)
{
    raise(m_told, model, version);
}

bool ServedVersions::mayFetch(std::string_view model, u64 version) const
{
    return version >= std::max(versionOf(m_own, model), versionOf(m_told, model));
}

const ServedVersions::VersionsByModel &ServedVersions::promises() const
{
    return m_own;
}

} // namespace burdock::weights
