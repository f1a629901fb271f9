#pragma once

#include "connection_pool.hpp"
#include "crash_guard.hpp"
#include "notice_observer.hpp"
#include "origin_exchange.hpp"
#include "permit_exchange.hpp"
#include "prompt_planner.hpp"
#include "rejection.hpp"
#include "rollout_trial.hpp"
#include "software_keeper.hpp"

#include <burdock/retry/attempt_rule.hpp>
#include <burdock/run/message_memory.hpp>
#include <burdock/run/sse_splitter.hpp>
#include <burdock/runtime/http/server.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Parts of the gateway that all requests share. */
struct ForwardingServices
{
    ConnectionPool &pool;
    OriginExchange &origins;
    LimitObserver &limits;
    NoticeObserver &notices;
    PermitExchange &permits;
    RolloutTracker &rollouts;
    SoftwareKeeper &software;
    runtime::http::Server &callers;
};

/** @brief Handles one request of a caller: validates it, forwards it to endpoints with retries, and sends the final response. */
class RequestForwarder
{
public:
    RequestForwarder(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                     const ForwardingServices &services, const runtime::http::Request &request, runtime::http::Reply &reply);

    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Refuses a request that was not read completely, for want of memory. */
    [[nodiscard]] boost::asio::awaitable<void> refuseUnread();

    /** @brief Gives the request up, as the process is about to end; the caller gets an answer unless a stream has begun. */
    void cutOff();

private:
    /** @brief Result of forwarding the request to one endpoint. */
    struct Attempt
    {
        endpoints::Outcome outcome = endpoints::Outcome::Abandoned;
        runtime::http::Response response; ///< complete, unless the response is streamed
        std::optional<run::BodyFraming> framing; ///< set once the head of the response has been read
        wire::MessageFault fault = wire::MessageFault::None; ///< why the response isn't one
    };

    [[nodiscard]] std::optional<Rejection> validate();
    [[nodiscard]] std::optional<Rejection> checkApiKey();
    [[nodiscard]] std::optional<Rejection> checkListsReceived() const;
    [[nodiscard]] Rejection staleKeysRejection();
    [[nodiscard]] static Rejection leavingRejection();
    [[nodiscard]] bool isResumption() const;
    [[nodiscard]] boost::asio::awaitable<bool> findOrigin();
    void noteOrigin();
    [[nodiscard]] boost::asio::awaitable<void> tryEndpoints();
    [[nodiscard]] boost::asio::awaitable<void> stopTrying(const Rejection &rejection, const Attempt &lastAttempt);
    [[nodiscard]] bool mustRecordSoftware() const;
    /** @brief Closes callers' connections that keep endpoints waiting; returns false if there are none, or if that was done before. */
    [[nodiscard]] boost::asio::awaitable<bool> makeRoom();
    [[nodiscard]] endpoints::SelectionRequest makeSelectionRequest() const;
    [[nodiscard]] boost::asio::awaitable<Attempt> attempt(const std::string &id);
    [[nodiscard]] endpoints::Outcome interruptionOutcome(TimePoint waitDeadline) const;
    [[nodiscard]] TimePoint startDeadline(const endpoints::Endpoint &endpoint) const;
    void noteFirstEvent(const std::string &id);
    [[nodiscard]] boost::asio::awaitable<endpoints::Outcome> exchange(const std::string &id, runtime::http::Request request,
                                                                      Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<bool> connectTo(const std::string &id);
    [[nodiscard]] boost::asio::awaitable<bool> readMatchingHead(const std::string &id, ResponseMetadata &responseMetadata);
    [[nodiscard]] boost::asio::awaitable<bool> readBody(const std::string &id, std::string &body);
    /** @brief Takes memory for the response; returns false if it is too long, or too long beside others. */
    [[nodiscard]] bool tryKeep(u64 bytes, u64 httpChunks);
    [[nodiscard]] boost::asio::awaitable<endpoints::Outcome> relayStream(const std::string &id);
    [[nodiscard]] runtime::http::Request buildRequest(const endpoints::Endpoint &endpoint);
    [[nodiscard]] boost::asio::awaitable<void> finish(retry::NextStep step, const Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<void> reject(const Rejection &rejection);
    void noteHeard(const std::string &id);
    void noteResponse(const std::string &id, const ResponseMetadata &responseMetadata);
    void returnToPool(const std::string &id, const ResponseMetadata &responseMetadata);
    [[nodiscard]] u32 priority() const;
    [[nodiscard]] u64 maxEvents() const;
    [[nodiscard]] Duration timeLeft() const;
    [[nodiscard]] Duration elapsed() const;
    void noteAnswered(const Attempt &attempt);
    void countRequest(std::string_view outcome);
    void countPlacement(const ForwardingOptions &options);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    const ForwardingServices &m_services;
    const runtime::http::Request &m_request;
    runtime::http::Reply &m_reply;

    TimePoint m_arrivedAt{};
    TimePoint m_deadline{};
    RequestMetadata m_requestMetadata;
    std::shared_ptr<const routing::RouteTable> m_routes; ///< keeps the route and customer below alive when the configuration changes
    const routing::Route *m_route = nullptr;
    const routing::Customer *m_customer = nullptr;
    std::optional<PromptPlanner> m_planner; ///< set once the request has passed the first checks
    std::string m_service;
    u64 m_memoryTokens = 0; ///< engine memory that the prompt and its output take
    endpoints::Selection m_selection; ///< of the current attempt
    u32 m_permitQuestions = 0; ///< asked for the current attempt
    TimePoint m_sentAt{};
    TimePoint m_startDeadline{}; ///< of the current attempt: time by which the engine must have started the request
    bool m_isPrefillPending = false;
    RolloutTrial m_rolloutTrial{m_services.rollouts};
    std::optional<CrashGuard> m_crashGuard; ///< set once the request has passed the first checks
    std::set<std::string, std::less<>> m_triedEndpoints;
    retry::AttemptHistory m_history;
    PooledConnection m_connection;
    bool m_isReusedConnection = false;
    bool m_hasMadeRoom = false; ///< makeRoom() was called
    std::optional<run::MessageShare> m_responseShare; ///< memory of the current attempt's response
    bool m_isResponseTooLong = false; ///< of the current attempt
    bool m_isMemoryShort = false; ///< there was no memory for the response of the current attempt beside others
    bool m_isCallerDisconnected = false; ///< the caller closed the connection
    bool m_isCutOff = false; ///< cutOff() was called
    bool m_isStreamStarted = false; ///< the head of a stream was sent to the caller
    run::SseSplitter m_sseSplitter;
    u64 m_endpointSoftware = 0; ///< Endpoint::software of the current attempt, as of when the request was sent
    std::optional<u64> m_streamSoftware; ///< Endpoint::software with which the stream began; it must not continue with any other
    std::optional<TimePoint> m_firstByteAt;
    std::optional<TimePoint> m_firstEventAt;
};

} // namespace burdock::gateway
