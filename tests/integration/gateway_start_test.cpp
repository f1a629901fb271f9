#include <support/gateway_deployment.hpp>
#include <support/users_objects.hpp>

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

constexpr double ColdPerSecond = 4;

ConnectionAction answerWhole(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(completeResponse(request, 200, "done"));
    return ConnectionAction::Keep;
}

ConnectionAction streamOne(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(standins::streamHead(request));
    connection.write(standins::eventChunk(1, "x"));
    connection.write(standins::StreamEnd);
    return ConnectionAction::Keep;
}

GatewayCall callOf(const std::string &path)
{
    GatewayCall call;
    call.path = path;
    call.further = {{"X-Model-Id", "m"}, {"X-Token-Usage", "10,4"}, {"X-Prompt-Prefix", "aa:6,bb:4"}};
    return call;
}

std::size_t countIn(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// Starts the gateway again while the store keeps one kind of object back, and waits until the configuration and the endpoints came.
void restartWithout(GatewayDeployment &gateway, const std::string &kind)
{
    const std::string configured = R"("event":"configuration_taken")";
    const std::string seen = R"("event":"endpoint_seen")";
    const auto log = gateway.log();
    gateway.store().withholdResponses(kind);
    gateway.restart();
    REQUIRE(GatewayDeployment::waitFor([&] {
        const auto now = gateway.log();
        return countIn(now, configured) > countIn(log, configured) && countIn(now, seen) >= 2 * countIn(log, seen);
    }));
}

} // namespace

// Guards against a gateway that starts and sends requests into a zone that is out, as it hasn't heard yet which zones are.
TEST_CASE("a gateway that starts sends nothing to an endpoint before it knows which zones are out")
{
    GatewayDeployment gateway;
    Replica plain(answerWhole);
    Replica engine(streamOne);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", plain.address());
    gateway.registerReplica("r2", "engines", engine.address());
    gateway.awaitReady();
    gateway.store().put("evacuations", "zone-a", boost::json::object());
    restartWithout(gateway, "evacuations");

    CHECK(gateway.readiness() == 503);
    for (const auto *path : {"/open/1", "/read/1", "/once/1", "/prompts/1"}) {
        const auto refused = gateway.call(callOf(path));
        CHECK_MESSAGE(refused.response.status == 503, path);
        CHECK_MESSAGE(!refused.response.header("Retry-After").empty(), path);
    }
    CHECK(gateway.metrics().find(R"(outcome="zones_unknown"} 1)") != std::string::npos);
    CHECK(plain.received().empty());
    CHECK(engine.received().empty());

    gateway.store().withholdResponses("");
    gateway.awaitReady();
    CHECK(gateway.call(callOf("/open/1")).response.status == 503);
    CHECK(plain.received().empty());
    gateway.store().erase("evacuations", "zone-a");
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call(callOf("/open/1")).response.status == 200; }));
}

// Guards against a zone that comes back with cold endpoints of which the gateway hasn't heard, so that they get a whole load at once.
TEST_CASE("endpoints of a zone that comes back get no more than cold ones bear before they are listed anew")
{
    GatewayDeployment gateway;
    Replica plain(answerWhole);
    auto configuration = configurationObject(3, {"key-desk"});
    configuration.as_object().at("services").as_array().at(0).as_object()["coldPerS"] = ColdPerSecond;
    gateway.store().put("config", "main", configuration);
    ReplicaEntry entry;
    entry.service = "plain";
    entry.address = plain.address();
    auto replica = replicaObject(entry);
    gateway.store().put("servers", "r1", replica);
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(callOf("/open/1")).response.status == 200; }));
    gateway.store().put("evacuations", "zone-a", boost::json::object());
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(callOf("/open/1")).response.status == 503; }));

    const auto before = plain.received().size();
    gateway.store().withholdResponses("servers");
    replica.as_object()["coldLeftMs"] = 5000;
    gateway.store().put("servers", "r1", replica);
    gateway.store().erase("evacuations", "zone-a");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call(callOf("/open/1")).response.status == 200; }));
    const auto isWithinBound = [&](std::size_t before) {
        const auto began = std::chrono::steady_clock::now();
        for (u32 i = 0; i < 40; ++i) {
            static_cast<void>(gateway.call(callOf("/open/1")));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - began;
        return static_cast<double>(plain.received().size() - before) <= 2 + ColdPerSecond * elapsed.count();
    };
    CHECK(isWithinBound(before));
    gateway.store().withholdResponses("");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("cold_ms":5)") != std::string::npos; }));
    CHECK(isWithinBound(plain.received().size()));
}

// Guards against a gateway that starts and takes all weights for the newest, as it hasn't heard yet which are named.
TEST_CASE("a gateway that starts begins no prompt before it knows which weights are named, and serves the rest")
{
    GatewayDeployment gateway;
    Replica plain(answerWhole);
    Replica engine(streamOne);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", plain.address());
    gateway.registerReplica("r2", "engines", engine.address());
    gateway.awaitReady();
    restartWithout(gateway, "versions");

    CHECK(gateway.readiness() == 503);
    const auto refused = gateway.call(callOf("/prompts/1"));
    CHECK(refused.response.status == 503);
    CHECK(!refused.response.header("Retry-After").empty());
    CHECK(gateway.metrics().find(R"(outcome="weights_unknown"} 1)") != std::string::npos);
    CHECK(engine.received().empty());
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call(callOf("/open/1")).response.status == 200; }));

    gateway.store().withholdResponses("");
    gateway.awaitReady();
    CHECK(gateway.call(callOf("/prompts/1")).response.status == 200);
}
