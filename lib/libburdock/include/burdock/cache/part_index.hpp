#pragma once

#include <burdock/types.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdock::cache {

/** @brief One part of a prompt; prompts with a common prefix share their first parts. */
struct PromptPart
{
    std::string id;
    u64 tokens = 0;
};

/**
 * @brief Namespace of stored parts; parts in different namespaces never share a key.
 *
 * It contains the model, the weight version and, for customers that do not share parts, the customer, so that their parts stay separate.
 */
struct Salt
{
    std::string model;
    u64 version = 0;
    std::string customer; ///< empty for customers that share parts

    /** @brief Returns the salt as sent on the wire; parseSalt() reads it back. */
    [[nodiscard]] std::string text() const;
};

/** @brief Parses the result of Salt::text(); returns nothing for any other text. */
[[nodiscard]] std::optional<Salt> parseSalt(std::string_view text);

/** @brief Combines salt and part id to a key; ids under different salts never share a key. */
[[nodiscard]] std::string partKey(std::string_view salt, std::string_view id);

/** @brief A store of prompt parts. */
struct PartStore
{
    std::string address;
    std::string zone;
    u64 tokens = 0; ///< capacity in tokens
    double tokensPerMs = 0; ///< bandwidth of its link to engines in the same zone; zero if unknown
    Duration transferDelay{}; ///< constant part of each transfer
};

/** @brief How the engine that receives a prompt obtains one of its shared parts. */
enum class PartDisposition : u8 {
    Resident, ///< estimated to be in the engine's memory
    FromStore,
    FromEngine,
    NotStored, ///< prefilled because no store is known to have the complete part and no other engine was found that has it
    StoreAvoided, ///< prefilled because the store that has it is slow or the local view of the store is outdated
    Retired, ///< prefilled because the stored copy must not be fetched any more
    PrefixMissing, ///< prefilled because an earlier part is prefilled
};

[[nodiscard]] std::string_view toString(PartDisposition disposition);

/** @brief Addresses from which an endpoint fetches and to which it saves the parts of a prompt, per part; empty for none. */
struct PartPlan
{
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    std::vector<PartDisposition> dispositions; ///< one for each shared part

    [[nodiscard]] bool hasFetches() const;
    [[nodiscard]] bool hasSaves() const;
};

/** @brief Parts in one store that can be freed. */
struct PartsToFree
{
    std::string store;
    std::vector<std::pair<std::string, std::string>> parts; ///< pairs of salt and part id
};

/**
 * @brief Index of the complete parts in each store, built from the stores' events. Not thread-safe.
 *
 * The target store of a part is chosen by weighted rendezvous hashing, so that entries agree on it without communicating.
 */
class PartIndex
{
public:
    /** @param saveRetryDelay time after which a save that no event confirmed is retried */
    explicit PartIndex(Duration saveRetryDelay);

    void setStores(const std::vector<PartStore> &stores);
    [[nodiscard]] const std::vector<PartStore> &stores() const;

    void noteStored(std::string_view store, std::string_view salt, std::string_view id, u64 tokens);
    void noteDropped(std::string_view store, std::string_view salt, std::string_view id);

    /** @brief Removes all parts of a store from the index, after the store restarted or its events had a gap. */
    void forgetStore(std::string_view store);

    /** @brief Constraints and lookups for planning the parts of one prompt. */
    struct PlanRules
    {
        std::function<bool(std::string_view)> mayFetch; ///< takes the id of the part
        std::function<bool(std::string_view)> mayFetchFrom; ///< takes the address of the store
        std::function<bool(std::string_view)> maySaveTo; ///< takes the address of the store
        std::function<bool(std::size_t)> isResident; ///< whether the receiving engine holds a part; takes the index of the part
        std::function<std::string(std::size_t)>
            findEngine; ///< returns the address of an engine that holds a part in memory, or empty; takes the index of the part
    };

    /**
     * @brief Plans fetches and saves of the shared parts of a prompt.
     * @param parts all parts in order; the last one is specific to the request and is not planned
     */
    [[nodiscard]] PartPlan plan(std::string_view salt, const std::vector<PromptPart> &parts, const PlanRules &rules, TimePoint now);

    /** @brief Returns a store that holds the complete part; null if none does. */
    [[nodiscard]] const PartStore *findStore(std::string_view salt, const PromptPart &part) const;

    /**
     * @brief Returns parts of a model in one store that may be freed.
     * @param mayFree  takes the weight version and the id of the part
     * @param maxParts maximum number of parts returned
     */
    [[nodiscard]] PartsToFree partsToFree(std::string_view store, std::string_view model,
                                          const std::function<bool(u64, std::string_view)> &mayFree, std::size_t maxParts) const;

    /** @brief Returns the number of tokens known to be stored in a store. */
    [[nodiscard]] u64 storedTokens(std::string_view store) const;

private:
    struct StoreContents
    {
        std::unordered_map<std::string, u64> parts; ///< token counts by partKey()
        u64 tokens = 0;
    };

    [[nodiscard]] std::vector<const PartStore *> rankedStores(const std::string &key) const;
    [[nodiscard]] const PartStore *findHolder(const std::string &key, u64 tokens, const PlanRules *rules) const;
    [[nodiscard]] PartDisposition prefillReason(const std::string &key, u64 tokens, bool hasReachableHolder) const;
    [[nodiscard]] const PartStore *chooseSaveTarget(const std::string &key, u64 tokens, const PlanRules &rules, TimePoint now);
    void expirePendingSaves(TimePoint now);

    Duration m_saveRetryDelay;
    std::vector<PartStore> m_stores;
    std::map<std::string, StoreContents, std::less<>> m_contents; ///< by address of the store
    std::unordered_map<std::string, TimePoint> m_pendingSaves; ///< start times by partKey()
    TimePoint m_nextSweep{};
};

} // namespace burdock::cache
