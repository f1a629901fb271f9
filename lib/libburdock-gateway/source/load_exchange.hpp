#pragma once

#include "gateway_state.hpp"

#include <burdock/endpoints/load_reporter.hpp>
#include <burdock/link.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <set>
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
    /** @throws boost::system::system_error if the UDP address can't be bound */
    LoadExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state);

    /** @brief Sets the addresses of the other entries, as IP:port; invalid ones are skipped. */
    void setPeers(const std::set<std::string> &addresses);

    /** @brief Sends load messages to all peers until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> send();

    /** @brief Receives and applies messages of other entries until the socket is closed. */
    [[nodiscard]] boost::asio::awaitable<void> receive();

private:
    [[nodiscard]] std::string nextMessage();
    void addSuspects(schema::EntryLoad &message) const;
    void handleMessage(std::string_view datagram, const boost::asio::ip::udp::endpoint &sender);
    [[nodiscard]] bool needsAnnouncementTimes() const;
    void answerAnnouncementQuestion(const schema::EntryLoad &question, const boost::asio::ip::udp::endpoint &askingEntry);
    void applyAnnouncementAnswer(const std::string &sender, const schema::NamingAnswer &answer);
    void applyStoreEvents(const schema::StoreEvents &message);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    boost::asio::ip::udp::socket m_socket;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    u64 m_bootId;
    TimePoint m_startedAt;
    u64 m_sequence = 0;
    endpoints::LoadReporter m_loadReporter;
    std::vector<u64> m_sentUnresponsive;
    std::unordered_set<u64> m_sentLoading;
};

} // namespace burdock::gateway
