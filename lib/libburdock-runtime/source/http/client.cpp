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
    m_connection = std::make_unique<Connection>(executor, m_address, Reuse::Once);
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

asio::awaitable<Exchange> exchange(const Address &address, const Request &request, Duration timeout)
{
    Call call(address, timeout);
    Exchange out;
    out.progress = co_await call.send(request);
    if (out.progress != Progress::Answered) {
        co_return out;
    }
    out.response = call.head();
    while (true) {
        const auto piece = co_await call.read();
        out.response.body += piece.data;
        if (piece.isBroken) {
            out.progress = Progress::MayBeSent;
            co_return out;
        }
        if (piece.isEnd) {
            co_return out;
        }
    }
}

} // namespace burdock::runtime::http
