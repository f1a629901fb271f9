#include <burdock/clients/http_engine.hpp>
#include <burdock/clients/http_object_store.hpp>

#include <support/caller.hpp>
#include <support/gateway_deployment.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::eventText;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

const std::string TornEvent = "id: 2\ndata: to";

bool isComplete(const runtime::http::Exchange &exchange)
{
    return exchange.progress == runtime::http::Progress::Answered;
}

/** @brief Writes an unframed stream that starts with these bytes, then ends the connection. */
standins::ReplicaScript unframedStream(const std::string &body, ConnectionAction end)
{
    return [body, end](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::unframedStreamHead(request) + body);
        return end;
    };
}

} // namespace

TEST_CASE("a stream without length or chunks that ends after an event is complete")
{
    GatewayDeployment gateway;
    const auto body = eventText(1, "first") + eventText(2, "second");
    Replica engine(unframedStream(body, ConnectionAction::Close));
    gateway.setUpService("engines", {&engine});
    for (const std::string path : {"/prompts/1", "/resumable/1"}) {
        const auto answer = gateway.call(promptCall(path, path));
        CHECK(isComplete(answer));
        CHECK(answer.response.body == body);
    }
}

// Guards against a stream that broke off inside an event and is delivered as complete, as its connection ended without a reset.
TEST_CASE("a stream without length or chunks that ends inside an event is not delivered as complete")
{
    GatewayDeployment gateway;
    Replica engine(unframedStream(eventText(1, "first") + TornEvent, ConnectionAction::Close));
    gateway.setUpService("engines", {&engine});
    const auto answer = gateway.call(promptCall("/prompts/1", "s1"));
    CHECK_FALSE(isComplete(answer));
    CHECK(answer.response.status == 200);
    CHECK(answer.response.body.rfind(eventText(1, "first"), 0) == 0);
}

// Guards against a stream without any event that is delivered as complete because its endpoint failed right after the head.
TEST_CASE("a stream without length or chunks that ends before its first event is not delivered as complete")
{
    GatewayDeployment gateway;
    Replica engine(unframedStream("", ConnectionAction::Close));
    gateway.setUpService("engines", {&engine});
    CHECK_FALSE(isComplete(gateway.call(promptCall("/prompts/1", "s1"))));
}

// Guards against joining the rest of a stream to half an event, and against ending it where its first endpoint failed.
TEST_CASE("a stream without length or chunks that ends inside an event resumes at another endpoint where its route allows")
{
    GatewayDeployment gateway;
    const auto script = [](const ReceivedRequest &request, ReplicaConnection &connection) {
        const bool isResumed = request.header("Last-Event-Id") == "1";
        connection.write(standins::unframedStreamHead(request) + (isResumed ? eventText(2, "second") : eventText(1, "first") + TornEvent));
        return ConnectionAction::Close;
    };
    Replica first(script);
    Replica second(script);
    gateway.setUpService("engines", {&first, &second});
    const auto answer = gateway.call(promptCall("/resumable/1", "s1"));
    CHECK(isComplete(answer));
    CHECK(answer.response.body == eventText(1, "first") + eventText(2, "second"));
}

// Guards against a framed stream whose endpoint failed inside an event and still ended the body properly.
TEST_CASE("a chunked stream that ends inside an event is not delivered as complete")
{
    GatewayDeployment gateway;
    Replica engine([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::streamHead(request) + standins::eventChunk(1, "first") + "e\r\n" + TornEvent + "\r\n"
                         + standins::StreamEnd);
        return ConnectionAction::Keep;
    });
    gateway.setUpService("engines", {&engine});
    for (const std::string path : {"/prompts/1", "/resumable/1"}) {
        CHECK_FALSE(isComplete(gateway.call(promptCall(path, path))));
    }
}

// Guards against taking the reset of a connection for the end of a body that has neither a length nor chunks.
TEST_CASE("an answer without length or chunks is complete when its connection ends, but not when it is reset")
{
    GatewayDeployment gateway;
    std::atomic<bool> isReset{false};
    Replica plain([&isReset](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::unframedResponse(request, 200, "done"));
        return isReset ? ConnectionAction::Reset : ConnectionAction::Close;
    });
    gateway.setUpService("plain", {&plain});
    const auto whole = gateway.call({});
    CHECK(whole.response.status == 200);
    CHECK(whole.response.body == "done");
    isReset = true;
    CHECK(gateway.call({}).response.status == 502);
}

// Guards against an event stream of a plain service that broke off and that the endpoint process passes on, and records, as complete.
TEST_CASE("the endpoint process doesn't pass on an event stream as complete that ends inside an event")
{
    Replica torn([](const ReceivedRequest &, ReplicaConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + eventText(1, "first") + TornEvent);
        return ConnectionAction::Close;
    });
    DeploymentOptions options;
    options.engines = 0;
    options.serviceAddresses = {torn.address()};
    Deployment deployment(options);
    deployment.start();
    ServiceCall call;
    call.key = "k1";
    CHECK_FALSE(sendAndWait(deployment, 0, call).isComplete);
    CHECK(torn.received().size() == 1);
}

// Guards against storing half a block of the KV cache, and against reading half an object, after the sender failed.
TEST_CASE("a block or an object that ends with its connection is not taken as complete")
{
    Replica peer([](const ReceivedRequest &, ReplicaConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nObject-Version: 3\r\n\r\nhalf");
        return ConnectionAction::Close;
    });
    runtime::WorkerPool pool(1);
    const auto address = runtime::http::parseAddress(peer.address());
    clients::HttpEngine engine(address, std::chrono::seconds(1));
    clients::HttpObjectStore store(address, std::chrono::seconds(1));
    const auto strand = boost::asio::make_strand(pool.context());
    const auto block = boost::asio::co_spawn(strand, engine.exportBlock({}), boost::asio::use_future).get();
    const auto object = boost::asio::co_spawn(strand, store.read({"once", "x"}), boost::asio::use_future).get();
    pool.stop();
    pool.wait();
    CHECK_FALSE(block.has_value());
    CHECK(object.status == StoreResult::Unreachable);
}
