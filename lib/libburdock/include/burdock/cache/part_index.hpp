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

/** @brief One part of a prompt; prompts that begin alike share their first parts. */
struct PromptPart
{
    std::string id;
    u64 tokens = 0;
};

/**
 * @brief Under which name kept parts are found; parts under different names are never mixed.
 *
 * Holds customers that share nothing and weights of different versions apart: both stand in the name itself.
 */
struct Salt
{
    std::string model;
    u64 version = 0;
    std::string customer; ///< empty for all customers that share

    /** @brief The name as it is sent; readable back by parseSalt(). */
    [[nodiscard]] std::string text() const;
};

/** @brief Reads what Salt::text() wrote; nothing for other texts. */
[[nodiscard]] std::optional<Salt> parseSalt(std::string_view text);

/** @brief Salt and id in one text; ids of different salts never share one. */
[[nodiscard]] std::string partKey(std::string_view salt, std::string_view id);

/** @brief One store of kept parts. */
struct PartStore
{
    std::string address;
    std::string zone;
    u64 tokens = 0; ///< capacity
};

/** @brief What becomes of a shared part at the engine that gets its prompt. */
enum class PartDisposition : u8 {
    InPlace, ///< believed to be in the engine's memory
    FromStore,
    FromEngine,
    Unknown, ///< read, as it is known to be kept nowhere
    Avoided, ///< read, as the store that keeps it is slow, or its news are old
    Retired, ///< read, as what is kept is not to be fetched any more
    Behind, ///< read, as a part before it is
};

[[nodiscard]] std::string_view toString(PartDisposition fate);

/** @brief Where an endpoint finds and leaves the parts of one prompt; one entry a part, empty for none. */
struct PartPlan
{
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    std::vector<PartDisposition> dispositions; ///< of the shared parts

    [[nodiscard]] bool hasFetches() const;
    [[nodiscard]] bool hasSaves() const;
};

/** @brief Parts of one salt in one store that can be freed. */
struct PartsToFree
{
    std::string store;
    std::vector<std::pair<std::string, std::string>> parts; ///< salt and id
};

/**
 * @brief Which store holds which part whole, as learnt from the stores' events. Not thread-safe.
 *
 * The place of a part is computed (weighted rendezvous hashing over the stores), so entries agree on it without talking.
 */
class PartIndex
{
public:
    /** @param saveAgainAfter time after which a save that no event confirmed is tried again */
    explicit PartIndex(Duration saveAgainAfter);

    void setStores(const std::vector<PartStore> &stores);
    [[nodiscard]] const std::vector<PartStore> &stores() const;

    void noteStored(std::string_view store, std::string_view salt, std::string_view id, u64 tokens);
    void noteDropped(std::string_view store, std::string_view salt, std::string_view id);

    /** @brief Forgets what a store holds: it restarted, or its events have a gap. */
    void forgetStore(std::string_view store);

    /** @brief What may be done with the parts of one prompt. */
    struct PlanRules
    {
        std::function<bool(std::string_view)> mayFetch; ///< by id of the part
        std::function<bool(std::string_view)> mayFetchFrom; ///< by address of the store
        std::function<bool(std::string_view)> maySaveTo; ///< by address of the store
        std::function<bool(std::size_t)> isResident; ///< whether the engine that gets the prompt has a part, by its place in the prompt
        std::function<std::string(std::size_t)>
            findEngine; ///< address of an engine that has a part in memory, by its place in the prompt; or empty
    };

    /**
     * @brief Plans fetches and saves of the shared parts of a prompt.
     * @param parts all parts in order; the last one belongs to the request alone and is left out
     */
    [[nodiscard]] PartPlan plan(std::string_view salt, const std::vector<PromptPart> &parts, const PlanRules &rules, TimePoint now);

    /** @brief Address of a store that holds a part whole, or empty. */
    [[nodiscard]] std::string_view findStore(std::string_view salt, const PromptPart &part) const;

    /** @brief Parts of a model in one store that may be freed, by version of the weights and id. */
    [[nodiscard]] PartsToFree partsToFree(std::string_view store, std::string_view model,
                                          const std::function<bool(u64, std::string_view)> &mayFree, std::size_t most) const;

    /** @brief Tokens known to be kept in a store. */
    [[nodiscard]] u64 storedTokens(std::string_view store) const;

private:
    struct Held
    {
        std::unordered_map<std::string, u64> parts; ///< by salt and id
        u64 tokens = 0;
    };

    [[nodiscard]] std::vector<const PartStore *> placesOf(const std::string &key) const;
    [[nodiscard]] const PartStore *holderOf(const std::string &key, u64 tokens, const PlanRules *rules) const;
    [[nodiscard]] PartDisposition whyRead(const std::string &key, u64 tokens, bool isFetchable) const;
    [[nodiscard]] const PartStore *placeFor(const std::string &key, u64 tokens, const PlanRules &rules, TimePoint now);
    void forgetOldSaves(TimePoint now);

    Duration m_saveAgainAfter;
    std::vector<PartStore> m_stores;
    std::map<std::string, Held, std::less<>> m_held;
    std::unordered_map<std::string, TimePoint> m_saving;
    TimePoint m_nextSweep{};
};

} // namespace burdock::cache
