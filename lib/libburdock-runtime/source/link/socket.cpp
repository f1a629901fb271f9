#include "socket.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace burdock::runtime::link::detail {

namespace {

constexpr int HighWaterMarkMessages = 50'000;
constexpr int NoLingerMs = 0;

} // namespace

Socket::Socket(const Strand &strand, std::shared_ptr<zmq::context_t> context, zmq::socket_type type, Receiver receiver)
    : m_strand(strand)
    , m_context(std::move(context))
    , m_socket(*m_context, type)
    , m_descriptor(strand)
    , m_receiver(std::move(receiver))
{
    m_socket.set(zmq::sockopt::linger, NoLingerMs);
    m_socket.set(zmq::sockopt::sndhwm, HighWaterMarkMessages);
    m_socket.set(zmq::sockopt::rcvhwm, HighWaterMarkMessages);
    m_descriptor.assign(m_socket.get(zmq::sockopt::fd));
}

Socket::~Socket()
{
    release();
}

zmq::socket_t &Socket::raw()
{
    return m_socket;
}

void Socket::start()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->drain();
        self->wait();
    });
}

void Socket::wait()
{
    if (!m_isOpen) {
        return;
    }
    m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                            [self = shared_from_this()](const boost::system::error_code &error) {
                                if (error) {
                                    return;
                                }
                                self->drain();
                                self->wait();
                            });
}

void Socket::drain()
{
    while (m_isOpen) {
        auto frames = receive();
        if (!frames) {
            return;
        }
        m_receiver(std::move(*frames));
    }
}

std::optional<Frames> Socket::receive()
{
    Frames frames;
    bool hasMore = true;
    while (hasMore) {
        zmq::message_t message;
        if (!m_socket.recv(message, zmq::recv_flags::dontwait)) {
            return std::nullopt;
        }
        frames.push_back(message.to_string());
        hasMore = message.more();
    }
    return frames;
}

void Socket::send(Frames frames)
{
    boost::asio::post(m_strand, [self = shared_from_this(), frames = std::move(frames)] {
        if (!self->m_isOpen) {
            return;
        }
        for (std::size_t i = 0; i < frames.size(); ++i) {
            const auto more = i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            if (!self->m_socket.send(zmq::buffer(frames[i]), more | zmq::send_flags::dontwait)) {
                break;
            }
        }
        self->drain();
    });
}

void Socket::sendMessage(std::string message)
{
    Frames frames;
    appendMessage(frames, std::move(message));
    send(std::move(frames));
}

void Socket::close()
{
    boost::asio::dispatch(m_strand, [self = shared_from_this()] { self->release(); });
}

void Socket::release()
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    // The descriptor belongs to ZeroMQ, which closes it together with the socket.
    m_descriptor.release();
    m_socket.close();
}

} // namespace burdock::runtime::link::detail
