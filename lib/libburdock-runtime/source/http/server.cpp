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
constexpr std::size_t ReadBytes = 8 * 1024;
constexpr std::size_t DiscardBufferBytes = 64 * 1024;
constexpr std::size_t DiscardAtMost = 32 * 1024 * 1024;
constexpr Duration DiscardTime = std::chrono::seconds(2);
/** Time in which a handshake that was begun completes. */
constexpr Duration HandshakeTime = std::chrono::milliseconds(50);

void copyHeaders(const Headers &from, beast::http::fields &to)
{
    for (const auto &[name, value] : from) {
        to.insert(name, value);
    }
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
        beast::http::response<beast::http::string_body> message(beast::http::int_to_status(response.status), 11);
        copyHeaders(response.headers, message);
        message.body() = response.body;
        message.keep_alive(m_keepAlive);
        message.prepare_payload();
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await beast::http::async_write(m_stream, message, Awaitable);
        m_isWhole = !error;
        co_return m_isWhole;
    }

    asio::awaitable<bool> begin(const Response &head) override
    {
        beast::http::response<beast::http::empty_body> message(beast::http::int_to_status(head.status), 11);
        copyHeaders(head.headers, message);
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer(message);
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await beast::http::async_write_header(m_stream, serializer, Awaitable);
        co_return !error;
    }

    asio::awaitable<bool> write(std::string_view piece) override
    {
        m_stream.expires_after(m_timeout);
        const auto buffers = beast::http::make_chunk(asio::buffer(piece));
        const auto [error, size] = co_await asio::async_write(m_stream, buffers, Awaitable);
        co_return !error;
    }

    asio::awaitable<bool> end() override
    {
        m_stream.expires_after(m_timeout);
        const auto [error, size] = co_await asio::async_write(m_stream, beast::http::make_chunk_last(), Awaitable);
        m_isWhole = !error;
        co_return m_isWhole;
    }

    // Guards against work for callers that have left: it shows as endpoints that go on long after the caller's close, as nothing
    // reads from the connection while an answer is made. Waiting for it to become readable and looking without taking
    // holds, since a close makes it readable and a further request stays where it is.
    void setDisconnectHandler(std::function<void()> onGone) override
    {
        auto watch = std::make_shared<Watch>();
        watch->onGone = std::move(onGone);
        m_watch = watch;
        m_stream.socket().async_wait(Tcp::socket::wait_read, [watch, this](const boost::system::error_code &error) {
            if (error || watch->isOver) {
                return;
            }
            if (isCallerDisconnected()) {
                watch->isOver = true;
                watch->onGone();
            }
        });
    }

    [[nodiscard]] bool isCallerDisconnected() override
    {
        char byte = 0;
        const auto size = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void endWatch()
    {
        if (m_watch) {
            m_watch->isOver = true;
            boost::system::error_code ignored;
            m_stream.socket().cancel(ignored);
            m_watch.reset();
        }
    }

    [[nodiscard]] bool isWhole() const
    {
        return m_isWhole;
    }

private:
    struct Watch
    {
        std::function<void()> onGone;
        bool isOver = false;
    };

    beast::tcp_stream &m_stream;
    std::shared_ptr<Watch> m_watch; // shared with the handler of the wait
    Duration m_timeout;
    bool m_keepAlive;
    bool m_isWhole = false;
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

// The status that answers a request which could not be read; 0 if the connection is gone.
u16 statusFor(const boost::system::error_code &error)
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
    const bool isBroken = error.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
    const bool isEnd = error == beast::http::error::end_of_stream || error == beast::http::error::partial_message;
    return isBroken && !isEnd ? 400 : 0;
}

// Guards against an answer that its caller never sees: it shows when a connection is closed while the caller still sends, which
// makes its system throw away what it has received. Reading on for a bounded time holds for callers that are not hostile.
asio::awaitable<void> discardInput(beast::tcp_stream &stream)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    std::string buffer(DiscardBufferBytes, '\0');
    stream.expires_after(DiscardTime);
    for (std::size_t discarded = 0; discarded < DiscardAtMost;) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(buffer), Awaitable);
        if (error) {
            co_return;
        }
        discarded += size;
    }
}

Response malformedRequest(u16 status)
{
    Response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/problem+json");
    response.body = R"({"title":"malformed request","verdict":"not_run"})";
    return response;
}

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
    Impl(asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_limits(limits)
        , m_handler(handler)
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
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
        m_isAccepting = m_isListening.load();
        asio::co_spawn(m_acceptor.get_executor(), acceptLast(shared_from_this()), asio::detached);
    }

    void closeIdle(const std::optional<Response> &farewell)
    {
        const std::lock_guard lock(m_mutex);
        m_farewell = farewell;
        for (auto *open : m_open) {
            asio::post(open->stream.get_executor(), [self = shared_from_this(), open] { self->cancelIfIdle(open); });
        }
    }

    void abandon()
    {
        m_isStopping = true;
        asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    void closeAll()
    {
        const std::lock_guard lock(m_mutex);
        for (auto *open : m_open) {
            asio::post(open->stream.get_executor(), [self = shared_from_this(), open] { self->closeIfOpen(open); });
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
        return m_busy + (m_isAccepting ? 1 : 0);
    }

private:
    /** @brief An open connection; but for the server's set of them, only its own strand touches it. */
    struct Open
    {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool isIdle = false; // waits for its next request
        bool mayGetMore = false; // its peer doesn't know yet that no further request is read
    };

    /** @brief Counts a request as under way while it lives. */
    class Busy
    {
    public:
        explicit Busy(std::atomic<u32> &count)
            : m_count(count)
        {
            ++m_count;
        }

        ~Busy()
        {
            --m_count;
        }

        Busy(const Busy &) = delete;
        Busy &operator=(const Busy &) = delete;

    private:
        std::atomic<u32> &m_count;
    };

    void closeIfOpen(Open *open)
    {
        const std::lock_guard lock(m_mutex);
        if (m_open.count(open) > 0) {
            boost::system::error_code ignored;
            open->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            open->stream.socket().close(ignored);
        }
    }

    void cancelIfIdle(Open *open)
    {
        const std::lock_guard lock(m_mutex);
        if (m_open.count(open) > 0 && open->isIdle) {
            open->stream.cancel();
        }
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (true) {
            Tcp::socket socket(asio::make_strand(self->m_context));
            const auto [error] = co_await self->m_acceptor.async_accept(socket, Awaitable);
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
                co_return;
            }
            if (error) {
                // Out of descriptors, most likely; waiting a moment lets some connections end.
                asio::steady_timer pause(self->m_acceptor.get_executor(), std::chrono::milliseconds(20));
                co_await pause.async_wait(Awaitable);
                continue;
            }
            spawnServe(self, std::move(socket));
        }
    }

    static void spawnServe(const std::shared_ptr<Impl> &self, Tcp::socket socket)
    {
        const auto strand = socket.get_executor();
        asio::co_spawn(strand, serve(self, std::move(socket)), asio::detached);
    }

    // Guards against a request that is reset unread because its connection waits to be accepted when listening ends.
    static asio::awaitable<void> acceptLast(std::shared_ptr<Impl> self)
    {
        if (self->m_isListening) {
            detail::ignoreNewPeers(self->m_acceptor.native_handle());
            asio::steady_timer handshakes(self->m_acceptor.get_executor(), HandshakeTime);
            co_await handshakes.async_wait(Awaitable);
            boost::system::error_code error;
            self->m_acceptor.cancel(error);
            self->m_acceptor.non_blocking(true, error);
            while (!error) {
                Tcp::socket socket(asio::make_strand(self->m_context));
                self->m_acceptor.accept(socket, error);
                if (!error) {
                    spawnServe(self, std::move(socket));
                }
            }
        }
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_isAccepting = false;
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, Tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        Open open{beast::tcp_stream(std::move(socket)), {}};
        self->track(&open);
        while (co_await self->serveOne(open)) { }
        self->untrack(&open);
        if (open.mayGetMore) {
            co_await discardInput(open.stream);
        }
        open.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    // Answers one request; true if the connection may carry another.
    asio::awaitable<bool> serveOne(Open &open)
    {
        auto &stream = open.stream;
        auto &buffer = open.buffer;
        beast::http::request_parser<beast::http::string_body> parser;
        parser.header_limit(m_limits.headerBytes);
        parser.body_limit(m_limits.bodyBytes);
        boost::system::error_code error = co_await awaitBegin(open);
        const Busy busy(m_busy);
        if (!error) {
            stream.expires_after(m_limits.headerTimeout);
            std::tie(error, std::ignore) = co_await beast::http::async_read_header(stream, buffer, parser, Awaitable);
        }
        if (!error && !parser.is_done()) {
            stream.expires_after(m_limits.ioTimeout);
            std::tie(error, std::ignore) = co_await beast::http::async_read(stream, buffer, parser, Awaitable);
        }
        if (error == asio::error::operation_aborted) {
            co_await sayFarewell(open);
            co_return false;
        }
        if (error) {
            if (const u16 status = statusFor(error); status != 0 && stream.socket().is_open()) {
                BeastReply reply(stream, m_limits.ioTimeout, false);
                const Response problem = malformedRequest(status);
                co_await reply.send(problem);
                co_await discardInput(stream);
            }
            co_return false;
        }
        const bool wantsMore = parser.get().keep_alive();
        const bool keepAlive = wantsMore && !m_isStopping && !m_closesAfterAnswers;
        const auto request = toRequest(parser.release());
        BeastReply reply(stream, m_limits.ioTimeout, keepAlive);
        co_await m_handler.handle(request, reply);
        reply.endWatch();
        const bool goesOn = keepAlive && reply.isWhole();
        open.mayGetMore = wantsMore && !goesOn;
        co_return goesOn;
    }

    // Waits for the first byte of the next request.
    asio::awaitable<boost::system::error_code> awaitBegin(Open &open)
    {
        if (open.buffer.size() > 0) {
            co_return boost::system::error_code();
        }
        auto error = co_await readBegin(open);
        boost::system::error_code ignored;
        if (error == asio::error::operation_aborted && open.stream.socket().available(ignored) > 0) {
            // Arrived before closeIdle() ended the wait.
            error = co_await readBegin(open);
        }
        const bool isIdle = error == beast::error::timeout || error == asio::error::eof;
        co_return isIdle ? boost::system::error_code(beast::http::error::end_of_stream) : error;
    }

    asio::awaitable<void> sayFarewell(Open &open)
    {
        std::optional<Response> farewell;
        {
            const std::lock_guard lock(m_mutex);
            farewell = m_farewell;
        }
        if (farewell && open.stream.socket().is_open()) {
            BeastReply reply(open.stream, m_limits.ioTimeout, false);
            open.mayGetMore = co_await reply.send(*farewell);
        }
    }

    asio::awaitable<boost::system::error_code> readBegin(Open &open)
    {
        open.isIdle = true;
        open.stream.expires_after(m_limits.idleTimeout);
        const auto room = open.buffer.prepare(ReadBytes);
        const auto [error, size] = co_await open.stream.async_read_some(room, Awaitable);
        open.buffer.commit(size);
        open.isIdle = false;
        co_return error;
    }

    void track(Open *open)
    {
        const std::lock_guard lock(m_mutex);
        m_open.insert(open);
    }

    void untrack(Open *open)
    {
        const std::lock_guard lock(m_mutex);
        m_open.erase(open);
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    ServerLimits m_limits;
    Handler &m_handler;
    u16 m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_closesAfterAnswers{false};
    std::atomic<bool> m_isListening{false};
    std::atomic<bool> m_isAccepting{false}; // the last connections, after listening has ended
    std::atomic<u32> m_busy{0};
    std::mutex m_mutex;
    std::set<Open *> m_open;
    std::optional<Response> m_farewell; // to connections that are closed while they wait for a request
};

Server::Server(asio::io_context &context, const Address &address, const ServerLimits &limits, Handler &handler, ListenMode listening)
    : m_impl(std::make_shared<Impl>(context, address, limits, handler))
{
    if (listening == ListenMode::Immediate) {
        m_impl->listen();
    }
}

void Server::listen()
{
    m_impl->listen();
}

Server::~Server()
{
    m_impl->abandon();
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

void Server::closeIdle(const std::optional<Response> &farewell)
{
    m_impl->closeIdle(farewell);
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
