#include "beast_reply.hpp"

#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace burdock::runtime::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using admission::ClientPhase;

namespace {

constexpr unsigned HttpVersion = 11;

void copyHeaders(const Headers &from, beast::http::fields &to)
{
    for (const auto &[name, value] : from) {
        to.insert(name, value);
    }
}

// Set as a number, since Beast's enumeration lists only registered statuses.
void setStatusLine(beast::http::header<false> &head, u16 status)
{
    head.version(HttpVersion);
    head.result(static_cast<unsigned>(status));
}

} // namespace

BeastReply::BeastReply(ClientConnection &connection, Duration timeout, const ReplyOptions &options)
    : m_connection(connection)
    , m_requestBytes(connection.reservedBytes())
    , m_timeout(timeout)
    , m_options(options)
{
}

asio::awaitable<bool> BeastReply::send(const Response &response)
{
    if (!m_options.hasBody) {
        m_isComplete = co_await begin(response);
        co_return m_isComplete;
    }
    const bool hasMemory = co_await reserve(response.body.size());
    if (!hasMemory) {
        co_return false;
    }
    beast::http::response<beast::http::span_body<const char>> message;
    setStatusLine(message, response.status);
    copyHeaders(response.headers, message);
    message.body() = {response.body.data(), response.body.size()};
    message.keep_alive(m_options.keepAlive);
    message.prepare_payload();
    beast::http::response_serializer<beast::http::span_body<const char>> serializer(message);
    startWrite();
    boost::system::error_code error;
    while (!error && !serializer.is_done()) {
        std::size_t size = 0;
        std::tie(error, size) = co_await beast::http::async_write_some(m_connection.stream(), serializer, Awaitable);
        m_connection.noteProgress(ClientPhase::Sending, size);
    }
    m_isComplete = !error;
    endWrite();
    co_return m_isComplete;
}

asio::awaitable<bool> BeastReply::begin(const Response &head)
{
    beast::http::response<beast::http::empty_body> message;
    setStatusLine(message, head.status);
    copyHeaders(head.headers, message);
    message.keep_alive(m_options.keepAlive);
    if (m_options.hasBody) {
        message.chunked(true);
    }
    beast::http::response_serializer<beast::http::empty_body> serializer(message);
    startWrite();
    const auto [error, size] = co_await beast::http::async_write_header(m_connection.stream(), serializer, Awaitable);
    endWrite();
    co_return !error;
}

asio::awaitable<bool> BeastReply::write(std::string_view chunk)
{
    if (!m_options.hasBody) {
        co_return true;
    }
    const bool hasMemory = co_await reserve(chunk.size());
    if (!hasMemory) {
        co_return false;
    }
    startWrite();
    const auto buffers = beast::http::make_chunk(asio::buffer(chunk));
    const auto [error, size] = co_await asio::async_write(m_connection.stream(), buffers, Awaitable);
    endWrite();
    co_return !error;
}

asio::awaitable<bool> BeastReply::end()
{
    if (!m_options.hasBody) {
        m_isComplete = true;
        co_return true;
    }
    startWrite();
    const auto [error, size] = co_await asio::async_write(m_connection.stream(), beast::http::make_chunk_last(), Awaitable);
    endWrite();
    m_isComplete = !error;
    co_return m_isComplete;
}

// Nothing reads from the connection while a request is handled, so a disconnect would go unnoticed and endpoints would work on for a caller
// that is gone. A disconnect makes the socket readable; peeking leaves the bytes of a further request in place.
void BeastReply::setDisconnectHandler(std::function<void()> onDisconnect)
{
    auto watch = std::make_shared<DisconnectWatch>();
    watch->onDisconnect = std::move(onDisconnect);
    m_watch = watch;
    m_connection.stream().socket().async_wait(Tcp::socket::wait_read, [watch, this](const boost::system::error_code &error) {
        if (error || watch->isFinished) {
            return;
        }
        if (isCallerDisconnected()) {
            watch->isFinished = true;
            watch->onDisconnect();
        }
    });
}

bool BeastReply::isCallerDisconnected()
{
    char byte = 0;
    const auto size = ::recv(m_connection.stream().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void BeastReply::clearDisconnectHandler()
{
    if (m_watch) {
        m_watch->isFinished = true;
        boost::system::error_code ignored;
        m_connection.stream().socket().cancel(ignored);
        m_watch.reset();
    }
}

bool BeastReply::isComplete() const
{
    return m_isComplete;
}

asio::awaitable<bool> BeastReply::reserve(std::size_t bytes)
{
    return m_connection.reserve(m_requestBytes + bytes, admission::ClientMessage::Answer);
}

void BeastReply::startWrite()
{
    m_connection.enter(ClientPhase::Sending);
    m_connection.stream().expires_after(m_timeout);
}

void BeastReply::endWrite()
{
    m_connection.enter(ClientPhase::Working);
}

} // namespace burdock::runtime::http::detail
