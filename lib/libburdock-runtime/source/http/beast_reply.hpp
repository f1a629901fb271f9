#pragma once

#include "client_connection.hpp"

#include <burdock/runtime/http/server.hpp>

#include <memory>

namespace burdock::runtime::http::detail {

struct ReplyOptions
{
    bool keepAlive = false; ///< the connection stays open after the response
    bool hasBody = true; ///< false for a response to HEAD, of which only the head is sent
};

/** @brief Sends the response to one request on its connection. */
class BeastReply : public Reply
{
public:
    /** @param timeout for each write of a part of a response, or of all of one that is complete */
    BeastReply(ClientConnection &connection, Duration timeout, const ReplyOptions &options);

    boost::asio::awaitable<bool> send(const Response &response) override;
    boost::asio::awaitable<bool> begin(const Response &head) override;
    boost::asio::awaitable<bool> write(std::string_view chunk) override;
    boost::asio::awaitable<bool> end() override;
    void setDisconnectHandler(std::function<void()> onDisconnect) override;
    [[nodiscard]] bool isCallerDisconnected() override;

    void clearDisconnectHandler();

    /** @brief Whether a complete response was sent. */
    [[nodiscard]] bool isComplete() const;

private:
    struct DisconnectWatch
    {
        std::function<void()> onDisconnect;
        bool isFinished = false;
    };

    /** @brief Takes memory for what the client has still to take. */
    [[nodiscard]] boost::asio::awaitable<bool> reserve(std::size_t bytes);
    void startWrite();
    void endWrite();

    ClientConnection &m_connection;
    std::shared_ptr<DisconnectWatch> m_watch; // shared with the handler of the wait
    u64 m_requestBytes; // reserved for the request
    Duration m_timeout;
    ReplyOptions m_options;
    bool m_isComplete = false;
};

} // namespace burdock::runtime::http::detail
