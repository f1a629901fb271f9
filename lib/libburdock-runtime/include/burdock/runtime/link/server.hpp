#pragma once

#include <burdock/runtime/http/message.hpp>
#include <burdock/runtime/link/context.hpp>

#include <burdock/link.pb.h>
#include <memory>
#include <string>

namespace burdock::runtime::link {

namespace detail {
class Socket;
}

/** @brief Identifies one link of a peer; a new link of the same peer has another id. */
using PeerId = std::string;

/** @brief Receives messages from peers. Called on one thread at a time. */
class ServerHandler
{
public:
    virtual ~ServerHandler() = default;
    virtual void onMessage(const PeerId &peer, const schema::LinkMessage &message) = 0;
};

/** @brief The listening side of links. Thread-safe. */
class Server
{
public:
    /**
     * @param address address to listen on; port 0 selects a free port
     * @throws std::system_error if the address can't be bound, for example while a previous process on this VM still uses it
     */
    Server(Context &context, const http::Address &address, ServerHandler &handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** @brief Sends a message to a peer; drops it silently if the link no longer exists. */
    void send(const PeerId &peer, const schema::LinkMessage &message);

    /** @brief Number of received messages that could not be parsed. */
    [[nodiscard]] u64 malformedCount() const;

    void close();

private:
    std::shared_ptr<std::atomic<u64>> m_malformed;
    std::shared_ptr<detail::Socket> m_socket;
};

} // namespace burdock::runtime::link
