#include <burdock/clients/http_engine.hpp>

#include <support/caller.hpp>
#include <support/endless_endpoint.hpp>

#include <doctest/doctest.h>
#include <future>
#include <map>
#include <vector>

using namespace support;
using standins::ReceivedRequest;

namespace {

using Clock = std::chrono::steady_clock;

constexpr u32 DeadlineMs = 3000;
constexpr auto MaxAnswerTime = std::chrono::milliseconds(DeadlineMs + 1000);
/** Memory of the smallest VM with such a process. */
constexpr u64 MaxGrowthKib = 128 * 1024;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool IsMemoryMeasured = false; // the sanitizer's own memory is several times that of the process
#else
constexpr bool IsMemoryMeasured = true;
#endif

EndlessAnswer endless(const std::string &begin, const std::string &repeated)
{
    return {[begin](const ReceivedRequest & /*request*/) { return "HTTP/1.1 200 OK\r\n" + begin; }, repeated};
}

const std::map<std::string, EndlessAnswer> &serviceAnswers()
{
    static const std::map<std::string, EndlessAnswer> s_answers{
        {"header lines", endless("", "X-Filler: filler\r\n")},
        {"chunks", endless("Transfer-Encoding: chunked\r\n\r\n", "8\r\nfillfill\r\n")},
        {"a chunk extension", endless("Transfer-Encoding: chunked\r\n\r\n8;x=", "filler")},
        {"a body until the connection ends", endless("\r\n", "filler")},
        {"events", endless("Content-Type: text/event-stream\r\n\r\n", "data: filler\n\n")},
        {"one event", endless("Content-Type: text/event-stream\r\n\r\ndata: ", "filler")},
    };
    return s_answers;
}

DeploymentOptions serviceOptions(const EndlessEndpoint &endpoint)
{
    DeploymentOptions options;
    options.entries = 1;
    options.engines = 0;
    options.services = 2;
    options.zones = 1;
    options.serviceAddresses = {endpoint.replica().address()};
    return options;
}

ServiceCall makeCall(const std::string &method, u32 number)
{
    ServiceCall call;
    call.method = method;
    call.path = method == "POST" ? "/order" : "/list";
    call.key = method == "POST" ? "k" + std::to_string(number) : "";
    call.deadlineMs = DeadlineMs;
    return call;
}

u64 running(Deployment &deployment, const std::string &name)
{
    const auto status = deployment.status(name);
    return status.contains("running") ? status.at("running").to_number<u64>() : 1;
}

} // namespace

// Guards against a service in trouble whose answer fills the memory of the process beside it, and whose call never ends.
TEST_CASE("a service's answer without end is given up, whether the call may be repeated or not")
{
    for (const std::string method : {"GET", "POST"}) {
        for (const auto &entry : serviceAnswers()) {
            const auto &name = entry.first;
            CAPTURE(method);
            CAPTURE(name);
            EndlessEndpoint endpoint(entry.second);
            Deployment deployment(serviceOptions(endpoint));
            deployment.start();
            const auto before = peakKib(deployment.process("print-0").pid());
            std::vector<std::future<CallResult>> calls;
            const auto begun = Clock::now();
            for (u32 i = 0; i < 20; ++i) {
                calls.push_back(deployment.spawn(sendService(deployment.entryAddress(0), makeCall(method, i))));
            }
            for (auto &call : calls) {
                CHECK(call.wait_until(begun + MaxAnswerTime) == std::future_status::ready);
            }
            CHECK(endpoint.begun() > 0);
            CHECK(waitUntil([&] { return endpoint.closed() == endpoint.begun() && running(deployment, "print-0") == 0; }));
            if (IsMemoryMeasured) {
                CHECK(peakKib(deployment.process("print-0").pid()) - before <= MaxGrowthKib);
            }
            // Calls that reach the other service are answered.
            u32 answered = 0;
            for (u32 i = 0; i < 10; ++i) {
                answered += sendAndWait(deployment, 0, makeCall(method, 100 + i)).isComplete ? 1 : 0;
            }
            CHECK(answered > 0);
        }
    }
}

// Guards against an engine in trouble whose line has no end, or which says for ever that it still works.
TEST_CASE("a line of an engine without end is given up, and its pings are handed on")
{
    for (const bool isPing : {false, true}) {
        CAPTURE(isPing);
        EndlessEndpoint endpoint(endless("Engine-Boot-Id: 1\r\n\r\n{\"head\":{}}\n", isPing ? "{\"ping\":true}\n" : "filler"));
        clients::HttpEngine engine(runtime::http::parseAddress(endpoint.replica().address()), std::chrono::seconds(1));
        runtime::WorkerPool pool(1);
        const auto firstEvent = [&engine]() -> boost::asio::awaitable<clients::GenerateEventKind> {
            const auto generation = engine.generate({});
            const auto head = co_await generation->start();
            if (head.progress != runtime::http::Progress::Answered) {
                co_return clients::GenerateEventKind::Done;
            }
            const auto event = co_await generation->next();
            co_return event.kind;
        };
        auto result = boost::asio::co_spawn(pool.context(), firstEvent(), boost::asio::use_future);
        REQUIRE(result.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
        CHECK(result.get() == (isPing ? clients::GenerateEventKind::Ping : clients::GenerateEventKind::Broken));
        CHECK(waitUntil([&] { return endpoint.closed() == endpoint.begun(); }));
        pool.stop();
        pool.wait();
    }
}
