#pragma once

#include <burdock/runtime/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace burdock::runtime::http {

/** @brief Where the answer to one request goes. */
class Reply
{
public:
    virtual ~Reply() = default;

    /** @brief Sends a whole answer. False if the connection is gone. */
    virtual boost::asio::awaitable<bool> send(const Response &response) = 0;

    /** @brief Begins a streamed answer; the response's body is left out. */
    virtual boost::asio::awaitable<bool> begin(const Response &head) = 0;

    /** @brief Sends a piece of a streamed answer. */
    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;

    /** @brief Ends a streamed answer. Without it the connection is cut, so that the caller can't take a part for the whole. */
    virtual boost::asio::awaitable<bool> end() = 0;

    /**
     * @brief Has a function called once if the caller closes its connection while the answer is being made.
     *
     * Not called any more when the handler has returned.
     */
    virtual void setDisconnectHandler(std::function<void()> onGone) = 0;

    /** @brief Whether the caller has closed its connection by now; costs a system call. */
    [[nodiscard]] virtual bool isCallerDisconnected() = 0;
};

/** @brief Answers requests. Called from several threads, one connection at a time each. */
class Handler
{
public:
    virtual ~Handler() = default;
    virtual boost::asio::awaitable<void> handle(const Request &request, Reply &reply) = 0;
};

struct ServerLimits
{
    u32 headerBytes = 16 * 1024;
    u64 bodyBytes = 4 * 1024 * 1024;
    /** Time for one whole request to arrive, and for one piece of an answer to be taken. */
    Duration ioTimeout = std::chrono::seconds(30);
    /** Time for the head of a request to arrive once it has begun. */
    Duration headerTimeout = std::chrono::seconds(30);
    /** Time that a connection may stand without a request. */
    Duration idleTimeout = std::chrono::seconds(30);
};

/** @brief Whether a server takes connections from the start. */
enum class ListenMode : u8 {
    Immediate,
    Deferred, ///< the address is bound, and connections are refused until listen()
};

/** @brief An HTTP/1.1 server on one address. */
class Server
{
public:
    /** @throws boost::system::system_error if the address can't be bound */
    Server(boost::asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler,
           ListenMode listening = ListenMode::Immediate);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] u16 port() const;

    /** @brief Begins to take connections; only once, and not after stopListening(). */
    void listen();

    /** @brief Sets the limits for requests that begin from now on. Only on the thread that serves, or before it does. */
    void setLimits(const ServerLimits &limits);

    /** @brief Goes on serving, and closes each connection after its next answer. */
    void closeAfterAnswers();

    /** @brief Takes no new connections but those that are complete already, and closes each connection after its next answer. */
    void stopListening();

    /**
     * @brief Closes connections that wait for a request, after stopListening().
     * @param farewell  sent on each of them first, as the answer to a request that crosses it; nothing if none
     */
    void closeIdle(const std::optional<Response> &farewell = std::nullopt);

    /** @brief Cuts all connections. */
    void closeAll();

    /** @brief Connections that wait to be accepted, and those with a request that has begun to arrive or is being answered. */
    [[nodiscard]] u32 busyConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the connections' coroutines
};

} // namespace burdock::runtime::http
