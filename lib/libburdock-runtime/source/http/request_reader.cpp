#include "request_reader.hpp"

#include <algorithm>

namespace burdock::runtime::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using admission::ClientMessage;
using admission::ClientPhase;

namespace {

/** Beast reads into no less than this. */
constexpr std::size_t MinFreeBytes = 512;
/** Fields that are kept of a head that waits for memory, or is refused for want of it. */
constexpr u64 MaxFieldsWithoutMemory = 64;
/** Bodies from this size on are received through a wide buffer. */
constexpr u64 LongBodyBytes = 16 * 1024;

} // namespace

RequestReader::RequestReader(ClientConnection &connection, const ServerLimits &limits)
    : m_connection(connection)
    , m_limits(limits)
{
}

RequestReader::Result RequestReader::waitForRequest()
{
    if (m_connection.buffer().size() > 0) {
        co_return boost::system::error_code();
    }
    auto error = co_await readFirstBytes();
    boost::system::error_code ignored;
    if (error == asio::error::operation_aborted && m_connection.stream().socket().available(ignored) > 0) {
        // The request arrived before the wait of an idle connection was cancelled.
        error = co_await readFirstBytes();
    }
    const bool isIdle = error == beast::error::timeout || error == asio::error::eof;
    co_return isIdle ? boost::system::error_code(beast::http::error::end_of_stream) : error;
}

RequestReader::Result RequestReader::readFirstBytes()
{
    m_connection.stream().expires_after(m_limits.idleTimeout);
    const auto space = m_connection.buffer().prepare(ReadBytes);
    const auto [error, size] = co_await m_connection.stream().async_read_some(space, Awaitable);
    m_connection.buffer().commit(size);
    co_return error;
}

RequestReader::Result RequestReader::read()
{
    m_input.emplace(wire::MessageKind::Request, m_limits.headerBytes);
    m_parser.header_limit(m_limits.headerBytes);
    m_parser.body_limit(m_limits.bodyBytes);
    // Bounds the trailers, and each chunk's size with its extension: Beast keeps them in the buffer until they are complete.
    m_connection.buffer().max_size(m_limits.headerBytes + ReadBytes);
    m_connection.enter(ClientPhase::Receiving);
    auto error = co_await readHead();
    if (!error && !m_parser.is_done()) {
        error = co_await readBody();
    }
    m_request.body = std::move(m_parser.get().body());
    if (!error && hasForbiddenBody()) {
        error = beast::http::error::unexpected_body;
    }
    co_return error;
}

RequestReader::Result RequestReader::readHead()
{
    boost::system::error_code error;
    m_connection.stream().expires_after(m_limits.headerTimeout);
    while (!error && !m_parser.is_header_done()) {
        error = co_await advance();
    }
    if (error) {
        co_return error;
    }
    if (takeHead()) {
        co_return error;
    }
    const bool hasMemory = co_await m_connection.reserve(m_headBytes, ClientMessage::Request);
    if (!hasMemory || m_isHeadCut) {
        error = asio::error::no_memory;
    }
    co_return error;
}

RequestReader::Result RequestReader::readBody()
{
    const auto announced = m_parser.content_length();
    boost::system::error_code error;
    bool isWide = false;
    m_parser.eager(true);
    m_connection.stream().expires_after(m_limits.ioTimeout);
    while (!error && !m_parser.is_done()) {
        const u64 size = announced.value_or(m_parser.get().body().size());
        const bool isLong = size >= LongBodyBytes;
        m_bodyBytes = admission::bodyBytes(size) + (isLong ? WideReceiveBufferBytes : 0);
        error = co_await advance();
        if (isLong && !isWide && m_connection.reservedBytes() >= m_headBytes + m_bodyBytes) {
            m_connection.widenReceiveBuffer();
            isWide = true;
        }
    }
    co_return error;
}

// Parses what has been read, or reads more if that isn't enough. Beast's own loop would read on until a trailer or a chunk's size ends.
RequestReader::Result RequestReader::advance()
{
    auto error = m_input->parse(m_connection.buffer(), m_parser);
    if (error == beast::http::error::need_more) {
        error = co_await readMore();
    }
    co_return error;
}

// Takes the memory for what the buffer may grow to before it does.
RequestReader::Result RequestReader::readMore()
{
    auto &buffer = m_connection.buffer();
    if (buffer.size() >= buffer.max_size()) {
        co_return beast::http::error::buffer_overflow;
    }
    const bool mustGrow = buffer.capacity() - buffer.size() < MinFreeBytes;
    const std::size_t capacity = mustGrow ? std::min(2 * buffer.capacity(), buffer.max_size()) : buffer.capacity();
    const u64 bufferBytes = capacity > ReadBytes ? capacity - ReadBytes : 0;
    const bool hasMemory = co_await m_connection.reserve(m_headBytes + m_bodyBytes + bufferBytes, ClientMessage::Request);
    if (!hasMemory) {
        co_return asio::error::no_memory;
    }
    const auto space = buffer.prepare(std::max<std::size_t>(capacity - buffer.size(), 1));
    const auto [error, size] = co_await m_connection.stream().async_read_some(space, Awaitable);
    buffer.commit(size);
    m_connection.noteProgress(ClientPhase::Receiving, size);
    co_return error == asio::error::eof ? boost::system::error_code(beast::http::error::partial_message) : error;
}

bool RequestReader::takeHead()
{
    auto &message = m_parser.get();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    u64 fields = 0;
    u64 textBytes = m_request.target.size();
    for (const auto &field : message) {
        ++fields;
        textBytes += field.name_string().size() + field.value().size();
    }
    m_headBytes = admission::headBytes(fields, textBytes);
    const bool hasMemory = m_connection.tryReserve(m_headBytes, ClientMessage::Request);
    m_isHeadCut = !hasMemory && fields > MaxFieldsWithoutMemory;
    const u64 kept = m_isHeadCut ? MaxFieldsWithoutMemory : fields;
    m_request.headers.reserve(kept);
    for (const auto &field : message) {
        if (m_request.headers.size() < kept) {
            m_request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }
    message.clear();
    return hasMemory;
}

// HTTP forbids a body in a TRACE request, and no HTTP library sends one on.
bool RequestReader::hasForbiddenBody() const
{
    return m_request.method == "TRACE" && !m_request.body.empty();
}

const Request &RequestReader::request() const
{
    return m_request;
}

bool RequestReader::keepsAlive() const
{
    return m_parser.keep_alive();
}

u16 RequestReader::statusFor(const boost::system::error_code &error)
{
    if (error == beast::http::error::body_limit) {
        return 413;
    }
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
        return 431;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    const bool isParseError = error.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
    const bool isDisconnect = error == beast::http::error::end_of_stream || error == beast::http::error::partial_message;
    return isParseError && !isDisconnect ? 400 : 0;
}

} // namespace burdock::runtime::http::detail
