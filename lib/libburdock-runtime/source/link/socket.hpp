#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace burdock::runtime::link::detail {

using Frames = std::vector<std::string>;

/**
 * @brief A ZeroMQ socket on an Asio strand.
 *
 * ZeroMQ's descriptor is edge-triggered: it must be read dry after every wait and every send, or a wake-up is lost.
 */
class Socket : public std::enable_shared_from_this<Socket>
{
public:
    using Receiver = std::function<void(Frames)>;
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    Socket(const Strand &strand, std::shared_ptr<zmq::context_t> context, zmq::socket_type type, Receiver receiver);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** @brief The socket, for options and addresses before start(). */
    [[nodiscard]] zmq::socket_t &raw();

    void start();

    /** @brief Sends one message of several frames; drops it if the peer's queue is full. Thread-safe. */
    void send(Frames frames);

    /** @brief Closes the socket; no call to the receiver begins after this has run on the strand. */
    void close();

private:
    void wait();
    void drain();
    void release();
    [[nodiscard]] std::optional<Frames> receive();

    Strand m_strand;
    // Shared by all sockets: ending the context waits for them, and the last ones are held by handlers that outlive their owners.
    std::shared_ptr<zmq::context_t> m_context;
    zmq::socket_t m_socket;
    boost::asio::posix::stream_descriptor m_descriptor;
    Receiver m_receiver;
    bool m_isOpen = true;
};

} // namespace burdock::runtime::link::detail
