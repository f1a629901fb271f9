#pragma once

#include <burdock/admission/client_memory.hpp>
#include <burdock/admission/client_table.hpp>
#include <burdock/runtime/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace burdock::runtime::http {

/** @brief Sends the response to one request. */
class Reply
{
public:
    virtual ~Reply() = default;

    /** @brief Sends a complete response; false if the connection has failed. */
    virtual boost::asio::awaitable<bool> send(const Response &response) = 0;

    /** @brief Sends the head of a streamed response and ignores the body; false if the connection has failed. */
    virtual boost::asio::awaitable<bool> begin(const Response &head) = 0;

    /** @brief Sends a chunk of a streamed response; false if the connection has failed. */
    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;

    /** @brief Ends a streamed response. Without it the connection is closed, so that the caller can detect the truncated response. */
    virtual boost::asio::awaitable<bool> end() = 0;

    /**
     * @brief Sets a function that is called once if the caller closes its connection before the request handler returns.
     *
     * It is never called after the handler has returned.
     */
    virtual void setDisconnectHandler(std::function<void()> onDisconnect) = 0;

    /** @brief Whether the caller has closed its connection; makes a system call. */
    [[nodiscard]] virtual bool isCallerDisconnected() = 0;
};

/** @brief Handles requests. Called from several threads, each of which serves one connection at a time. */
class Handler
{
public:
    virtual ~Handler() = default;

    /** @brief Handles a request and sends the response through `reply`. */
    virtual boost::asio::awaitable<void> handle(const Request &request, Reply &reply) = 0;

    /** @brief Refuses a request for which there is no memory; the request is as far as it was read. */
    virtual boost::asio::awaitable<void> refuseUnread(const Request &request, Reply &reply);
};

/** @brief Size limits in bytes and timeouts of a server. */
struct ServerLimits
{
    u32 headerBytes = 16 * 1024; ///< of a head, and of the trailers
    u64 bodyBytes = 4 * 1024 * 1024;
    u32 connections = 0; ///< at a time; zero means unlimited
    /** Shared by the messages of all connections, of several servers too; outlives their last handlers. Null for no limit. */
    admission::ClientMemory *memory = nullptr;
    /** Limit for receiving the rest of a request after its head, and for each write of a response. */
    Duration ioTimeout = std::chrono::seconds(30);
    /** Limit for receiving the head of a request, from its first byte. */
    Duration headerTimeout = std::chrono::seconds(30);
    /** Time after which a connection without a request is closed. */
    Duration idleTimeout = std::chrono::seconds(30);
};

/** Memory for the messages of all clients of a process's listeners for operators. */
inline constexpr u64 OperatorMessageBytes = 2 * 1024 * 1024;

/** @brief Limits of a listener for operators and load balancers, which has few clients, and requests without bodies. */
[[nodiscard]] ServerLimits operatorLimits(admission::ClientMemory &memory);

/** @brief Decides which new connections a server serves, and is told which ones it closes for others. */
class ConnectionGate
{
public:
    virtual ~ConnectionGate() = default;

    /** @brief Whether to serve a new connection; otherwise it is reset with its request unread. Called on the accepting thread. */
    [[nodiscard]] virtual bool tryAdmit() = 0;

    /** @brief Notes that a new connection was reset, as there are as many as the limit and none of them could be closed. */
    virtual void noteFull() = 0;

    /** @brief Notes that a connection in this phase is closed to make room. Must not call the server. */
    virtual void noteClosedForRoom(admission::ClientPhase phase) = 0;
};

/** @brief When a server starts to accept connections. */
enum class ListenMode : u8 {
    Immediate,
    Deferred, ///< the address is bound, but connections are refused until listen() is called
};

/** @brief An HTTP/1.1 server on one address. */
class Server
{
public:
    /**
     * @param gate null to serve all connections; must outlive the context's last handler
     * @throws boost::system::system_error if the address can't be bound
     */
    Server(boost::asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler,
           ListenMode mode = ListenMode::Immediate, ConnectionGate *gate = nullptr);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] u16 port() const;

    /** @brief Starts to accept connections. Call it at most once; it does nothing after stopListening(). */
    void listen();

    /** @brief Sets the limits for later requests. Not thread-safe: call it on the serving thread, or before serving starts. */
    void setLimits(const ServerLimits &limits);

    /** @brief Keeps accepting connections, but closes each one after its next response. */
    void closeAfterAnswers();

    /** @brief Accepts only connections that are already in the backlog, and closes each connection after its next response. */
    void stopListening();

    /**
     * @brief Closes idle connections; call it after stopListening().
     * @param finalResponse sent on each of them first, so that a request that arrives during the close gets a response
     */
    void closeIdle(const std::optional<Response> &finalResponse = std::nullopt);

    /** @brief Closes connections whose clients make no progress with a message, at most that many; returns how many. */
    u32 closeStalled(u32 most);

    /** @brief Aborts the reads and writes of all connections, which then close; handlers that wait for anything else go on. */
    void cancelAll();

    /** @brief Resets all connections (TCP RST), also those not accepted yet; requests that have not reached the handler are dropped. */
    void closeAll();

    /** @brief Number of connections with a request that is being received or handled, plus 1 while stopListening() empties the backlog. */
    [[nodiscard]] u32 busyConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the connections' coroutines
};

} // namespace burdock::runtime::http
