#pragma once

#include "limit_observer.hpp"
#include "peer_socket.hpp"

#include <burdock/link.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <unordered_map>

namespace burdock::gateway {

/** @brief Asks other entries for permits of endpoints with a limit, and answers their questions. */
class PermitExchange
{
public:
    PermitExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state, PeerSocket &socket,
                   LimitObserver &observer);

    /** @brief Asks the coordinator of an endpoint for a permit and waits a short time for its answer, which the state then contains. */
    [[nodiscard]] boost::asio::awaitable<void> ask(u64 endpoint, u32 priority);

    /** @brief Counts a request to an endpoint that is sent whatever its limit is. */
    void countUnconditional(std::string_view endpointId);

    /** @brief Whether a message of another entry is meant for handle(). */
    [[nodiscard]] static bool isPermitMessage(const schema::EntryLoad &message);

    /** @brief Applies an answer, or answers a question. */
    void handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender);

    /** @brief Records that an entry sent any message, and from which address. */
    void noteHeard(std::string_view entry, const PeerSocket::Endpoint &sender);

    /** @brief Applies the limits, and the votes for coordinators, of a report of another entry. */
    void applyReport(const schema::EntryLoad &message);

    /** @brief Adds the limits to a report of this entry: all of them, or those that changed lately. */
    void addLimits(schema::EntryLoad &report) const;

private:
    /** @brief A question whose answer may still come. */
    struct Question
    {
        u64 number = 0;
        u64 endpoint = 0;
        TimePoint askedAt{};
        bool isAwaited = true;
        boost::asio::steady_timer answered; ///< cancelled by the answer
    };

    [[nodiscard]] schema::EntryLoad makeMessage(u64 endpoint) const;
    [[nodiscard]] const PeerSocket::Endpoint *coordinatorAddress(u64 endpoint) const;
    void mergeLimits(const schema::EntryLoad &message);
    void applyAnswer(const schema::PermitAnswer &answer);
    void forgetOldQuestions();

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    PeerSocket &m_socket;
    LimitObserver &m_observer;
    u64 m_lastNumber;
    std::list<Question> m_questions;
    std::unordered_map<u64, PeerSocket::Endpoint> m_addresses; ///< by hash of the entry's name
};

} // namespace burdock::gateway
