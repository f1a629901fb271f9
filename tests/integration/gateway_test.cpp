#include <support/gateway_deployment.hpp>
#include <support/platform_objects.hpp>
#include <support/ports.hpp>

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/stat.h>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ObjectStoreMode;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

ConnectionAction respondDone(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(completeResponse(request, 200, "done " + request.header("X-Attempt-Id")));
    return ConnectionAction::Keep;
}

ConnectionAction streamThreeEvents(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(standins::streamHead(request));
    for (u32 id = 1; id <= 3; ++id) {
        connection.write(standins::eventChunk(id, "x"));
    }
    connection.write(standins::StreamEnd);
    return ConnectionAction::Keep;
}

bool isAnswered(const runtime::http::Exchange &exchange)
{
    return exchange.progress == runtime::http::Progress::Answered;
}

} // namespace

TEST_CASE("each kind of request gets its own complete response, and the endpoint gets only the gateway's own values of internal headers")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    Replica engine(streamThreeEvents);
    gateway.configure(3);
    gateway.registerReplica("p1", "plain", plain.address());
    gateway.registerReplica("e1", "engines", engine.address());
    gateway.awaitReady();

    GatewayCall once;
    once.extraHeaders = {{"X-Tenant-Id", "someone-else"}, {"X-Cache-Salt", "stolen"}, {"X-Hold-Kv", "1"}};
    const auto onceResponse = gateway.call(once);
    CHECK(isAnswered(onceResponse));
    CHECK(onceResponse.response.body == "done a1");
    CHECK(onceResponse.response.header("X-Server-Seal") == "seal");
    const auto onceRequest = plain.received().front();
    CHECK(onceRequest.header("X-Tenant-Id") == "desk");
    CHECK(onceRequest.header("X-Expect-Instance") == "p1");
    CHECK(onceRequest.header("Authorization").empty());
    CHECK(onceRequest.header("X-Cache-Salt").empty());
    CHECK(onceRequest.header("X-Hold-Kv").empty());
    CHECK(std::stoi(onceRequest.header("X-Deadline-Ms")) <= 3000);

    const auto streamResponse = gateway.call(promptCall("/prompts/1", "s1"));
    CHECK(isAnswered(streamResponse));
    CHECK(streamResponse.response.body.find("id: 3") != std::string::npos);
    const auto promptRequest = engine.received().front();
    CHECK(promptRequest.header("X-Expect-Version") == "1");
    CHECK(promptRequest.header("X-Cache-Salt") == "m~1~");
    CHECK(promptRequest.header("X-Prompt-Prefix") == PromptParts);
}

TEST_CASE("unknown keys, unknown routes and oversized requests are rejected, and none of them reaches an endpoint")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    GatewayCall call;
    call.key = "unknown";
    CHECK(gateway.call(call).response.status == 401);
    call.key = "key-desk";
    call.path = "/nowhere/";
    CHECK(gateway.call(call).response.status == 404);
    call.path = "/once/1";
    call.body = std::string(70'000, 'x');
    CHECK(gateway.call(call).response.status == 413);
    call.body = "{}";
    call.extraHeaders = {{"X-Long", std::string(5000, 'x')}};
    CHECK(gateway.call(call).response.status == 431);
    CHECK(plain.received().empty());
}

// Guards against a revoked key that keeps working or is accepted again because of an older configuration.
TEST_CASE("a revoked key is refused, and an older configuration doesn't restore it")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    CHECK(gateway.call({}).response.status == 200);
    gateway.configure(7, {"key-new"});
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 401; }));
    gateway.configure(5, {"key-desk"});
    GatewayCall renewed;
    renewed.key = "key-new";
    CHECK(gateway.call(renewed).response.status == 200);
    CHECK(gateway.call({}).response.status == 401);
}

// Guards against revoked keys that work again because the last customer was taken off the list.
TEST_CASE("a configuration that lists no customers lets nobody in but on public routes")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    REQUIRE(gateway.call({}).response.status == 200);
    auto configuration = configurationObject(7, {});
    configuration.as_object()["tenants"].as_array().clear();
    gateway.store().put("config", "main", configuration);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 401; }));
    const auto ran = plain.received().size();
    GatewayCall call;
    call.key = "";
    CHECK(gateway.call(call).response.status == 401);
    CHECK(plain.received().size() == ran);
    call.path = "/open/1";
    CHECK(gateway.call(call).response.status == 200);
}

// Guards against a gateway that others leave out because a late removal by its predecessor took its entry off the list.
TEST_CASE("a gateway whose entry was removed from the list enters it again")
{
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.store().count("burdock-entries") == 1; }));
    gateway.store().erase("burdock-entries", "vm-1");
    REQUIRE(gateway.store().count("burdock-entries") == 0);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.store().count("burdock-entries") == 1; }));
}

// Guards against revoked keys that keep working while the store is unreachable, and against public routes that fail along with the keys.
TEST_CASE("keys are refused once the store was unreachable for too long, public routes are still served")
{
    GatewayDeployment gateway(R"({"revocation_ms": 2500})");
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    gateway.store().setMode(ObjectStoreMode::Down);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 503; }));
    const auto refused = gateway.call({});
    CHECK(!refused.response.header("Retry-After").empty());
    CHECK(gateway.readiness() == 503);
    GatewayCall open;
    open.path = "/open/1";
    open.key = "";
    CHECK(gateway.call(open).response.status == 200);
    gateway.store().setMode(ObjectStoreMode::Up);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 200; }));
}

// Guards against accepting a key indefinitely because the configuration that revoked it cannot be read.
TEST_CASE("keys are refused once the newest configuration could not be read for too long, public routes are still served")
{
    GatewayDeployment gateway(R"({"revocation_ms": 4500})");
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    REQUIRE(gateway.call({}).response.status == 200);
    gateway.store().put("config", "main", {{"version", "nine"}});
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 503; }));
    CHECK(gateway.readiness() == 503);
    GatewayCall open;
    open.path = "/open/1";
    open.key = "";
    CHECK(gateway.call(open).response.status == 200);
    gateway.configure(7);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 200; }));
}

TEST_CASE("invalid store responses leave the current state in force: unreadable entries, no history, 503")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    gateway.store().put("config", "main", {{"version", "nine"}});
    gateway.store().put("servers", "ghost", {{"service", 7}, {"address", "127.0.0.1:1"}, {"slots", -1}});
    gateway.store().put("versions", "m", boost::json::array{1, 2});
    gateway.store().setMode(ObjectStoreMode::HistoryExpired);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    gateway.store().setMode(ObjectStoreMode::Unavailable);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    gateway.store().setMode(ObjectStoreMode::Up);
    CHECK(gateway.call({}).response.status == 200);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find("configuration_unreadable") != std::string::npos; }));
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find("endpoint_unreadable") != std::string::npos; }));
}

// Guards against a response that an endpoint sends twice and whose copy is taken for the response to the next caller.
TEST_CASE("a late copy of an earlier response reaches no caller")
{
    GatewayDeployment gateway;
    std::string previousResponse;
    Replica plain([&previousResponse](const ReceivedRequest &request, ReplicaConnection &connection) {
        if (!previousResponse.empty()) {
            connection.write(previousResponse);
        }
        previousResponse = completeResponse(request, 200, "for " + request.header("X-Attempt-Id"));
        connection.write(previousResponse);
        return ConnectionAction::Keep;
    });
    gateway.setUpService("plain", {&plain});
    for (const std::string attempt : {"r1", "r2", "r3"}) {
        GatewayCall call;
        call.path = "/read/1";
        call.attempt = attempt;
        CHECK(gateway.call(call).response.body == "for " + attempt);
    }
}

// Guards against an answer whose status the HTTP library doesn't list and that reaches the caller with another one.
TEST_CASE("an endpoint's status reaches the caller as it is, whether it is registered or not")
{
    GatewayDeployment gateway;
    Replica plain([](const ReceivedRequest &request, ReplicaConnection &connection) {
        const auto status = static_cast<u16>(std::stoi(request.target.substr(request.target.rfind('/') + 1)));
        connection.write(completeResponse(request, status, "answer"));
        return ConnectionAction::Keep;
    });
    gateway.setUpService("plain", {&plain});
    for (const u16 status : {299, 418, 425, 451, 499}) {
        CAPTURE(status);
        GatewayCall call;
        call.path = "/once/" + std::to_string(status);
        const auto answer = gateway.call(call);
        CHECK(answer.response.status == status);
        CHECK(answer.response.header("X-Server-Seal") == "seal");
        CHECK(answer.response.body == "answer");
    }
    GatewayCall call;
    call.path = "/once/529";
    CHECK(gateway.call(call).response.status == 529);
}

// Guards against a call that runs twice because it is retried at another endpoint after its response was lost, or reported as not run.
TEST_CASE("a call that may not be repeated is sent once, and a lost response is not reported as a refusal")
{
    GatewayDeployment gateway;
    const auto closeConnection = [](const ReceivedRequest &, ReplicaConnection &) {
        return ConnectionAction::Close;
    };
    Replica first(closeConnection);
    Replica second(closeConnection);
    gateway.setUpService("plain", {&first, &second});
    CHECK(gateway.call({}).response.status == 502);
    CHECK(first.received().size() + second.received().size() == 1);
}

TEST_CASE("a call that an endpoint declined goes to another one; a read continues after a lost response")
{
    GatewayDeployment gateway;
    Replica busy([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(completeResponse(request, 503, "", "X-Not-Executed: 1\r\n"));
        return ConnectionAction::Keep;
    });
    Replica healthy(respondDone);
    gateway.setUpService("plain", {&busy, &healthy});
    for (u32 i = 0; i < 8; ++i) {
        GatewayCall call;
        call.attempt = "n" + std::to_string(i);
        CHECK(gateway.call(call).response.status == 200);
    }
    CHECK(healthy.received().size() == 8);
}

// Guards against resetting the retry budget whenever a gateway joins or leaves, which would multiply retries during a series of restarts.
TEST_CASE("retries that were spent stay spent when another gateway joins")
{
    GatewayDeployment gateway(R"({"retry_share":0.01,"retry_slack":4})");
    const auto closeConnection = [](const ReceivedRequest &, ReplicaConnection &) {
        return ConnectionAction::Close;
    };
    Replica first(closeConnection);
    Replica second(closeConnection);
    gateway.setUpService("plain", {&first, &second});
    const auto awaitEntries = [&gateway](u32 count) {
        const auto expected = "burdock_entries " + std::to_string(count) + "\n";
        return GatewayDeployment::waitFor([&] { return gateway.metrics().find(expected) != std::string::npos; });
    };
    const auto countAttemptsAfterCall = [&](const std::string &path) {
        GatewayCall call;
        call.path = path;
        call.attempt = path;
        static_cast<void>(gateway.call(call));
        return first.received().size() + second.received().size();
    };
    REQUIRE(awaitEntries(1));
    CHECK(countAttemptsAfterCall("/read/1") == 2);
    CHECK(countAttemptsAfterCall("/read/2") == 4);
    CHECK(countAttemptsAfterCall("/read/3") == 5);
    gateway.store().put("burdock-entries", "vm-2", {{"zone", "zone-a"}, {"load_address", "127.0.0.1:1"}});
    REQUIRE(awaitEntries(2));
    CHECK(countAttemptsAfterCall("/read/4") == 6);
}

TEST_CASE("an interrupted stream resumes at another endpoint where its route allows, event by event")
{
    GatewayDeployment gateway;
    const auto script = [](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::streamHead(request));
        if (request.header("Last-Event-Id") == "1") {
            connection.write(standins::eventChunk(2, "second"));
            connection.write(standins::StreamEnd);
            return ConnectionAction::Keep;
        }
        connection.write(standins::eventChunk(1, "first"));
        // The endpoint fails in the middle of its second event.
        connection.write("14\r\nid: 2\ndata: torn");
        return ConnectionAction::Close;
    };
    Replica first(script);
    Replica second(script);
    gateway.configure(3);
    gateway.registerReplica("e1", "engines", first.address());
    gateway.registerReplica("e2", "engines", second.address());
    gateway.awaitReady();
    const auto answer = gateway.call(promptCall("/resumable/1", "s1"));
    CHECK(isAnswered(answer));
    CHECK(answer.response.body == "id: 1\ndata: first\n\nid: 2\ndata: second\n\n");
    const auto broken = gateway.call(promptCall("/prompts/1", "s2"));
    CHECK(broken.progress == runtime::http::Progress::MayBeSent);
}

// Guards against writing a second response into the first one, which callers cannot parse.
TEST_CASE("a stream whose key went unconfirmed while it ran is cut off when its endpoint fails, without a second response")
{
    GatewayDeployment gateway(R"({"revocation_ms": 2500})");
    std::atomic<u32> runs{0};
    std::atomic<bool> mayFail{false};
    const auto script = [&](const ReceivedRequest &request, ReplicaConnection &connection) {
        ++runs;
        connection.write(standins::streamHead(request));
        connection.write(standins::eventChunk(1, "first"));
        static_cast<void>(GatewayDeployment::waitFor([&] { return mayFail.load(); }));
        return ConnectionAction::Close;
    };
    Replica first(script);
    Replica second(script);
    gateway.setUpService("engines", {&first, &second});
    auto rawResponse = std::async(std::launch::async, [&] { return gateway.callRaw(promptCall("/resumable/1", "s1")); });
    REQUIRE(GatewayDeployment::waitFor([&] { return runs == 1; }));
    gateway.store().setMode(ObjectStoreMode::Down);
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.readiness() == 503; }));
    mayFail = true;
    const auto answer = rawResponse.get();
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK(answer.rfind("HTTP/1.1") == 0);
    CHECK(runs == 1);
}

// Guards against a refusal that reports "not run" for a call that may have run.
TEST_CASE("a read that was lost after its key went unconfirmed is not reported as a refusal")
{
    GatewayDeployment gateway(R"({"revocation_ms": 2500})");
    std::atomic<u32> runs{0};
    std::atomic<bool> mayFail{false};
    Replica plain([&](const ReceivedRequest &, ReplicaConnection &) {
        ++runs;
        static_cast<void>(GatewayDeployment::waitFor([&] { return mayFail.load(); }));
        return ConnectionAction::Close;
    });
    Replica other(respondDone);
    gateway.setUpService("plain", {&plain});
    GatewayCall read;
    read.path = "/read/1";
    auto answer = std::async(std::launch::async, [&] { return gateway.call(read); });
    REQUIRE(GatewayDeployment::waitFor([&] { return runs == 1; }));
    gateway.registerReplica("r2", "plain", other.address());
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("endpoint":"r2")") != std::string::npos; }));
    gateway.store().setMode(ObjectStoreMode::Down);
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.readiness() == 503; }));
    mayFail = true;
    CHECK(answer.get().response.status == 502);
}

// Guards against engines that keep generating tokens for disconnected callers and occupy slots that others wait for.
TEST_CASE("when a caller disconnects, the endpoint's connection is closed within half a second")
{
    GatewayDeployment gateway;
    std::atomic<bool> hasBegun{false};
    std::atomic<bool> isClosed{false};
    Replica engine([&](const ReceivedRequest &, ReplicaConnection &connection) {
        hasBegun = true;
        isClosed = connection.waitForClose(std::chrono::seconds(3));
        return ConnectionAction::Close;
    });
    gateway.setUpService("engines", {&engine});
    // Waits until the engine has started: if it has not been scheduled yet, it notices the close only once it starts.
    gateway.callAndDisconnectWhen(promptCall("/prompts/1", "s1"), [&hasBegun] { return hasBegun.load(); });
    const auto disconnectTime = std::chrono::steady_clock::now();
    REQUIRE(hasBegun);
    CHECK(GatewayDeployment::waitFor([&] { return isClosed.load(); }));
    CHECK(std::chrono::steady_clock::now() - disconnectTime < std::chrono::milliseconds(500));
}

TEST_CASE("an answer is given at the route's timeout, whatever the endpoint does")
{
    GatewayDeployment gateway;
    Replica silent([](const ReceivedRequest &, ReplicaConnection &connection) {
        static_cast<void>(connection.waitForClose(std::chrono::seconds(8)));
        return ConnectionAction::Close;
    });
    gateway.setUpService("plain", {&silent});
    const auto startTime = std::chrono::steady_clock::now();
    CHECK(gateway.call({}).response.status == 504);
    CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::milliseconds(3500));
}

TEST_CASE("an endpoint that is draining, gone or in a zone that is out gets nothing more")
{
    GatewayDeployment gateway;
    Replica leaving(respondDone);
    Replica staying(respondDone);
    gateway.setUpService("plain", {&leaving, &staying});
    gateway.registerReplica("r1", "plain", leaving.address(), true);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("draining":true)") != std::string::npos; }));
    const auto before = leaving.received().size();
    for (u32 i = 0; i < 10; ++i) {
        CHECK(gateway.call({}).response.status == 200);
    }
    CHECK(leaving.received().size() == before);
    gateway.store().put("evacuations", "zone-a", boost::json::object());
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 503; }));
    gateway.store().erase("evacuations", "zone-a");
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 200; }));
}

// Guards against a store watch that waits too long on a connection that went silent, while an endpoint is draining.
TEST_CASE("an endpoint that drains gets nothing three seconds after all connections to the store went silent")
{
    GatewayDeployment gateway;
    Replica leaving(respondDone);
    gateway.setUpService("plain", {&leaving});
    // Registering another replica makes the endpoint watch start again just before the connections go silent.
    gateway.registerReplica("r2", "engines", leaving.address());
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("endpoint":"r2")") != std::string::npos; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    gateway.storeProxy().stallConnections();
    const auto freezeTime = std::chrono::steady_clock::now();
    gateway.registerReplica("r1", "plain", leaving.address(), true);
    GatewayCall open;
    open.path = "/open/1";
    open.key = "";
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call(open).response.status == 503; }));
    CHECK(std::chrono::duration<double>(std::chrono::steady_clock::now() - freezeTime).count() < 3.0);
}

// Guards against a planned stop that aborts a request, or accepts one that it will have to abort.
TEST_CASE("SIGTERM lets requests in progress complete and refuses late ones at once")
{
    GatewayDeployment gateway;
    Replica plain([](const ReceivedRequest &request, ReplicaConnection &connection) {
        std::this_thread::sleep_for(std::chrono::milliseconds(request.target == "/read/slow" ? 1500 : 5));
        return respondDone(request, connection);
    });
    gateway.setUpService("plain", {&plain});
    GatewayCall slow;
    slow.path = "/read/slow";
    auto pendingCall = std::async(std::launch::async, [&] { return gateway.call(slow); });
    CHECK(GatewayDeployment::waitFor([&] { return plain.receivedCount("/read/slow") == 1; }));
    gateway.process().signal(SIGTERM);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.readiness() == 503; }));
    CHECK(gateway.call({}).response.status == 200);
    CHECK(pendingCall.get().response.status == 200);
    const bool isRefused = GatewayDeployment::waitFor([&] {
        const auto late = gateway.call({});
        return isAnswered(late) ? late.response.status == 503 : true;
    });
    CHECK(isRefused);
    CHECK(gateway.process().waitForExit(std::chrono::seconds(7)) == 0);
}

// Guards against a signal that terminates a gateway because it arrives before the signal handlers are installed.
TEST_CASE("signals that arrive while a gateway reads its settings are handled once it has started")
{
    const auto path = (std::filesystem::temp_directory_path() / ("gateway-settings-" + std::to_string(freePort()))).string();
    const auto log = path + ".log";
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    std::ofstream(log).flush();
    ChildProcess process({BURDOCK_DAEMON, "gateway", "--settings=" + path}, log);
    {
        std::ofstream settings(path); // blocks until the gateway opens the FIFO for reading
        process.signal(SIGHUP);
        process.signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        settings << R"({"name":"vm-1","zone":"zone-a","platform":"127.0.0.1:1","grace_seconds":6,"revocation_ms":4000,"retry_share":0.2,)"
                 << R"("retry_slack":50,"weights_ms":12000,"order_pause_ms":3000,"callers_listen":")" << freeAddress()
                 << R"(","readiness_listen":")" << freeAddress() << R"(","metrics_listen":")" << freeAddress() << R"(","load_listen":")"
                 << freeAddress() << "\"}";
    }
    CHECK(process.waitForExit(std::chrono::seconds(10)) == 0);
    std::ostringstream lines;
    lines << std::ifstream(log).rdbuf();
    CHECK(lines.str().find(R"("event":"reload")") != std::string::npos);
    CHECK(lines.str().find(R"("event":"drained")") != std::string::npos);
    std::filesystem::remove(path);
    std::filesystem::remove(log);
}

TEST_CASE("SIGHUP interrupts nothing")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    gateway.process().signal(SIGHUP);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("event":"reload")") != std::string::npos; }));
    CHECK(gateway.call({}).response.status == 200);
}

// Guards against running a call for a caller that disconnected while the VM was suspended, because the request is read before the close
// that follows it.
TEST_CASE("a request whose caller disconnected while the gateway was suspended reaches no endpoint")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    // Leaves an idle connection to the endpoint, so that the next request could be sent immediately.
    CHECK(gateway.call({}).response.status == 200);
    gateway.process().signal(SIGSTOP);
    gateway.callAndDisconnect({}, std::chrono::milliseconds(100));
    gateway.process().signal(SIGCONT);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("event":"caller_left")") != std::string::npos; }));
    CHECK(plain.received().size() == 1);
}

// Guards against a gateway that refuses all keys for the duration of a whole watch after it was suspended.
TEST_CASE("a gateway that was suspended for longer than a revocation may take accepts keys again within a second")
{
    GatewayDeployment gateway(R"({"revocation_ms": 2500})");
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    REQUIRE(gateway.call({}).response.status == 200);
    gateway.process().signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(2600)); // long enough to have missed a revocation
    const auto resumeTime = std::chrono::steady_clock::now();
    gateway.process().signal(SIGCONT);
    CHECK(GatewayDeployment::waitFor([&] { return gateway.call({}).response.status == 200; }));
    CHECK(std::chrono::steady_clock::now() - resumeTime < std::chrono::seconds(1));
}

// Guards against a process that aborts instead of logging the reason when a port is in use.
TEST_CASE("a gateway whose address is in use logs this and exits with the code for a failed start")
{
    Replica other(respondDone);
    GatewayDeployment gateway(R"({"callers_listen":")" + other.address() + R"("})");
    constexpr int ExitFailed = 1;
    CHECK(gateway.process().waitForExit(std::chrono::seconds(10)) == ExitFailed);
    CHECK(gateway.log().find(R"("event":"start_failed")") != std::string::npos);
}

// Guards against replicas that keep old weights permanently because the response to a lease claim that took effect was lost.
TEST_CASE("new weights are ordered under one lease holder, also when responses of the store are lost")
{
    GatewayDeployment gateway;
    std::atomic<u32> version{1};
    std::atomic<u32> orders{0};
    Replica engine([&](const ReceivedRequest &request, ReplicaConnection &connection) {
        if (request.target == "/order") {
            ++orders;
            version = 2;
            connection.write(completeResponse(request, 202, ""));
        } else {
            const auto report = R"({"busy":false,"seq":)" + std::to_string(orders.load())
                + R"(,"running":0,"models":[{"name":"m","version":)" + std::to_string(version.load()) + "}]}";
            connection.write(completeResponse(request, 200, report));
        }
        return ConnectionAction::Keep;
    });
    gateway.setUpService("engines", {&engine});
    gateway.store().setMode(ObjectStoreMode::DropsWriteResponses);
    gateway.store().put("versions", "m", {{"model", "m"}, {"version", 2}});
    CHECK(GatewayDeployment::waitFor([&] { return gateway.store().count("burdock-duties") == 1; }));
    CHECK(orders == 0);
    gateway.store().setMode(ObjectStoreMode::Up);
    CHECK(GatewayDeployment::waitFor([&] { return orders > 0; }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(orders == 1);
    const auto received = engine.received();
    const auto order = std::find_if(received.begin(), received.end(), [](const auto &request) { return request.target == "/order"; });
    const auto body = boost::json::parse(order->body).as_object();
    CHECK(body.at("fencingToken").to_number<u64>() >= 1);
    CHECK(body.at("expected").to_number<u64>() == 0);
    CHECK(order->header("X-Expect-Instance") == "r1");
}

TEST_CASE("metrics report requests by kind and outcome, and the age of the configuration")
{
    GatewayDeployment gateway;
    Replica plain(respondDone);
    gateway.setUpService("plain", {&plain});
    CHECK(gateway.call({}).response.status == 200);
    const auto metrics = gateway.metrics();
    CHECK(metrics.find(R"(burdock_requests_total{kind="once_only",outcome="answered"} 1)") != std::string::npos);
    CHECK(metrics.find("burdock_configuration_age_seconds") != std::string::npos);
    CHECK(metrics.find("burdock_request_seconds_bucket") != std::string::npos);
}
