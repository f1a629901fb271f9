#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::PlatformMode;
using standins::ServiceMode;

namespace {

ServiceCall makeCall(const std::string &body, const std::string &key)
{
    ServiceCall call;
    call.body = body;
    call.key = key;
    return call;
}

DeploymentOptions serviceOptions()
{
    DeploymentOptions options;
    options.engines = 0;
    options.services = 2;
    return options;
}

u32 executions(Deployment &deployment, const std::string &body)
{
    return deployment.service(0).executionCount(body) + deployment.service(1).executionCount(body);
}

// Sends a call and waits until a service has executed it; the services respond only after releasePendingCalls().
std::future<CallResult> startPendingCall(Deployment &deployment)
{
    deployment.service(0).setMode(ServiceMode::ExecuteAndWait);
    deployment.service(1).setMode(ServiceMode::ExecuteAndWait);
    auto pending = deployment.spawn(sendService(deployment.entryAddress(0), makeCall("badge", "k")));
    REQUIRE(waitUntil([&] { return executions(deployment, "badge") == 1; }));
    return pending;
}

void releasePendingCalls(Deployment &deployment)
{
    deployment.service(0).release();
    deployment.service(1).release();
}

} // namespace

TEST_CASE("one idempotency key runs once, whoever sends it and however often")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    const auto first = sendAndWait(deployment, 0, makeCall("badge 1", "k1"));
    REQUIRE(first.isComplete);

    SUBCASE("sent again later, through the other entry, it returns the recorded outcome")
    {
        CallResult second;
        REQUIRE(waitUntil([&] {
            second = sendAndWait(deployment, 1, makeCall("badge 1", "k1"));
            return second.status == 200;
        }));
        CHECK(second.text == first.text);
        CHECK(executions(deployment, "badge 1") == 1);
    }
    SUBCASE("with another body it is refused, and does not run")
    {
        const auto other = sendAndWait(deployment, 1, makeCall("badge 2", "k1"));
        CHECK(other.status == 422);
        CHECK(other.reason == "key_reused");
        CHECK(executions(deployment, "badge 2") == 0);
    }
    SUBCASE("of another customer it is another key")
    {
        auto call = makeCall("badge 1", "k1");
        call.customer = "desk";
        CHECK(sendAndWait(deployment, 1, call).isComplete);
        CHECK(executions(deployment, "badge 1") == 2);
    }
    SUBCASE("sent by twenty callers at the same moment it runs once")
    {
        std::vector<std::future<CallResult>> answers;
        for (u32 i = 0; i < 20; ++i) {
            answers.push_back(deployment.spawn(sendService(deployment.entryAddress(i % 2), makeCall("badge 3", "k3"))));
        }
        u32 served = 0;
        for (auto &answer : answers) {
            const auto got = answer.get();
            served += got.status == 200 ? 1 : 0;
            CHECK((got.status == 200 || got.verdict == "may_have_run"));
        }
        CHECK(served >= 1);
        CHECK(executions(deployment, "badge 3") == 1);
    }
}

// Guards against a call that is executed twice because nothing records that it may have run: the service executes the call, its
// connection breaks before the response, and the caller's retry reaches another entry and another endpoint.
TEST_CASE("a call whose response was lost at the back end is not run again")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    deployment.service(0).setMode(ServiceMode::ExecuteAndClose);
    deployment.service(1).setMode(ServiceMode::ExecuteAndClose);
    const auto first = sendAndWait(deployment, 0, makeCall("badge", "k"));
    CHECK(first.verdict == "may_have_run");
    deployment.service(0).setMode(ServiceMode::Respond);
    deployment.service(1).setMode(ServiceMode::Respond);
    for (u32 i = 0; i < 4; ++i) {
        const auto again = sendAndWait(deployment, i % 2, makeCall("badge", "k"));
        CHECK(again.verdict == "may_have_run");
        CHECK(again.hasRetryAfter);
    }
    CHECK(executions(deployment, "badge") == 1);
}

// Guards against a claim that is never released: the back end refuses connections for a moment, the caller is told "not run" and
// retries, and the retry must run.
TEST_CASE("a call that provably did not run can be sent again")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    deployment.backendProxy("print-0").setRefusing(true);
    deployment.backendProxy("print-1").setRefusing(true);
    const auto first = sendAndWait(deployment, 0, makeCall("badge", "k"));
    // The proxy accepts the connection and closes it at once; by then the request may have been sent.
    CHECK((first.verdict == "not_run" || first.verdict == "may_have_run"));
    CHECK(executions(deployment, "badge") == 0);
    deployment.backendProxy("print-0").setRefusing(false);
    deployment.backendProxy("print-1").setRefusing(false);
    if (first.verdict == "not_run") {
        CHECK(waitUntil([&] { return sendAndWait(deployment, 1, makeCall("badge", "k")).status == 200; }));
        CHECK(executions(deployment, "badge") == 1);
    }
}

// Guards against running a call whose claim is not known to be written: the caller sends the call during an outage of the platform and
// again after it, and without a record the second can't be told from the first.
TEST_CASE("while the platform is down, a call is refused at once and does not run")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    for (const auto mode : {PlatformMode::Down, PlatformMode::RejectWrites}) {
        deployment.platform().setMode(mode);
        const auto answer = sendAndWait(deployment, 0, makeCall("badge", "k"));
        CHECK(answer.reason == "platform_unavailable");
        CHECK(answer.verdict == "not_run");
        CHECK(answer.hasRetryAfter);
        CHECK(answer.total < std::chrono::seconds(5));
        CHECK(executions(deployment, "badge") == 0);
    }
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(waitUntil([&] { return sendAndWait(deployment, 1, makeCall("badge", "k")).status == 200; }));
    CHECK(executions(deployment, "badge") == 1);
}

// Guards against mishandling a write with an unknown outcome: the platform writes the claim, but its response is lost. The call would
// never run if the claim counted as failed, and would run twice if a second claim were made under another name.
TEST_CASE("a claim whose response was lost is read back, and the call runs once")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    deployment.platform().setMode(PlatformMode::DropWriteResponses);
    const auto answer = sendAndWait(deployment, 0, makeCall("badge", "k"));
    CHECK(answer.isComplete);
    CHECK(executions(deployment, "badge") == 1);
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(waitUntil([&] { return sendAndWait(deployment, 1, makeCall("badge", "k")).status == 200; }));
    CHECK(executions(deployment, "badge") == 1);
}

// Guards against a call that runs twice when its entry dies while the service executes it: what the first entry knew is lost, and the
// caller retries through the other entry, which must not start over.
TEST_CASE("a call whose entry was killed runs once")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    auto pending = startPendingCall(deployment);
    deployment.process("entry-0").signal(SIGKILL);
    CHECK(pending.get().status != 200);
    CHECK(sendAndWait(deployment, 1, makeCall("badge", "k")).verdict == "may_have_run");
    releasePendingCalls(deployment);
    CHECK(waitUntil([&] { return sendAndWait(deployment, 1, makeCall("badge", "k")).status == 200; }));
    CHECK(executions(deployment, "badge") == 1);
}

// Guards against a call that runs again, minutes later, after a lease expired while its holder was paused: the endpoint process stops
// for longer than any timeout while it holds a call, is given up, and resumes; neither it nor a successor may run the call again.
TEST_CASE("a call runs once even if its endpoint process is frozen or killed meanwhile")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    auto pending = startPendingCall(deployment);
    const std::string holder = deployment.service(0).totalExecutions() == 1 ? "print-0" : "print-1";

    SUBCASE("frozen")
    {
        deployment.process(holder).signal(SIGSTOP);
        CHECK(pending.get().verdict == "may_have_run");
        CHECK(sendAndWait(deployment, 1, makeCall("badge", "k")).verdict == "may_have_run");
        releasePendingCalls(deployment);
        deployment.process(holder).signal(SIGCONT);
        CHECK(waitUntil([&] { return sendAndWait(deployment, 1, makeCall("badge", "k")).status == 200; }));
    }
    SUBCASE("killed and started again")
    {
        deployment.process(holder).signal(SIGKILL);
        CHECK(pending.get().verdict == "may_have_run");
        releasePendingCalls(deployment);
        deployment.startProcess(holder);
        REQUIRE(waitUntil([&] { return deployment.status(holder).contains("config_version"); }));
        CHECK(sendAndWait(deployment, 1, makeCall("badge", "k")).verdict == "may_have_run");
    }
    CHECK(executions(deployment, "badge") == 1);
}

// Guards against a lost or repeated call when something between entry and endpoint process drops a connection's state: the link goes
// silent for good while the call is pending. The caller would wait in vain, or the call would be sent again on a new link.
TEST_CASE("a pending call resumes on a new link")
{
    Deployment deployment(serviceOptions());
    deployment.start();
    auto pending = startPendingCall(deployment);
    deployment.linkProxy("print-0").stallConnections();
    deployment.linkProxy("print-1").stallConnections();
    REQUIRE(waitUntil([&] { return deployment.logOf("entry-0").find("link_replaced") != std::string::npos; }));
    releasePendingCalls(deployment);
    CHECK(pending.get().isComplete);
    CHECK(executions(deployment, "badge") == 1);
}
