#pragma once

#include "connection_pool.hpp"
#include "prompt_planner.hpp"
#include "state.hpp"

#include <burdock/retry/attempt_rule.hpp>
#include <burdock/run/event_stream.hpp>
#include <burdock/runtime/http/server.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Carries one request of a caller from its arrival to its final answer. */
class CallDriver
{
public:
    CallDriver(const GatewayParts &parts, const GatewaySettings &settings, State &state, ConnectionPool &pool,
               const runtime::http::Request &request, runtime::http::Reply &reply);

    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    /** @brief What one endpoint made of the request. */
    struct Attempt
    {
        endpoints::Outcome outcome = endpoints::Outcome::Abandoned;
        runtime::http::Response answer; ///< whole, if it is to be delivered in one piece
    };

    /** @brief A refusal without any attempt; nothing if the request may go on. */
    struct Rejection
    {
        u16 status = 0;
        std::string_view reason;
        Duration retryAfter{};
    };

    [[nodiscard]] std::optional<Rejection> check();
    [[nodiscard]] std::optional<Rejection> checkKey();
    [[nodiscard]] std::optional<Rejection> checkLists() const;
    [[nodiscard]] Rejection keysUnconfirmed();
    [[nodiscard]] boost::asio::awaitable<void> offerUntilDone();
    [[nodiscard]] boost::asio::awaitable<void> stopOffering(const Rejection &rejection, const Attempt &last);
    [[nodiscard]] endpoints::SelectionRequest needOf() const;
    [[nodiscard]] boost::asio::awaitable<Attempt> attempt(const std::string &id);
    [[nodiscard]] endpoints::Outcome brokenOr(TimePoint waitedUntil) const;
    [[nodiscard]] TimePoint beginBy(const endpoints::Endpoint &endpoint) const;
    void noteFirstEvent(const std::string &id);
    [[nodiscard]] boost::asio::awaitable<endpoints::Outcome> exchange(const std::string &id, const runtime::http::Request &request,
                                                                      Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<bool> connectTo(const std::string &id);
    [[nodiscard]] boost::asio::awaitable<bool> readOwnHead(const std::string &id, AnswerFacts &facts);
    [[nodiscard]] boost::asio::awaitable<bool> readWhole(const std::string &id, std::string &body);
    [[nodiscard]] boost::asio::awaitable<endpoints::Outcome> relayStream(const std::string &id);
    [[nodiscard]] runtime::http::Request instruct(const endpoints::Endpoint &endpoint);
    [[nodiscard]] boost::asio::awaitable<void> finish(retry::NextStep step, const Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<void> reject(const Rejection &rejection);
    void learn(const std::string &id, const AnswerFacts &facts);
    void release(const std::string &id, const AnswerFacts &facts);
    [[nodiscard]] Duration timeLeft() const;
    [[nodiscard]] Duration waited() const;
    void noteAnswered();
    void count(std::string_view outcome);
    void countPlacement(const Instructions &told);

    const GatewayParts &m_parts;
    const GatewaySettings &m_settings;
    State &m_state;
    ConnectionPool &m_pool;
    const runtime::http::Request &m_request;
    runtime::http::Reply &m_reply;

    TimePoint m_arrived{};
    TimePoint m_deadline{};
    CallFacts m_facts;
    std::shared_ptr<const routing::RouteTable> m_routes; // holds the route and customer below while the configuration moves on
    const routing::Route *m_route = nullptr;
    const routing::Customer *m_customer = nullptr;
    std::optional<PromptPlanner> m_planner; ///< there once the request was found in order
    std::string m_service;
    u64 m_memory = 0; ///< tokens of the prompt with its answer
    endpoints::Selection m_selection; ///< of the attempt under way
    TimePoint m_sentAt{};
    TimePoint m_beginBy{}; ///< of the attempt under way: when it must have begun
    bool m_isPrefillPending = false;
    u64 m_fingerprint = 0;
    std::set<std::string, std::less<>> m_tried;
    retry::AttemptHistory m_history;
    std::unique_ptr<runtime::http::Connection> m_connection;
    bool m_isKeptConnection = false;
    bool m_isGone = false; ///< the caller left
    bool m_hasBegun = false; ///< the head of a stream went to the caller
    run::EventStream m_events;
    std::optional<TimePoint> m_firstByte;
    std::optional<TimePoint> m_firstEvent;
};

} // namespace burdock::gateway
