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

// Sends bytes, closes the sending side and returns the first part of the response; empty if the connection fails.
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

// Broken clients and port scanners send invalid data to every open port. A process that trusts its input before validating it crashes,
// hangs or leaks memory.
TEST_CASE("invalid input on the callers', link and admin ports causes no crash, hang or leak")
{
    Deployment deployment;
    deployment.start();
    std::mt19937 random(20261203);
    const std::string body = R"({"model":"m","prompt":"x","max_tokens":1})";
    const std::string validRequest
        = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-desk\r\nContent-Type: application/json\r\n"
          "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto sendInvalidInput = [&] {
        for (u32 i = 0; i < 150; ++i) {
            auto mutatedRequest = validRequest;
            for (u32 change = 0; change < 1 + i % 5; ++change) {
                mutatedRequest[random() % mutatedRequest.size()] = static_cast<char>(random());
            }
            // Some mutations leave the request valid, so any HTTP response is accepted, as is none.
            const auto answer = sendRaw(deployment.entryAddress(0), mutatedRequest.substr(0, random() % mutatedRequest.size()));
            CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
            static_cast<void>(sendRaw(deployment.entryAddress(0), randomBytes(random, 1 + random() % 400)));
            static_cast<void>(sendRaw(deployment.linkProxy("model-0").address(), randomBytes(random, 1 + random() % 400)));
            static_cast<void>(sendRaw(deployment.adminAddress("model-0"), mutatedRequest));
        }
    };
    sendInvalidInput();
    const u64 entryKibBefore = residentKib(deployment.process("entry-0").pid());
    const u64 endpointKibBefore = residentKib(deployment.process("model-0").pid());
    sendInvalidInput();
    sendInvalidInput();
    constexpr u64 MaxGrowthKib = 16 * 1024;
    CHECK(residentKib(deployment.process("entry-0").pid()) < entryKibBefore + MaxGrowthKib);
    CHECK(residentKib(deployment.process("model-0").pid()) < endpointKibBefore + MaxGrowthKib);
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    CHECK(sendAndWait(deployment, 0, ServiceCall{}).isComplete);
}

TEST_CASE("a connection whose request never completes is closed")
{
    Deployment deployment;
    deployment.start();
    const auto target = runtime::http::parseAddress(deployment.entryAddress(0));
    boost::asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(Tcp::endpoint(boost::asio::ip::make_address(target.ip), target.port));
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le")));
    const auto startTime = std::chrono::steady_clock::now();
    boost::system::error_code error;
    std::string answer(256, '\0');
    while (!error) {
        socket.read_some(boost::asio::buffer(answer), error);
    }
    // The read timeout in the settings of the tests is five seconds.
    CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::seconds(12));
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
}

// A faulty client can send headers without end, and a process that buffers all of them grows until it is killed.
TEST_CASE("headers above the size limit are rejected while other requests are served")
{
    constexpr std::size_t HeaderBytesAboveLimit = 20 * 1024;
    Deployment deployment;
    deployment.start();
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(HeaderBytesAboveLimit, 'x') + "\r\n\r\n";
    for (const auto &address : {deployment.entryAddress(0), deployment.adminAddress("entry-0"), deployment.adminAddress("model-0")}) {
        CHECK(sendRaw(address, request).starts_with("HTTP/1.1 431 "));
    }
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
}
