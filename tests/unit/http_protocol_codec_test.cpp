#include <burdock/platform/http_protocol_codec.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace burdock;
using platform::HttpProtocolCodec;

namespace {

runtime::http::Request promptRequest()
{
    runtime::http::Request request;
    request.method = "POST";
    request.target = "/a/1?x=2";
    request.body = "body";
    request.headers = {{"Host", "desk.example"},
                       {"X-Attempt-Id", "a1"},
                       {"X-Model-Id", "m"},
                       {"X-Token-Usage", "1460,80"},
                       {"X-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                       {"X-Deadline-Ms", "12000"},
                       {"Authorization", "Token secret"}};
    return request;
}

} // namespace

TEST_CASE("a request is decoded with its parts in order")
{
    const auto metadata = HttpProtocolCodec().readRequest(promptRequest().headers);
    CHECK(metadata.attemptId == "a1");
    CHECK(metadata.apiKey == "secret");
    CHECK(metadata.timeout == std::chrono::seconds(12));
    CHECK(metadata.promptTokens == 1460);
    CHECK(metadata.outputTokens == 80);
    REQUIRE(metadata.parts.size() == 3);
    CHECK(metadata.parts[1].id == "91");
    CHECK(metadata.parts[1].tokens == 410);
    auto resuming = promptRequest().headers;
    resuming.emplace_back("Last-Event-Id", "7");
    resuming.emplace_back("Resumes", "a0");
    CHECK(HttpProtocolCodec().readRequest(resuming).lastEventId == "7");
    CHECK(HttpProtocolCodec().readRequest(resuming).resumedAttemptId == "a0");
}

// Guards against a caller whose headers make a replica run something other than what was checked.
TEST_CASE("reserved headers of callers are never forwarded, and headers that describe the request are never dropped")
{
    auto request = promptRequest();
    for (const auto *name : {"X-Tenant-Id", "X-Expect-Instance", "X-Expect-Version", "X-Cache-Salt", "X-Kv-Fetch-From", "X-Kv-Save-To",
                             "X-Kv-Until", "X-Kv-Backup", "X-Hold-Kv", "X-Pin-Ms", "Kv-From", "x-request-priority"}) {
        request.headers.emplace_back(name, "forged");
    }
    request.headers.emplace_back("Connection", "close, X-Model-Id, X-Private");
    request.headers.emplace_back("X-Private", "1");
    gateway::ForwardingOptions options;
    options.endpointId = "i-1";
    options.customer = "desk";
    options.timeLeft = std::chrono::milliseconds(700);
    const auto sent = HttpProtocolCodec().requestForEndpoint(request, options);
    for (const auto &[name, value] : sent.headers) {
        CHECK(value != "forged");
        CHECK(name != "Authorization");
        CHECK(name != "Connection");
    }
    CHECK(sent.header("X-Tenant-Id") == "desk");
    CHECK(sent.header("X-Model-Id") == "m");
    CHECK(sent.header("X-Private").empty());
    CHECK(sent.header("X-Deadline-Ms") == "700");
    CHECK(sent.target == "/a/1?x=2");
    CHECK(sent.body == "body");
}

TEST_CASE("cache addresses are sent one per prompt part, and the weight version beside the salt")
{
    gateway::ForwardingOptions options;
    options.isPrompt = true;
    options.salt = "m~2~";
    options.weightVersion = 2;
    options.priority = 99;
    options.parts.fetchFrom = {"10.0.0.1:80", "", ""};
    options.parts.saveTo = {"", "10.0.0.2:80", ""};
    options.fetchDeadlineMs = 1234;
    const auto sent = HttpProtocolCodec().requestForEndpoint(promptRequest(), options);
    CHECK(sent.header("X-Kv-Fetch-From") == "10.0.0.1:80,-,-");
    CHECK(sent.header("X-Kv-Save-To") == "-,10.0.0.2:80,-");
    CHECK(sent.header("X-Kv-Until") == "1234");
    CHECK(sent.header("X-Expect-Version") == "2");
    CHECK(sent.header("X-Request-Priority") == "9");
}

TEST_CASE("a response head says whether the request ran, and its hop-by-hop headers are not forwarded")
{
    runtime::http::Response head;
    head.status = 503;
    head.headers = {{"X-Attempt-Id", "a1"},  {"X-Not-Executed", "1"}, {"Keep-Alive", "timeout=10, max=5"}, {"X-Cold-Ms", "1500"},
                    {"Connection", "X-Hop"}, {"X-Hop", "1"},          {"Transfer-Encoding", "chunked"},    {"X-Weight-Versions", "3"}};
    const auto metadata = HttpProtocolCodec().readResponse(head);
    CHECK(metadata.isDeclined);
    CHECK_FALSE(metadata.hasSignature);
    CHECK(metadata.keepAlive == std::chrono::seconds(10));
    CHECK(metadata.remainingColdTime == std::chrono::milliseconds(1500));
    CHECK(metadata.weightVersion == 3);
    const auto forwarded = HttpProtocolCodec().responseForCaller(head);
    CHECK(forwarded.header("X-Hop").empty());
    CHECK(forwarded.header("Transfer-Encoding").empty());
    CHECK(forwarded.header("X-Attempt-Id") == "a1");
}

// Guards against an answer that is lost, or a limit that is made up, because an endpoint names something else than a number.
TEST_CASE("a limit is read if the head names exactly one finite number that is not negative")
{
    const auto read = [](const std::vector<std::string> &values) {
        runtime::http::Response head;
        head.status = 503;
        for (const auto &value : values) {
            head.headers.emplace_back("server-limit", value);
        }
        return HttpProtocolCodec().readResponse(head);
    };
    CHECK(read({"2.9"}).requestsPerSecond == 2.9);
    CHECK(read({"0"}).requestsPerSecond == 0);
    CHECK(read({" 200 "}).requestsPerSecond == 200);
    CHECK_FALSE(read({}).requestsPerSecond);
    CHECK_FALSE(read({}).hasUnreadableLimit);
    const std::string beyondRange = "1" + std::string(400, '0');
    const std::vector<std::vector<std::string>> unreadable{{""},    {"many"},   {"-1"},        {"inf"},   {"-inf"}, {"nan"},
                                                           {"3 4"}, {"3", "3"}, {beyondRange}, {"1e999"}, {"0x10"}, {"3,5"}};
    for (const auto &values : unreadable) {
        CAPTURE(values.front());
        CHECK_FALSE(read(values).requestsPerSecond);
        CHECK(read(values).hasUnreadableLimit);
    }
}

TEST_CASE("a configuration is read completely or not at all")
{
    const HttpProtocolCodec codec;
    const auto good = boost::json::parse(R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","routeType":"streaming",
        "timeoutMs":12000,"targetLatencyMs":600,"priority":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],
        "maxAttempts":1,"sticky":true,"resumable":true}],
        "services":[{"name":"s","coldPerS":18.0,"engine":{"slots":128,"kvCapacity":1000,"maxInflight":12,"models":[{"name":"m"}]}},
        {"name":"k","kvStore":"10.0.0.9:80","zone":"z","kvCapacity":500,"maxInflight":12,"managed":true}],
        "limits":{"maxBodyBytes":1000,"idleTimeoutMs":15000},"tenants":[{"name":"t","apiKeys":["k1","k2"],"isolated":true}]})");
    const auto read = codec.readConfiguration(good);
    REQUIRE(read);
    CHECK(read->version == 7);
    CHECK(read->routes[0].destinations.size() == 2);
    CHECK(read->routes[0].isResumable);
    CHECK(read->services[0].engine->cacheTokens == 1000);
    CHECK(read->services[0].coldRequestsPerSecond == 18.0);
    CHECK(read->services[1].cacheStore->isManaged);
    CHECK(read->customers[0].keys.size() == 2);
    CHECK(read->customers[0].isIsolated);
    CHECK(read->limits.bodyBytes == 1000);
    for (const auto *bad : {R"([])", R"({"version":"7"})", R"({"routes":[]})", R"({"version":7,"routes":[{"name":"r"}]})",
                            R"({"version":7,"routes":[3]})", R"(null)"}) {
        CHECK_FALSE(codec.readConfiguration(boost::json::parse(bad)));
    }
}

TEST_CASE("a malformed registration of another writer yields no endpoint")
{
    const HttpProtocolCodec codec;
    const std::string good
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"in_service","coldLeftMs":12.5,"born":9})";
    const auto read = codec.readRegistration("i-1", boost::json::parse(good));
    REQUIRE(read);
    CHECK(read->startTimeMs == 9);
    CHECK(read->remainingColdTime > Duration::zero());
    for (const auto *bad : {R"({})", R"("x")", R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"in_service"})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"dancing"})",
                            R"({"service":3,"address":"10.0.0.1:80","zone":"z","slots":4,"state":"in_service"})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4","state":"in_service"})"}) {
        CHECK_FALSE(codec.readRegistration("i-1", boost::json::parse(bad)));
    }
}

TEST_CASE("malformed bodies of stores and engines are told apart from empty ones")
{
    const HttpProtocolCodec codec;
    CHECK_FALSE(codec.readCacheEvents("{"));
    CHECK_FALSE(codec.readCacheEvents(R"({"error":"busy"})"));
    const auto events
        = codec.readCacheEvents(R"({"bootEpoch":7,"next":3,"lost":true,"events":[[1,"+","s","p",80,"m"],"x",[2,"-"]],"clock_ms":5})");
    REQUIRE(events);
    CHECK(events->hasGap);
    CHECK(events->clockMs == 5);
    CHECK(events->events[0].isStored);
    CHECK_FALSE(codec.readEngineStatus("no json"));
}

// Guards against a rest that is read from an answer that doesn't ask for one, or that is too long for the arithmetic of times.
TEST_CASE("a rest is read from a refusal with one number of seconds, and leaving from the value 1 only")
{
    const auto read = [](u16 status, const std::vector<std::string> &rests, const std::string &leaving = {}) {
        runtime::http::Response head;
        head.status = status;
        for (const auto &rest : rests) {
            head.headers.emplace_back("Retry-After", rest);
        }
        head.headers.emplace_back("Server-Leaving", leaving);
        return HttpProtocolCodec().readResponse(head);
    };
    CHECK(read(503, {"3"}).notice.rest == std::chrono::seconds(3));
    CHECK(read(503, {" 0.25 "}).notice.rest == std::chrono::milliseconds(250));
    CHECK_FALSE(read(503, {}).hasUnreadableRest);
    CHECK_FALSE(read(200, {"3"}).notice.rest);
    CHECK_FALSE(read(429, {"3"}).notice.rest);
    for (const std::string rest : {"", "-1", "nan", "inf", "1e999", "soon", "3 s"}) {
        CAPTURE(rest);
        CHECK_FALSE(read(503, {rest}).notice.rest);
        CHECK(read(503, {rest}).hasUnreadableRest);
    }
    CHECK(read(503, {"3", "3"}).hasUnreadableRest);
    CHECK(read(503, {"1e300"}).notice.rest > std::chrono::hours(24));
    CHECK(read(503, {"1e300"}).notice.rest < Duration::max() / 2);
    CHECK(read(200, {}, "1").notice.isLeaving);
    for (const std::string leaving : {"", "0", "yes", "11", "-1"}) {
        CAPTURE(leaving);
        CHECK_FALSE(read(200, {}, leaving).notice.isLeaving);
    }
}
