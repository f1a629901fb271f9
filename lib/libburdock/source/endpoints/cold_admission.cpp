#include <burdock/endpoints/cold_admission.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/membership/turn_share.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

/** A span of one period touches two of them. The rest of the limit covers a quarter of the entries that the others do not know yet. */
constexpr double SharePerPeriod = 0.4;

} // namespace

void ColdAdmission::setLimit(const ColdLimit &limit)
{
    m_limit = limit;
}

void ColdAdmission::setEntries(std::string_view own, const std::vector<std::string> &entries)
{
    m_own = hash::hash64(own);
    m_others.clear();
    m_isListed = false;
    for (const auto &entry : entries) {
        if (entry == own) {
            m_isListed = true;
        } else {
            m_others.push_back(hash::hash64(entry));
        }
    }
}

bool ColdAdmission::tryTake(ColdQuota &quota, u64 endpoint, double perSecond, Duration timeOfDay) const
{
    if (!m_isListed) {
        return false;
    }
    // The offset keeps the periods of all endpoints from starting at the same moment.
    const auto offset = static_cast<i64>(endpoint % static_cast<u64>(Period.count()));
    const auto period = static_cast<u64>((timeOfDay.count() + offset) / Period.count());
    if (quota.period != period) {
        const u64 seed = hash::mix64(endpoint + hash::mix64(period));
        quota = {period, membership::turnShare(seed, m_own, m_others, requestsPerPeriod(perSecond))};
    }
    if (quota.remaining == 0) {
        return false;
    }
    --quota.remaining;
    return true;
}

u32 ColdAdmission::requestsPerPeriod(double perSecond) const
{
    const double limit = perSecond * m_limit.factor + m_limit.slack;
    return std::max<u32>(1, static_cast<u32>(limit * SharePerPeriod));
}

} // namespace burdock::endpoints
