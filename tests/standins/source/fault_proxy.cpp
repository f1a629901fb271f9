#include <standins/fault_proxy.hpp>

#include <burdock/runtime/http/message.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BufferBytes = 16 * 1024;
constexpr Duration HoldPollInterval = std::chrono::milliseconds(1);

struct Connection
{
    explicit Connection(Tcp::socket &&accepted)
        : caller(std::move(accepted))
        , server(caller.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        server.close(ignored);
    }

    // Closes like a connection that breaks on the way: without the regular end that marks a body without a length as complete.
    void reset()
    {
        boost::system::error_code ignored;
        caller.set_option(asio::socket_base::linger(true, 0), ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    [[nodiscard]] bool hasCallerLeft()
    {
        char byte = 0;
        const auto size = ::recv(caller.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    Tcp::socket caller;
    Tcp::socket server;
    std::atomic<bool> isFrozen{false};
    u64 number = 0; ///< counted from 1 in the order in which connections were accepted
    u64 responseBytes = 0;
};

} // namespace

class FaultProxy::Impl : public std::enable_shared_from_this<FaultProxy::Impl>
{
public:
    Impl(asio::io_context &workers, const std::string &target)
        : m_workers(workers)
        , m_acceptor(asio::make_strand(workers), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        const auto address = runtime::http::parseAddress(target);
        m_target = Tcp::endpoint(asio::ip::make_address(address.ip), address.port);
    }

    void start()
    {
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    }

    void stop()
    {
        asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] { self->m_acceptor.close(); });
        forEach([](const std::shared_ptr<Connection> &connection) { connection->close(); });
    }

    template <typename Function>
    void forEach(Function function)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock()) {
                asio::post(connection->caller.get_executor(), [connection, function] { function(connection); });
            }
        }
    }

    void hold(const std::string &start, u32 maxRequests)
    {
        const std::lock_guard lock(m_mutex);
        m_holds[start] = {maxRequests, 0};
    }

    void release(const std::string &start)
    {
        const std::lock_guard lock(m_mutex);
        m_holds.erase(start);
    }

    [[nodiscard]] bool isHolding(const std::string &start)
    {
        const std::lock_guard lock(m_mutex);
        return m_holds.count(start) > 0;
    }

    [[nodiscard]] std::vector<std::string> heldStarts()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> starts;
        for (const auto &[start, hold] : m_holds) {
            starts.push_back(start);
        }
        return starts;
    }

    [[nodiscard]] u32 heldRequests(const std::string &start)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_holds.find(start);
        return found == m_holds.end() ? 0 : found->second.requests;
    }

    u16 port()
    {
        return m_acceptor.local_endpoint().port();
    }

    std::atomic<bool> isRefusing{false};
    std::atomic<bool> isDroppingResponses{false};
    std::atomic<i64> delayUs{0};
    std::atomic<u64> closeAfterBytes{0};
    std::atomic<u64> connections{0};
    std::atomic<u64> lastHeldResponse{0}; // number of the latest connection whose responses are held; 0 for none

private:
    struct Hold
    {
        u32 maxRequests = 0;
        u32 requests = 0; // held so far
    };

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (true) {
            Tcp::socket socket(asio::make_strand(self->m_workers));
            const auto [error] = co_await self->m_acceptor.async_accept(socket, Awaitable);
            if (error) {
                co_return;
            }
            if (self->isRefusing) {
                continue;
            }
            const auto connection = std::make_shared<Connection>(std::move(socket));
            connection->number = ++self->connections;
            {
                const std::lock_guard lock(self->m_mutex);
                self->m_connections.push_back(connection);
                self->m_connections.remove_if([](const auto &weak) { return weak.expired(); });
            }
            asio::co_spawn(connection->caller.get_executor(), proxyConnection(self, connection), asio::detached);
        }
    }

    static asio::awaitable<void> proxyConnection(std::shared_ptr<Impl> self, std::shared_ptr<Connection> connection)
    {
        std::string firstBytes;
        if (const auto starts = self->heldStarts(); !starts.empty()) {
            const bool isOpen = co_await holdFirstRequest(self, connection, starts, firstBytes);
            if (!isOpen) {
                connection->close();
                co_return;
            }
        }
        const auto [error] = co_await connection->server.async_connect(self->m_target, Awaitable);
        if (error) {
            connection->close();
            co_return;
        }
        if (!firstBytes.empty()) {
            const auto [writeError, written] = co_await asio::async_write(connection->server, asio::buffer(firstBytes), Awaitable);
            if (writeError) {
                connection->close();
                co_return;
            }
        }
        boost::system::error_code ignored;
        connection->caller.set_option(Tcp::no_delay(true), ignored);
        connection->server.set_option(Tcp::no_delay(true), ignored);
        const auto executor = connection->caller.get_executor();
        asio::co_spawn(executor, forward(self, connection, connection->caller, connection->server, false), asio::detached);
        co_await forward(self, connection, connection->server, connection->caller, true);
    }

    // Reads the first bytes of the request, and waits if it is to be held. False if the caller has left.
    static asio::awaitable<bool> holdFirstRequest(std::shared_ptr<Impl> self, std::shared_ptr<Connection> connection,
                                                  std::vector<std::string> starts, std::string &firstBytes)
    {
        std::string buffer(BufferBytes, '\0');
        const auto mayBegin = [&firstBytes](const auto &start) {
            return firstBytes.size() < start.size() && start.starts_with(firstBytes);
        };
        while (std::any_of(starts.begin(), starts.end(), mayBegin)) {
            const auto [error, size] = co_await connection->caller.async_read_some(asio::buffer(buffer), Awaitable);
            if (error) {
                co_return false;
            }
            firstBytes.append(buffer, 0, size);
        }
        const bool isHeld = co_await holdRequest(self, firstBytes);
        co_return !isHeld || !connection->hasCallerLeft();
    }

    // Waits until the request is released if one of the held starts matches it; true if it had to wait.
    static asio::awaitable<bool> holdRequest(std::shared_ptr<Impl> self, std::string_view request)
    {
        const auto start = self->tryHold(request);
        if (!start) {
            co_return false;
        }
        while (self->isHolding(*start)) {
            co_await runtime::sleepFor(HoldPollInterval);
        }
        co_return true;
    }

    [[nodiscard]] std::optional<std::string> tryHold(std::string_view request)
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[start, hold] : m_holds) {
            if (request.starts_with(start) && hold.requests < hold.maxRequests) {
                ++hold.requests;
                return start;
            }
        }
        return std::nullopt;
    }

    static asio::awaitable<void> forward(std::shared_ptr<Impl> self, std::shared_ptr<Connection> connection, Tcp::socket &from,
                                         Tcp::socket &to, bool isResponse)
    {
        std::string buffer(BufferBytes, '\0');
        while (true) {
            const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), Awaitable);
            while (connection->isFrozen) {
                // Keeps both sockets open without forwarding anything.
                co_await runtime::sleepFor(std::chrono::milliseconds(50));
            }
            if (!error && !isResponse) {
                co_await holdRequest(self, std::string_view(buffer).substr(0, size));
            }
            while (isResponse && connection->number <= self->lastHeldResponse) {
                co_await runtime::sleepFor(HoldPollInterval);
            }
            if (isResponse && (self->isDroppingResponses || (error && error != asio::error::eof))) {
                connection->reset();
                co_return;
            }
            if (error) {
                connection->close();
                co_return;
            }
            if (self->delayUs > 0) {
                co_await runtime::sleepFor(Duration(self->delayUs.load()));
            }
            std::size_t forwardedBytes = size;
            const u64 closeAfterBytes = self->closeAfterBytes;
            if (isResponse && closeAfterBytes > 0) {
                forwardedBytes = std::min<u64>(forwardedBytes, closeAfterBytes - std::min(closeAfterBytes, connection->responseBytes));
            }
            const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buffer.data(), forwardedBytes), Awaitable);
            connection->responseBytes += isResponse ? forwardedBytes : 0;
            if (writeError || forwardedBytes < size) {
                connection->reset();
                co_return;
            }
        }
    }

    asio::io_context &m_workers;
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_target;
    std::mutex m_mutex;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::map<std::string, Hold> m_holds; // by the start of the requests
};

FaultProxy::FaultProxy(asio::io_context &workers, const std::string &target)
    : m_impl(std::make_shared<Impl>(workers, target))
{
    m_impl->start();
}

FaultProxy::~FaultProxy()
{
    m_impl->stop();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_impl->port());
}

void FaultProxy::closeConnections()
{
    m_impl->forEach([](const std::shared_ptr<Connection> &connection) { connection->reset(); });
}

void FaultProxy::stallConnections()
{
    m_impl->forEach([](const std::shared_ptr<Connection> &connection) { connection->isFrozen = true; });
}

void FaultProxy::setRefusing(bool isRefusing)
{
    m_impl->isRefusing = isRefusing;
}

void FaultProxy::setDroppingResponses(bool isDroppingResponses)
{
    m_impl->isDroppingResponses = isDroppingResponses;
}

void FaultProxy::setDelay(Duration delay)
{
    m_impl->delayUs = delay.count();
}

void FaultProxy::setCloseAfter(u64 bytes)
{
    m_impl->closeAfterBytes = bytes;
}

void FaultProxy::holdRequests(const std::string &start, u32 maxRequests)
{
    m_impl->hold(start, maxRequests);
}

void FaultProxy::releaseRequests(const std::string &start)
{
    m_impl->release(start);
}

u32 FaultProxy::heldRequests(const std::string &start) const
{
    return m_impl->heldRequests(start);
}

void FaultProxy::holdResponses()
{
    m_impl->lastHeldResponse = m_impl->connections.load();
}

void FaultProxy::releaseResponses()
{
    m_impl->lastHeldResponse = 0;
}

u64 FaultProxy::connections() const
{
    return m_impl->connections;
}

} // namespace standins
