#include <support/early_endpoint.hpp>
#include <support/gateway_deployment.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

using namespace burdock;
using namespace support;

namespace {

constexpr std::size_t LongBodyBytes = 60'000;
constexpr u32 Repeats = 10;
const std::string FirstHalf(500, 'a');
const std::string SecondHalf(500, 'b');

GatewayCall longCall(const std::string &path, const std::string &attempt)
{
    const bool isPrompt = path.starts_with("/prompts") || path.starts_with("/lasting");
    auto call = isPrompt ? promptCall(path, attempt) : GatewayCall{};
    call.path = path;
    call.attempt = attempt;
    call.body.assign(LongBodyBytes, 'x');
    return call;
}

bool isWhole(const runtime::http::Exchange &exchange)
{
    return exchange.progress == runtime::http::Progress::Answered && exchange.response.status == 200;
}

} // namespace

// Guards against half an answer that reaches the caller as a success, as the send of the request took the error of the connection.
TEST_CASE("an answer without a length that is reset while its request is being sent is not delivered as complete")
{
    GatewayDeployment gateway;
    EarlyEndpoint endpoint(FirstHalf, {}, EarlyEnd::Reset);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", endpoint.address());
    gateway.awaitReady();
    for (u32 i = 0; i < Repeats; ++i) {
        for (const std::string path : {"/once/1", "/open/1"}) {
            CAPTURE(path);
            CHECK_FALSE(isWhole(gateway.call(longCall(path, path + std::to_string(i)))));
        }
    }
    CHECK(endpoint.requests() > 0);
}

// Guards against a stream that ends as complete where its endpoint was reset, as above.
TEST_CASE("a stream without a length that is reset while its request is being sent is not delivered as complete")
{
    for (u32 i = 0; i < Repeats; ++i) {
        GatewayDeployment gateway;
        EarlyEndpoint endpoint(standins::eventText(1, "first"), {}, EarlyEnd::Reset);
        gateway.configure(3);
        gateway.registerReplica("r1", "engines", endpoint.address());
        gateway.awaitReady();
        CHECK(gateway.call(longCall("/prompts/1", "s1")).progress != runtime::http::Progress::Answered);
        CHECK(endpoint.requests() == 1);
    }
}

// Guards against the same in the product's own calls.
TEST_CASE("an own call whose answer is reset while it is being sent fails")
{
    EarlyEndpoint endpoint(FirstHalf, {}, EarlyEnd::Reset);
    runtime::WorkerPool pool(1);
    const auto address = runtime::http::parseAddress(endpoint.address());
    runtime::http::Request request;
    request.method = "POST";
    request.body.assign(LongBodyBytes, 'x');
    for (u32 i = 0; i < Repeats; ++i) {
        auto result = boost::asio::co_spawn(boost::asio::make_strand(pool.context()),
                                            runtime::http::exchange(address, request, std::chrono::seconds(5)), boost::asio::use_future);
        CHECK(result.get().progress == runtime::http::Progress::MayBeSent);
    }
    pool.stop();
    pool.wait();
}

TEST_CASE("an answer that begins early is complete if its request is read and its connection ends regularly")
{
    GatewayDeployment gateway;
    EarlyEndpoint endpoint(FirstHalf, SecondHalf, EarlyEnd::Close);
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", endpoint.address());
    gateway.awaitReady();
    for (const std::string path : {"/once/1", "/open/1"}) {
        CAPTURE(path);
        const auto answer = gateway.call(longCall(path, path));
        CHECK(isWhole(answer));
        CHECK(answer.response.body == FirstHalf + SecondHalf);
    }
}

// Guards against a stream that is cut off, and goes on elsewhere while its endpoint works on, as the endpoint reads a long request late.
TEST_CASE("a stream whose endpoint reads its request late stays at that endpoint")
{
    GatewayDeployment gateway;
    const auto first = standins::eventText(1, "first");
    const auto second = standins::eventText(2, "second");
    constexpr Duration LongerThanUserTimeout = std::chrono::milliseconds(4300);
    EarlyEndpoint late(first, second, EarlyEnd::Close, LongerThanUserTimeout);
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", late.address());
    gateway.registerReplica("r2", "engines", late.address());
    gateway.awaitReady();
    const auto answer = gateway.call(longCall("/lasting/1", "s1"));
    CHECK(isWhole(answer));
    CHECK(answer.response.body == first + second);
    CHECK(late.requests() == 1);
}
