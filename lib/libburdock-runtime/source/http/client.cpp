#include <burdock/runtime/http/client.hpp>

#include <boost/asio/this_coro.hpp>

namespace burdock::runtime::http {

namespace asio = boost::asio;

Call::Call(const Address &address, Duration ioTimeout)
    : m_address(address)
    , m_timeout(ioTimeout)
{
}

asio::awaitable<Progress> Call::send(const Request &request)
{
    const auto executor = co_await asio::this_coro::executor;
    m_connection = std::make_unique<Connection>(executor, m_address, Reuse::SingleRequest);
    const bool isConnected = co_await m_connection->connect(m_timeout);
    if (!isConnected) {
        co_return Progress::NotSent;
    }
    m_connection->startSend(request);
    const bool isAnswered = co_await m_connection->readHead(m_timeout);
    if (!isAnswered) {
        co_return Progress::MayBeSent;
    }
    co_return Progress::Answered;
}

const Response &Call::head() const
{
    return m_connection->head();
}

asio::awaitable<Piece> Call::read()
{
    return m_connection->read(m_timeout);
}

namespace {

// Reads the whole answer to a request that was sent.
asio::awaitable<Exchange> readAnswer(Connection &connection, Duration timeout)
{
    Exchange out;
    out.progress = Progress::MayBeSent;
    const bool isAnswered = co_await connection.readHead(timeout);
    if (!isAnswered) {
        co_return out;
    }
    out.response = connection.head();
    while (true) {
        const auto piece = co_await connection.read(timeout);
        out.response.body += piece.data;
        if (piece.isBroken) {
            co_return out;
        }
        if (piece.isEnd) {
            out.progress = Progress::Answered;
            co_return out;
        }
    }
}

} // namespace

asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    Connection connection(executor, address, Reuse::SingleRequest);
    const bool isConnected = co_await connection.connect(timeout);
    if (!isConnected) {
        co_return Exchange{};
    }
    connection.startSend(request);
    co_return co_await readAnswer(connection, timeout);
}

KeepAliveClient::KeepAliveClient(const Address &address, Duration connectTimeout)
    : m_address(address)
    , m_connectTimeout(connectTimeout)
{
}

asio::awaitable<Exchange> KeepAliveClient::exchange(Request request, Duration timeout)
{
    auto connection = takeIdle();
    if (!connection) {
        const auto executor = co_await asio::this_coro::executor;
        connection = std::make_unique<Connection>(executor, m_address, Reuse::KeepAlive);
        const bool isConnected = co_await connection->connect(m_connectTimeout);
        if (!isConnected) {
            co_return Exchange{};
        }
    }
    connection->startSend(request);
    auto out = co_await readAnswer(*connection, timeout);
    if (out.progress != Progress::Answered) {
        m_idle.clear();
    } else if (connection->isReusable()) {
        m_idle.push_back(std::move(connection));
    }
    co_return out;
}

std::unique_ptr<Connection> KeepAliveClient::takeIdle()
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
