#pragma once

#include <burdock/runtime/http/message.hpp>
#include <burdock/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace burdock::runtime::http {

/** @brief A piece of an answer's body. */
struct Piece
{
    std::string data;
    bool isEnd = false; ///< the body came to its proper end
    bool isBroken = false; ///< the connection failed before the end
};

/** @brief Whether a connection may carry further requests. */
enum class Reuse : u8 {
    SingleRequest,
    KeepAlive,
};

/**
 * @brief One connection to a server, for one request after the other.
 *
 * Only from one coroutine at a time; close() from any handler of the same strand.
 */
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, const Address &address, Reuse reuse);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @brief Connects; false if that failed. */
    [[nodiscard]] boost::asio::awaitable<bool> connect(Duration timeout);

    /**
     * @brief Begins to send a request and returns at once, as a server may answer before it has read the whole request.
     *
     * Without a Host header the address stands for it.
     */
    void startSend(const Request &request);

    /**
     * @brief Reads the head of the next answer.
     * @param timeout longest silence that is waited for
     */
    [[nodiscard]] boost::asio::awaitable<bool> readHead(Duration timeout);

    /** @brief The next piece of the body. */
    [[nodiscard]] boost::asio::awaitable<Piece> read(Duration timeout);

    /** @brief Status and headers of the answer; the body is left out. */
    [[nodiscard]] const Response &head() const;

    /** @brief Whether the body has come to its end. */
    [[nodiscard]] bool isAnswerWhole() const;

    /** @brief Whether another request may follow: both sides are done, and the server keeps the connection. */
    [[nodiscard]] bool isReusable() const;

    /** @brief Whether a connection that waits for its next request is still open, with nothing unasked on it. */
    [[nodiscard]] bool isIdle();

    /** @brief Closes the connection; what waits on it fails. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the handler of a send that is still under way
};

} // namespace burdock::runtime::http
