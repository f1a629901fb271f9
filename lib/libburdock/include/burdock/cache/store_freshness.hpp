#pragma once

#include <burdock/types.hpp>

namespace burdock::cache {

/** @brief Times within which a store's contents may be relied on. */
struct StoreFreshnessPolicy
{
    /** Silence after which nothing is believed of the store any more. */
    Duration longestSilence = std::chrono::milliseconds(1500);
    /** Time after a restart in which nothing is saved there. Above the silence, and the time to the begin of a fetch. */
    Duration restAfterRestart = std::chrono::milliseconds(3000);
};

/** @brief What came of a stretch of events. */
enum class EventBatchResult : u8 {
    Applied, ///< follows on what was known
    Duplicate, ///< known already
    Gap, ///< does not follow: the list has to be read again
};

/**
 * @brief Whether what is known of one store of kept cache holds still. Not thread-safe.
 *
 * Guards against a fetch from a store that restarted: it shows as a prompt that runs on a part which is just being written there
 * again, while the entry that had it fetched believes it whole from before. An entry believes nothing of a store that it heard
 * nothing of for a short time, and after a restart nobody saves there for longer than that.
 */
class StoreFreshness
{
public:
    explicit StoreFreshness(const StoreFreshnessPolicy &policy);

    /** @brief Takes note that the whole list was read. */
    void noteListed(u64 epoch, u64 next, TimePoint now);

    /** @brief Judges events between two positions; what is Taken is to be laid over the list. */
    [[nodiscard]] EventBatchResult noteEvents(u64 epoch, u64 since, u64 next, TimePoint now);

    /** @brief Takes note that the store did not answer, or that events are missing. */
    void markOutdated();

    [[nodiscard]] bool isCurrent(TimePoint now) const;
    [[nodiscard]] bool maySave(TimePoint now) const;
    [[nodiscard]] u64 epoch() const;

    /** @brief Position up to which events are known. */
    [[nodiscard]] u64 next() const;

private:
    StoreFreshnessPolicy m_policy;
    bool m_isKnown = false;
    u64 m_epoch = 0;
    u64 m_next = 0;
    TimePoint m_heardAt{};
    TimePoint m_saveFrom{};
};

} // namespace burdock::cache
