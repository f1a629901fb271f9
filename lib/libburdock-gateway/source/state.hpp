#pragma once

#include <burdock/cache/fetch_cost_estimator.hpp>
#include <burdock/cache/part_retirement.hpp>
#include <burdock/cache/store_freshness.hpp>
#include <burdock/gateway/gateway.hpp>
#include <burdock/retry/quarantine.hpp>
#include <burdock/retry/retry_budget.hpp>
#include <burdock/routing/route_table.hpp>
#include <burdock/weights/announced_weights.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace burdock::gateway {

/** @brief Changes at a store of kept cache that the other entries are told of. */
struct ToldStoreEvents
{
    std::string store;
    CacheEvents events;
};

/** @brief Parts of a prompt that was sent to an engine. */
struct PlacedParts
{
    u64 endpoint = 0;
    std::vector<std::pair<u64, u64>> parts; ///< hash and tokens
};

/** @brief What one gateway knows; read and changed on the one thread of its context. */
struct State
{
    State();

    /** @brief The retry budget of a service. */
    [[nodiscard]] retry::RetryBudget &budget(const std::string &service, const GatewaySettings &settings);

    /** @brief Sets among how many entries sums over all of them are shared. */
    void setEntryCount(u32 count);

    /** @brief Whether keys of the configuration may be relied on. */
    [[nodiscard]] bool keysAreCurrent(TimePoint now, const GatewaySettings &settings) const;

    /** @brief The weights that new requests of a model should get; zero if none were named. */
    [[nodiscard]] u64 wantedVersion(std::string_view model) const;

    /** @brief Until when requests may begin on a version of a model's weights; nothing if it is the newest. */
    [[nodiscard]] std::optional<TimePoint> weightExpiry(std::string_view model, u64 version, const GatewaySettings &settings) const;

    /** @brief A time on the endpoints' clock, if that is known. */
    [[nodiscard]] std::optional<u64> endpointClockMs(TimePoint time) const;

    /** @brief Takes note of what the endpoints' clock showed before the given time. */
    void noteEndpointClock(u64 clockMs, TimePoint now);

    std::shared_ptr<const routing::RouteTable> routes; ///< null until a configuration came; shared with requests under way
    /** When the configuration was last known to be the newest: the start of the read that showed it. */
    TimePoint configurationAsOf{};
    endpoints::EndpointTable endpoints;
    cache::PartIndex parts;
    std::map<std::string, cache::StoreFreshness, std::less<>> storeFreshness; ///< by address of the store
    cache::PartRetirement retirement;
    cache::FetchCostEstimator fetchCosts;
    std::map<std::string, weights::AnnouncedWeights, std::less<>> weights;
    TimePoint weightsAsOf{}; ///< all weights that were named before are known
    bool hasWeights = false; ///< the list of named weights came
    /** What the endpoints' clock is ahead of this process's, in ms; at most, so that times told by it are not too late. */
    std::optional<i64> endpointClockAheadMs;
    std::map<std::string, retry::RetryBudget, std::less<>> budgets;
    retry::Quarantine quarantine;
    std::vector<std::string> entries; ///< names of the entries that registered
    u32 entryCount = 0; ///< zero: not known yet
    std::vector<ToldStoreEvents> storeEventsToTell; ///< with the next message to the other entries
    std::vector<PlacedParts> placementsToTell; ///< with the next message to the other entries
    std::map<std::string, std::function<void(const CacheEvents &)>> storeListeners; ///< by store, for what the others tell
    u32 underWay = 0; ///< requests
    bool hasEndpoints = false; ///< a list of endpoints came
    bool hasEvacuations = false; ///< the list of zones that are out came
    bool isDraining = false;
    TimePoint lastCallUntil{}; ///< while draining: requests that come later may not end in time
};

} // namespace burdock::gateway
