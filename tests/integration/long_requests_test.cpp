#include <support/endless_endpoint.hpp>
#include <support/gateway_deployment.hpp>
#include <support/platform_objects.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** Memory of the smallest gateway VM. */
constexpr u64 MaxGatewayKib = 110 * 1024;
constexpr std::size_t BodyBytes = std::size_t{4} * 1024 * 1024;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool IsMemoryMeasured = false; // the sanitizer's own memory is several times that of the process
#else
constexpr bool IsMemoryMeasured = true;
#endif

ConnectionAction respondDone(const ReceivedRequest &request, ReplicaConnection &connection)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    connection.write(standins::completeResponse(request, 200, "done"));
    return ConnectionAction::Keep;
}

} // namespace

// Guards against long requests at the same time that take the gateway over its memory, so that all requests under way are lost.
TEST_CASE("long requests at once are served within the gateway's memory, or refused and not run")
{
    for (const u32 count : {1U, 14U, 60U}) {
        CAPTURE(count);
        GatewayDeployment gateway(R"({"memory_mb":110,"descriptors":4100})");
        Replica plain(respondDone);
        gateway.registerReplica("r1", "plain", plain.address());
        auto configuration = configurationObject(3, {"key-desk"});
        configuration.as_object()["limits"].as_object()["maxBodyBytes"] = BodyBytes;
        gateway.store().put("config", "main", configuration);
        gateway.awaitReady();
        std::atomic<u32> served{0};
        std::atomic<u32> refused{0};
        std::vector<std::thread> callers;
        for (u32 i = 0; i < count; ++i) {
            callers.emplace_back([&, i] {
                GatewayCall call;
                call.attempt = "long-" + std::to_string(i);
                call.path = "/once/" + std::to_string(i);
                call.body.assign(BodyBytes, 'x');
                const auto answer = gateway.call(call);
                const bool isComplete = answer.progress == runtime::http::Progress::Answered;
                served += isComplete && answer.response.status == 200 ? 1 : 0;
                const bool isRefused = isComplete && answer.response.status == 503 && !answer.response.header("Retry-After").empty()
                    && answer.response.header("X-Attempt-Id") == call.attempt;
                refused += isRefused ? 1 : 0;
            });
        }
        // Short requests find room beside the long ones.
        u32 shortServed = 0;
        for (u32 i = 0; i < 5; ++i) {
            GatewayCall call;
            call.attempt = "short-" + std::to_string(i);
            call.path = "/read/" + std::to_string(i);
            shortServed += gateway.call(call).response.status == 200 ? 1 : 0;
        }
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(shortServed == 5);
        CHECK(served >= 1);
        CHECK(served + refused == count);
        CHECK(plain.received().size() == served + shortServed);
        if (IsMemoryMeasured) {
            CHECK(peakKib(gateway.process().pid()) <= MaxGatewayKib);
        }
    }
}
