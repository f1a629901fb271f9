#include <burdock/limits/customer_limits.hpp>

#include <algorithm>

namespace burdock::limits {

CustomerLimits::CustomerLimits(Duration idle)
    : m_idle(idle)
{
}

void CustomerLimits::setEntryCount(u32 entries)
{
    m_entries = std::max<u32>(1, entries);
}

std::optional<Refusal> CustomerLimits::tryAdmit(std::string_view customer, const CustomerLimit &limit, TimePoint now)
{
    if (limit.requestsPerSecond <= 0) {
        return std::nullopt;
    }
    forgetIdle(now);
    const double rate = limit.requestsPerSecond / m_entries;
    const double wholeBurst = limit.burst > 0 ? limit.burst : limit.requestsPerSecond;
    const double burst = std::max(1.0, wholeBurst / m_entries);
    auto [it, isNew] = m_states.try_emplace(std::string(customer), State{TokenBucket(rate, burst), now});
    auto &state = it->second;
    state.lastSeen = now;
    if (!isNew) {
        state.bucket.setRate(rate, burst, now);
    }
    if (state.bucket.tryTake(1.0, now)) {
        return std::nullopt;
    }
    return Refusal{RefusalReason::CustomerLimit, state.bucket.timeUntil(1.0, now)};
}

std::size_t CustomerLimits::size() const
{
    return m_states.size();
}

void CustomerLimits::forgetIdle(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    std::erase_if(m_states, [&](const auto &entry) { return entry.second.lastSeen + m_idle < now; });
    m_nextSweep = now + m_idle;
}

} // namespace burdock::limits
