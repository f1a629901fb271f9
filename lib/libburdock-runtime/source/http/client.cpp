#include <burdock/runtime/http/client.hpp>

#include <boost/asio/this_coro.hpp>

namespace burdock::runtime::http {

namespace asio = boost::asio;

namespace {

/** Bounds a response that is read completely: its body, and the time of all reads, in timeouts of a single one. */
constexpr std::size_t MaxCompleteBodyBytes = 16 * 1024 * 1024;
constexpr int MaxReadTimeouts = 8;

// Reads the complete response to a request that was sent.
asio::awaitable<Exchange> readResponse(Connection &connection, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout * MaxReadTimeouts;
    Exchange result;
    result.progress = Progress::MayBeSent;
    const bool hasHead = co_await connection.readHead(timeout);
    if (!hasHead) {
        co_return result;
    }
    result.response = connection.head();
    result.framing = connection.framing();
    while (true) {
        const auto chunk = co_await connection.read(timeout);
        result.response.body += chunk.data;
        if (chunk.isEnd) {
            result.progress = Progress::Answered;
            co_return result;
        }
        const bool isTooLong = result.response.body.size() > MaxCompleteBodyBytes || std::chrono::steady_clock::now() > deadline;
        if (chunk.isBroken || isTooLong) {
            co_return result;
        }
    }
}

} // namespace

bool Exchange::isProvablyComplete() const
{
    return progress == Progress::Answered && framing != run::BodyFraming::UntilClose;
}

Call::Call(const Address &address, Duration ioTimeout)
    : m_address(address)
    , m_timeout(ioTimeout)
{
}

asio::awaitable<bool> Call::connect(Reuse reuse)
{
    const auto executor = co_await asio::this_coro::executor;
    m_connection = std::make_unique<Connection>(executor, m_address, reuse);
    co_return co_await m_connection->connect(m_timeout);
}

asio::awaitable<Exchange> Call::exchangeFirst(const Request &request)
{
    const bool isConnected = co_await connect(Reuse::KeepAlive);
    if (!isConnected) {
        co_return Exchange{};
    }
    // A connection is reusable only once its send has ended, which may be noticed after the response.
    const bool isSent = co_await m_connection->send(request, m_timeout);
    if (!isSent) {
        co_return Exchange{Progress::MayBeSent, {}};
    }
    co_return co_await readResponse(*m_connection, m_timeout);
}

asio::awaitable<Progress> Call::send(const Request &request)
{
    if (m_connection) {
        if (!m_connection->isReusable() || !m_connection->isIdle()) {
            co_return Progress::NotSent;
        }
    } else {
        const bool isConnected = co_await connect(Reuse::SingleRequest);
        if (!isConnected) {
            co_return Progress::NotSent;
        }
    }
    m_connection->startSend(request);
    const bool hasHead = co_await m_connection->readHead(m_timeout);
    if (!hasHead) {
        co_return Progress::MayBeSent;
    }
    co_return Progress::Answered;
}

const Response &Call::head() const
{
    return m_connection->head();
}

run::BodyFraming Call::framing() const
{
    return m_connection->framing();
}

asio::awaitable<BodyChunk> Call::read()
{
    return m_connection->read(m_timeout);
}

asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    Connection connection(executor, address, Reuse::SingleRequest);
    const bool isConnected = co_await connection.connect(timeout);
    if (!isConnected) {
        co_return Exchange{};
    }
    connection.startSend(request);
    co_return co_await readResponse(connection, timeout);
}

KeepAliveClient::KeepAliveClient(const Address &address, Duration connectTimeout)
    : m_address(address)
    , m_connectTimeout(connectTimeout)
{
}

asio::awaitable<Exchange> KeepAliveClient::exchange(Request request, Duration timeout)
{
    auto connection = takeIdleConnection();
    if (!connection) {
        const auto executor = co_await asio::this_coro::executor;
        connection = std::make_unique<Connection>(executor, m_address, Reuse::KeepAlive);
        const bool isConnected = co_await connection->connect(m_connectTimeout);
        if (!isConnected) {
            co_return Exchange{};
        }
    }
    connection->startSend(request);
    auto result = co_await readResponse(*connection, timeout);
    if (result.progress != Progress::Answered) {
        // The fault may affect the idle connections too.
        m_idle.clear();
    } else if (connection->isReusable()) {
        m_idle.push_back(std::move(connection));
    }
    co_return result;
}

std::unique_ptr<Connection> KeepAliveClient::takeIdleConnection()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isIdle()) {
            return connection;
        }
    }
    return nullptr;
}

} // namespace burdock::runtime::http
