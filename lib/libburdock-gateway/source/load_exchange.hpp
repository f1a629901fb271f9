#pragma once

#include "origin_exchange.hpp"
#include "permit_exchange.hpp"
#include "reading_exchange.hpp"
#include "rollout_tracker.hpp"

#include <burdock/endpoints/load_reporter.hpp>

#include <vector>

namespace burdock::gateway {

/**
 * @brief Exchanges with the other entries how much load each has placed on which endpoint.
 *
 * Uses UDP: each message supersedes the previous one, so lost messages needn't be resent, and an unreachable peer delays nothing.
 */
class LoadExchange
{
public:
    /**
     * @param origins handles the messages about streams
     * @param permits handles the messages about limits of endpoints
     * @param reading handles the messages about the platform's store
     * @param rollouts tells and takes what is known of roll-outs
     */
    LoadExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state, PeerSocket &socket,
                 OriginExchange &origins, PermitExchange &permits, ReadingExchange &reading, RolloutTracker &rollouts);

    /** @brief Sends load messages to all peers until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> send();

    /** @brief Receives and applies messages of other entries until the socket is closed. */
    [[nodiscard]] boost::asio::awaitable<void> receive();

private:
    [[nodiscard]] std::string nextMessage();
    void addPromises(schema::EntryLoad &message) const;
    void addCrashFeatures(schema::EntryLoad &message);
    void handleMessage(std::string_view datagram, const PeerSocket::Endpoint &sender);
    [[nodiscard]] bool needsAnnouncementTimes() const;
    void answerAnnouncementQuestion(const schema::EntryLoad &question, const PeerSocket::Endpoint &askingEntry);
    void applyAnnouncementAnswer(const std::string &sender, const schema::NamingAnswer &answer);
    void applyStoreEvents(const schema::StoreEvents &message);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    PeerSocket &m_socket;
    OriginExchange &m_origins;
    PermitExchange &m_permits;
    ReadingExchange &m_reading;
    RolloutTracker &m_rollouts;
    TimePoint m_startedAt;
    u64 m_sequence = 0;
    endpoints::LoadReporter m_loadReporter;
    std::vector<u64> m_sentUnresponsive;
    std::unordered_set<u64> m_sentLoading;
};

} // namespace burdock::gateway
