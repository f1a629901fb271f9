#include <burdock/runtime/link/server.hpp>

#include "context_impl.hpp"

#include <atomic>
#include <system_error>

namespace burdock::runtime::link {

namespace {

constexpr std::size_t RouterFrameCount = 2; // identity, message

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
        if (frames.size() != RouterFrameCount || !message.ParseFromString(frames[1])) {
            ++*malformed;
            return;
        }
        handler.onMessage(frames[0], message);
    };
    m_socket = std::make_shared<detail::Socket>(context.impl().makeStrand(), context.impl().zeroMq(), zmq::socket_type::router, onFrames);
    context.impl().secureAsServer(m_socket->raw());
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
    m_socket->send({peer, message.SerializeAsString()});
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
