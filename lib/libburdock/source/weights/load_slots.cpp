#include <burdock/weights/load_slots.hpp>

#include <algorithm>

namespace burdock::weights {

namespace {

constexpr u32 WaitedForEachPause = 8;
constexpr Duration ShortestPause = std::chrono::milliseconds(200);
constexpr Duration LongestPause = std::chrono::seconds(5);

} // namespace

LoadSlots::LoadSlots(u32 slots, Duration leaseTime)
    : m_slots(slots)
    , m_leaseTime(leaseTime)
{
}

void LoadSlots::observe(const std::vector<SlotHolder> &holders, TimePoint now)
{
    std::map<std::string, Seen, std::less<>> seen;
    for (const auto &holder : holders) {
        const auto known = m_seen.find(holder.endpoint);
        const bool stoodStill = known != m_seen.end() && known->second.renewals == holder.renewals;
        seen[holder.endpoint] = {holder.renewals, stoodStill ? known->second.since : now};
    }
    m_seen = std::move(seen);
    m_holders = holders;
}

std::optional<std::vector<SlotHolder>> LoadSlots::claim(std::string_view self, TimePoint now) const
{
    std::vector<SlotHolder> next;
    u64 ownBeat = 0;
    for (const auto &holder : m_holders) {
        if (holder.endpoint == self) {
            ownBeat = holder.renewals;
            continue;
        }
        if (now - m_seen.at(holder.endpoint).since < m_leaseTime) {
            next.push_back(holder);
        }
    }
    if (next.size() >= m_slots) {
        return std::nullopt;
    }
    next.push_back({std::string(self), ownBeat + 1});
    return next;
}

Duration LoadSlots::pollDelay(Duration waited)
{
    return std::clamp(waited / WaitedForEachPause, ShortestPause, LongestPause);
}

std::vector<SlotHolder> LoadSlots::release(std::string_view self) const
{
    auto next = m_holders;
    std::erase_if(next, [self](const SlotHolder &holder) { return holder.endpoint == self; });
    return next;
}

} // namespace burdock::weights
