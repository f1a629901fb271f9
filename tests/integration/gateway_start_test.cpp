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

constexpr double ColdRequestsPerSecond = 4;

ConnectionAction respondDone(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(completeResponse(request, 200, "done"));
    return ConnectionAction::Keep;
}

ConnectionAction streamOneEvent(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(standins::streamHead(request));
    connection.write(standins::eventChunk(1, "x"));
    connection.write(standins::StreamEnd);
    return ConnectionAction::Keep;
}

GatewayCall makeCall(const std::string &path)
{
    GatewayCall call;
    call.path = path;
    call.extraHeaders = {{"X-Model-Id", "m"}, {"X-Token-Usage", "10,4"}, {"X-Prompt-Prefix", "aa:6,bb:4"}};
    return call;
}

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++count;
    }
    return count;
}

// Restarts the gateway while the store withholds one kind of object, and waits until it has the configuration and the endpoints.
void restartWithholding(GatewayDeployment &gateway, const std::string &kind)
{
    const std::string configEvent = R"("event":"configuration_taken")";
    const std::string endpointEvent = R"("event":"endpoint_seen")";
    const auto previousLog = gateway.log();
    gateway.store().withholdResponses(kind);
    gateway.restart();
    REQUIRE(GatewayDeployment::waitFor([&] {
        const auto currentLog = gateway.log();
        return countOccurrences(currentLog, configEvent) > countOccurrences(previousLog, configEvent)
            && countOccurrences(currentLog, endpointEvent) >= 2 * countOccurrences(previousLog, endpointEvent);
    }));
}

} // namespace

// Guards against a gateway that sends requests to an evacuated zone after a start because it has not received the list of evacuated zones.
TEST_CASE("a gateway that starts sends nothing to an endpoint before it knows which zones are out")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    Replica engine(streamOneEvent);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", plain.address());
    gateway.registerReplica("r2", "engines", engine.address());
    gateway.awaitReady();
    gateway.store().put("evacuations", "zone-a", boost::json::object());
    restartWithholding(gateway, "evacuations");

    CHECK(gateway.readiness() == 503);
    for (const auto *path : {"/open/1", "/read/1", "/once/1", "/prompts/1"}) {
        const auto refused = gateway.call(makeCall(path));
        CHECK_MESSAGE(refused.response.status == 503, path);
        CHECK_MESSAGE(!refused.response.header("Retry-After").empty(), path);
    }
    CHECK(gateway.metrics().find(R"(outcome="zones_unknown"} 1)") != std::string::npos);
    CHECK(plain.received().empty());
    CHECK(engine.received().empty());

    gateway.store().withholdResponses("");
    gateway.awaitReady();
    CHECK(gateway.call(makeCall("/open/1")).response.status == 503);
    CHECK(plain.received().empty());
    gateway.store().erase("evacuations", "zone-a");
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call(makeCall("/open/1")).response.status == 200; }));
}

// Guards against sending full load to cold endpoints of a zone that returns, because the gateway has not yet learnt that they are cold.
TEST_CASE("endpoints of a returning zone get no more than the cold rate until they are listed again")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    auto configuration = configurationObject(3, {"key-desk"});
    configuration.as_object().at("services").as_array().at(0).as_object()["coldPerS"] = ColdRequestsPerSecond;
    gateway.store().put("config", "main", configuration);
    ReplicaRegistration registration;
    registration.service = "plain";
    registration.address = plain.address();
    auto replica = replicaObject(registration);
    gateway.store().put("servers", "r1", replica);
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(makeCall("/open/1")).response.status == 200; }));
    gateway.store().put("evacuations", "zone-a", boost::json::object());
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(makeCall("/open/1")).response.status == 503; }));

    const auto before = plain.received().size();
    gateway.store().withholdResponses("servers");
    replica.as_object()["coldLeftMs"] = 5000;
    gateway.store().put("servers", "r1", replica);
    gateway.store().erase("evacuations", "zone-a");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(makeCall("/open/1")).response.status == 200; }));
    const auto isWithinBound = [&](std::size_t before) {
        const auto startTime = std::chrono::steady_clock::now();
        for (u32 i = 0; i < 40; ++i) {
            static_cast<void>(gateway.call(makeCall("/open/1")));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startTime;
        return static_cast<double>(plain.received().size() - before) <= 2 + ColdRequestsPerSecond * elapsed.count();
    };
    CHECK(isWithinBound(before));
    gateway.store().withholdResponses("");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("cold_ms":5)") != std::string::npos; }));
    CHECK(isWithinBound(plain.received().size()));
}

// Guards against a gateway that treats all weights as current after a start because it has not received the announced versions.
TEST_CASE("a gateway that starts begins no prompt before it knows which weights are announced, and serves other requests")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    Replica engine(streamOneEvent);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", plain.address());
    gateway.registerReplica("r2", "engines", engine.address());
    gateway.awaitReady();
    restartWithholding(gateway, "versions");

    CHECK(gateway.readiness() == 503);
    const auto refused = gateway.call(makeCall("/prompts/1"));
    CHECK(refused.response.status == 503);
    CHECK(!refused.response.header("Retry-After").empty());
    CHECK(gateway.metrics().find(R"(outcome="weights_unknown"} 1)") != std::string::npos);
    CHECK(engine.received().empty());
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call(makeCall("/open/1")).response.status == 200; }));

    gateway.store().withholdResponses("");
    gateway.awaitReady();
    CHECK(gateway.call(makeCall("/prompts/1")).response.status == 200);
}
