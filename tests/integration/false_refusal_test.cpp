#include <support/caller.hpp>
#include <support/gateway_deployment.hpp>

#include <array>
#include <doctest/doctest.h>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** Statuses by which callers are promised that a request has not run, but for 421, with which an endpoint itself promises that. */
constexpr std::array<u16, 3> RefusalStatuses{408, 429, 503};
constexpr std::array<u16, 4> ServiceRefusalStatuses{408, 421, 429, 503};
constexpr u16 BadGateway = 502;
constexpr u32 Replicas = 2;

standins::ReplicaScript respondWith(u16 status, const std::string &headers = {})
{
    return [status, headers](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::completeResponse(request, status, "failed", headers));
        return ConnectionAction::Keep;
    };
}

/** @brief Response of a plain service, which bears no attempt id. */
standins::ReplicaScript respondPlainlyWith(u16 status)
{
    return [status](const ReceivedRequest &, ReplicaConnection &connection) {
        connection.write("HTTP/1.1 " + std::to_string(status)
                         + " Failed\r\nContent-Type: application/problem+json\r\nContent-Length: 21\r\n\r\n{\"verdict\":\"not_run\"}");
        return ConnectionAction::Keep;
    };
}

GatewayCall callTo(const std::string &path)
{
    const bool isPrompt = path.starts_with("/prompts") || path.starts_with("/resumable");
    auto call = isPrompt ? promptCall(path, "a1") : GatewayCall{};
    call.path = path;
    return call;
}

} // namespace

// Guards against a request that runs twice, as its endpoint failed with a status that promises callers that it hasn't run.
TEST_CASE("an endpoint's failure with the status of a refusal doesn't reach the caller as one")
{
    for (const auto status : RefusalStatuses) {
        for (const std::string path : {"/once/1", "/prompts/1", "/read/1", "/resumable/1"}) {
            CAPTURE(status);
            CAPTURE(path);
            GatewayDeployment gateway;
            Replica first(respondWith(status));
            Replica second(respondWith(status));
            const bool isRepeatable = path == "/read/1" || path == "/resumable/1";
            gateway.setUpService(path == "/once/1" || path == "/read/1" ? "plain" : "engines", {&first, &second});
            const auto answer = gateway.call(callTo(path));
            CHECK(answer.response.status == BadGateway);
            CHECK(answer.response.header("X-Attempt-Id") == "a1");
            CHECK(answer.response.header("X-Server-Seal").empty());
            CHECK(answer.response.header("Retry-After").empty());
            CHECK(answer.response.body.find("endpoint_failed") != std::string::npos);
            const auto ran = first.received().size() + second.received().size();
            CHECK(ran >= 1);
            CHECK(ran <= (isRepeatable ? Replicas : 1));
        }
    }
}

// Guards against a true refusal that is taken for a failure, so that the caller doesn't try again although it may.
TEST_CASE("a refusal of all endpoints that states that the request wasn't run is passed on as one")
{
    for (const auto status : RefusalStatuses) {
        CAPTURE(status);
        GatewayDeployment gateway;
        Replica full(respondWith(status, "X-Not-Executed: 1\r\n"));
        gateway.setUpService("plain", {&full});
        CHECK(gateway.call(callTo("/once/1")).response.status == 503);
    }
    GatewayDeployment gateway;
    Replica other(respondWith(421));
    gateway.setUpService("plain", {&other});
    CHECK(gateway.call(callTo("/once/1")).response.status == 503);
}

// Guards against a promise that covers the last endpoint only.
TEST_CASE("a request that one endpoint may have run and others refused is not reported as refused")
{
    GatewayDeployment gateway;
    std::atomic<u32> requests{0};
    const auto script = [&requests](const ReceivedRequest &request, ReplicaConnection &connection) {
        if (requests++ == 0) {
            return ConnectionAction::Close;
        }
        connection.write(standins::completeResponse(request, 503, "", "X-Not-Executed: 1\r\n"));
        return ConnectionAction::Keep;
    };
    Replica first(script);
    Replica second(script);
    gateway.setUpService("plain", {&first, &second});
    CHECK(gateway.call(callTo("/read/1")).response.status == BadGateway);
    CHECK(requests == 2);
}

// Guards against an answer that says that the request wasn't run and is delivered as a stream, as its status is a success.
TEST_CASE("a success that states that the request wasn't run is not delivered")
{
    GatewayDeployment gateway;
    Replica engine(respondWith(200, "X-Not-Executed: 1\r\n"));
    gateway.setUpService("engines", {&engine});
    CHECK(gateway.call(callTo("/prompts/1")).response.status == 503);
}

// Guards against a call to a service that runs twice, as the service failed with a status that promises callers that it hasn't run.
TEST_CASE("a service's failure with the status of a refusal doesn't reach the caller of an entry as one")
{
    for (const auto status : ServiceRefusalStatuses) {
        CAPTURE(status);
        Replica service(respondPlainlyWith(status));
        DeploymentOptions options;
        options.entries = 1;
        options.engines = 0;
        options.zones = 1;
        options.serviceAddresses = {service.address()};
        Deployment deployment(options);
        deployment.start();
        ServiceCall order;
        order.key = "k1";
        // The second call with the key gets the recorded answer to the first one.
        for (u32 i = 0; i < 2; ++i) {
            const auto answer = sendAndWait(deployment, 0, order);
            CHECK(answer.status == BadGateway);
            CHECK(answer.reason == "back_end_failed");
            CHECK(answer.verdict == "may_have_run");
        }
        CHECK(service.received().size() == 1);
        ServiceCall list;
        list.method = "GET";
        list.path = "/list";
        const auto answer = sendAndWait(deployment, 0, list);
        CHECK(answer.status == BadGateway);
        CHECK(answer.verdict == "may_have_run");
    }
}

// Guards against a prompt that is refused as not run after an engine has begun it and failed.
TEST_CASE("a prompt that its engine has begun and failed is not reported as not run")
{
    DeploymentOptions options;
    options.entries = 1;
    options.engines = 1;
    options.services = 0;
    options.zones = 1;
    Deployment deployment(options);
    deployment.start();
    deployment.engine(0).setFailureStatus(500);
    const auto startedBefore = deployment.engine(0).started();
    const auto answer = sendAndWait(deployment, 0, PromptCall{});
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.status == BadGateway);
    CHECK(answer.verdict == "may_have_run");
    CHECK(deployment.engine(0).started() > startedBefore);
}
