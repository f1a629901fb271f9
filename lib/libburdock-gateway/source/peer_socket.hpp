#pragma once

#include <burdock/runtime/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>
#include <string_view>

namespace burdock::gateway {

/** @brief UDP socket for messages among the entries. Datagrams may be lost; sending never waits. */
class PeerSocket
{
public:
    using Endpoint = boost::asio::ip::udp::endpoint;

    /** @throws boost::system::system_error if the address can't be bound */
    PeerSocket(boost::asio::io_context &context, const runtime::http::Address &address);

    /** @brief Sets the addresses of the other entries, as IP:port, by their names; invalid ones are skipped. */
    void setPeers(const std::map<std::string, std::string, std::less<>> &addresses);

    [[nodiscard]] std::size_t peerCount() const;

    void sendToAll(std::string_view datagram);
    void sendTo(const Endpoint &peer, std::string_view datagram);

    /** @brief Sends to the entry with this name; false if its address is unknown. */
    bool sendTo(std::string_view entry, std::string_view datagram);

    struct Datagram
    {
        std::string bytes;
        Endpoint sender;
        bool isClosed = false; ///< the socket was closed and nothing was received
    };

    /** @brief Receives the next datagram; it is empty after an error. */
    [[nodiscard]] boost::asio::awaitable<Datagram> receive();

private:
    boost::asio::ip::udp::socket m_socket;
    std::map<std::string, Endpoint, std::less<>> m_peers;
    std::string m_buffer;
};

} // namespace burdock::gateway
