#include <support/caller.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <random>

using namespace support;

namespace {

using Tcp = boost::asio::ip::tcp;

u64 residentKib(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

// Sends bytes and reads what comes back, for a short while.
std::string sendRaw(const std::string &address, const std::string &bytes)
{
    const auto target = runtime::http::parseAddress(address);
    boost::asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(Tcp::endpoint(boost::asio::ip::make_address(target.ip), target.port), error);
    if (error) {
        return {};
    }
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    socket.shutdown(Tcp::socket::shutdown_send, error);
    std::string answer(256, '\0');
    const std::size_t size = socket.read_some(boost::asio::buffer(answer), error);
    answer.resize(size);
    return answer;
}

std::string randomBytes(std::mt19937 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (auto &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

} // namespace

// A broken client or a scanner sends nonsense to every port that it finds. Seen as a process that ends, hangs or grows.
// Cause: input that is believed before it is checked.
TEST_CASE("nonsense on callers' and links' ports crashes nothing, holds nothing and leaves nothing behind")
{
    Deployment deployment;
    deployment.start();
    std::mt19937 random(20261203);
    const std::string body = R"({"model":"m","prompt":"x","max_tokens":1})";
    const std::string good
        = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-desk\r\nContent-Type: application/json\r\n"
          "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto round = [&] {
        for (u32 i = 0; i < 150; ++i) {
            auto mutated = good;
            for (u32 change = 0; change < 1 + i % 5; ++change) {
                mutated[random() % mutated.size()] = static_cast<char>(random());
            }
            // Some mutations are harmless; what matters is that whatever comes back is an answer of HTTP, or nothing.
            const auto answer = sendRaw(deployment.entryAddress(0), mutated.substr(0, random() % mutated.size()));
            CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
            static_cast<void>(sendRaw(deployment.entryAddress(0), randomBytes(random, 1 + random() % 400)));
            static_cast<void>(sendRaw(deployment.linkProxy("model-0").address(), randomBytes(random, 1 + random() % 400)));
            static_cast<void>(sendRaw(deployment.adminAddress("model-0"), mutated));
        }
    };
    round();
    const u64 entryBefore = residentKib(deployment.process("entry-0").pid());
    const u64 endpointBefore = residentKib(deployment.process("model-0").pid());
    round();
    round();
    constexpr u64 GrowthKib = 16 * 1024;
    CHECK(residentKib(deployment.process("entry-0").pid()) < entryBefore + GrowthKib);
    CHECK(residentKib(deployment.process("model-0").pid()) < endpointBefore + GrowthKib);
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    CHECK(ask(deployment, 0, ServiceCall{}).isWhole);
}

TEST_CASE("a sender that never ends its request is cut off")
{
    Deployment deployment;
    deployment.start();
    const auto target = runtime::http::parseAddress(deployment.entryAddress(0));
    boost::asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(Tcp::endpoint(boost::asio::ip::make_address(target.ip), target.port));
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le")));
    const auto begin = std::chrono::steady_clock::now();
    boost::system::error_code error;
    std::string answer(256, '\0');
    while (!error) {
        socket.read_some(boost::asio::buffer(answer), error);
    }
    // The settings of the tests give five seconds.
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(12));
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
}

// A client that loops while it builds its headers sends without end, and a process that takes all of it grows until it is killed.
TEST_CASE("headers above the limit are refused, and others are served")
{
    constexpr std::size_t TooLong = 20 * 1024;
    Deployment deployment;
    deployment.start();
    const std::string head = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(TooLong, 'x') + "\r\n\r\n";
    for (const auto &address : {deployment.entryAddress(0), deployment.adminAddress("entry-0"), deployment.adminAddress("model-0")}) {
        CHECK(sendRaw(address, head).starts_with("HTTP/1.1 431 "));
    }
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
}
