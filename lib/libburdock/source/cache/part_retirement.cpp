#include <burdock/cache/part_retirement.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

constexpr u64 Steps = 1000;

} // namespace

PartRetirement::PartRetirement(const RetirementPolicy &policy)
    : m_policy(policy)
{
}

bool PartRetirement::mayFetch(const weights::AnnouncedWeights &named, u64 version, std::string_view part, TimePoint asOf,
                              TimePoint now) const
{
    if (now - asOf > m_policy.knowledge) {
        return false;
    }
    const auto successor = named.successorOf(version);
    return !successor || (successor->notBefore && now < *successor->notBefore + ageAtRetirement(part));
}

bool PartRetirement::mayFree(const weights::AnnouncedWeights &named, u64 version, std::string_view part,
                             std::optional<TimePoint> knownToAll, TimePoint now) const
{
    const auto successor = named.successorOf(version);
    if (!successor) {
        return false;
    }
    const auto retired = successor->heard + ageAtRetirement(part);
    const auto known = std::min(knownToAll.value_or(TimePoint::max()), successor->heard + m_policy.knowledge);
    return now >= std::max(retired, known) + m_policy.maxFetchTime + m_policy.margin;
}

const RetirementPolicy &PartRetirement::policy() const
{
    return m_policy;
}

Duration PartRetirement::ageAtRetirement(std::string_view part) const
{
    return m_policy.first + m_policy.spread * static_cast<i64>(hash::fast(part) % Steps) / static_cast<i64>(Steps);
}

} // namespace burdock::cache
