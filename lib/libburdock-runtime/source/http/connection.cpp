#include <burdock/runtime/http/connection.hpp>

#include "scanned_input.hpp"
#include "send_watch.hpp"

#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace burdock::runtime::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr u64 MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr u32 MaxHeaderBytes = 16 * 1024;
/** Bounds what is buffered of a head, a chunk extension or a trailer, besides body bytes that have arrived with it. */
constexpr std::size_t MaxBufferBytes = 32 * 1024;
constexpr u32 MaxInformationalHeads = 8;
constexpr unsigned Ok = 200;

/** Requests with shorter bodies fit into what any peer takes in at once. */
constexpr std::size_t LongRequestBytes = 1024;
constexpr auto ReceptionPeriod = std::chrono::seconds(1);

bool isLimitError(const boost::system::error_code &error)
{
    return error == beast::http::error::header_limit || error == beast::http::error::body_limit
        || error == beast::http::error::buffer_overflow;
}

// Names of customers and endpoints come from the platform, and must not add lines to a head.
bool isSound(const Request &request)
{
    return wire::isToken(request.method) && wire::isRequestTarget(request.method, request.target)
        && std::all_of(request.headers.begin(), request.headers.end(),
                       [](const auto &field) { return wire::isToken(field.first) && wire::isFieldValue(field.second); });
}

void setOptions(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    detail::setUserTimeout(socket, detail::UserTimeout);
}

} // namespace

class Connection::Impl : public std::enable_shared_from_this<Connection::Impl>
{
public:
    Impl(const asio::any_io_executor &executor, const Address &address, Reuse reuse)
        : m_address(address)
        , m_reuse(reuse)
        , m_stream(executor)
        , m_buffer(MaxBufferBytes)
        , m_sendEnd(executor)
        , m_receptionTimer(executor)
    {
    }

    asio::awaitable<bool> connect(Duration timeout)
    {
        boost::system::error_code addressError;
        const auto ip = asio::ip::make_address(m_address.ip, addressError);
        if (addressError) {
            co_return false;
        }
        m_stream.expires_after(timeout);
        const Tcp::endpoint endpoint(ip, m_address.port);
        const auto [error] = co_await m_stream.async_connect(endpoint, Awaitable);
        if (error) {
            co_return false;
        }
        setOptions(m_stream.socket());
        co_return true;
    }

    asio::awaitable<bool> send(Request request, Duration timeout)
    {
        if (!isSound(request)) {
            co_return false;
        }
        prepareMessage(std::move(request));
        m_stream.expires_after(timeout);
        const auto [error, size] = co_await beast::http::async_write(m_stream, *m_message, Awaitable);
        endSend(error);
        co_return m_sendState == SendState::Sent;
    }

    [[nodiscard]] bool startSend(Request request)
    {
        if (!isSound(request)) {
            return false;
        }
        const bool isLong = request.body.size() >= LongRequestBytes;
        prepareMessage(std::move(request));
        m_stream.expires_never();
        if (isLong) {
            watchReception();
        }
        auto onSent = [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->endSend(error);
        };
        beast::http::async_write(m_stream, *m_message, std::move(onSent));
        return true;
    }

    // Informational heads precede the response.
    asio::awaitable<bool> readHead(Duration timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        for (u32 i = 0; i <= MaxInformationalHeads; ++i) {
            m_parser.emplace();
            m_input.emplace(m_answerKind, MaxHeaderBytes);
            m_parser->header_limit(MaxHeaderBytes);
            m_parser->body_limit(MaxBodyBytes);
            m_parser->on_chunk_header(m_countChunk);
            m_parser->skip(m_answerKind == wire::MessageKind::AnswerToHead);
            boost::system::error_code error;
            while (!error && !m_parser->is_header_done()) {
                error = co_await parseMore(deadline);
            }
            if (error) {
                m_hasExceededLimit = isLimitError(error);
                m_parser.reset();
                co_return false;
            }
            if (m_parser->get().result_int() >= Ok) {
                copyHead();
                co_return true;
            }
        }
        m_hasExceededLimit = true;
        m_parser.reset();
        co_return false;
    }

    // Returns all that has arrived, so that a body in small HTTP chunks takes no more reads than another one.
    asio::awaitable<BodyChunk> read(Duration timeout)
    {
        BodyChunk chunk;
        if (!m_parser) {
            chunk.isBroken = true;
            co_return chunk;
        }
        if (m_parser->is_done()) {
            chunk.isEnd = true;
            co_return chunk;
        }
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        chunk.data.resize(ChunkBytes);
        auto &body = m_parser->get().body();
        body.data = chunk.data.data();
        body.size = chunk.data.size();
        m_httpChunks = 0;
        boost::system::error_code error = co_await parseMore(deadline);
        while (!error && !m_parser->is_done() && m_buffer.size() > 0) {
            error = m_input->parse(m_buffer, *m_parser);
        }
        if (error == asio::error::eof) {
            error = co_await endOfBody(deadline);
        }
        if (error == beast::http::error::need_more) {
            error = {};
        }
        chunk.data.resize(chunk.data.size() - body.size);
        chunk.httpChunks = m_httpChunks;
        chunk.isBroken = error && error != beast::http::error::need_buffer;
        chunk.isEnd = !chunk.isBroken && m_parser->is_done();
        m_hasExceededLimit = isLimitError(error);
        co_return chunk;
    }

    [[nodiscard]] bool hasExceededLimit() const
    {
        return m_hasExceededLimit;
    }

    [[nodiscard]] wire::MessageFault fault() const
    {
        return m_input ? m_input->scanner().fault() : wire::MessageFault::None;
    }

    [[nodiscard]] const Response &head() const
    {
        return m_head;
    }

    [[nodiscard]] run::BodyFraming framing() const
    {
        return m_framing;
    }

    [[nodiscard]] bool isResponseComplete() const
    {
        return m_parser && m_parser->is_done();
    }

    [[nodiscard]] bool isReusable() const
    {
        return m_reuse == Reuse::KeepAlive && m_sendState == SendState::Sent && isResponseComplete() && m_parser->get().keep_alive()
            && m_buffer.size() == 0;
    }

    [[nodiscard]] bool isIdle()
    {
        auto &socket = m_stream.socket();
        char byte = 0;
        const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void close()
    {
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    /** @brief What has become of the request. */
    enum class SendState : u8 {
        Sending,
        Sent,
        Failed,
    };

    void endSend(const boost::system::error_code &error)
    {
        m_sendState = error ? SendState::Failed : SendState::Sent;
        m_message.reset();
        m_sendEnd.cancel();
    }

    void watchReception()
    {
        m_receptionTimer.expires_after(ReceptionPeriod);
        m_receptionTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->checkReception();
            }
        });
    }

    // The system gives up a connection whose peer takes nothing in, even if the peer responds, and doesn't tell it. The peer would work on.
    void checkReception()
    {
        auto &socket = m_stream.socket();
        const auto progress = socket.is_open() ? detail::sendProgress(socket) : std::nullopt;
        if (!progress) {
            return;
        }
        switch (run::receptionOf(*progress, detail::UserTimeout)) {
        case run::Reception::Received:
            setPatient(false);
            break;
        case run::Reception::ReadsLate:
            setPatient(true);
            watchReception();
            break;
        case run::Reception::Silent:
            detail::setResetOnClose(socket);
            close();
            break;
        }
    }

    void setPatient(bool isPatient)
    {
        if (std::exchange(m_isPatient, isPatient) != isPatient) {
            detail::setUserTimeout(m_stream.socket(), isPatient ? Duration::zero() : detail::UserTimeout);
        }
    }

    // Parses what has been received; reads more if that isn't enough.
    asio::awaitable<boost::system::error_code> parseMore(std::chrono::steady_clock::time_point deadline)
    {
        auto error = m_input->parse(m_buffer, *m_parser);
        if (error != beast::http::error::need_more) {
            co_return error;
        }
        const auto size = beast::read_size(m_buffer, MaxBufferBytes);
        if (size == 0) {
            co_return beast::http::error::buffer_overflow;
        }
        m_stream.expires_at(deadline);
        const auto [readError, received] = co_await m_stream.async_read_some(m_buffer.prepare(size), Awaitable);
        m_buffer.commit(received);
        if (readError) {
            co_return readError;
        }
        error = m_input->parse(m_buffer, *m_parser);
        co_return error == beast::http::error::need_more ? boost::system::error_code() : error;
    }

    // The system reports a failure of the connection once, and a send under way may be told of it: the read then sees a regular end. So a
    // body that ends with its connection is complete only once the request has been sent.
    asio::awaitable<boost::system::error_code> endOfBody(std::chrono::steady_clock::time_point deadline)
    {
        if (m_framing != run::BodyFraming::UntilClose) {
            co_return beast::http::error::partial_message;
        }
        if (m_sendState == SendState::Sending) {
            m_sendEnd.expires_at(deadline);
            co_await m_sendEnd.async_wait(Awaitable);
        }
        if (m_sendState != SendState::Sent) {
            co_return asio::error::connection_reset;
        }
        boost::system::error_code error;
        m_parser->put_eof(error);
        co_return error;
    }

    void prepareMessage(Request request)
    {
        m_answerKind = request.method == "HEAD" ? wire::MessageKind::AnswerToHead : wire::MessageKind::Answer;
        m_message.emplace(beast::http::string_to_verb(request.method), request.target, 11);
        if (m_message->method() == beast::http::verb::unknown) {
            m_message->method_string(request.method);
        }
        for (const auto &[name, value] : request.headers) {
            m_message->insert(name, value);
        }
        if (m_message->find(beast::http::field::host) == m_message->end()) {
            m_message->set(beast::http::field::host, m_address.ip);
        }
        m_message->keep_alive(m_reuse == Reuse::KeepAlive);
        m_message->body() = std::move(request.body);
        m_message->prepare_payload();
        m_sendState = SendState::Sending;
        m_hasExceededLimit = false;
        m_parser.reset();
        m_input.reset();
    }

    void copyHead()
    {
        const auto &message = m_parser->get();
        m_framing = m_input->scanner().framing();
        m_head.status = static_cast<u16>(message.result_int());
        m_head.headers.clear();
        for (const auto &field : message) {
            m_head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }

    Address m_address;
    Reuse m_reuse;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request<beast::http::string_body>> m_message;
    SendState m_sendState = SendState::Sending;
    asio::steady_timer m_sendEnd; ///< cancelled when the request has been sent, or can't be
    asio::steady_timer m_receptionTimer;
    bool m_isPatient = false; ///< the system doesn't give up the connection by itself
    wire::MessageKind m_answerKind = wire::MessageKind::Answer;
    bool m_hasExceededLimit = false;
    u32 m_httpChunks = 0; // of the current read
    std::function<void(u64, beast::string_view, boost::system::error_code &)> m_countChunk
        = [this](u64, beast::string_view, boost::system::error_code &) {
              ++m_httpChunks;
          };
    std::optional<beast::http::response_parser<beast::http::buffer_body>> m_parser;
    std::optional<detail::ScannedInput> m_input; ///< of the answer
    Response m_head;
    run::BodyFraming m_framing = run::BodyFraming::ContentLength;
};

Connection::Connection(const asio::any_io_executor &executor, const Address &address, Reuse reuse)
    : m_impl(std::make_shared<Impl>(executor, address, reuse))
{
}

Connection::~Connection()
{
    m_impl->close();
}

asio::awaitable<bool> Connection::connect(Duration timeout)
{
    return m_impl->connect(timeout);
}

asio::awaitable<bool> Connection::send(Request request, Duration timeout)
{
    return m_impl->send(std::move(request), timeout);
}

bool Connection::startSend(Request request)
{
    return m_impl->startSend(std::move(request));
}

wire::MessageFault Connection::fault() const
{
    return m_impl->fault();
}

asio::awaitable<bool> Connection::readHead(Duration timeout)
{
    return m_impl->readHead(timeout);
}

asio::awaitable<BodyChunk> Connection::read(Duration timeout)
{
    return m_impl->read(timeout);
}

const Response &Connection::head() const
{
    return m_impl->head();
}

run::BodyFraming Connection::framing() const
{
    return m_impl->framing();
}

bool Connection::isResponseComplete() const
{
    return m_impl->isResponseComplete();
}

bool Connection::isReusable() const
{
    return m_impl->isReusable();
}

bool Connection::hasExceededLimit() const
{
    return m_impl->hasExceededLimit();
}

bool Connection::isIdle()
{
    return m_impl->isIdle();
}

void Connection::close()
{
    m_impl->close();
}

} // namespace burdock::runtime::http
