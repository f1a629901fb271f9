#pragma once

#include "gateway_state.hpp"

#include <burdock/endpoints/load_teller.hpp>
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
    LoadExchange(const GatewayDependencies &parts, const GatewaySettings &settings, GatewayState &state);

    /** @brief Sets to whom loads are told, as IP:port. */
    void setPeers(const std::set<std::string> &addresses);

    [[nodiscard]] boost::asio::awaitable<void> send();
    [[nodiscard]] boost::asio::awaitable<void> receive();

private:
    [[nodiscard]] std::string nextMessage();
    void addSuspects(schema::EntryLoad &message) const;
    void handleMessage(std::string_view message, const boost::asio::ip::udp::endpoint &sender);
    [[nodiscard]] bool needsAnnouncementTimes() const;
    void answerAnnouncementQuestion(const schema::EntryLoad &question, const boost::asio::ip::udp::endpoint &asker);
    void applyAnnouncementAnswer(const std::string &sender, const schema::NamingAnswer &answer);
    void applyStoreEvents(const schema::StoreEvents &told);

    const GatewayDependencies &m_parts;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    boost::asio::ip::udp::socket m_socket;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    u64 m_bootId;
    TimePoint m_startedAt;
    u64 m_sequence = 0;
    endpoints::LoadTeller m_teller;
    std::vector<u64> m_sentUnresponsive;
    std::unordered_set<u64> m_sentLoading;
};

} // namespace burdock::gateway
