#pragma once

#include <burdock/run/message_memory.hpp>
#include <burdock/runtime/http/connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace burdock::runtime::http {

/** @brief How far a request got; tells whether the server may have executed it. */
enum class Progress : u8 {
    NotSent, ///< no byte was written
    MayBeSent, ///< bytes may have been written, but no response arrived
    Answered, ///< the response, or at least its head, arrived
};

/** @brief Result of a request whose response was read completely. */
struct Exchange
{
    Progress progress = Progress::NotSent;
    Response response; ///< complete if progress is Answered
    run::BodyFraming framing = run::BodyFraming::ContentLength; ///< of the response
    bool isTooLong = false; ///< the response was given up as it exceeded its limit

    /** @brief Whether the response is complete, and its framing shows that its body is. */
    [[nodiscard]] bool isProvablyComplete() const;
};

/** @brief Bounds the body of a response that is read completely. */
struct BodyLimit
{
    std::size_t bytes = std::size_t{256} * 1024;
    run::MessageMemory *memory = nullptr; ///< shared with other responses, and outlives them; null for none
};

/**
 * @brief One request with a streamed response, on a new connection that may carry other requests before it.
 *
 * A connection can stop carrying data without being closed while new connections work, and a request on a reused one would then get
 * no response. A new connection for each request avoids this at the cost of one round trip, under a millisecond within a region.
 */
class Call
{
public:
    /** @param ioTimeout limit for connecting and for each read */
    Call(const Address &address, Duration ioTimeout);

    /** @brief Connects, sends a request that precedes send(), and reads the complete response; the connection stays open for send(). */
    [[nodiscard]] boost::asio::awaitable<Exchange> exchangeFirst(const Request &request);

    /**
     * @brief Sends the request and reads the head of the response; connects unless exchangeFirst() has done so.
     * @return NotSent also if the server has closed the connection since exchangeFirst()
     */
    [[nodiscard]] boost::asio::awaitable<Progress> send(const Request &request);

    /** @brief Status and headers of the response, without the body. */
    [[nodiscard]] const Response &head() const;

    /** @brief How the end of the response body is marked. */
    [[nodiscard]] run::BodyFraming framing() const;

    /** @brief Reads the next chunk of the body. */
    [[nodiscard]] boost::asio::awaitable<BodyChunk> read();

private:
    [[nodiscard]] boost::asio::awaitable<bool> connect(Reuse reuse);

    Address m_address;
    Duration m_timeout;
    std::unique_ptr<Connection> m_connection;
};

/**
 * @brief Sends a request on a new connection and reads the complete response.
 * @param timeout limit for connecting and for each read
 */
[[nodiscard]] boost::asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout,
                                                        BodyLimit limit = {});

/**
 * @brief Sends requests to one server over keep-alive connections.
 *
 * After a request without a complete response, its connection and all idle ones are closed, as the same fault may affect them.
 * Several exchanges may run concurrently, on one thread.
 */
class KeepAliveClient
{
public:
    KeepAliveClient(const Address &address, Duration connectTimeout);

    /** @brief Sends a request and reads the complete response; the timeout applies to each read. */
    [[nodiscard]] boost::asio::awaitable<Exchange> exchange(Request request, Duration timeout, BodyLimit limit = {});

private:
    [[nodiscard]] std::unique_ptr<Connection> takeIdleConnection();

    Address m_address;
    Duration m_connectTimeout;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace burdock::runtime::http
