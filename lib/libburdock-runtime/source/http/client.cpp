#include <burdock/runtime/http/client.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace burdock::runtime::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16 * 1024;
constexpr u64 MaxBodyBytes = 64ULL * 1024 * 1024;

} // namespace

class Call::Impl
{
public:
    Impl(const Address &address, Duration ioTimeout)
        : m_address(address)
        , m_timeout(ioTimeout)
    {
    }

    asio::awaitable<Progress> send(const Request &request)
    {
        boost::system::error_code addressError;
        const auto ip = asio::ip::make_address(m_address.ip, addressError);
        if (addressError) {
            co_return Progress::NotSent;
        }
        m_stream.emplace(co_await asio::this_coro::executor);
        m_stream->expires_after(m_timeout);
        const auto [connectError] = co_await m_stream->async_connect(Tcp::endpoint(ip, m_address.port), Awaitable);
        if (connectError) {
            co_return Progress::NotSent;
        }
        boost::system::error_code ignored;
        m_stream->socket().set_option(Tcp::no_delay(true), ignored);
        beast::http::request<beast::http::string_body> message(beast::http::string_to_verb(request.method), request.target, 11);
        for (const auto &[name, value] : request.headers) {
            message.insert(name, value);
        }
        message.set(beast::http::field::host, m_address.ip);
        message.keep_alive(false);
        message.body() = request.body;
        message.prepare_payload();
        m_stream->expires_after(m_timeout);
        const auto [writeError, written] = co_await beast::http::async_write(*m_stream, message, Awaitable);
        if (writeError) {
            co_return Progress::MayBeSent;
        }
        m_parser.body_limit(MaxBodyBytes);
        m_stream->expires_after(m_timeout);
        const auto [readError, headBytes] = co_await beast::http::async_read_header(*m_stream, m_buffer, m_parser, Awaitable);
        if (readError) {
            co_return Progress::MayBeSent;
        }
        takeHead();
        co_return Progress::Answered;
    }

    asio::awaitable<Piece> read()
    {
        Piece piece;
        if (m_parser.is_done()) {
            piece.isEnd = true;
            co_return piece;
        }
        piece.data.resize(PieceBytes);
        auto &body = m_parser.get().body();
        body.data = piece.data.data();
        body.size = piece.data.size();
        m_stream->expires_after(m_timeout);
        const auto [error, size] = co_await beast::http::async_read_some(*m_stream, m_buffer, m_parser, Awaitable);
        piece.data.resize(piece.data.size() - body.size);
        piece.isBroken = error && error != beast::http::error::need_buffer;
        piece.isEnd = !piece.isBroken && m_parser.is_done();
        co_return piece;
    }

    [[nodiscard]] const Response &head() const
    {
        return m_head;
    }

private:
    void takeHead()
    {
        const auto &message = m_parser.get();
        m_head.status = static_cast<u16>(message.result_int());
        for (const auto &field : message) {
            m_head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }

    Address m_address;
    Duration m_timeout;
    std::optional<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    beast::http::response_parser<beast::http::buffer_body> m_parser;
    Response m_head;
};

Call::Call(const Address &address, Duration ioTimeout)
    : m_impl(std::make_unique<Impl>(address, ioTimeout))
{
}

Call::~Call() = default;

asio::awaitable<Progress> Call::send(const Request &request)
{
    co_return co_await m_impl->send(request);
}

const Response &Call::head() const
{
    return m_impl->head();
}

asio::awaitable<Piece> Call::read()
{
    co_return co_await m_impl->read();
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
