#pragma once

#include "state.hpp"

#include <burdock/endpoints/load_reporter.hpp>
#include <burdock/link.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <set>
#include <vector>

namespace burdock::gateway {

/**
 * @brief Tells the other entries what this one has under way at which endpoint, and hears it from them.
 *
 * Over UDP: each message replaces the one before, so a lost one needs no repetition, and a peer that is gone holds up nothing.
 */
class LoadExchange
{
public:
    /** @throws boost::system::system_error if the address can't be bound */
    LoadExchange(const GatewayParts &parts, const GatewaySettings &settings, State &state);

    /** @brief Sets to whom loads are told, as IP:port. */
    void setPeers(const std::set<std::string> &addresses);

    [[nodiscard]] boost::asio::awaitable<void> send();
    [[nodiscard]] boost::asio::awaitable<void> receive();

private:
    [[nodiscard]] std::string nextMessage();
    void addSuspects(schema::EntryLoad &message) const;
    void take(std::string_view message, const boost::asio::ip::udp::endpoint &sender);
    [[nodiscard]] bool asksForNamings() const;
    void answerNamings(const schema::EntryLoad &question, const boost::asio::ip::udp::endpoint &asker);
    void takeNamings(const std::string &teller, const schema::NamingAnswer &answer);
    void takeStoreEvents(const schema::StoreEvents &told);

    const GatewayParts &m_parts;
    const GatewaySettings &m_settings;
    State &m_state;
    boost::asio::ip::udp::socket m_socket;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    u64 m_boot;
    TimePoint m_started;
    u64 m_sequence = 0;
    endpoints::LoadReporter m_loadReporter;
    std::vector<u64> m_toldUnresponsive;
    std::unordered_set<u64> m_toldLoading;
};

} // namespace burdock::gateway
