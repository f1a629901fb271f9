#include <support/gateway_deployment.hpp>

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

constexpr u32 StreamCount = 8;
const std::string LastChunk = "\r\n0\r\n\r\n";

/** @brief An engine whose new streams stop after their first event until they are released, and then fail; it completes resumed streams. */
class BreakingEngine
{
public:
    explicit BreakingEngine(const std::atomic<bool> &isReleased)
        : m_isReleased(isReleased)
        , m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return respond(request, connection); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_replica.address();
    }

    /** @brief Whether it began the stream of this attempt. */
    [[nodiscard]] bool hasBegun(const std::string &attempt) const
    {
        return count([&](const auto &request) {
                   return request.header("Last-Event-Id").empty() && request.header("X-Attempt-Id") == attempt;
               })
            > 0;
    }

    [[nodiscard]] std::size_t begunCount() const
    {
        return count([](const auto &request) { return request.header("Last-Event-Id").empty(); });
    }

    [[nodiscard]] std::size_t resumedCount() const
    {
        return count([](const auto &request) { return !request.header("Last-Event-Id").empty(); });
    }

private:
    template <typename Condition>
    [[nodiscard]] std::size_t count(const Condition &condition) const
    {
        const auto received = m_replica.received();
        return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), condition));
    }

    ConnectionAction respond(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        connection.write(standins::streamHead(request));
        if (!request.header("Last-Event-Id").empty()) {
            connection.write(standins::eventChunk(2, "second") + standins::StreamEnd);
            return ConnectionAction::Keep;
        }
        connection.write(standins::eventChunk(1, "first"));
        static_cast<void>(GatewayDeployment::waitFor([this] { return m_isReleased.load(); }));
        return ConnectionAction::Reset;
    }

    const std::atomic<bool> &m_isReleased;
    Replica m_replica;
};

std::string attemptName(u32 number)
{
    return "s" + std::to_string(number);
}

/** @brief A call whose body and prompt differ from those of the other streams: equal ones count as one that crashes engines. */
GatewayCall streamCall(const std::string &attempt, u32 number)
{
    auto call = promptCall("/resumable/1", attempt);
    call.body = std::to_string(number);
    call.extraHeaders.back().second = fmt::format("{0:x}:6,{0:x}0:4", number + 1);
    return call;
}

/** @brief A call that takes up a stream of which the caller has one event. */
GatewayCall resumingCall(const std::string &attempt, const std::string &resumes, u32 number = 0)
{
    auto call = streamCall(attempt, number);
    call.extraHeaders.emplace_back("Last-Event-Id", "1");
    if (!resumes.empty()) {
        call.extraHeaders.emplace_back("Resumes", resumes);
    }
    return call;
}

bool isComplete(const runtime::http::Exchange &exchange)
{
    return exchange.progress == runtime::http::Progress::Answered && exchange.response.status == 200;
}

/** @brief Starts streams through the first gateway and waits until each has its first event. */
std::vector<std::future<std::string>> startStreams(GatewayDeployment &gateway, const std::vector<const BreakingEngine *> &engines)
{
    std::vector<std::future<std::string>> streams;
    for (u32 i = 0; i < StreamCount; ++i) {
        streams.push_back(std::async(std::launch::async, [&gateway, i] { return gateway.callRaw(streamCall(attemptName(i), i)); }));
    }
    REQUIRE(GatewayDeployment::waitFor([&engines] {
        std::size_t begun = 0;
        for (const auto *engine : engines) {
            begun += engine->begunCount();
        }
        return begun == StreamCount;
    }));
    return streams;
}

} // namespace

// Guards against a stream that the gateway continues at an endpoint with other software than the one that began it.
TEST_CASE("an interrupted stream resumes only at an endpoint with the software version that began it")
{
    std::atomic<bool> isReleased{false};
    BreakingEngine beginning(isReleased);
    BreakingEngine same(isReleased);
    BreakingEngine other(isReleased);
    BreakingEngine another(isReleased);
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.registerEngine("e1", beginning.address(), "v1");
    gateway.awaitReady();
    auto streams = startStreams(gateway, {&beginning});
    bool hasSameVersion = false;
    SUBCASE("while none serves, it is broken off")
    {
    }
    SUBCASE("while one serves, it is completed there")
    {
        hasSameVersion = true;
        gateway.registerEngine("e4", same.address(), "v1");
    }
    gateway.registerEngine("e2", other.address(), "v2");
    gateway.registerEngine("e3", another.address(), "v3");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find("\"e3\"") != std::string::npos; }));
    isReleased = true;
    for (auto &stream : streams) {
        const auto answer = stream.get();
        CHECK(answer.find("id: 1") != std::string::npos);
        CHECK((answer.find(LastChunk) != std::string::npos) == hasSameVersion);
    }
    CHECK(same.resumedCount() == (hasSameVersion ? StreamCount : 0));
    CHECK(other.resumedCount() + another.resumedCount() == 0);
}

// Guards against a stream that its caller takes up through another gateway, which continues it at an endpoint with other software.
TEST_CASE("a stream that its caller takes up through another gateway continues at the software version that began it")
{
    const std::atomic<bool> isReleased{false};
    BreakingEngine beginning(isReleased);
    BreakingEngine same(isReleased);
    BreakingEngine other(isReleased);
    BreakingEngine another(isReleased);
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.registerEngine("e1", beginning.address(), "v1");
    gateway.awaitReady();
    auto &second = gateway.addGateway();
    auto streams = startStreams(gateway, {&beginning});
    gateway.registerEngine("e2", other.address(), "v2");
    gateway.registerEngine("e3", another.address(), "v3");
    gateway.registerEngine("e4", same.address(), "v1");
    gateway.store().erase("servers", "e1");
    REQUIRE(GatewayDeployment::waitFor([&] { return second.log().find("endpoint_gone") != std::string::npos; }));
    gateway.process().signal(SIGKILL);
    for (auto &stream : streams) {
        CHECK(stream.get().find("id: 1") != std::string::npos);
    }
    for (u32 i = 0; i < StreamCount; ++i) {
        CHECK(isComplete(gateway.call(resumingCall("r" + attemptName(i), attemptName(i), i), second)));
    }
    CHECK(same.resumedCount() == StreamCount);
    CHECK(other.resumedCount() + another.resumedCount() == 0);
}

// Guards against guessing the software version of a stream of which no gateway knows where it began.
TEST_CASE("a stream of unknown origin is refused while endpoints with different software serve, and continues where all have the same")
{
    const std::atomic<bool> isReleased{true};
    BreakingEngine first(isReleased);
    BreakingEngine second(isReleased);
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.registerEngine("e1", first.address(), "v1");
    gateway.awaitReady();
    CHECK(isComplete(gateway.call(resumingCall("r1", ""))));
    gateway.registerEngine("e2", second.address(), "v2");
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find("\"e2\"") != std::string::npos; }));
    for (const std::string resumes : {"", "unknown"}) {
        const auto answer = gateway.call(resumingCall("r2" + resumes, resumes));
        CHECK(answer.response.status == 503);
        CHECK(answer.response.body.find("stream_origin_unknown") != std::string::npos);
    }
    CHECK(first.resumedCount() + second.resumedCount() == 1);
}

// Guards against gateways that know nothing of before they were killed and join what two software versions wrote.
TEST_CASE("after all gateways were killed, a stream is not joined from two software versions")
{
    const std::atomic<bool> isReleased{false};
    BreakingEngine before(isReleased);
    BreakingEngine after(isReleased);
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.registerEngine("e1", before.address(), "v1");
    gateway.awaitReady();
    auto streams = startStreams(gateway, {&before});
    std::string versionAfter = "v2";
    SUBCASE("while the versions change")
    {
        gateway.process().signal(SIGKILL);
    }
    SUBCASE("after both versions have served side by side")
    {
        gateway.registerEngine("e2", after.address(), versionAfter);
        REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find("\"e2\"") != std::string::npos; }));
        gateway.store().erase("servers", "e1");
        REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find("endpoint_gone") != std::string::npos; }));
        gateway.process().signal(SIGKILL);
    }
    SUBCASE("while one version serves")
    {
        versionAfter = "v1";
        gateway.process().signal(SIGKILL);
    }
    for (auto &stream : streams) {
        static_cast<void>(stream.get());
    }
    gateway.store().erase("servers", "e1");
    gateway.registerEngine("e2", after.address(), versionAfter);
    gateway.restart();
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.log().find("\"e2\"") != std::string::npos; }));
    for (u32 i = 0; i < StreamCount; ++i) {
        const std::string resumes = i % 2 == 0 ? "" : attemptName(i);
        const auto answer = gateway.call(resumingCall("r" + attemptName(i), resumes, i));
        CHECK(isComplete(answer) == (versionAfter == "v1"));
        CHECK((isComplete(answer) || answer.response.body.find("stream_origin_unknown") != std::string::npos));
    }
    CHECK(after.resumedCount() == (versionAfter == "v1" ? StreamCount : 0));
}

// Guards against a gateway that doesn't know of a software version yet with which others have begun streams.
TEST_CASE("a gateway that is out of step during a release doesn't continue streams of the new software version with the old one")
{
    const std::atomic<bool> isReleased{true};
    BreakingEngine older(isReleased);
    BreakingEngine newer(isReleased);
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.registerEngine("e1", older.address(), "v1");
    gateway.awaitReady();
    auto &other = gateway.addGateway();
    CHECK(isComplete(gateway.call(resumingCall("r1", ""))));
    bool isSuspended = false;
    SUBCASE("as it stood still")
    {
        isSuspended = true;
        gateway.process().signal(SIGSTOP);
    }
    SUBCASE("as it is cut off from the store")
    {
        gateway.storeProxy().stallConnections();
        gateway.storeProxy().setRefusing(true);
    }
    gateway.registerEngine("e2", newer.address(), "v2");
    REQUIRE(GatewayDeployment::waitFor([&] { return other.log().find("\"e2\"") != std::string::npos; }));
    std::vector<u32> begun;
    for (u32 i = 0; i < StreamCount; ++i) {
        static_cast<void>(gateway.call(streamCall(attemptName(i), i), other));
        if (newer.hasBegun(attemptName(i))) {
            begun.push_back(i);
        }
    }
    REQUIRE(!begun.empty());
    if (isSuspended) {
        gateway.process().signal(SIGCONT);
    }
    const auto before = older.resumedCount();
    for (const u32 i : begun) {
        const auto answer = gateway.call(resumingCall("t" + attemptName(i), "", i));
        CHECK_FALSE(isComplete(answer));
    }
    CHECK(older.resumedCount() == before);
}
