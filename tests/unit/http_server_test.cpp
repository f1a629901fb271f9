#include <burdock/runtime/http/server.hpp>

#include <array>
#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <list>
#include <optional>
#include <stdexcept>
#include <string>

using namespace burdock;
using namespace burdock::runtime;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::string_view RequestText = "GET /page HTTP/1.1\r\nHost: test\r\n\r\n";
constexpr Duration Timeout = std::chrono::seconds(5);

/** @brief Answers each request with a body of a fixed size. */
class FixedSizeHandler : public http::Handler
{
public:
    explicit FixedSizeHandler(std::size_t bodyBytes)
        : m_bodyBytes(bodyBytes)
    {
    }

    void setStatus(u16 status)
    {
        m_status = status;
    }

    void setThrowing()
    {
        m_isThrowing = true;
    }

    asio::awaitable<void> handle(const http::Request & /*request*/, http::Reply &reply) override
    {
        if (m_isThrowing) {
            throw std::invalid_argument("the request can't be handled");
        }
        http::Response response;
        response.status = m_status;
        response.body.assign(m_bodyBytes, 'x');
        co_await reply.send(response);
    }

private:
    std::size_t m_bodyBytes;
    u16 m_status = 200;
    bool m_isThrowing = false;
};

/** @brief A server that handles connections only while the test runs it. */
class TestServer
{
public:
    explicit TestServer(std::size_t bodyBytes = 2, const http::ServerLimits &limits = {})
        : m_handler(bodyBytes)
        , server(m_context, {"127.0.0.1", 0}, limits, m_handler)
    {
    }

    [[nodiscard]] FixedSizeHandler &handler()
    {
        return m_handler;
    }

    [[nodiscard]] Tcp::socket connect()
    {
        Tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    /** @brief A connection with a small receive window, so that most of a response stays at the server until it is read. */
    [[nodiscard]] Tcp::socket connectWithSmallWindow()
    {
        constexpr int ReceiveBytes = 4096;
        Tcp::socket socket(m_context, Tcp::v4());
        socket.set_option(Tcp::socket::receive_buffer_size(ReceiveBytes));
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }

    /** @brief Runs the server until a condition holds; false after a timeout. */
    template <typename Condition>
    [[nodiscard]] bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + Timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(1));
        }
        return condition();
    }

private:
    asio::io_context m_context{1};
    FixedSizeHandler m_handler;

public:
    http::Server server;
};

/** @brief Reads a response without blocking. */
class ResponseReader
{
public:
    explicit ResponseReader(Tcp::socket &socket)
        : m_socket(socket)
    {
        m_socket.non_blocking(true);
    }

    void readAvailable()
    {
        std::array<char, 64 * 1024> buffer{};
        boost::system::error_code error;
        const auto size = m_socket.read_some(asio::buffer(buffer), error);
        text.append(buffer.data(), size);
        isReset = isReset || error == asio::error::connection_reset;
        isClosed = isClosed || (error && error != asio::error::would_block);
    }

    [[nodiscard]] bool hasUnreadData() const
    {
        return m_socket.available() > 0;
    }

    std::string text;
    bool isClosed = false;
    bool isReset = false;

private:
    Tcp::socket &m_socket;
};

void write(Tcp::socket &socket, std::string_view text)
{
    asio::write(socket, asio::buffer(text));
}

bool isOkWithClose(const std::string &response)
{
    return response.starts_with("HTTP/1.1 200") && response.find("Connection: close") != std::string::npos;
}

} // namespace

// Closing a listening socket resets the connections in its backlog, so their requests would get no response.
TEST_CASE("requests on connections in the backlog are answered after a server stops listening")
{
    TestServer testServer;
    std::list<Tcp::socket> sockets;
    std::list<ResponseReader> readers;
    for (u32 i = 0; i < 5; ++i) {
        sockets.push_back(testServer.connect());
        write(sockets.back(), RequestText);
        readers.emplace_back(sockets.back());
    }
    testServer.server.stopListening();
    for (auto &reader : readers) {
        CHECK(testServer.runUntil([&] {
            reader.readAvailable();
            return reader.isClosed;
        }));
        CHECK(isOkWithClose(reader.text));
        CHECK_FALSE(reader.isReset);
    }
    REQUIRE(testServer.runUntil([&] { return testServer.server.busyConnections() == 0; }));
    Tcp::socket late(sockets.front().get_executor());
    boost::system::error_code error;
    late.connect({asio::ip::make_address("127.0.0.1"), testServer.server.port()}, error);
    CHECK(error == asio::error::connection_refused);
}

// A process that counts only complete requests as busy would exit while a request is still arriving.
TEST_CASE("a partly received request counts as busy and is answered after the server stops listening")
{
    TestServer testServer;
    auto socket = testServer.connect();
    write(socket, RequestText.substr(0, 10));
    REQUIRE(testServer.runUntil([&] { return testServer.server.busyConnections() == 1; }));
    testServer.server.stopListening();
    write(socket, RequestText.substr(10));
    ResponseReader reader(socket);
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK(isOkWithClose(reader.text));
    CHECK(testServer.runUntil([&] { return testServer.server.busyConnections() == 0; }));
}

// A request on a keep-alive connection would be lost if it arrives while idle connections are closed.
TEST_CASE("a request that has arrived on a keep-alive connection is answered although idle connections are closed")
{
    TestServer testServer;
    auto keptAlive = testServer.connect();
    auto idle = testServer.connect();
    ResponseReader reader(keptAlive);
    ResponseReader idleReader(idle);
    write(keptAlive, RequestText);
    REQUIRE(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.text.ends_with("xx");
    }));
    testServer.server.stopListening();
    REQUIRE(testServer.runUntil([&] { return testServer.server.busyConnections() == 0; }));
    reader.text.clear();
    write(keptAlive, RequestText);
    testServer.server.closeIdle();
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK(isOkWithClose(reader.text));
    CHECK(testServer.runUntil([&] {
        idleReader.readAvailable();
        return idleReader.isClosed;
    }));
    CHECK(idleReader.text.empty());
    CHECK_FALSE(idleReader.isReset);
}

// Guards against a caller that can't tell whether its request was executed, because it arrived while the idle connection was closed.
TEST_CASE("a request that arrives while an idle connection is closed gets the final response")
{
    TestServer testServer;
    auto socket = testServer.connect();
    ResponseReader reader(socket);
    write(socket, RequestText);
    REQUIRE(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.text.ends_with("xx");
    }));
    reader.text.clear();
    testServer.server.stopListening();
    http::Response finalResponse;
    finalResponse.status = 503;
    testServer.server.closeIdle(finalResponse);
    REQUIRE(testServer.runUntil([&] { return reader.hasUnreadData(); }));
    write(socket, RequestText);
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK(reader.text.starts_with("HTTP/1.1 503"));
    CHECK(reader.text.find("Connection: close") != std::string::npos);
    CHECK_FALSE(reader.isReset);
}

// The end of a response would be lost if the caller sends another request while the server closes the connection.
TEST_CASE("a response is complete although its caller sends another request on a connection that the server closes")
{
    constexpr std::size_t BodyBytes = 128 * 1024;
    TestServer testServer(BodyBytes);
    testServer.server.closeAfterAnswers();
    auto socket = testServer.connectWithSmallWindow();
    write(socket, RequestText);
    ResponseReader reader(socket);
    REQUIRE(testServer.runUntil([&] { return reader.hasUnreadData() && testServer.server.busyConnections() == 0; }));
    write(socket, RequestText);
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK_FALSE(reader.isReset);
    CHECK(reader.text.size() > BodyBytes);
}

// Guards against a status that the HTTP library doesn't list and that reaches the peer as 000.
TEST_CASE("each status of three digits is sent as it is")
{
    TestServer testServer;
    for (const u16 status : {200, 299, 418, 425, 509, 520, 529, 530, 599, 999}) {
        testServer.handler().setStatus(status);
        auto socket = testServer.connect();
        write(socket, "GET /page HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
        ResponseReader reader(socket);
        CHECK(testServer.runUntil([&] {
            reader.readAvailable();
            return reader.isClosed;
        }));
        CHECK(reader.text.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
    }
}

// Guards against long bodies that take more memory than there is for them, and against short ones that find none beside them.
TEST_CASE("bodies beyond the memory for them are refused unread, and others are served meanwhile")
{
    constexpr u64 MemoryBytes = 1024 * 1024;
    constexpr std::size_t LongBytes = 150'000;
    admission::ClientMemory memory(MemoryBytes);
    http::ServerLimits limits;
    limits.memory = &memory;
    TestServer testServer(2, limits);
    const auto longHead = "POST /page HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(LongBytes) + "\r\n\r\n";
    std::list<Tcp::socket> sockets;
    std::list<ResponseReader> readers;
    for (u32 i = 0; i < 10; ++i) {
        sockets.push_back(testServer.connect());
        write(sockets.back(), longHead);
        readers.emplace_back(sockets.back());
    }
    const auto refused = [&] {
        u32 count = 0;
        for (auto &reader : readers) {
            reader.readAvailable();
            count += reader.text.starts_with("HTTP/1.1 503") && reader.text.find("Retry-After") != std::string::npos ? 1 : 0;
        }
        return count;
    };
    CHECK(testServer.runUntil([&] { return refused() >= 7; }));
    CHECK(refused() < 10);
    CHECK(memory.usedBytes() <= MemoryBytes);
    auto shortRequest = testServer.connect();
    write(shortRequest, "POST /page HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody");
    ResponseReader shortReader(shortRequest);
    CHECK(testServer.runUntil([&] {
        shortReader.readAvailable();
        return shortReader.text.ends_with("xx");
    }));
    // The same holds for a body whose length isn't announced.
    auto chunked = testServer.connect();
    write(chunked, "POST /page HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string piece(4096, 'x');
    ResponseReader chunkedReader(chunked);
    boost::system::error_code error;
    CHECK(testServer.runUntil([&] {
        for (u32 i = 0; i < 4; ++i) {
            asio::write(chunked, asio::buffer("1000\r\n" + piece + "\r\n"), error);
        }
        chunkedReader.readAvailable();
        return chunkedReader.text.starts_with("HTTP/1.1 503");
    }));
    sockets.clear();
    chunked.close();
    CHECK(testServer.runUntil([&] { return memory.usedBytes() == 0; }));
}

// Guards against a request that no HTTP library sends on and whose exception leaves its connection in the server's set.
TEST_CASE("a TRACE request with a body is rejected, and its connection is closed")
{
    TestServer testServer;
    auto socket = testServer.connect();
    write(socket, "TRACE /page HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody");
    ResponseReader reader(socket);
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK(reader.text.starts_with("HTTP/1.1 400"));
    socket.close();
    CHECK(testServer.runUntil([&] { return testServer.server.busyConnections() == 0; }));
}

// Guards against a handler that throws and leaves a closed connection in the server's set, which is used when the server stops.
TEST_CASE("a connection whose handler throws is closed, and the server stops as usual")
{
    TestServer testServer;
    testServer.handler().setThrowing();
    auto socket = testServer.connect();
    write(socket, RequestText);
    ResponseReader reader(socket);
    CHECK(testServer.runUntil([&] {
        reader.readAvailable();
        return reader.isClosed;
    }));
    CHECK(reader.text.empty());
    testServer.server.closeIdle();
    testServer.server.closeAll();
    CHECK(testServer.runUntil([&] { return testServer.server.busyConnections() == 0; }));
}
