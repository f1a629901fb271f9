#include <burdock/limits/customer_limits.hpp>

#include <algorithm>

namespace burdock::limits {

CustomerLimits::CustomerLimits(Duration idleTimeout)
    : m_idleTimeout(idleTimeout)
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
    removeIdle(now);
    const double rate = limit.requestsPerSecond / m_entries;
    const double totalBurst = limit.burst > 0 ? limit.burst : limit.requestsPerSecond;
    const double burst = std::max(1.0, totalBurst / m_entries);
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

void CustomerLimits::removeIdle(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    std::erase_if(m_states, [&](const auto &entry) { return entry.second.lastSeen + m_idleTimeout < now; });
    m_nextSweep = now + m_idleTimeout;
}

} // namespace burdock::limits
