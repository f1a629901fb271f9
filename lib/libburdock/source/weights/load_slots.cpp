#include <burdock/weights/load_slots.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

constexpr u32 PollDelayDivisor = 8;
constexpr Duration MinPollDelay = std::chrono::milliseconds(200);
constexpr Duration MaxPollDelay = std::chrono::seconds(5);

} // namespace

LoadSlots::LoadSlots(u32 slots, Duration leaseTime)
    : m_slots(slots)
    , m_leaseTime(leaseTime)
{
}

void LoadSlots::observe(const std::vector<SlotHolder> &holders, TimePoint now)
{
    std::map<std::string, Observation, std::less<>> observations;
    for (const auto &holder : holders) {
        const auto previous = m_observations.find(holder.endpoint);
        const bool isUnchanged = previous != m_observations.end() && previous->second.renewals == holder.renewals;
        observations[holder.endpoint] = {holder.renewals, isUnchanged ? previous->second.since : now};
    }
    m_observations = std::move(observations);
    m_holders = holders;
}

std::optional<std::vector<SlotHolder>> LoadSlots::claim(std::string_view self, TimePoint now) const
{
    std::vector<SlotHolder> next;
    u64 ownRenewals = 0;
    for (const auto &holder : m_holders) {
        if (holder.endpoint == self) {
            ownRenewals = holder.renewals;
            continue;
        }
        if (now - m_observations.at(holder.endpoint).since < m_leaseTime) {
            next.push_back(holder);
        }
    }
    if (next.size() >= m_slots) {
        return std::nullopt;
    }
    next.push_back({std::string(self), ownRenewals + 1});
    return next;
}

Duration LoadSlots::pollDelay(Duration waited)
{
    return std::clamp(waited / PollDelayDivisor, MinPollDelay, MaxPollDelay);
}

std::vector<SlotHolder> LoadSlots::release(std::string_view self) const
{
    auto next = m_holders;
    std::erase_if(next, [self](const SlotHolder &holder) { return holder.endpoint == self; });
    return next;
}

} // namespace burdock::weights
