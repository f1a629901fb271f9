#include <standins/engine.hpp>

#include <burdock/runtime/http/message.hpp>

#include <boost/asio.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace burdock;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** @brief Connection of a caller that sends a prompt. */
class Caller
{
public:
    explicit Caller(const standins::Engine &engine)
        : m_socket(m_context)
    {
        const auto address = runtime::http::parseAddress(engine.address());
        m_socket.connect(Tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    }

    void sendPrompt()
    {
        const std::string body = R"({"model":"m","weight_version":"v1","prompt":"x","max_tokens":1})";
        const auto request = "POST /v1/generate HTTP/1.1\r\nHost: engine\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(m_socket, asio::buffer(request));
    }

    /** @brief Returns what the engine has sent so far. */
    [[nodiscard]] std::string received()
    {
        std::string text(4096, '\0');
        boost::system::error_code error;
        m_socket.non_blocking(true);
        text.resize(m_socket.read_some(asio::buffer(text), error));
        return text;
    }

private:
    asio::io_context m_context;
    Tcp::socket m_socket;
};

standins::EngineOptions loadedOptions()
{
    standins::EngineOptions options;
    options.initialModel = "m@v1";
    return options;
}

void letDataArrive()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // loopback delivers meanwhile; no event reports it
}

} // namespace

// Guards against a simulated restart that keeps connections which a real process would lose: those not accepted yet.
TEST_CASE("a connection that waits to be accepted at a crash is not served by the next start")
{
    asio::io_context context;
    standins::Engine engine(context, "127.0.0.1:0", loadedOptions());
    Caller caller(engine);
    caller.sendPrompt();
    engine.crash();
    context.run_for(std::chrono::milliseconds(200));
    CHECK(engine.started() == 0);
    CHECK(caller.received() == "");
}

// Guards against a simulated restart that serves a request which was read from a connection of the start before.
TEST_CASE("a request that has arrived at a crash is not run by the next start")
{
    asio::io_context context;
    standins::Engine engine(context, "127.0.0.1:0", loadedOptions());
    Caller first(engine);
    Caller second(engine);
    context.run_for(std::chrono::milliseconds(50));
    first.sendPrompt();
    second.sendPrompt();
    letDataArrive();
    // The engine notices both requests at once and begins to handle one of them.
    context.poll_one();
    const u32 startedBefore = engine.started();
    engine.crash();
    context.run_for(std::chrono::milliseconds(200));
    CHECK(engine.started() == startedBefore);
}
