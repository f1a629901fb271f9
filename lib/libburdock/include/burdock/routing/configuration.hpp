#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Routes from requests to services, and the customers that may use them. */
namespace burdock::routing {

/** @brief How a request is answered and whether it may be repeated. */
enum class CallKind : u8 {
    Idempotent, ///< may run any number of times, so it may be retried
    AtMostOnce, ///< may run at most once
    Stream, ///< answered by a stream of events; may run at most once unless the route is resumable
};

/** @brief Name of a kind in logs and metrics. */
[[nodiscard]] std::string_view toString(CallKind kind);

/** @brief A service that receives a share of a route's requests. */
struct Destination
{
    std::string service;
    u32 weight = 1; ///< relative to the sum of all weights of the route; zero gets no requests
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    CallKind kind = CallKind::AtMostOnce;
    Duration timeout{}; ///< maximum time to the complete answer
    Duration target{}; ///< target time to the answer, or to the first event of a stream
    u32 priority = 0; ///< 0 is the most urgent
    u32 maxAttempts = 1; ///< number of endpoints that may start one request
    bool isPublic = false; ///< requests need no API key
    bool isPrompt = false; ///< requests are prompts for a model
    bool isResumable = false; ///< a broken stream may be continued by another endpoint
    std::vector<Destination> destinations;
};

/** @brief Properties of the model engines of a service. */
struct EngineSpec
{
    u32 slots = 0; ///< maximum number of concurrent requests of one engine
    u64 cacheTokens = 0; ///< memory of one engine in tokens, for running and cached prompts
    u32 maxEventRequests = 0; ///< maximum number of concurrent requests for cache events at one engine
    double tokenBytes = 0; ///< size of one cached token; zero if unknown
    std::vector<std::string> models;
};

/** @brief A store of cached prompt parts. */
struct CacheStoreSpec
{
    std::string address;
    std::string zone;
    u64 cacheTokens = 0;
    u32 maxEventRequests = 0;
    bool isManaged = false; ///< the store does not evict anything on its own
    double linkMegabitsPerSecond = 0; ///< bandwidth of its link, over which transfers run one after another; zero if unknown
    Duration transferDelay{}; ///< constant part of each transfer
};

struct Service
{
    std::string name;
    u32 maxConnections = 0; ///< per endpoint, for all its clients together
    double coldRequestsPerSecond = 0; ///< maximum request rate of one cold endpoint, over all entries
    std::optional<EngineSpec> engine;
    std::optional<CacheStoreSpec> cacheStore;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<u32> priority; ///< overrides the priority of the route
    bool isIsolated = false; ///< shares no cached prompt parts with other customers
};

/** @brief Limits on the size and duration of requests received from callers. */
struct CallerLimits
{
    u32 headerBytes = 16 * 1024;
    u64 bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct Configuration
{
    u64 version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    bool needsApiKeys = false; ///< on all routes that aren't public, also if no customer is listed
    CallerLimits limits;
};

} // namespace burdock::routing
