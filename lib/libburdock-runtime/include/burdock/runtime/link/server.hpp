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

/** @brief Names one link of a peer; a peer that replaces its link gets a new one. */
using PeerId = std::string;

/** @brief Takes what peers send. Called on one thread at a time. */
class ServerHandler
{
public:
    virtual ~ServerHandler() = default;
    virtual void onMessage(const PeerId &peer, const schema::LinkMessage &message) = 0;
};

/** @brief The end of links that listens. Thread-safe. */
class Server
{
public:
    /**
     * @param address where to listen; port 0 takes a free one
     * @throws std::system_error if the address can't be bound, as when a predecessor on this VM still holds it
     */
    Server(Context &context, const http::Address &address, ServerHandler &handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** @brief Sends to a peer; lost silently if that link is gone. */
    void send(const PeerId &peer, const schema::LinkMessage &message);

    /** @brief Messages that were not protobuf of the schema. */
    [[nodiscard]] u64 malformedCount() const;

    void close();

private:
    std::shared_ptr<std::atomic<u64>> m_malformed;
    std::shared_ptr<detail::Socket> m_socket;
};

} // namespace burdock::runtime::link
