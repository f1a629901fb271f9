#include <burdock/runtime/link/server.hpp>

#include "context_impl.hpp"

#include <atomic>
#include <system_error>

namespace burdock::runtime::link {

namespace {

/** The identity of the peer and the first frame of its message. */
constexpr std::size_t MinRouterFrames = 2;
/** What encryption adds to a frame, rounded up. */
constexpr std::size_t FrameOverheadBytes = 256;
constexpr int HandshakeTimeoutMs = 5000;

std::string toUrl(const http::Address &address)
{
    return "tcp://" + address.ip + ":" + std::to_string(address.port);
}

} // namespace

Server::Server(Context &context, const http::Address &address, ServerHandler &handler)
    : m_malformed(std::make_shared<std::atomic<u64>>(0))
{
    const auto onFrames = [&handler, malformed = m_malformed](detail::Frames frames) {
        schema::LinkMessage message;
        if (frames.size() < MinRouterFrames || !message.ParseFromString(detail::joinMessage(frames, 1))) {
            ++*malformed;
            return;
        }
        handler.onMessage(frames[0], message);
    };
    m_socket = std::make_shared<detail::Socket>(context.impl().makeStrand(), context.impl().zeroMq(), zmq::socket_type::router, onFrames);
    context.impl().secureAsServer(m_socket->raw());
    m_socket->raw().set(zmq::sockopt::maxmsgsize, static_cast<i64>(detail::MaxFrameBytes + FrameOverheadBytes));
    m_socket->raw().set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    try {
        m_socket->raw().bind(toUrl(address));
    } catch (const zmq::error_t &error) {
        throw std::system_error(error.num(), std::generic_category(), "can't listen on link address " + toUrl(address));
    }
    m_socket->start();
}

Server::~Server()
{
    close();
}

void Server::send(const PeerId &peer, const schema::LinkMessage &message)
{
    detail::Frames frames{peer};
    detail::appendMessage(frames, message.SerializeAsString());
    m_socket->send(std::move(frames));
}

u64 Server::malformedCount() const
{
    return *m_malformed;
}

void Server::close()
{
    m_socket->close();
}

} // namespace burdock::runtime::link
