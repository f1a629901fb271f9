#pragma once

#include <burdock/admission/client_memory.hpp>
#include <burdock/admission/client_table.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <optional>

namespace burdock::runtime::http::detail {

class ConnectionRegistry;

/** Size of the buffer of a connection that waits for a request. */
inline constexpr std::size_t ReadBytes = 8 * 1024;
/** The most that the kernel holds unread of a long body. */
inline constexpr int WideReceiveBufferBytes = 64 * 1024;
/** Bytes after which a client counts as making progress. */
inline constexpr std::size_t ProgressBytes = 16 * 1024;

inline constexpr auto Awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/** @brief The time by which connections are compared. */
[[nodiscard]] TimePoint steadyNow();

/** @brief An open connection of a server. Used only on its own strand; in the registry during its lifetime. */
class ClientConnection
{
public:
    /** @param memory null for no limit */
    ClientConnection(boost::asio::ip::tcp::socket socket, ConnectionRegistry &registry, admission::ClientMemory *memory);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    [[nodiscard]] boost::beast::tcp_stream &stream();
    [[nodiscard]] boost::beast::flat_buffer &buffer();
    [[nodiscard]] u64 id() const;

    /** @brief Notes what the connection waits for; returns false if it is being closed. */
    bool enter(admission::ClientPhase phase);

    /** @brief Notes bytes that were received or sent in the current phase. */
    void noteProgress(admission::ClientPhase phase, std::size_t bytes);

    /**
     * @brief Takes memory for the message, for which stalled connections are closed if need be.
     * @return false if there isn't enough
     */
    [[nodiscard]] boost::asio::awaitable<bool> reserve(u64 bytes, admission::ClientMessage message);

    /** @brief As reserve(), without waiting for other connections. */
    [[nodiscard]] bool tryReserve(u64 bytes, admission::ClientMessage message);

    [[nodiscard]] u64 reservedBytes() const;

    /** @brief Returns the memory of messages, and that of a buffer which has grown. */
    void releaseMessages();

    /** @brief Lets the kernel hold more of what the client sends. */
    void widenReceiveBuffer();

    /** @brief Discards what the client sends, for a limited time, so that it can read the response that it has received. */
    [[nodiscard]] boost::asio::awaitable<void> discardInput();

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    ConnectionRegistry &m_registry;
    std::optional<admission::ClientShare> m_share;
    u64 m_id;
    std::size_t m_progress = 0;
    bool m_isReceiveBufferWide = false;
};

} // namespace burdock::runtime::http::detail
