#pragma once

#include <burdock/cache/part_index.hpp>
#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/gateway/platform_store.hpp>
#include <burdock/rollout/rollout_order.hpp>
#include <burdock/routing/configuration.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/weights/leader_lease.hpp>

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

/** @brief HTTP gateway: one process accepts callers' requests, forwards them to endpoints and follows the platform's object store. */
namespace burdock::gateway {

/** @brief Attributes of a caller's request, read from its headers. */
struct RequestMetadata
{
    std::string attemptId; ///< identifies this attempt of the caller; empty if the header is missing
    std::optional<Duration> timeout; ///< how long the caller waits, counted from when it sent the request
    std::string apiKey;
    std::string model;
    u64 promptTokens = 0;
    u64 outputTokens = 0; ///< upper bound
    std::optional<u64> expectedOutputTokens; ///< the caller's estimate
    std::vector<cache::PromptPart> parts;
    std::string lastEventId; ///< last event that the caller received; a resumed stream continues after it
    std::string resumedAttemptId; ///< attempt of the caller that received the first event of a resumed stream; empty for a new one
};

/** @brief What the gateway adds to a caller's request when it forwards it to an endpoint. */
struct ForwardingOptions
{
    std::string endpointId; ///< any other endpoint at this address must reject the request
    Duration timeLeft{}; ///< until the caller's deadline
    std::string customer; ///< empty on routes that need no API key
    bool isPrompt = false;
    u32 priority = 0; ///< 0 is the most urgent
    std::string salt; ///< cache namespace of the prompt's parts
    std::optional<u64> weightVersion; ///< weights that the salt belongs to; an engine with other weights must reject the request
    cache::PartPlan parts;
    Duration fetchTimeout{}; ///< how long cache fetches may take
    std::optional<u64> fetchDeadlineMs; ///< in ms on the endpoints' clock; a fetch that ends later is discarded
    std::string lastEventId; ///< last event that the caller received; empty for a new stream
};

/** @brief Attributes of an endpoint's response, read from its head. */
struct ResponseMetadata
{
    std::string attemptId;
    std::string endpointId;
    bool hasSignature = false; ///< the endpoint's signature header is present; the signature isn't verified
    bool isDeclined = false; ///< the endpoint has not run the request and will not run it
    bool isWrongEndpoint = false; ///< declined because endpoint or weights are not those that the request names
    std::optional<u64> weightVersion;
    std::optional<Duration> remainingColdTime; ///< remaining warm-up time of the endpoint
    std::optional<double> requestsPerSecond; ///< limit that the endpoint names for all entries together; finite and not negative
    bool hasUnreadableLimit = false; ///< it names a limit that is no such number, or several
    endpoints::Notice notice; ///< what the endpoint says about further requests
    bool hasUnreadableRest = false; ///< it asks for rest, but not for a time, or for several
    Duration keepAlive{}; ///< how long the endpoint keeps an idle connection open; zero if unspecified
};

/** @brief The version of a model's weights that the platform announces as the one to serve. */
struct AnnouncedWeights
{
    std::string model;
    u64 version = 0;
};

/** @brief Status of an engine as reported by the engine. */
struct EngineStatus
{
    bool isBusy = false; ///< a weight order is in progress
    u64 acceptedOrders = 0; ///< number of weight orders accepted so far
    u64 running = 0; ///< requests in progress
    std::map<std::string, u64, std::less<>> weightVersions; ///< by model
};

/** @brief An order to an engine to load a version of a model's weights. */
struct WeightOrder
{
    std::string model;
    u64 version = 0;
    std::string holder; ///< VM that holds the lease
    u64 token = 0; ///< fencing token of the lease
    u64 acceptedOrders = 0; ///< the engine rejects the order unless it has accepted exactly this many orders
    std::string endpointId;
};

/** @brief Result of a weight order. */
enum class WeightOrderResult : u8 {
    Accepted,
    AlreadyLoaded,
    Rejected,
    Unknown,
};

/** @brief A change to the contents of a cache store. */
struct CacheEvent
{
    bool isStored = false; ///< false if the part was removed
    std::string salt;
    std::string part;
    u64 tokens = 0;
};

/** @brief Changes to a cache store's contents since a position in its event log. */
struct CacheEvents
{
    u64 epoch = 0; ///< changes when the store restarts
    u64 since = 0; ///< position from which the events were requested
    u64 next = 0; ///< position for the next request
    bool hasGap = false; ///< events before these were lost
    std::optional<u64> clockMs; ///< time in ms on the clock that the store and the endpoints share
    std::vector<CacheEvent> events;
};

/**
 * @brief Encodes and decodes the messages of callers, endpoints, cache stores and the platform: header names, paths and bodies.
 *
 * Contains no decisions. Stateless and thread-safe. Functions that return an optional return nothing if the input is malformed.
 */
class ProtocolCodec
{
public:
    virtual ~ProtocolCodec() = default;

    [[nodiscard]] virtual RequestMetadata readRequest(const runtime::http::Headers &headers) const = 0;

    /** @brief Returns the request as it is forwarded to the endpoint. */
    [[nodiscard]] virtual runtime::http::Request requestForEndpoint(const runtime::http::Request &request,
                                                                    const ForwardingOptions &options) const = 0;

    [[nodiscard]] virtual ResponseMetadata readResponse(const runtime::http::Response &head) const = 0;

    /** @brief Returns the head of an endpoint's response as it is sent to the caller, without hop-by-hop headers. */
    [[nodiscard]] virtual runtime::http::Response responseForCaller(const runtime::http::Response &head) const = 0;

    /** @brief Returns an error response by the gateway itself to the request with this attempt id. */
    [[nodiscard]] virtual runtime::http::Response errorResponse(u16 status, std::string_view attemptId, std::string_view reason,
                                                                Duration retryAfter) const = 0;

    [[nodiscard]] virtual std::string_view readinessPath() const = 0;

    [[nodiscard]] virtual std::optional<routing::Configuration> readConfiguration(const boost::json::value &spec) const = 0;
    [[nodiscard]] virtual std::optional<endpoints::Registration> readRegistration(std::string_view id,
                                                                                  const boost::json::value &spec) const = 0;
    [[nodiscard]] virtual std::optional<AnnouncedWeights> readAnnouncedWeights(const boost::json::value &spec) const = 0;

    /** @brief Reads an order to move a service to another software version. */
    [[nodiscard]] virtual std::optional<rollout::OrderRecord> readRolloutOrder(const StoredObject &object) const = 0;
    [[nodiscard]] virtual boost::json::value rolloutStatus(rollout::OrderState state, std::string_view target) const = 0;

    [[nodiscard]] virtual runtime::http::Request engineStatusRequest() const = 0;
    [[nodiscard]] virtual std::optional<EngineStatus> readEngineStatus(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request orderRequest(const WeightOrder &order) const = 0;
    [[nodiscard]] virtual WeightOrderResult readOrderResult(u16 status) const = 0;

    [[nodiscard]] virtual runtime::http::Request cacheEventsRequest(u64 since, Duration wait) const = 0;
    [[nodiscard]] virtual std::optional<CacheEvents> readCacheEvents(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request cacheListRequest() const = 0;
    [[nodiscard]] virtual std::optional<CacheEvents> readCacheList(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request cacheFreeRequest(const cache::PartsToFree &parts, u64 epoch) const = 0;
};

} // namespace burdock::gateway
