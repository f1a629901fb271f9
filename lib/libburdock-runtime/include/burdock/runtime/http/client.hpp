#pragma once

#include <burdock/runtime/http/connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace burdock::runtime::http {

/** @brief How far a request got; decides whether it may have run. */
enum class Progress : u8 {
    NotSent, ///< no byte was written
    MayBeSent, ///< bytes were written, no answer came
    Answered, ///< the head of an answer came
};

/**
 * @brief One request on a connection of its own.
 *
 * Guards against connections that went silent for good while new ones work: it shows as a request that gets no answer on a
 * reused connection. A fresh connection for each request holds because new ones work; the price is one round trip, under a
 * millisecond within a region.
 */
class Call
{
public:
    /** @param ioTimeout longest silence of the peer that is waited for */
    Call(const Address &address, Duration ioTimeout);

    /** @brief Connects, sends the request and reads the head of the answer. */
    [[nodiscard]] boost::asio::awaitable<Progress> send(const Request &request);

    /** @brief Status and headers of the answer; the body is left out. */
    [[nodiscard]] const Response &head() const;

    /** @brief The next piece of the body. */
    [[nodiscard]] boost::asio::awaitable<Piece> read();

private:
    Address m_address;
    Duration m_timeout;
    std::unique_ptr<Connection> m_connection;
};

/** @brief What came of a request whose whole answer was awaited. */
struct Exchange
{
    Progress progress = Progress::NotSent;
    Response response; ///< whole if progress is Answered
};

/** @brief Sends a request and reads the whole answer. */
[[nodiscard]] boost::asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout);

/**
 * @brief Exchanges with one server on connections that are kept.
 *
 * A connection on which an answer did not come in time is dropped with all idle ones, as what silenced it may have silenced them.
 * Several exchanges may be under way at once, on one thread.
 */
class KeepAliveClient
{
public:
    KeepAliveClient(const Address &address, Duration connectTimeout);

    [[nodiscard]] boost::asio::awaitable<Exchange> exchange(Request request, Duration timeout);

private:
    [[nodiscard]] std::unique_ptr<Connection> takeIdle();

    Address m_address;
    Duration m_connectTimeout;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace burdock::runtime::http
