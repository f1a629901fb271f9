#pragma once

#include "frames.hpp"

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

/**
 * @brief A ZeroMQ socket on an Asio strand.
 *
 * ZeroMQ's file descriptor is edge-triggered: after every wait and every send, all messages must be read, or a wake-up is lost.
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

    /** @brief The ZeroMQ socket, for setting options and addresses before start(). */
    [[nodiscard]] zmq::socket_t &raw();

    /** @brief Starts to receive messages. */
    void start();

    /** @brief Sends a message of one or more frames; drops it if the send queue is full. Thread-safe. */
    void send(Frames frames);

    /** @brief As send(), for a message without a peer id before it. */
    void sendMessage(std::string message);

    /** @brief Closes the socket on its strand; the receiver is not called after that. Thread-safe. */
    void close();

private:
    void wait();
    void drain();
    void release();
    [[nodiscard]] std::optional<Frames> receive();

    Strand m_strand;
    // Shared, as destroying the context waits until all its sockets are closed, and pending handlers may keep a socket longer than its
    // owner does.
    std::shared_ptr<zmq::context_t> m_context;
    zmq::socket_t m_socket;
    boost::asio::posix::stream_descriptor m_descriptor;
    Receiver m_receiver;
    bool m_isOpen = true;
};

} // namespace burdock::runtime::link::detail
