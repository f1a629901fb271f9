#include <burdock/runtime/http/server.hpp>

#include "beast_reply.hpp"
#include "client_connection.hpp"
#include "connection_registry.hpp"
#include "listening_socket.hpp"
#include "request_reader.hpp"

#include <atomic>
#include <optional>

namespace burdock::runtime::http {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using admission::ClientPhase;
using detail::Awaitable;
using detail::BeastReply;
using detail::ClientConnection;
using detail::ConnectionRegistry;
using detail::RequestReader;

/** Connections that are accepted at a time. */
constexpr u32 MaxAcceptsPerTurn = 64;
constexpr u16 ServiceUnavailable = 503;
constexpr std::string_view HeadMethod = "HEAD";
constexpr u32 OperatorHeaderBytes = 8 * 1024;
constexpr u64 OperatorBodyBytes = 4 * 1024;
constexpr u32 OperatorConnections = 16;
constexpr Duration OperatorTimeout = std::chrono::seconds(5);
/** Time for which stopListening() waits for handshakes that have already started. */
constexpr Duration HandshakeGracePeriod = std::chrono::milliseconds(50);

Response problemResponse(u16 status, const std::string &title)
{
    Response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/problem+json");
    response.body = R"({"title":")" + title + R"(","verdict":"not_run"})";
    return response;
}

} // namespace

ServerLimits operatorLimits(admission::ClientMemory &memory)
{
    ServerLimits limits;
    limits.headerBytes = OperatorHeaderBytes;
    limits.bodyBytes = OperatorBodyBytes;
    limits.connections = OperatorConnections;
    limits.memory = &memory;
    limits.ioTimeout = OperatorTimeout;
    limits.headerTimeout = OperatorTimeout;
    return limits;
}

asio::awaitable<void> Handler::refuseUnread(const Request & /*request*/, Reply &reply)
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
        , m_connections(std::make_shared<ConnectionRegistry>(gate))
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        limitBuffers();
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
        m_connections->resetAll();
    }

    [[nodiscard]] ConnectionRegistry &connections()
    {
        return *m_connections;
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

    /** @brief What follows a request on its connection. */
    enum class Next : u8 {
        Request,
        Close,
        Discard, ///< the client may not know yet that no further request will be read
    };

    // Accepted connections inherit the sizes of their buffers.
    void limitBuffers()
    {
        if (m_limits.memory == nullptr) {
            return;
        }
        boost::system::error_code ignored;
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(admission::ConnectionBufferBytes), ignored);
        m_acceptor.set_option(asio::socket_base::send_buffer_size(admission::ConnectionBufferBytes), ignored);
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
            if (!tryAdmit()) {
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

    [[nodiscard]] bool tryAdmit()
    {
        if (m_gate != nullptr && !m_gate->tryAdmit()) {
            return false;
        }
        const bool hasRoom = m_connections->makeRoomForConnection(m_limits.connections);
        if (!hasRoom && m_gate != nullptr) {
            m_gate->noteFull();
        }
        return hasRoom;
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
                if (!error && self->m_connections->makeRoomForConnection(self->m_limits.connections)) {
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
        // The registry outlives the connection also if the handler throws.
        const auto connections = self->m_connections;
        ClientConnection connection(std::move(socket), *connections, self->m_limits.memory);
        Next next = Next::Request;
        while (next == Next::Request) {
            next = co_await self->serveRequest(connection);
            connection.releaseMessages();
        }
        if (next == Next::Discard) {
            co_await connection.discardInput();
        }
        connection.stream().socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    asio::awaitable<Next> serveRequest(ClientConnection &connection)
    {
        RequestReader reader(connection, m_limits);
        boost::system::error_code error = co_await reader.waitForRequest();
        const BusyGuard busyGuard(m_busyCount);
        if (!error) {
            error = co_await reader.read();
        }
        if (error) {
            co_return co_await answerUnread(connection, reader.request(), error);
        }
        if (!connection.enter(ClientPhase::Working)) {
            co_return Next::Close;
        }
        const bool keepAlive = reader.keepsAlive() && !m_isStopping && !m_closesAfterAnswers;
        BeastReply reply(connection, m_limits.ioTimeout, {keepAlive, reader.request().method != HeadMethod});
        co_await m_handler.handle(reader.request(), reply);
        reply.clearDisconnectHandler();
        connection.enter(ClientPhase::Idle);
        if (keepAlive && reply.isComplete()) {
            co_return Next::Request;
        }
        co_return reader.keepsAlive() ? Next::Discard : Next::Close;
    }

    /** @brief Answers a request that was not read completely, if that is possible. */
    asio::awaitable<Next> answerUnread(ClientConnection &connection, const Request &request, boost::system::error_code error)
    {
        if (!connection.stream().socket().is_open()) {
            co_return Next::Close;
        }
        connection.releaseMessages();
        BeastReply reply(connection, m_limits.ioTimeout, {false, request.method != HeadMethod});
        if (error == asio::error::no_memory) {
            co_await m_handler.refuseUnread(request, reply);
            co_return Next::Discard;
        }
        if (error == asio::error::operation_aborted) {
            co_return co_await sendFinalResponse(reply);
        }
        const u16 status = RequestReader::statusFor(error);
        if (status == 0) {
            co_return Next::Close;
        }
        const Response response = problemResponse(status, "malformed request");
        co_await reply.send(response);
        co_return Next::Discard;
    }

    asio::awaitable<Next> sendFinalResponse(Reply &reply)
    {
        const auto finalResponse = m_connections->finalResponse();
        if (!finalResponse) {
            co_return Next::Close;
        }
        const bool isSent = co_await reply.send(*finalResponse);
        co_return isSent ? Next::Discard : Next::Close;
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
    std::shared_ptr<ConnectionRegistry> m_connections; // shared with the connections and with what is posted to them
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
    m_impl->connections().closeIdle(finalResponse);
}

u32 Server::closeStalled(u32 most)
{
    return m_impl->connections().closeStalled(most);
}

void Server::cancelAll()
{
    m_impl->connections().cancelAll();
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
