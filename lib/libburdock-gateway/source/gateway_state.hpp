#pragma once

#include <burdock/admission/answer_times.hpp>
#include <burdock/admission/client_memory.hpp>
#include <burdock/admission/connection_shedding.hpp>
#include <burdock/admission/stop_schedule.hpp>
#include <burdock/cache/fetch_cost_estimator.hpp>
#include <burdock/cache/part_retirement.hpp>
#include <burdock/cache/store_freshness.hpp>
#include <burdock/gateway/gateway.hpp>
#include <burdock/retry/crash_attribution.hpp>
#include <burdock/retry/retry_budget.hpp>
#include <burdock/routing/route_table.hpp>
#include <burdock/run/message_memory.hpp>
#include <burdock/run/stream_origins.hpp>
#include <burdock/weights/announced_weights.hpp>
#include <burdock/weights/served_versions.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace burdock::gateway {

/** @brief Events of a cache store to be forwarded to the other entries. */
struct OutgoingStoreEvents
{
    std::string store;
    CacheEvents events;
};

/** @brief Parts of a prompt that was forwarded to an engine. */
struct PlacedParts
{
    u64 endpoint = 0; ///< hash of the endpoint's id
    std::vector<std::pair<u64, u64>> parts; ///< hash and number of tokens
};

/** @brief Shared state of one gateway. Only used on the single thread of the gateway's context. */
struct GatewayState
{
    /**
     * @param name          name of this entry
     * @param responseBytes memory for responses that are read before they are forwarded
     * @param clientBytes   memory for the messages of callers' connections
     */
    GatewayState(std::string_view name, u64 responseBytes, u64 clientBytes);

    /** @brief Returns the retry budget of a service, which is created on first use. */
    [[nodiscard]] retry::RetryBudget &retryBudget(const std::string &service, const GatewaySettings &settings);

    /** @brief Sets the number of entries that share the limits which hold for all of them together. Zero is ignored. */
    void setEntryCount(u32 count);

    /** @brief Whether the configuration was confirmed recently enough to accept its API keys. */
    [[nodiscard]] bool areKeysCurrent(TimePoint now, const GatewaySettings &settings) const;

    /** @brief Returns the version of a model's weights that new requests should run on; zero if none was announced. */
    [[nodiscard]] u64 wantedVersion(std::string_view model) const;

    /** @brief Returns until when requests may start on a version of a model's weights; nothing if no newer one was announced. */
    [[nodiscard]] std::optional<TimePoint> weightExpiry(std::string_view model, u64 version, const GatewaySettings &settings) const;

    /** @brief Records the lowest versions that the known endpoints have of models with superseded weights. */
    void updateServedVersions();

    /** @brief Converts a time to ms on the endpoints' clock; nothing if that clock is unknown. */
    [[nodiscard]] std::optional<u64> endpointClockMs(TimePoint time) const;

    /** @brief Records a reading of the endpoints' clock that was taken before the given time. */
    void noteEndpointClock(u64 clockMs, TimePoint now);

    std::shared_ptr<const routing::RouteTable> routes; ///< null until a configuration was received; shared with active requests
    /** When the configuration was last known to be the newest: the start of the read that confirmed it. */
    TimePoint configurationAsOf{};
    endpoints::EndpointTable endpoints;
    cache::PartIndex parts;
    std::map<std::string, cache::StoreFreshness, std::less<>> storeFreshness; ///< by store address
    cache::PartRetirement retirement;
    cache::FetchCostEstimator fetchCosts;
    std::map<std::string, weights::AnnouncedWeights, std::less<>> weights; ///< by model
    weights::ServedVersions servedVersions;
    TimePoint weightsAsOf{}; ///< all weights that were announced before this time are known
    bool hasWeightList = false; ///< the list of announced weights was received
    /** Lower bound, in ms, of how far the endpoints' clock is ahead of this process's, so that deadlines on it are not too late. */
    std::optional<i64> endpointClockOffsetMs;
    std::map<std::string, retry::RetryBudget, std::less<>> budgets;
    retry::CrashAttribution crashes;
    admission::ConnectionShedding connectionShedding;
    run::StreamOrigins streamOrigins;
    run::MessageMemory responseMemory;
    admission::ClientMemory clientMemory;
    u64 bootId = 0; ///< different after each start of this process
    std::vector<std::string> entryNames; ///< of the registered entries
    u32 entryCount = 0; ///< zero while unknown
    std::vector<OutgoingStoreEvents> outgoingStoreEvents; ///< sent with the next message to the other entries
    std::vector<PlacedParts> outgoingPlacements; ///< sent with the next message to the other entries
    std::map<std::string, std::function<void(const CacheEvents &)>> storeListeners; ///< by store; called with events from other entries
    u32 activeRequests = 0;
    std::optional<TimePoint> endpointsKnownSince; ///< from when on no change of the endpoints was missed
    bool hasEvacuationList = false; ///< the list of evacuated zones was received
    bool isDraining = false;
    std::optional<admission::StopSchedule> stop; ///< set while draining
    admission::AnswerTimes answerTimes; ///< by route
};

} // namespace burdock::gateway
