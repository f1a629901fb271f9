#pragma once

#include <burdock/types.hpp>

namespace burdock::cache {

/** @brief Time limits for relying on the local view of a store. */
struct StoreFreshnessPolicy
{
    /** Time without an event or listing after which the local view is no longer used. */
    Duration maxSilence = std::chrono::milliseconds(1500);
    /** Time after a store restart without saves to it; must exceed maxSilence plus the time until a fetch begins. */
    Duration saveDelayAfterRestart = std::chrono::milliseconds(3000);
};

/** @brief Result of recording a batch of store events. */
enum class EventBatchResult : u8 {
    Applied, ///< continues the known events
    Duplicate, ///< contains only known events
    Gap, ///< does not continue the known events; the store's listing must be read again
};

/**
 * @brief Tracks whether the local view of one cache store is still current. Not thread-safe.
 *
 * Prevents fetches based on the contents of a store before its restart: a prompt would run on a part that is being written again,
 * while the entry that requested the fetch still considers the part complete. An entry therefore stops using its view after a short
 * silence of the store, and after a store restart no entry saves to it for longer than that.
 */
class StoreFreshness
{
public:
    explicit StoreFreshness(const StoreFreshnessPolicy &policy);

    /** @brief Records that the full listing of the store was read; `next` is the event position that it includes. */
    void noteListed(u64 epoch, u64 next, TimePoint now);

    /** @brief Records events between two positions; if the result is Applied, the caller must apply them to the listing. */
    [[nodiscard]] EventBatchResult noteEvents(u64 epoch, u64 since, u64 next, TimePoint now);

    /** @brief Marks the view as outdated because the store did not answer or events are missing. */
    void markOutdated();

    [[nodiscard]] bool isCurrent(TimePoint now) const;
    [[nodiscard]] bool maySave(TimePoint now) const;
    [[nodiscard]] u64 epoch() const;

    /** @brief Returns the position up to which events are known. */
    [[nodiscard]] u64 next() const;

private:
    StoreFreshnessPolicy m_policy;
    bool m_isCurrent = false;
    u64 m_epoch = 0;
    u64 m_next = 0;
    TimePoint m_lastContactAt{};
    TimePoint m_savesAllowedAt{};
};

} // namespace burdock::cache
