#pragma once

#include <burdock/cache/part_index.hpp>
#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/routing/configuration.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/weights/leader_lease.hpp>

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

/** @brief Serves callers straight from the entry: one process speaks to callers, endpoints and the platform. */
namespace burdock::gateway {

/** @brief What a request says of itself. */
struct CallFacts
{
    std::string attemptId; ///< of this attempt of the caller; empty if it has none
    std::optional<Duration> patience; ///< how long the caller waits, from when it sent the request
    std::string apiKey;
    std::string model;
    u64 promptTokens = 0;
    u64 outputTokens = 0; ///< at most
    std::optional<u64> expectedOutputTokens; ///< the caller's guess
    std::vector<cache::PromptPart> parts;
    std::string lastEventId; ///< where a stream goes on
};

/** @brief What the gateway tells an endpoint beside the caller's own words. */
struct Instructions
{
    std::string endpointId; ///< another endpoint at this address must not run the request
    Duration timeLeft{};
    std::string customer; ///< empty on routes that need no key
    bool isPrompt = false;
    u32 priority = 0; ///< of the request, 0 is the most urgent
    std::string salt;
    std::optional<u64> weightVersion; ///< weights that the salt stands for; others must not run the request
    cache::PartPlan parts;
    Duration fetchPatience{}; ///< how long fetches may last
    std::optional<u64> fetchUntilMs; ///< on the endpoints' clock; fetches that last longer are thrown away
    std::string resumeAfter; ///< last event that the caller has; empty for a new stream
};

/** @brief What the head of an endpoint's answer says. */
struct AnswerFacts
{
    std::string attemptId;
    std::string endpointId;
    bool isSealed = false; ///< bears the endpoint's signature
    bool isDeclined = false; ///< the request was not run and never will be
    bool isWrongEndpoint = false; ///< declined by another endpoint or other weights than were named
    std::optional<u64> weightVersion;
    std::optional<Duration> coldLeft;
    Duration keepAlive{}; ///< how long the endpoint keeps an idle connection; zero if it doesn't say
};

/** @brief Newly named weights of a model. */
struct AnnouncedWeights
{
    std::string model;
    u64 version = 0;
};

/** @brief State of an engine, as it reports it. */
struct EngineReport
{
    bool isBusy = false; ///< an order is being carried out
    u64 ordersTaken = 0;
    u64 running = 0; ///< requests
    std::map<std::string, u64, std::less<>> weightVersions;
};

/** @brief An order to load weights. */
struct WeightOrder
{
    std::string model;
    u64 version = 0;
    std::string holder;
    u64 token = 0;
    u64 ordersTaken = 0; ///< the engine must still have taken just so many
    std::string endpointId;
};

/** @brief What came of an order. */
enum class OrderAnswer : u8 {
    Taken,
    AlreadyHolds,
    Refused,
    Unknown,
};

/** @brief A change of what a store of kept cache holds. */
struct CacheEvent
{
    bool isStored = false; ///< else dropped
    std::string salt;
    std::string part;
    u64 tokens = 0;
};

/** @brief Changes of a store of kept cache since a position. */
struct CacheEvents
{
    u64 epoch = 0; ///< changes when the store restarts
    u64 since = 0; ///< position of the call
    u64 next = 0; ///< position for the next call
    bool hasGap = false;
    std::optional<u64> clockMs; ///< of the store and the endpoints
    std::vector<CacheEvent> events;
};

/**
 * @brief How the systems around speak: names of headers and calls, forms of bodies.
 *
 * Translates and decides nothing. Stateless and thread-safe.
 */
class Dialect
{
public:
    virtual ~Dialect() = default;

    [[nodiscard]] virtual CallFacts readCall(const runtime::http::Headers &headers) const = 0;

    /** @brief The request as the endpoint gets it. */
    [[nodiscard]] virtual runtime::http::Request forEndpoint(const runtime::http::Request &request, const Instructions &told) const = 0;

    [[nodiscard]] virtual AnswerFacts readAnswer(const runtime::http::Response &head) const = 0;

    /** @brief The head of an endpoint's answer as the caller gets it, without what concerns one connection only. */
    [[nodiscard]] virtual runtime::http::Response forCaller(const runtime::http::Response &head) const = 0;

    /** @brief An answer of the gateway's own to a request with this attempt id. */
    [[nodiscard]] virtual runtime::http::Response ownAnswer(u16 status, std::string_view attemptId, std::string_view reason,
                                                            Duration retryAfter) const = 0;

    [[nodiscard]] virtual std::string_view readinessPath() const = 0;

    [[nodiscard]] virtual std::optional<routing::Configuration> readConfiguration(const boost::json::value &spec) const = 0;
    [[nodiscard]] virtual std::optional<endpoints::Registration> readRegistration(std::string_view id,
                                                                                  const boost::json::value &spec) const = 0;
    [[nodiscard]] virtual std::optional<AnnouncedWeights> readAnnouncedWeights(const boost::json::value &spec) const = 0;

    [[nodiscard]] virtual runtime::http::Request reportRequest() const = 0;
    [[nodiscard]] virtual std::optional<EngineReport> readReport(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request orderRequest(const WeightOrder &order) const = 0;
    [[nodiscard]] virtual OrderAnswer readOrderAnswer(u16 status) const = 0;

    [[nodiscard]] virtual runtime::http::Request cacheEventsRequest(u64 since, Duration wait) const = 0;
    [[nodiscard]] virtual std::optional<CacheEvents> readCacheEvents(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request cacheListRequest() const = 0;
    [[nodiscard]] virtual std::optional<CacheEvents> readCacheList(std::string_view body) const = 0;
    [[nodiscard]] virtual runtime::http::Request cacheFreeRequest(const cache::PartsToFree &parts, u64 epoch) const = 0;
};

} // namespace burdock::gateway
