#include <burdock/weights/named_weights.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

/** Versions that are remembered; the oldest bind no one any more. */
constexpr std::size_t MaxRemembered = 16;

} // namespace

bool NamedWeights::note(u64 version, TimePoint notBefore, TimePoint heard)
{
    if (version <= wanted()) {
        return false;
    }
    m_named.push_back({version, notBefore, heard});
    if (m_named.size() > MaxRemembered) {
        m_named.erase(m_named.begin());
    }
    return true;
}

void NamedWeights::noteEarlier(u64 version, TimePoint notBefore)
{
    for (auto &named : m_named) {
        if (named.version == version) {
            named.notBefore = std::min(named.notBefore, notBefore);
        }
    }
}

u64 NamedWeights::wanted() const
{
    return m_named.empty() ? 0 : m_named.back().version;
}

u64 NamedWeights::oldestAllowed(Duration bound, TimePoint now) const
{
    u64 oldest = 0;
    for (const auto &named : m_named) {
        if (now - named.notBefore >= bound) {
            oldest = named.version;
        }
    }
    return oldest;
}

const NamedWeights::Named *NamedWeights::successorOf(u64 version) const
{
    for (const auto &named : m_named) {
        if (named.version > version) {
            return &named;
        }
    }
    return nullptr;
}

const std::vector<NamedWeights::Named> &NamedWeights::all() const
{
    return m_named;
}

} // namespace burdock::weights
