#include <burdock/cache/part_retirement.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

constexpr u64 SpreadSteps = 1000;

} // namespace

PartRetirement::PartRetirement(const RetirementPolicy &policy)
    : m_policy(policy)
{
}

bool PartRetirement::mayFetch(const weights::AnnouncedWeights &announced, u64 version, std::string_view part, TimePoint asOf,
                              TimePoint now) const
{
    if (now - asOf > m_policy.maxKnowledgeAge) {
        return false;
    }
    const auto successor = announced.successorOf(version);
    return !successor || (successor->notBefore && now < *successor->notBefore + ageAtRetirement(part));
}

bool PartRetirement::mayFree(const weights::AnnouncedWeights &announced, u64 version, std::string_view part,
                             std::optional<TimePoint> knownToAllSince, TimePoint now) const
{
    const auto successor = announced.successorOf(version);
    if (!successor) {
        return false;
    }
    const auto retiredAt = successor->learnedAt + ageAtRetirement(part);
    const auto knownAt = std::min(knownToAllSince.value_or(TimePoint::max()), successor->learnedAt + m_policy.maxKnowledgeAge);
    return now >= std::max(retiredAt, knownAt) + m_policy.maxFetchTime + m_policy.safetyMargin;
}

bool PartRetirement::mayFreeUnused(std::optional<TimePoint> promisedSince, TimePoint now) const
{
    return promisedSince && now >= *promisedSince + m_policy.maxFetchTime + m_policy.safetyMargin;
}

const RetirementPolicy &PartRetirement::policy() const
{
    return m_policy;
}

Duration PartRetirement::ageAtRetirement(std::string_view part) const
{
    return m_policy.firstRetirementDelay
        + m_policy.retirementSpread * static_cast<i64>(hash::hash64(part) % SpreadSteps) / static_cast<i64>(SpreadSteps);
}

} // namespace burdock::cache
