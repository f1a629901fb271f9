#include "peer_socket.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxDatagramBytes = 60 * 1024;

PeerSocket::Endpoint toEndpoint(const runtime::http::Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

PeerSocket::PeerSocket(asio::io_context &context, const runtime::http::Address &address)
    : m_socket(context, toEndpoint(address))
    , m_buffer(MaxDatagramBytes, '\0')
{
}

void PeerSocket::setPeers(const std::map<std::string, std::string, std::less<>> &addresses)
{
    m_peers.clear();
    for (const auto &[name, text] : addresses) {
        boost::system::error_code error;
        const auto address = runtime::http::parseAddress(text);
        const auto ip = asio::ip::make_address(address.ip, error);
        if (!error && address.port != 0) {
            m_peers[name] = Endpoint(ip, address.port);
        }
    }
}

std::size_t PeerSocket::peerCount() const
{
    return m_peers.size();
}

void PeerSocket::sendToAll(std::string_view datagram)
{
    for (const auto &[name, peer] : m_peers) {
        sendTo(peer, datagram);
    }
}

void PeerSocket::sendTo(const Endpoint &peer, std::string_view datagram)
{
    // A datagram that doesn't fit into the send buffer is lost like any other.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(datagram), peer, 0, ignored);
}

bool PeerSocket::sendTo(std::string_view entry, std::string_view datagram)
{
    const auto peer = m_peers.find(entry);
    if (peer == m_peers.end()) {
        return false;
    }
    sendTo(peer->second, datagram);
    return true;
}

asio::awaitable<PeerSocket::Datagram> PeerSocket::receive()
{
    Datagram datagram;
    const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(m_buffer), datagram.sender, Awaitable);
    datagram.isClosed = error == asio::error::operation_aborted;
    if (!error) {
        datagram.bytes.assign(m_buffer, 0, size);
    }
    co_return datagram;
}

} // namespace burdock::gateway
