#include <burdock/runtime/http/server.hpp>

#include <array>
#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <list>
#include <optional>
#include <string>

using namespace burdock;
using namespace burdock::runtime;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::string_view Request = "GET /page HTTP/1.1\r\nHost: test\r\n\r\n";
constexpr Duration Patience = std::chrono::seconds(5);

/** @brief Answers each request with a body of one length. */
class FixedAnswer : public http::Handler
{
public:
    explicit FixedAnswer(std::size_t bodyBytes)
        : m_bodyBytes(bodyBytes)
    {
    }

    asio::awaitable<void> handle(const http::Request & /*request*/, http::Reply &reply) override
    {
        http::Response response;
        response.body.assign(m_bodyBytes, 'x');
        co_await reply.send(response);
    }

private:
    std::size_t m_bodyBytes;
};

/** @brief A server whose connections wait until the test lets it run. */
class Served
{
public:
    explicit Served(std::size_t bodyBytes = 2)
        : m_handler(bodyBytes)
        , server(m_context, {"127.0.0.1", 0}, {}, m_handler)
    {
    }

    [[nodiscard]] Tcp::socket connect()
    {
        Tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    /** @brief A connection whose peer is left with most of an answer until it is read. */
    [[nodiscard]] Tcp::socket connectWithSmallWindow()
    {
        constexpr int ReceiveBytes = 4096;
        Tcp::socket socket(m_context, Tcp::v4());
        socket.set_option(Tcp::socket::receive_buffer_size(ReceiveBytes));
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    /** @brief Lets the server do what it can until a condition holds; false if it did not in time. */
    template <typename Condition>
    [[nodiscard]] bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + Patience;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(1));
        }
        return condition();
    }

private:
    asio::io_context m_context{1};
    FixedAnswer m_handler;

public:
    http::Server server;
};

/** @brief Takes what has arrived without waiting. */
class Received
{
public:
    explicit Received(Tcp::socket &socket)
        : m_socket(socket)
    {
        m_socket.non_blocking(true);
    }

    void take()
    {
        std::array<char, 64 * 1024> buffer{};
        boost::system::error_code error;
        const auto size = m_socket.read_some(asio::buffer(buffer), error);
        text.append(buffer.data(), size);
        isReset = isReset || error == asio::error::connection_reset;
        isOver = isOver || (error && error != asio::error::would_block);
    }

    [[nodiscard]] bool hasBegun() const
    {
        return m_socket.available() > 0;
    }

    std::string text;
    bool isOver = false;
    bool isReset = false;

private:
    Tcp::socket &m_socket;
};

void write(Tcp::socket &socket, std::string_view text)
{
    asio::write(socket, asio::buffer(text));
}

bool saysClose(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && answer.find("Connection: close") != std::string::npos;
}

} // namespace

// Guards against requests that are reset without an answer because their connections were not yet accepted when listening ended.
TEST_CASE("requests on connections that wait to be accepted when a server stops listening are answered")
{
    Served served;
    std::list<Tcp::socket> sockets;
    std::list<Received> answers;
    for (u32 i = 0; i < 5; ++i) {
        sockets.push_back(served.connect());
        write(sockets.back(), Request);
        answers.emplace_back(sockets.back());
    }
    served.server.stopListening();
    for (auto &answer : answers) {
        CHECK(served.runUntil([&] {
            answer.take();
            return answer.isOver;
        }));
        CHECK(saysClose(answer.text));
        CHECK_FALSE(answer.isReset);
    }
    REQUIRE(served.runUntil([&] { return served.server.busyConnections() == 0; }));
    Tcp::socket late(sockets.front().get_executor());
    boost::system::error_code error;
    late.connect({asio::ip::make_address("127.0.0.1"), served.server.port()}, error);
    CHECK(error == asio::error::connection_refused);
}

// Guards against a process that ends while a request is still on its way in.
TEST_CASE("a request of which a part has arrived counts as busy, and is answered after listening has ended")
{
    Served served;
    auto socket = served.connect();
    write(socket, Request.substr(0, 10));
    REQUIRE(served.runUntil([&] { return served.server.busyConnections() == 1; }));
    served.server.stopListening();
    write(socket, Request.substr(10));
    Received answer(socket);
    CHECK(served.runUntil([&] {
        answer.take();
        return answer.isOver;
    }));
    CHECK(saysClose(answer.text));
    CHECK(served.runUntil([&] { return served.server.busyConnections() == 0; }));
}

// Guards against a request on a kept connection that is dropped because it came in while idle connections were closed.
TEST_CASE("a request that has arrived on a kept connection is answered though idle connections are closed")
{
    Served served;
    auto kept = served.connect();
    auto idle = served.connect();
    Received answer(kept);
    Received none(idle);
    write(kept, Request);
    REQUIRE(served.runUntil([&] {
        answer.take();
        return answer.text.ends_with("xx");
    }));
    served.server.stopListening();
    REQUIRE(served.runUntil([&] { return served.server.busyConnections() == 0; }));
    answer.text.clear();
    write(kept, Request);
    served.server.closeIdle();
    CHECK(served.runUntil([&] {
        answer.take();
        return answer.isOver;
    }));
    CHECK(saysClose(answer.text));
    CHECK(served.runUntil([&] {
        none.take();
        return none.isOver;
    }));
    CHECK(none.text.empty());
    CHECK_FALSE(none.isReset);
}

// Guards against a caller that can't tell whether its request ran, as it crossed the close of a connection that it had kept.
TEST_CASE("a request that crosses the close of an idle connection finds an answer there")
{
    Served served;
    auto socket = served.connect();
    Received answer(socket);
    write(socket, Request);
    REQUIRE(served.runUntil([&] {
        answer.take();
        return answer.text.ends_with("xx");
    }));
    answer.text.clear();
    served.server.stopListening();
    http::Response farewell;
    farewell.status = 503;
    served.server.closeIdle(farewell);
    REQUIRE(served.runUntil([&] { return answer.hasBegun(); }));
    write(socket, Request);
    CHECK(served.runUntil([&] {
        answer.take();
        return answer.isOver;
    }));
    CHECK(answer.text.starts_with("HTTP/1.1 503"));
    CHECK(answer.text.find("Connection: close") != std::string::npos);
    CHECK_FALSE(answer.isReset);
}

// Guards against an answer whose end is thrown away because its caller sends a further request meanwhile.
TEST_CASE("an answer is whole though its caller sends a further request on a connection that the server closes")
{
    constexpr std::size_t BodyBytes = 128 * 1024;
    Served served(BodyBytes);
    served.server.closeAfterAnswers();
    auto socket = served.connectWithSmallWindow();
    write(socket, Request);
    Received answer(socket);
    REQUIRE(served.runUntil([&] { return answer.hasBegun() && served.server.busyConnections() == 0; }));
    write(socket, Request);
    CHECK(served.runUntil([&] {
        answer.take();
        return answer.isOver;
    }));
    CHECK_FALSE(answer.isReset);
    CHECK(answer.text.size() > BodyBytes);
}
