#include <support/gateway_deployment.hpp>

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ObjectStoreMode;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Duration Bound = std::chrono::seconds(8);
constexpr const char *BoundSetting = R"({"weights_ms":8000})";
constexpr Duration PromptPeriod = std::chrono::milliseconds(100);

/** @brief An engine that keeps its first weights whatever it is ordered, and knows when it began its latest prompt. */
class StubbornEngine
{
public:
    StubbornEngine()
        : m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return answer(request, connection); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_replica.address();
    }

    [[nodiscard]] u32 begun() const
    {
        return m_begun;
    }

    [[nodiscard]] SteadyClock::time_point latestBegin() const
    {
        return m_latestBegin;
    }

private:
    ConnectionAction answer(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        if (request.target == "/order") {
            connection.write(completeResponse(request, 409, ""));
        } else if (request.target == "/report") {
            const std::string report = R"({"busy":false,"seq":0,"running":0,"models":[{"name":"m","version":1}]})";
            connection.write(completeResponse(request, 200, report));
        } else {
            ++m_begun;
            m_latestBegin = SteadyClock::now();
            connection.write(standins::streamHead(request));
            connection.write(standins::eventChunk(1, "x"));
            connection.write(standins::StreamEnd);
        }
        return ConnectionAction::Keep;
    }

    std::atomic<u32> m_begun{0};
    std::atomic<SteadyClock::time_point> m_latestBegin{};
    Replica m_replica;
};

GatewayCall prompt(u32 number)
{
    GatewayCall call;
    call.path = "/prompts/1";
    call.attempt = "attempt-" + std::to_string(number);
    call.further = {{"X-Model-Id", "m"}, {"X-Token-Usage", "10,4"}, {"X-Prompt-Prefix", "aa:6,bb:4"}};
    return call;
}

void nameWeights(GatewayDeployment &gateway, u64 version)
{
    gateway.store().put("versions", "m", {{"model", "m"}, {"version", version}});
}

/** @brief Milliseconds that a logged event says since the time of day, less those that passed by the time of the line. */
double missingAge(const GatewayDeployment &gateway, u64 version, std::chrono::system_clock::time_point named)
{
    const auto log = gateway.log();
    const auto line
        = log.substr(log.rfind("\n", log.find(R"("event":"weights_named","model":"m","version":)" + std::to_string(version))) + 1);
    const auto event = boost::json::parse(line.substr(0, line.find('\n'))).as_object();
    const auto passed = event.at("ts_ms").to_number<double>() - std::chrono::duration<double, std::milli>(named.time_since_epoch()).count();
    return passed - event.at("age_ms").to_number<double>();
}

bool isKnown(const GatewayDeployment &gateway, u64 version)
{
    return gateway.log().find(R"("event":"weights_named","model":"m","version":)" + std::to_string(version)) != std::string::npos;
}

} // namespace

// Guards against a restarted gateway that counts the bound of old weights from the newest naming in place of the first one.
TEST_CASE("a gateway that restarts after a second naming begins no prompt past the first one's bound")
{
    GatewayDeployment gateway(BoundSetting);
    StubbornEngine engine;
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();

    nameWeights(gateway, 2);
    const auto named = SteadyClock::now();
    REQUIRE(gateway.call(prompt(0)).response.status == 200);
    std::this_thread::sleep_until(named + std::chrono::milliseconds(6300)); // beyond the age that could be assumed at a start
    nameWeights(gateway, 3);
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 3) && gateway.store().count("burdock-duties") == 1; }));
    gateway.restart();
    gateway.awaitReady();
    for (u32 number = 1; SteadyClock::now() < named + Bound + std::chrono::milliseconds(1200); ++number) {
        static_cast<void>(gateway.call(prompt(number)));
        std::this_thread::sleep_for(PromptPeriod);
    }
    CHECK(engine.begun() > 0);
    CHECK(std::chrono::duration<double>(engine.latestBegin() - named).count() < 8.0);
}

// Guards against a restarted gateway that has to guess although another one saw the weights being named.
TEST_CASE("a gateway that restarts is told by the others since when weights are named")
{
    GatewayDeployment gateway(BoundSetting);
    GatewayProcess other("vm-2", "zone-a", gateway.store().address(), {{"weights_ms", 8000}});
    other.start();
    StubbornEngine engine;
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.store().count("burdock-entries") == 2; }));

    nameWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 2) && other.log().find("weights_named") != std::string::npos; }));
    gateway.restart();
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("told_by":"vm-2")") != std::string::npos; }));
    gateway.awaitReady();
    CHECK(gateway.call(prompt(1)).response.status == 200);
}

// Guards against old weights in use at a process that nobody can tell for how long newer ones are named.
TEST_CASE("a gateway that can't know since when weights are named begins no prompt on older ones")
{
    GatewayDeployment gateway(BoundSetting);
    gateway.configure(3);
    nameWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 2); }));
    REQUIRE(gateway.store().count("burdock-duties") == 0);
    gateway.restart();
    gateway.awaitReady();
    StubbornEngine engine;
    gateway.registerReplica("r1", "engines", engine.address());
    REQUIRE(
        GatewayDeployment::waitFor([&] { return gateway.log().find(R"("event":"endpoint_seen","endpoint":"r1")") != std::string::npos; }));
    CHECK(gateway.call(prompt(1)).response.status == 503);
    CHECK(engine.begun() == 0);
}

// Guards against a prompt that begins on expired weights, as it waited inside the engine.
TEST_CASE("a prompt that an engine has not begun when its weights expire is cut off there")
{
    constexpr Duration ShortBound = std::chrono::milliseconds(2500);
    GatewayDeployment gateway(R"({"weights_ms":2500})");
    std::atomic<SteadyClock::time_point> closed{};
    Replica engine([&](const ReceivedRequest &request, ReplicaConnection &connection) {
        if (request.target != "/prompts/1") {
            connection.write(completeResponse(request, 409, ""));
        } else if (connection.waitForClose(std::chrono::seconds(5))) {
            closed = SteadyClock::now();
        }
        return ConnectionAction::Close;
    });
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call({}).progress == runtime::http::Progress::Answered; }));
    nameWeights(gateway, 2);
    const auto named = SteadyClock::now();
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 2); }));
    const auto answer = gateway.call(prompt(1));
    CHECK(answer.response.status == 502);
    CHECK(answer.response.body.find("weights_expired") != std::string::npos);
    REQUIRE(GatewayDeployment::waitFor([&] { return closed.load() != SteadyClock::time_point{}; }));
    CHECK(closed.load() - named < ShortBound);
}

// Guards against old weights that live longer by the time in which the store's watches heard nothing.
TEST_CASE("a watch that heard nothing does not make newly named weights younger")
{
    GatewayDeployment gateway(BoundSetting);
    gateway.configure(3);
    gateway.awaitReady();
    nameWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 2); }));
    const auto hasLost = [&] {
        return gateway.log().find(R"("event":"store_lost","kind":"weights")") != std::string::npos;
    };
    const auto hasRegained = [&] {
        return gateway.log().find(R"("event":"store_regained","kind":"weights")") != std::string::npos;
    };
    gateway.store().setMode(ObjectStoreMode::Unavailable);
    REQUIRE(GatewayDeployment::waitFor(hasLost));
    const auto named = std::chrono::system_clock::now();
    nameWeights(gateway, 3);
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the watch that hears nothing begins after the naming
    gateway.store().setMode(ObjectStoreMode::SilentWatches);
    REQUIRE(GatewayDeployment::waitFor(hasRegained));
    gateway.store().setMode(ObjectStoreMode::HistoryExpired);
    REQUIRE(GatewayDeployment::waitFor([&] { return isKnown(gateway, 3); }));
    CHECK(missingAge(gateway, 3, named) <= 0);
}
