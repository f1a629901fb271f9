#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Announced weight versions, their rollout to the replicas and the limit of concurrent loads. */
namespace burdock::weights {

/** @brief A replica that loads weights, as stored in the shared slots object. */
struct SlotHolder
{
    std::string endpoint;
    u64 renewals = 0; ///< number of renewals
};

/**
 * @brief Observes a slots object and decides whether this replica may take a slot. Not thread-safe.
 *
 * The slots are leases that do not need synchronized clocks: a slot expires once its renewal count has not changed for the lease time
 * on the observer's own clock. A holder that resumes after a suspension can load concurrently with its successor; this costs
 * bandwidth but is correct because loading is idempotent.
 */
class LoadSlots
{
public:
    /**
     * @param slots     number of replicas that may load concurrently
     * @param leaseTime time without renewal after which a holder loses its slot
     */
    LoadSlots(u32 slots, Duration leaseTime);

    /** @brief Records the current content of the slots object. */
    void observe(const std::vector<SlotHolder> &holders, TimePoint now);

    /**
     * @brief Returns the content to write by conditional update in order to take or renew a slot.
     * @return nothing if all slots are held by others
     */
    [[nodiscard]] std::optional<std::vector<SlotHolder>> claim(std::string_view self, TimePoint now) const;

    /**
     * @brief Returns the delay before the next poll while all slots are held.
     *
     * The delay grows with the time already waited, because a long wait means a long queue. This prevents the platform's read load from
     * growing with the size of a pool whose replicas poll one object, and delays a replica by about an eighth of its wait.
     */
    [[nodiscard]] static Duration pollDelay(Duration waited);

    /** @brief Returns the content to write in order to release the slot. */
    [[nodiscard]] std::vector<SlotHolder> release(std::string_view self) const;

private:
    struct Observation
    {
        u64 renewals = 0;
        TimePoint since{};
    };

    u32 m_slots;
    Duration m_leaseTime;
    std::vector<SlotHolder> m_holders;
    std::map<std::string, Observation, std::less<>> m_observations; ///< by endpoint
};

} // namespace burdock::weights
