#include "client_connection.hpp"

#include "connection_registry.hpp"

#include <netinet/tcp.h>

namespace burdock::runtime::http::detail {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using admission::ClientPhase;

namespace {

constexpr u32 MaxWaitsForRoom = 4;
constexpr u32 MaxClosedPerWait = 16;
constexpr Duration WaitForRoom = std::chrono::milliseconds(5);
constexpr std::size_t MaxDiscardedBytes = 32 * 1024 * 1024;
constexpr Duration DiscardTimeout = std::chrono::seconds(2);

} // namespace

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

ClientConnection::ClientConnection(Tcp::socket socket, ConnectionRegistry &registry, admission::ClientMemory *memory)
    : m_stream(std::move(socket))
    , m_registry(registry)
    , m_id(registry.add(*this))
{
    if (memory != nullptr) {
        m_share.emplace(*memory);
    }
}

ClientConnection::~ClientConnection()
{
    m_registry.remove(m_id);
}

boost::beast::tcp_stream &ClientConnection::stream()
{
    return m_stream;
}

boost::beast::flat_buffer &ClientConnection::buffer()
{
    return m_buffer;
}

u64 ClientConnection::id() const
{
    return m_id;
}

bool ClientConnection::enter(ClientPhase phase)
{
    m_progress = 0;
    return m_registry.enter(m_id, phase);
}

void ClientConnection::noteProgress(ClientPhase phase, std::size_t bytes)
{
    m_progress += bytes;
    if (m_progress >= ProgressBytes) {
        enter(phase);
    }
}

asio::awaitable<bool> ClientConnection::reserve(u64 bytes, admission::ClientMessage message)
{
    if (tryReserve(bytes, message)) {
        co_return true;
    }
    for (u32 wait = 0; wait < MaxWaitsForRoom; ++wait) {
        if (m_registry.closeStalled(MaxClosedPerWait) == 0) {
            break;
        }
        // The connections return their memory on their own strands.
        asio::steady_timer timer(m_stream.get_executor(), WaitForRoom);
        co_await timer.async_wait(Awaitable);
        if (tryReserve(bytes, message)) {
            co_return true;
        }
    }
    co_return false;
}

bool ClientConnection::tryReserve(u64 bytes, admission::ClientMessage message)
{
    return !m_share || m_share->tryResize(bytes, message);
}

u64 ClientConnection::reservedBytes() const
{
    return m_share ? m_share->bytes() : 0;
}

void ClientConnection::releaseMessages()
{
    if (m_share) {
        m_share->clear();
    }
    if (m_buffer.capacity() > ReadBytes && m_buffer.size() <= ReadBytes) {
        m_buffer.shrink_to_fit();
    }
    if (m_isReceiveBufferWide) {
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::receive_buffer_size(admission::ConnectionBufferBytes), ignored);
        m_isReceiveBufferWide = false;
    }
}

void ClientConnection::widenReceiveBuffer()
{
    if (!m_share) {
        return;
    }
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::receive_buffer_size(WideReceiveBufferBytes), ignored);
    // The window stays at the size that the buffer had when the connection was opened unless it is set too.
    using WindowClamp = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;
    m_stream.socket().set_option(WindowClamp(WideReceiveBufferBytes), ignored);
    m_isReceiveBufferWide = true;
}

// Closing a connection while the caller still sends makes the caller's system discard the response that it has received. Reading on for a
// limited time prevents this for callers that are not hostile.
asio::awaitable<void> ClientConnection::discardInput()
{
    enter(ClientPhase::Discarding);
    boost::system::error_code ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    releaseMessages();
    m_stream.expires_after(DiscardTimeout);
    for (std::size_t discarded = 0; discarded < MaxDiscardedBytes;) {
        const auto [error, size] = co_await m_stream.async_read_some(m_buffer.prepare(ReadBytes), Awaitable);
        if (error) {
            co_return;
        }
        discarded += size;
    }
}

} // namespace burdock::runtime::http::detail
