#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Limits how many replicas load weights at once. */
namespace burdock::weights {

/** @brief One replica that loads weights, as it stands in the shared slots object. */
struct SlotHolder
{
    std::string endpoint;
    u64 renewals = 0; ///< rises with each renewal
};

/**
 * @brief Watches one slots object and decides whether this replica may take a slot. Not thread-safe.
 *
 * Leases without synchronized clocks: a slot counts as lapsed once its beat has stood still for the lease time on the
 * observer's own clock. A holder that was paused and wakes may load beside its successor; that costs bandwidth, and breaks no
 * promise, because loading is idempotent.
 */
class LoadSlots
{
public:
    /**
     * @param slots     replicas that may load at once
     * @param leaseTime a holder whose beat stands still for so long has lost its slot
     */
    LoadSlots(u32 slots, Duration leaseTime);

    /** @brief Takes note of the object's present content. */
    void observe(const std::vector<SlotHolder> &holders, TimePoint now);

    /**
     * @brief The content to write, by conditional update, to take or renew a slot.
     * @return nothing if all slots are held by others
     */
    [[nodiscard]] std::optional<std::vector<SlotHolder>> claim(std::string_view self, TimePoint now) const;

    /**
     * @brief How long to wait before looking again while all slots are held.
     *
     * Guards against many replicas that poll one object: it shows as the platform's reads growing with the pool. A pause that grows
     * with the time already waited holds, since a long wait means a long queue; it delays a replica by an eighth of its wait.
     */
    [[nodiscard]] static Duration pollDelay(Duration waited);

    /** @brief The content to write to give the slot back. */
    [[nodiscard]] std::vector<SlotHolder> release(std::string_view self) const;

private:
    struct Seen
    {
        u64 renewals = 0;
        TimePoint since{};
    };

    u32 m_slots;
    Duration m_leaseTime;
    std::vector<SlotHolder> m_holders;
    std::map<std::string, Seen, std::less<>> m_seen;
};

} // namespace burdock::weights
