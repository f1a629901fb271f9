#include <support/client_crowd.hpp>
#include <support/gateway_deployment.hpp>
#include <support/platform_objects.hpp>
#include <support/process_usage.hpp>
#include <support/request_bytes.hpp>

#include <burdock/link.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

constexpr u64 MaxGatewayKib = 64 * 1024;
constexpr u64 MaxDescriptors = 512;
constexpr const char *GatewaySettings = R"({"memory_mb":64,"descriptors":512})";
constexpr std::size_t BodyBytes = std::size_t{1024} * 1024;
constexpr std::size_t HeaderBytes = std::size_t{16} * 1024;
constexpr std::size_t FieldBytes = HeaderBytes - 1024;
constexpr std::size_t FloodBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t LongAnswerBytes = std::size_t{512} * 1024;
constexpr std::size_t ShortAnswerBytes = std::size_t{8} * 1024;
constexpr u32 StreamEvents = 200;
constexpr u32 PipelinedRequests = 1000;
/** Enough for all requests of a crowd at once. */
constexpr u32 Endpoints = 40;
constexpr u32 Datagrams = 400;
constexpr u32 LoadsPerDatagram = 3000;
/** Lets the gateway take each datagram, as the kernel drops those that it doesn't. */
constexpr auto PauseBetweenDatagrams = std::chrono::milliseconds(2);
constexpr u32 MaxTries = 4;
constexpr auto PauseBetweenTries = std::chrono::milliseconds(500);
constexpr auto SlowAnswerTime = std::chrono::seconds(8);
constexpr std::size_t Crowd = 64;
constexpr std::size_t LargeCrowd = 250;
/** More than a gateway accepts with its descriptors. */
constexpr std::size_t CrowdBeyondLimit = 480;

/** @brief Listeners of a gateway. */
enum class Listener : u8 {
    Callers,
    Readiness,
    Metrics,
};

ConnectionAction respond(const ReceivedRequest &request, ReplicaConnection &connection)
{
    if (request.target.starts_with("/prompts/")) {
        connection.write(standins::streamHead(request));
        for (u32 i = 1; i <= StreamEvents; ++i) {
            connection.write(standins::eventChunk(i, std::string(ShortAnswerBytes, 'x')));
        }
        connection.write(standins::StreamEnd);
        return ConnectionAction::Keep;
    }
    if (request.target.starts_with("/read/slow")) {
        static_cast<void>(connection.waitForClose(SlowAnswerTime));
    }
    const std::size_t size = request.target == "/read/long" ? LongAnswerBytes : request.target == "/read/short" ? ShortAnswerBytes : 4;
    connection.write(standins::completeResponse(request, 200, std::string(size, 'x')));
    return ConnectionAction::Keep;
}

/** @brief A gateway with little memory and few descriptors, and its endpoints. */
class SmallGateway
{
public:
    SmallGateway()
        : m_endpoint(respond)
        , deployment(GatewaySettings)
    {
        for (u32 i = 0; i < Endpoints; ++i) {
            deployment.registerReplica(fmt::format("p{}", i), "plain", m_endpoint.address());
            deployment.registerReplica(fmt::format("e{}", i), "engines", m_endpoint.address());
        }
        auto configuration = configurationObject(3, {"key-desk"});
        auto &limits = configuration.as_object()["limits"].as_object();
        limits["maxBodyBytes"] = BodyBytes;
        limits["maxHeaderBytes"] = HeaderBytes;
        limits["headerTimeoutMs"] = 3000;
        limits["idleTimeoutMs"] = 15000;
        deployment.store().put("config", "main", configuration);
        deployment.awaitReady();
    }

    [[nodiscard]] std::string address(Listener listener) const
    {
        const auto &gateway = deployment.gateway();
        switch (listener) {
        case Listener::Readiness:
            return gateway.readinessAddress();
        case Listener::Metrics:
            return gateway.metricsAddress();
        default:
            return gateway.callerAddress();
        }
    }

    /** @brief Calls as an ordinary caller, which tries again after a refusal or a closed connection; returns whether it was served. */
    [[nodiscard]] bool serves()
    {
        for (u32 i = 0; i < MaxTries; ++i) {
            GatewayCall call;
            call.path = "/read/ordinary";
            call.attempt = fmt::format("ordinary-{}", i);
            const auto answer = deployment.call(call);
            if (answer.progress == runtime::http::Progress::Answered && answer.response.status == 200) {
                return true;
            }
            std::this_thread::sleep_for(PauseBetweenTries);
        }
        return false;
    }

    [[nodiscard]] bool isRunning()
    {
        return deployment.process().waitForExit(Duration::zero()) == -1;
    }

private:
    Replica m_endpoint;

public:
    GatewayDeployment deployment;
};

/** @brief A request up to the end of its head. */
std::string requestHead(const std::string &path, const std::string &headers)
{
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-desk\r\n"
        "X-Model-Id: m\r\nX-Token-Usage: 10,200\r\nX-Prompt-Prefix: {}\r\n{}\r\n",
        path, PromptParts, headers);
}

std::string chunkedHead()
{
    return requestHead("/read/crowd", "Transfer-Encoding: chunked\r\n");
}

/** @brief Checks that a gateway survives a crowd within its memory and descriptors, and serves an ordinary caller beside it. */
void checkSurvives(SmallGateway &gateway, Listener listener, const ClientScript &script, std::size_t count)
{
    REQUIRE(gateway.serves());
    const ProcessUsage usage(
        gateway.deployment.process().pid(),
        {gateway.address(Listener::Callers), gateway.address(Listener::Readiness), gateway.address(Listener::Metrics)});
    ClientCrowd crowd(gateway.address(listener), script, count);
    CHECK(crowd.awaitSettled());
    CHECK(gateway.serves());
    CHECK(gateway.deployment.readiness() == 200);
    CHECK(gateway.isRunning());
    CHECK(usage.peakDescriptors() <= MaxDescriptors);
    if (IsMemoryMeasured) {
        CHECK(usage.peakKib() <= MaxGatewayKib);
    }
}

void checkSurvives(Listener listener, const ClientScript &script, std::size_t count = Crowd)
{
    SmallGateway gateway;
    checkSurvives(gateway, listener, script, count);
}

} // namespace

// Guards against trailers that are kept whole until they end, in one line that never ends.
TEST_CASE("trailers of one line without end leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {chunkedHead() + "4\r\nfill\r\n0\r\nX-Filler: ", "filler", FloodBytes});
}

// Guards against trailers that are kept whole until they end, in lines without end.
TEST_CASE("trailers of many lines without end leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {chunkedHead() + "4\r\nfill\r\n0\r\n", "X-Filler: filler\r\n", FloodBytes});
}

// Guards against chunk extensions that are kept until they end.
TEST_CASE("chunk extensions without end leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {chunkedHead() + "4;x=", "filler", FloodBytes});
}

// Guards against chunk sizes that are kept until they end.
TEST_CASE("chunk sizes without end leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {chunkedHead(), "0", FloodBytes});
}

// Guards against heads that are kept until they end.
TEST_CASE("heads without end leave the gateway serving within its memory")
{
    for (const std::string begin : {"POST /read/crowd HTTP/1.1\r\n", "POST /read/crowd HTTP/1.1\r\nX-Filler: ", "POST /"}) {
        CAPTURE(begin);
        const std::string repeated = begin.ends_with("\r\n") ? "X-Filler: filler\r\n" : "filler";
        checkSurvives(Listener::Callers, {begin, repeated, FloodBytes});
    }
}

// Guards against many short fields, which take far more memory than their bytes, while the bodies behind them don't end.
TEST_CASE("heads of many fields before bodies that don't end leave the gateway serving within its memory")
{
    const auto begin = requestHead("/read/crowd", "Content-Length: 8\r\n" + shortFields(FieldBytes)) + "fill";
    checkSurvives(Listener::Callers, {begin}, LargeCrowd);
}

// Guards against many short fields, which take far more memory than their bytes, while an endpoint works on the requests.
TEST_CASE("heads of many fields before slow answers leave the gateway serving within its memory")
{
    const auto begin = requestHead("/read/slow", "Content-Length: 4\r\n" + shortFields(FieldBytes)) + "fill";
    checkSurvives(Listener::Callers, {begin}, LargeCrowd);
}

// Guards against bodies over the limit whose senders go on after the refusal.
TEST_CASE("announced bodies over the limit leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {requestHead("/read/crowd", "Content-Length: 1000000000\r\n"), "filler", FloodBytes}, LargeCrowd);
}

// Guards against bodies that exceed the limit while they are read, and whose senders go on after the refusal.
TEST_CASE("bodies over the limit that aren't announced leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {chunkedHead(), chunkOf(32 * 1024), FloodBytes}, LargeCrowd);
}

// Guards against bodies in large chunks that are kept because their ends don't come.
TEST_CASE("bodies in large chunks that don't end leave the gateway serving within its memory")
{
    const auto chunk = chunkOf(32 * 1024);
    checkSurvives(Listener::Callers, {chunkedHead(), chunk, chunk.size() * (BodyBytes / (32 * 1024)) - 1}, LargeCrowd);
}

// Guards against bodies in chunks of one byte that are kept because their ends don't come.
TEST_CASE("bodies in very small chunks that don't end leave the gateway serving within its memory")
{
    const auto chunk = chunkOf(1);
    checkSurvives(Listener::Callers, {chunkedHead(), chunk, chunk.size() * (BodyBytes / 4)}, LargeCrowd);
}

// Guards against announced bodies that are kept because their last bytes don't come.
TEST_CASE("announced bodies that don't end leave the gateway serving within its memory")
{
    const auto begin = requestHead("/read/crowd", fmt::format("Content-Length: {}\r\n", BodyBytes));
    checkSurvives(Listener::Callers, {begin, "x", BodyBytes - 1}, LargeCrowd);
}

// Guards against refused clients whose further bytes take more memory than the requests that were refused.
TEST_CASE("refused clients that send on leave the gateway serving within its memory")
{
    checkSurvives(Listener::Callers, {"no request\r\n\r\n", "filler", FloodBytes}, CrowdBeyondLimit);
}

// Guards against connections that take all room and never send a request.
TEST_CASE("silent connections beyond the limit leave the gateway serving within its descriptors")
{
    checkSurvives(Listener::Callers, {""}, CrowdBeyondLimit);
}

// Guards against connections that take all room, each after one request.
TEST_CASE("idle connections beyond the limit leave the gateway serving within its descriptors")
{
    const auto request = requestHead("/read/crowd", "Content-Length: 4\r\n") + "fill";
    checkSurvives(Listener::Callers, {request, {}, 0, true}, CrowdBeyondLimit);
}

// Guards against requests sent one behind the other whose answers are kept because nobody reads them.
TEST_CASE("pipelined requests without a reader leave the gateway serving within its memory")
{
    const auto request = requestHead("/read/short", "Content-Length: 4\r\n") + "fill";
    checkSurvives(Listener::Callers, {repeat(request, PipelinedRequests)}, LargeCrowd);
}

// Guards against answers that nobody reads, which keep the memory for answers from other callers and are blamed on endpoints.
TEST_CASE("answers that nobody reads leave the gateway serving within its memory, and no endpoint is blamed")
{
    SmallGateway gateway;
    const auto request = requestHead("/read/long", "Content-Length: 4\r\n") + "fill";
    checkSurvives(gateway, Listener::Callers, {repeat(request, 8)}, LargeCrowd);
    CHECK(gateway.deployment.log().find("endpoint_ejected") == std::string::npos);
    CHECK(gateway.deployment.log().find("answer_too_long") == std::string::npos);
}

// Guards against streams that nobody reads, which fill the kernel's buffers and are blamed on endpoints.
TEST_CASE("streams that nobody reads leave the gateway serving within its memory, and no endpoint is blamed")
{
    SmallGateway gateway;
    const auto request = requestHead("/prompts/1", "Content-Length: 4\r\n") + "fill";
    checkSurvives(gateway, Listener::Callers, {request}, LargeCrowd);
    CHECK(gateway.deployment.log().find("endpoint_ejected") == std::string::npos);
}

// Guards against the listener for readiness checks, which keeps what any client sends.
TEST_CASE("clients of the readiness listener leave the gateway serving within its memory")
{
    const std::string head = "GET /readiness HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    checkSurvives(Listener::Readiness, {chunked + "4\r\nfill\r\n0\r\nX-Filler: ", "filler", FloodBytes});
    checkSurvives(Listener::Readiness, {chunked, chunkOf(32 * 1024), FloodBytes - 1});
    checkSurvives(Listener::Readiness, {repeat(head + "\r\n", PipelinedRequests)}, LargeCrowd);
}

// Guards against connections to the listener for readiness checks that take all descriptors.
TEST_CASE("silent connections to the readiness listener leave the gateway serving within its descriptors")
{
    checkSurvives(Listener::Readiness, {""}, 2 * MaxDescriptors);
}

// Guards against the listener for metrics, which keeps what any client sends, and answers that nobody reads.
TEST_CASE("clients of the metrics listener leave the gateway serving within its memory")
{
    const std::string head = "GET /metrics HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    checkSurvives(Listener::Metrics, {chunked + "4\r\nfill\r\n0\r\nX-Filler: ", "filler", FloodBytes});
    checkSurvives(Listener::Metrics, {chunked, chunkOf(32 * 1024), FloodBytes - 1});
    checkSurvives(Listener::Metrics, {repeat(head + "\r\n", PipelinedRequests)}, LargeCrowd);
}

// Guards against connections to the listener for metrics that take all descriptors.
TEST_CASE("silent connections to the metrics listener leave the gateway serving within its descriptors")
{
    checkSurvives(Listener::Metrics, {""}, 2 * MaxDescriptors);
}

// Guards against datagrams that fill a gateway's tables with the loads of gateways that don't exist.
TEST_CASE("datagrams of many unknown gateways leave the gateway serving within its memory")
{
    SmallGateway gateway;
    REQUIRE(gateway.serves());
    const ProcessUsage usage(gateway.deployment.process().pid(), {gateway.address(Listener::Callers)});
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    const auto address = runtime::http::parseAddress(gateway.deployment.gateway().loadAddress());
    const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
    u64 endpoint = 0;
    for (u32 sender = 0; sender < Datagrams; ++sender) {
        schema::EntryLoad message;
        message.set_entry(fmt::format("unknown-{}", sender));
        message.set_boot_id(1);
        message.set_sequence(1);
        for (u32 i = 0; i < LoadsPerDatagram; ++i) {
            auto *work = message.add_work();
            work->set_endpoint(++endpoint);
            work->set_running(1);
        }
        boost::system::error_code ignored;
        socket.send_to(boost::asio::buffer(message.SerializeAsString()), target, 0, ignored);
        std::this_thread::sleep_for(PauseBetweenDatagrams);
    }
    CHECK(gateway.serves());
    CHECK(gateway.isRunning());
    if (IsMemoryMeasured) {
        CHECK(usage.peakKib() <= MaxGatewayKib);
    }
}

// Guards against limits that a caller within the stated ones meets.
TEST_CASE("a single request at the full limit is served, in one piece, in chunks and with a trailer")
{
    const std::string body(BodyBytes, 'x');
    const auto announced = requestHead("/read/full", fmt::format("Connection: close\r\nContent-Length: {}\r\n", BodyBytes)) + body;
    const auto chunked = requestHead("/read/full", "Connection: close\r\nTransfer-Encoding: chunked\r\n");
    const auto pieces = [](std::size_t bytes) {
        return repeat(chunkOf(bytes), static_cast<u32>(BodyBytes / bytes));
    };
    for (const auto &request : {announced, chunked + chunkOf(BodyBytes) + "0\r\n\r\n", chunked + pieces(64) + "0\r\n\r\n",
                                chunked + pieces(1) + "0\r\n\r\n", chunked + pieces(4096) + "0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"}) {
        SmallGateway gateway;
        CHECK(gateway.deployment.sendRaw(request).starts_with("HTTP/1.1 200"));
    }
}
