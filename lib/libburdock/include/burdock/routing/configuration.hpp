#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Which requests there are, who may send them, and which services answer them. */
namespace burdock::routing {

/** @brief What may be repeated of a request. */
enum class CallKind : u8 {
    Idempotent, ///< may run any number of times
    AtMostOnce, ///< may run at most once
    Stream, ///< answered by events; may run at most once unless the route is resumable
};

/** @brief The name of a kind in logs and metrics. */
[[nodiscard]] std::string_view toString(CallKind kind);

/** @brief One of the services that share a route's requests. */
struct Destination
{
    std::string service;
    u32 weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    CallKind kind = CallKind::AtMostOnce;
    Duration timeout{}; ///< longest time that a caller is kept waiting for the whole answer
    Duration target{}; ///< time to the answer, or to a stream's first event, that callers should see
    u32 priority = 0; ///< 0 is the most urgent
    u32 maxAttempts = 1; ///< endpoints that may begin one request
    bool isPublic = false; ///< needs no API key
    bool isPrompt = false; ///< carries prompts of a model
    bool isResumable = false; ///< a broken stream may go on at another endpoint
    std::vector<Destination> destinations;
};

/** @brief The model engines of a service. */
struct EngineSpec
{
    u32 slots = 0; ///< requests that one engine runs at once
    u64 cacheTokens = 0; ///< memory of one engine for running and kept prompts
    u32 maxEventRequests = 0; ///< calls for cache events that one engine holds at once
    std::vector<std::string> models;
};

/** @brief A store of kept cache. */
struct CacheStoreSpec
{
    std::string address;
    std::string zone;
    u64 cacheTokens = 0;
    u32 maxEventRequests = 0;
    bool isManaged = false; ///< drops nothing by itself
};

struct Service
{
    std::string name;
    u32 maxConnections = 0; ///< of one endpoint, from all callers together
    double coldRequestsPerSecond = 0; ///< requests that one cold endpoint bears
    std::optional<EngineSpec> engine;
    std::optional<CacheStoreSpec> cacheStore;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<u32> priority; ///< goes before the route's
    bool isIsolated = false; ///< shares no kept cache with others
};

/** @brief What a caller may send, and how long it may take. */
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
    CallerLimits limits;
};

} // namespace burdock::routing
