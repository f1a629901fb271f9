#include <burdock/runtime/http/server.hpp>

#include "listening_socket.hpp"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <tuple>

namespace burdock::runtime::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr unsigned HttpVersion = 11;
constexpr std::size_t ReadBytes = 8 * 1024;
/** Connections that are accepted at a time. */
constexpr u32 MaxAcceptsPerTurn = 64;
/** The body that was read, and the one that is forwarded. */
constexpr u64 BodyCopies = 2;
constexpr u16 ServiceUnavailable = 503;
constexpr std::size_t DiscardBufferBytes = 64 * 1024;
constexpr std::size_t MaxDiscardedBytes = 32 * 1024 * 1024;
constexpr Duration DiscardTimeout = std::chrono::seconds(2);
/** Time for which stopListening() waits for handshakes that have already started. */
constexpr Duration HandshakeGracePeriod = std::chrono::milliseconds(50);

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

class BeastReply : public Reply
{
public:
    BeastReply(beast::tcp_stream &stream, Duration timeout, bool keepAlive)
        : m_stream(stream)
        , m_timeout(timeout)
        , m_keepAlive(keepAlive)
    {
    }

    asio::awaitable<bool> send(const Response &response) override
    {
        beast::http::response<beast::http::string_body> message;
        setStatusLine(message, response.status);
        copyHeaders(response.headers, message);
        message.body() = response.body;
        message.keep_alive(m_keepAlive);
        message.prepare_payload();
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await beast::http::async_write(m_stream, message, Awaitable);
        m_isComplete = !error;
        co_return m_isComplete;
    }

    asio::awaitable<bool> begin(const Response &head) override
    {
        beast::http::response<beast::http::empty_body> message;
        setStatusLine(message, head.status);
        copyHeaders(head.headers, message);
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer(message);
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await beast::http::async_write_header(m_stream, serializer, Awaitable);
        co_return !error;
    }

    asio::awaitable<bool> write(std::string_view chunk) override
    {
        m_stream.expires_after(m_timeout);
        const auto buffers = beast::http::make_chunk(asio::buffer(chunk));
        const auto [error, size] = co_await asio::async_write(m_stream, buffers, Awaitable);
        co_return !error;
    }

    asio::awaitable<bool> end() override
    {
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await asio::async_write(m_stream, beast::http::make_chunk_last(), Awaitable);
        m_isComplete = !error;
        co_return m_isComplete;
    }

    // Nothing reads from the connection while a request is handled, so a disconnect would go unnoticed and endpoints would work on
    // for a caller that is gone. A disconnect makes the socket readable; peeking leaves the bytes of a further request in place.
    void setDisconnectHandler(std::function<void()> onDisconnect) override
    {
        auto watch = std::make_shared<DisconnectWatch>();
        watch->onDisconnect = std::move(onDisconnect);
        m_watch = watch;
        m_stream.socket().async_wait(Tcp::socket::wait_read, [watch, this](const boost::system::error_code &error) {
            if (error || watch->isFinished) {
                return;
            }
            if (isCallerDisconnected()) {
                watch->isFinished = true;
                watch->onDisconnect();
            }
        });
    }

    [[nodiscard]] bool isCallerDisconnected() override
    {
        char byte = 0;
        const auto size = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void clearDisconnectHandler()
    {
        if (m_watch) {
            m_watch->isFinished = true;
            boost::system::error_code ignored;
            m_stream.socket().cancel(ignored);
            m_watch.reset();
        }
    }

    [[nodiscard]] bool isComplete() const
    {
        return m_isComplete;
    }

private:
    struct DisconnectWatch
    {
        std::function<void()> onDisconnect;
        bool isFinished = false;
    };

    beast::tcp_stream &m_stream;
    std::shared_ptr<DisconnectWatch> m_watch; // shared with the handler of the wait
    Duration m_timeout;
    bool m_keepAlive;
    bool m_isComplete = false;
};

Request toRequest(beast::http::request<beast::http::string_body> &&message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

// HTTP forbids a body in a TRACE request, and no HTTP library sends one on.
bool hasForbiddenBody(const beast::http::request<beast::http::string_body> &message)
{
    return message.method() == beast::http::verb::trace && !message.body().empty();
}

// The status for a request that could not be read; 0 if the connection has failed and no response can be sent.
u16 statusForReadError(const boost::system::error_code &error)
{
    if (error == beast::http::error::body_limit) {
        return 413;
    }
    if (error == beast::http::error::header_limit) {
        return 431;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    const bool isParseError = error.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
    const bool isDisconnect = error == beast::http::error::end_of_stream || error == beast::http::error::partial_message;
    return isParseError && !isDisconnect ? 400 : 0;
}

// Closing a connection while the caller still sends makes the caller's system discard the response that it has received. Reading
// on for a limited time prevents this for callers that are not hostile.
asio::awaitable<void> discardInput(beast::tcp_stream &stream)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    std::string buffer(DiscardBufferBytes, '\0');
    stream.expires_after(DiscardTimeout);
    for (std::size_t discarded = 0; discarded < MaxDiscardedBytes;) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(buffer), Awaitable);
        if (error) {
            co_return;
        }
        discarded += size;
    }
}

Response problemResponse(u16 status, const std::string &title)
{
    Response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/problem+json");
    response.body = R"({"title":")" + title + R"(","verdict":"not_run"})";
    return response;
}

} // namespace

asio::awaitable<void> Handler::refuseBody(const Request & /*request*/, Reply &reply)
{
    auto response = problemResponse(ServiceUnavailable, "overloaded");
    response.headers.emplace_back("Retry-After", "1");
    co_await reply.send(response);
}

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
    Impl(asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler, ConnectionGate *gate)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_limits(limits)
        , m_handler(handler)
        , m_gate(gate)
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.native_non_blocking(true);
        m_port = m_acceptor.local_endpoint().port();
    }

    void listen()
    {
        if (m_isStopping) {
            return;
        }
        m_acceptor.listen();
        m_isListening = true;
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    }

    void stopListening()
    {
        if (m_isStopping.exchange(true)) {
            return;
        }
        m_isDrainingBacklog = m_isListening.load();
        asio::co_spawn(m_acceptor.get_executor(), acceptBacklog(shared_from_this()), asio::detached);
    }

    void closeIdle(const std::optional<Response> &finalResponse)
    {
        const std::lock_guard lock(m_mutex);
        m_finalResponse = finalResponse;
        for (auto *connection : m_connections) {
            asio::post(connection->stream.get_executor(), [self = shared_from_this(), connection] { self->cancelIfIdle(connection); });
        }
    }

    void closeAcceptor()
    {
        m_isStopping = true;
        asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    void closeAll()
    {
        detail::resetBacklog(m_acceptor.native_handle());
        const std::lock_guard lock(m_mutex);
        for (auto *connection : m_connections) {
            connection->isClosing = true;
            asio::post(connection->stream.get_executor(), [self = shared_from_this(), connection] { self->resetIfOpen(connection); });
        }
    }

    void cancelAll()
    {
        const std::lock_guard lock(m_mutex);
        for (auto *connection : m_connections) {
            asio::post(connection->stream.get_executor(), [self = shared_from_this(), connection] { self->cancelIfOpen(connection); });
        }
    }

    void setLimits(const ServerLimits &limits)
    {
        m_limits = limits;
    }

    void closeAfterAnswers()
    {
        m_closesAfterAnswers = true;
    }

    [[nodiscard]] u16 port() const
    {
        return m_port;
    }

    [[nodiscard]] u32 busyConnections() const
    {
        return m_busyCount + (m_isDrainingBacklog ? 1 : 0);
    }

private:
    using RequestParser = beast::http::request_parser<beast::http::string_body>;

    /** @brief An open connection; used only on its own strand, except for its entry in the server's set. */
    struct OpenConnection
    {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool isIdle = false; // waiting for the next request
        bool mayReceiveMore = false; // the peer has not learned yet that no further request will be read
        bool isClosing = false; // guarded by the server's mutex; no further request is passed to the handler
    };

    /** @brief Counts a request as busy during its lifetime. */
    class BusyGuard
    {
    public:
        explicit BusyGuard(std::atomic<u32> &count)
            : m_count(count)
        {
            ++m_count;
        }

        ~BusyGuard()
        {
            --m_count;
        }

        BusyGuard(const BusyGuard &) = delete;
        BusyGuard &operator=(const BusyGuard &) = delete;

    private:
        std::atomic<u32> &m_count;
    };

    /** @brief Keeps a connection in the server's set during its lifetime, also if its handler throws. */
    class TrackingGuard
    {
    public:
        TrackingGuard(Impl &server, OpenConnection &connection)
            : m_server(server)
            , m_connection(connection)
        {
            m_server.track(&m_connection);
        }

        ~TrackingGuard()
        {
            m_server.untrack(&m_connection);
        }

        TrackingGuard(const TrackingGuard &) = delete;
        TrackingGuard &operator=(const TrackingGuard &) = delete;

    private:
        Impl &m_server;
        OpenConnection &m_connection;
    };

    void resetIfOpen(OpenConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_connections.count(connection) > 0) {
            boost::system::error_code ignored;
            connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            connection->stream.socket().close(ignored);
        }
    }

    void cancelIfOpen(OpenConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_connections.count(connection) > 0) {
            connection->stream.cancel();
        }
    }

    void cancelIfIdle(OpenConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_connections.count(connection) > 0 && connection->isIdle) {
            connection->stream.cancel();
        }
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (true) {
            const auto [error] = co_await self->m_acceptor.async_wait(Tcp::acceptor::wait_read, Awaitable);
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor || self->m_isStopping) {
                co_return;
            }
            if (error || !self->acceptWaiting()) {
                // The process has probably run out of file descriptors; some connections may end during the pause.
                asio::steady_timer retryTimer(self->m_acceptor.get_executor(), std::chrono::milliseconds(20));
                co_await retryTimer.async_wait(Awaitable);
            }
        }
    }

    // Accepts several connections at a time, and closes those that aren't served before they cost more: under overload each turn of the
    // context takes long, and connections that should be closed would wait in the backlog until their callers give up.
    [[nodiscard]] bool acceptWaiting()
    {
        for (u32 i = 0; i < MaxAcceptsPerTurn; ++i) {
            const auto accepted = detail::acceptConnection(m_acceptor.native_handle());
            if (!accepted.descriptor) {
                return accepted.isBacklogEmpty;
            }
            if (m_gate != nullptr && !m_gate->tryAdmit(openConnectionCount())) {
                detail::resetConnection(*accepted.descriptor);
                continue;
            }
            Tcp::socket socket(asio::make_strand(m_context));
            boost::system::error_code error;
            socket.assign(m_acceptor.local_endpoint(error).protocol(), *accepted.descriptor, error);
            if (error) {
                detail::resetConnection(*accepted.descriptor);
                continue;
            }
            spawnConnection(shared_from_this(), std::move(socket));
        }
        return true;
    }

    [[nodiscard]] std::size_t openConnectionCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

    static void spawnConnection(const std::shared_ptr<Impl> &self, Tcp::socket socket)
    {
        const auto strand = socket.get_executor();
        asio::co_spawn(strand, serveConnection(self, std::move(socket)), asio::detached);
    }

    // Closing the acceptor resets the connections in its backlog, so they are accepted first.
    static asio::awaitable<void> acceptBacklog(std::shared_ptr<Impl> self)
    {
        if (self->m_isListening) {
            detail::dropNewHandshakes(self->m_acceptor.native_handle());
            asio::steady_timer handshakeTimer(self->m_acceptor.get_executor(), HandshakeGracePeriod);
            co_await handshakeTimer.async_wait(Awaitable);
            boost::system::error_code error;
            self->m_acceptor.cancel(error);
            self->m_acceptor.non_blocking(true, error);
            while (!error) {
                Tcp::socket socket(asio::make_strand(self->m_context));
                self->m_acceptor.accept(socket, error);
                if (!error) {
                    spawnConnection(self, std::move(socket));
                }
            }
        }
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_isDrainingBacklog = false;
    }

    static asio::awaitable<void> serveConnection(std::shared_ptr<Impl> self, Tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        OpenConnection connection{beast::tcp_stream(std::move(socket)), {}};
        {
            const TrackingGuard guard(*self, connection);
            while (co_await self->serveRequest(connection)) { }
        }
        if (connection.mayReceiveMore) {
            co_await discardInput(connection.stream);
        }
        connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    // Serves one request; true if the connection may be reused.
    asio::awaitable<bool> serveRequest(OpenConnection &connection)
    {
        auto &stream = connection.stream;
        auto &buffer = connection.buffer;
        RequestParser parser;
        parser.header_limit(m_limits.headerBytes);
        parser.body_limit(m_limits.bodyBytes);
        boost::system::error_code error = co_await waitForRequest(connection);
        const BusyGuard busyGuard(m_busyCount);
        if (!error) {
            stream.expires_after(m_limits.headerTimeout);
            std::tie(error, std::ignore) = co_await beast::http::async_read_header(stream, buffer, parser, Awaitable);
        }
        std::optional<run::MessageShare> bodyShare;
        if (!error && !parser.is_done() && m_limits.bodyMemory != nullptr) {
            bodyShare.emplace(*m_limits.bodyMemory);
        }
        if (!error && !parser.is_done()) {
            error = co_await readBody(connection, parser, bodyShare);
        }
        if (error == asio::error::no_memory) {
            co_await refuseBody(connection, parser.release());
            co_return false;
        }
        if (error == asio::error::operation_aborted) {
            co_await sendFinalResponse(connection);
            co_return false;
        }
        if (!error && hasForbiddenBody(parser.get())) {
            error = beast::http::error::unexpected_body;
        }
        if (error) {
            if (const u16 status = statusForReadError(error); status != 0 && stream.socket().is_open()) {
                BeastReply reply(stream, m_limits.ioTimeout, false);
                const Response response = problemResponse(status, "malformed request");
                co_await reply.send(response);
                co_await discardInput(stream);
            }
            co_return false;
        }
        if (isClosing(connection)) {
            co_return false;
        }
        const bool clientKeepsAlive = parser.get().keep_alive();
        const bool keepAlive = clientKeepsAlive && !m_isStopping && !m_closesAfterAnswers;
        const auto request = toRequest(parser.release());
        BeastReply reply(stream, m_limits.ioTimeout, keepAlive);
        co_await m_handler.handle(request, reply);
        reply.clearDisconnectHandler();
        const bool canReuse = keepAlive && reply.isComplete();
        connection.mayReceiveMore = clientKeepsAlive && !canReuse;
        co_return canReuse;
    }

    // Returns asio::error::no_memory if the body doesn't fit into its share.
    asio::awaitable<boost::system::error_code> readBody(OpenConnection &connection, RequestParser &parser,
                                                        std::optional<run::MessageShare> &share)
    {
        const auto announced = parser.content_length();
        boost::system::error_code error;
        parser.eager(true);
        connection.stream.expires_after(m_limits.ioTimeout);
        while (!error && !parser.is_done()) {
            const u64 bytes = announced.value_or(parser.get().body().capacity());
            if (share && !share->tryResize(BodyCopies * bytes)) {
                co_return asio::error::no_memory;
            }
            std::tie(error, std::ignore) = co_await beast::http::async_read_some(connection.stream, connection.buffer, parser, Awaitable);
        }
        co_return error;
    }

    asio::awaitable<void> refuseBody(OpenConnection &connection, beast::http::request<beast::http::string_body> message)
    {
        message.body().clear();
        const auto request = toRequest(std::move(message));
        BeastReply reply(connection.stream, m_limits.ioTimeout, false);
        co_await m_handler.refuseBody(request, reply);
        connection.mayReceiveMore = true;
    }

    // Waits for the first byte of the next request.
    asio::awaitable<boost::system::error_code> waitForRequest(OpenConnection &connection)
    {
        if (connection.buffer.size() > 0) {
            co_return boost::system::error_code();
        }
        auto error = co_await readFirstBytes(connection);
        boost::system::error_code ignored;
        if (error == asio::error::operation_aborted && connection.stream.socket().available(ignored) > 0) {
            // The request arrived before closeIdle() cancelled the wait.
            error = co_await readFirstBytes(connection);
        }
        const bool isIdle = error == beast::error::timeout || error == asio::error::eof;
        co_return isIdle ? boost::system::error_code(beast::http::error::end_of_stream) : error;
    }

    asio::awaitable<void> sendFinalResponse(OpenConnection &connection)
    {
        std::optional<Response> finalResponse;
        {
            const std::lock_guard lock(m_mutex);
            finalResponse = m_finalResponse;
        }
        if (finalResponse && connection.stream.socket().is_open()) {
            BeastReply reply(connection.stream, m_limits.ioTimeout, false);
            connection.mayReceiveMore = co_await reply.send(*finalResponse);
        }
    }

    asio::awaitable<boost::system::error_code> readFirstBytes(OpenConnection &connection)
    {
        connection.isIdle = true;
        connection.stream.expires_after(m_limits.idleTimeout);
        const auto space = connection.buffer.prepare(ReadBytes);
        const auto [error, size] = co_await connection.stream.async_read_some(space, Awaitable);
        connection.buffer.commit(size);
        connection.isIdle = false;
        co_return error;
    }

    [[nodiscard]] bool isClosing(const OpenConnection &connection)
    {
        const std::lock_guard lock(m_mutex);
        return connection.isClosing;
    }

    void track(OpenConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(connection);
    }

    void untrack(OpenConnection *connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    ServerLimits m_limits;
    Handler &m_handler;
    ConnectionGate *m_gate;
    u16 m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_closesAfterAnswers{false};
    std::atomic<bool> m_isListening{false};
    std::atomic<bool> m_isDrainingBacklog{false}; // accepting the backlog after stopListening()
    std::atomic<u32> m_busyCount{0};
    std::mutex m_mutex;
    std::set<OpenConnection *> m_connections;
    std::optional<Response> m_finalResponse; // sent on connections that closeIdle() closes
};

Server::Server(asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler, ListenMode mode,
               ConnectionGate *gate)
    : m_impl(std::make_shared<Impl>(context, address, limits, handler, gate))
{
    if (mode == ListenMode::Immediate) {
        m_impl->listen();
    }
}

void Server::listen()
{
    m_impl->listen();
}

Server::~Server()
{
    m_impl->closeAcceptor();
}

u16 Server::port() const
{
    return m_impl->port();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_impl->setLimits(limits);
}

void Server::closeAfterAnswers()
{
    m_impl->closeAfterAnswers();
}

void Server::stopListening()
{
    m_impl->stopListening();
}

void Server::closeIdle(const std::optional<Response> &finalResponse)
{
    m_impl->closeIdle(finalResponse);
}

void Server::cancelAll()
{
    m_impl->cancelAll();
}

void Server::closeAll()
{
    m_impl->closeAll();
}

u32 Server::busyConnections() const
{
    return m_impl->busyConnections();
}

} // namespace burdock::runtime::http
