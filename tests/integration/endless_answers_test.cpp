#include <support/endless_endpoint.hpp>
#include <support/gateway_deployment.hpp>
#include <support/wait_until.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>
#include <map>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

using Clock = std::chrono::steady_clock;

/** Memory of the smallest gateway VM. */
constexpr u64 MaxGrowthKib = 110 * 1024;
/** Far below the deadline of the calls, three seconds. */
constexpr auto MaxAnswerTime = std::chrono::milliseconds(1500);
constexpr auto MaxSoundTime = std::chrono::milliseconds(1000);
/** Timeout of the routes of the calls. */
constexpr auto CallDeadline = std::chrono::seconds(3);
constexpr auto CloseTimeout = std::chrono::seconds(5);
constexpr std::size_t WriteBytes = 32 * 1024;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool IsMemoryMeasured = false; // the sanitizer's own memory is several times that of the process
#else
constexpr bool IsMemoryMeasured = true;
#endif

std::string signedHead(const ReceivedRequest &request, const std::string &rest)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n{}", request.header("X-Attempt-Id"), rest);
}

EndlessAnswer endless(const std::string &begin, const std::string &repeated)
{
    return {[begin](const ReceivedRequest &request) { return signedHead(request, begin); }, repeated};
}

const std::map<std::string, EndlessAnswer> &plainAnswers()
{
    static const std::map<std::string, EndlessAnswer> s_answers{
        {"bytes that are no answer", {[](const ReceivedRequest &) { return std::string(); }, "filler"}},
        {"a status line", {[](const ReceivedRequest &) { return std::string("HTTP/1.1 200 "); }, "filler"}},
        {"header lines", endless("", "X-Filler: filler\r\n")},
        {"one header line", endless("X-Filler: ", "filler")},
        {"chunks", endless("Transfer-Encoding: chunked\r\n\r\n", "8\r\nfillfill\r\n")},
        {"a chunk extension", endless("Transfer-Encoding: chunked\r\n\r\n8;x=", "filler")},
        {"a trailer", endless("Transfer-Encoding: chunked\r\n\r\n4\r\nfill\r\n0\r\n", "X-Filler: filler\r\n")},
        {"a body until the connection ends", endless("\r\n", "filler")},
        {"informational heads", {[](const ReceivedRequest &) { return std::string(); }, "HTTP/1.1 102 Processing\r\n\r\n"}},
    };
    return s_answers;
}

const std::map<std::string, EndlessAnswer> &streamAnswers()
{
    static const std::map<std::string, EndlessAnswer> s_answers{
        {"events", endless("Transfer-Encoding: chunked\r\n\r\n", "14\r\nid: 1\ndata: filler\n\n\r\n")},
        {"one event", endless("Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n", "8\r\nfillfill\r\n")},
        {"empty events", endless("\r\n", "\n")},
    };
    return s_answers;
}

GatewayCall numberedCall(const std::string &path, u32 number)
{
    const auto attempt = fmt::format("c{}", number);
    const bool isPrompt = path == "/prompts" || path == "/resumable";
    auto call = isPrompt ? promptCall("", attempt) : GatewayCall{};
    call.attempt = attempt;
    call.path = fmt::format("{}/{}", path, number);
    call.body = attempt;
    return call;
}

struct CallResult
{
    u16 status = 0;
    bool isComplete = false;
    Clock::duration time{};
};

/** @brief Makes that many calls at once. */
std::vector<CallResult> callAtOnce(GatewayDeployment &gateway, const std::string &path, u32 count)
{
    std::vector<CallResult> results(count);
    std::vector<std::thread> threads;
    for (u32 i = 0; i < count; ++i) {
        threads.emplace_back([&, i] {
            const auto begun = Clock::now();
            const auto answer = gateway.call(numberedCall(path, i + 1));
            results[i] = {answer.response.status, answer.progress == runtime::http::Progress::Answered, Clock::now() - begun};
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return results;
}

/** @brief Checks that a gateway whose endpoint answers without end stays within its memory, and serves other calls meanwhile. */
void checkBounded(const EndlessAnswer &answer, const std::string &service, const std::string &path, u32 count, Clock::duration maxTime)
{
    GatewayDeployment gateway(R"({"memory_mb":110,"descriptors":4100})");
    EndlessEndpoint endpoint(answer);
    Replica sound([](const ReceivedRequest &request, ReplicaConnection &connection) {
        const bool isStream = request.target.rfind("/prompts", 0) == 0;
        connection.write(isStream ? standins::streamHead(request) + standins::eventChunk(1, "x") + standins::StreamEnd
                                  : standins::completeResponse(request, 200, "done"));
        return ConnectionAction::Keep;
    });
    gateway.registerReplica("other", service == "plain" ? "engines" : "plain", sound.address());
    gateway.setUpService(service, {&endpoint.replica()});
    const std::string otherPath = service == "plain" ? "/prompts" : "/read";
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(numberedCall(otherPath, 1)).response.status == 200; }));
    const auto before = peakKib(gateway.process().pid());
    std::atomic<bool> isDone{false};
    std::atomic<u32> soundFailures{0};
    std::atomic<u32> soundCalls{0};
    std::thread others([&] {
        for (u32 i = 100'000; soundCalls == 0 || !isDone; ++i) {
            const auto begun = Clock::now();
            const bool isServed = gateway.call(numberedCall(otherPath, i)).response.status == 200;
            ++soundCalls;
            soundFailures += isServed && Clock::now() - begun < MaxSoundTime ? 0 : 1;
        }
    });
    const auto results = callAtOnce(gateway, path, count);
    CHECK(GatewayDeployment::waitFor([&] { return endpoint.closed() == endpoint.begun(); }));
    isDone = true;
    others.join();
    CHECK(endpoint.begun() > 0);
    CHECK(soundCalls > 0);
    CHECK(soundFailures == 0);
    u32 slow = 0;
    u32 served = 0;
    for (const auto &result : results) {
        slow += result.time > maxTime ? 1 : 0;
        served += result.status == 200 && result.isComplete ? 1 : 0;
    }
    CHECK(slow == 0);
    CHECK(served == 0);
    if (IsMemoryMeasured) {
        CHECK(peakKib(gateway.process().pid()) - before <= MaxGrowthKib);
    }
}

void checkAllBounded(u32 count, Clock::duration maxTime)
{
    for (const auto &entry : plainAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        checkBounded(entry.second, "plain", "/once", count, maxTime);
    }
    for (const auto &entry : streamAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        checkBounded(entry.second, "engines", "/prompts", count, maxTime);
    }
}

} // namespace

// Guards against an endpoint in trouble whose answer fills the gateway's memory, keeps it busy or holds its caller until the deadline.
TEST_CASE("an answer without end is broken off in time, while other calls are served")
{
    checkAllBounded(1, MaxAnswerTime);
}

// Guards against bounds that hold for one answer only.
TEST_CASE("fifty answers without end at once are broken off in time, while other calls are served")
{
    checkAllBounded(50, MaxAnswerTime);
}

// Guards against bounds that keep one answer short but not the sum of many.
TEST_CASE("five hundred answers without end at once are broken off before their deadline, while other calls are served")
{
    checkAllBounded(500, CallDeadline);
}

// Guards against a call of the gateway's own, such as one for an engine's status, that never ends or fills the memory.
TEST_CASE("a complete response is given up if it has no end, whether its bytes come fast or one by one")
{
    Replica fast([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::unframedResponse(request, 200, ""));
        while (!connection.waitForClose(Duration::zero())) {
            connection.write(std::string(WriteBytes, 'x'));
        }
        return ConnectionAction::Close;
    });
    Replica slow([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::unframedResponse(request, 200, ""));
        while (!connection.waitForClose(std::chrono::milliseconds(20))) {
            connection.write("x");
        }
        return ConnectionAction::Close;
    });
    runtime::WorkerPool pool(1);
    for (const auto *replica : {&fast, &slow}) {
        const auto address = runtime::http::parseAddress(replica->address());
        const runtime::http::Request request;
        auto result = boost::asio::co_spawn(pool.context(), runtime::http::exchange(address, request, std::chrono::milliseconds(100)),
                                            boost::asio::use_future);
        REQUIRE(result.wait_for(CloseTimeout) == std::future_status::ready);
        CHECK(result.get().progress == runtime::http::Progress::MayBeSent);
    }
    pool.stop();
    pool.wait();
}

// Guards against a caller who gets an error although another endpoint could have answered, and a request that is blamed for its endpoint.
TEST_CASE("a request whose answer has no end is answered by another endpoint where it may be repeated")
{
    for (const auto &entry : plainAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        GatewayDeployment gateway;
        EndlessEndpoint endpoint(entry.second);
        Replica sound([](const ReceivedRequest &request, ReplicaConnection &connection) {
            connection.write(standins::completeResponse(request, 200, "done"));
            return ConnectionAction::Keep;
        });
        gateway.setUpService("plain", {&endpoint.replica(), &sound});
        for (u32 i = 1; i <= 20; ++i) {
            // The same request each time, so that it would be refused if it were blamed.
            auto call = numberedCall("/read", 1);
            call.attempt = fmt::format("c{}", i);
            const auto begun = Clock::now();
            const auto reply = gateway.call(call);
            CHECK(reply.response.status == 200);
            CHECK(reply.response.body == "done");
            CHECK(Clock::now() - begun < MaxAnswerTime);
        }
        // An endpoint that doesn't end its answers is left alone for some time.
        CHECK(endpoint.begun() >= 1);
        CHECK(endpoint.begun() <= 5);
    }
}
