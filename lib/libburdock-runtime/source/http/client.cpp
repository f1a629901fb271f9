#include <burdock/runtime/http/client.hpp>

#include <boost/asio/this_coro.hpp>
#include <optional>

namespace burdock::runtime::http {

namespace asio = boost::asio;

namespace {

/** Bounds the time of all reads of a response that is read completely, in timeouts of a single one. */
constexpr int MaxReadTimeouts = 8;

/** @brief Tracks the size of a response body against its limit. */
class BodySize
{
public:
    explicit BodySize(const BodyLimit &limit)
        : m_maxBytes(limit.bytes)
    {
        if (limit.memory != nullptr) {
            m_share.emplace(*limit.memory);
        }
    }

    [[nodiscard]] bool tryResize(std::size_t bytes)
    {
        return bytes <= m_maxBytes && (!m_share || m_share->tryResize(bytes));
    }

private:
    std::size_t m_maxBytes;
    std::optional<run::MessageShare> m_share;
};

// Reads the complete response to a request that was sent.
asio::awaitable<Exchange> readResponse(Connection &connection, Duration timeout, BodyLimit limit)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout * MaxReadTimeouts;
    Exchange result;
    result.progress = Progress::MayBeSent;
    const bool hasHead = co_await connection.readHead(timeout);
    if (!hasHead) {
        result.isTooLong = connection.hasExceededLimit();
        co_return result;
    }
    BodySize size(limit);
    result.response = connection.head();
    result.framing = connection.framing();
    while (true) {
        const auto chunk = co_await connection.read(timeout);
        result.isTooLong = !size.tryResize(result.response.body.size() + chunk.data.size()) || connection.hasExceededLimit();
        if (result.isTooLong) {
            co_return result;
        }
        result.response.body += chunk.data;
        if (chunk.isEnd) {
            result.progress = Progress::Answered;
            co_return result;
        }
        if (chunk.isBroken || std::chrono::steady_clock::now() > deadline) {
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
        co_return Exchange{Progress::MayBeSent, {}, {}};
    }
    co_return co_await readResponse(*m_connection, m_timeout, {});
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
    if (!m_connection->startSend(request)) {
        co_return Progress::NotSent;
    }
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

asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout, BodyLimit limit)
{
    const auto executor = co_await asio::this_coro::executor;
    Connection connection(executor, address, Reuse::SingleRequest);
    const bool isConnected = co_await connection.connect(timeout);
    if (!isConnected) {
        co_return Exchange{};
    }
    if (!connection.startSend(request)) {
        co_return Exchange{};
    }
    co_return co_await readResponse(connection, timeout, limit);
}

KeepAliveClient::KeepAliveClient(const Address &address, Duration connectTimeout)
    : m_address(address)
    , m_connectTimeout(connectTimeout)
{
}

asio::awaitable<Exchange> KeepAliveClient::exchange(Request request, Duration timeout, BodyLimit limit)
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
    if (!connection->startSend(std::move(request))) {
        co_return Exchange{};
    }
    auto result = co_await readResponse(*connection, timeout, limit);
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
