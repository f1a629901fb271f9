#pragma once

#include <burdock/run/body_framing.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/types.hpp>
#include <burdock/wire/message_fault.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace burdock::runtime::http {

/** @brief A chunk of a response body. */
struct BodyChunk
{
    std::string data;
    u32 httpChunks = 0; ///< chunks of the chunked transfer coding that began in it
    bool isEnd = false; ///< the body is complete
    bool isBroken = false; ///< the connection failed before the end
};

/** @brief Whether a connection may carry further requests. */
enum class Reuse : u8 {
    SingleRequest, ///< sends `Connection: close`
    KeepAlive,
};

/**
 * @brief A connection to an HTTP server, for one request at a time.
 *
 * Must be used by one coroutine at a time; close() may be called from any handler on the same strand.
 */
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, const Address &address, Reuse reuse);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @brief Connects; false on failure. */
    [[nodiscard]] boost::asio::awaitable<bool> connect(Duration timeout);

    /** @brief Sends a request; false on failure. A Host header is added as by startSend(). */
    [[nodiscard]] boost::asio::awaitable<bool> send(Request request, Duration timeout);

    /**
     * @brief Starts to send a request without waiting, as a server may respond before it has read the whole request.
     *
     * A request without a Host header gets the server's IP address in it.
     * @return false if nothing is sent, as the head isn't one that HTTP allows
     */
    [[nodiscard]] bool startSend(Request request);

    /**
     * @brief Reads the head of the next response; false on failure.
     * @param timeout limit for this read
     */
    [[nodiscard]] boost::asio::awaitable<bool> readHead(Duration timeout);

    /** @brief Reads the next chunk of the body. */
    [[nodiscard]] boost::asio::awaitable<BodyChunk> read(Duration timeout);

    /** @brief Status and headers of the response, without the body. */
    [[nodiscard]] const Response &head() const;

    /** @brief How the end of the response body is marked; valid once the head has been read. */
    [[nodiscard]] run::BodyFraming framing() const;

    /** @brief Whether the body has been read completely. */
    [[nodiscard]] bool isResponseComplete() const;

    /** @brief Whether another request may follow: request and response are complete, and the server keeps the connection open. */
    [[nodiscard]] bool isReusable() const;

    /** @brief Whether the last read failed because the response is longer than a response may be. */
    [[nodiscard]] bool hasExceededLimit() const;

    /** @brief What is wrong with the response, if HTTP doesn't allow it. */
    [[nodiscard]] wire::MessageFault fault() const;

    /** @brief Whether a connection between requests is still open and has received no unexpected data. */
    [[nodiscard]] bool isIdle();

    /** @brief Closes the connection; pending operations fail. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the handler of a pending send
};

} // namespace burdock::runtime::http
