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

constexpr Duration MaxStaleWeightTime = std::chrono::seconds(8);
constexpr const char *MaxStaleWeightTimeSetting = R"({"weights_ms":8000})";
constexpr Duration PromptPeriod = std::chrono::milliseconds(100);

/** @brief An engine that rejects all orders to load other weights and records when its latest prompt started. */
class FixedWeightsEngine
{
public:
    FixedWeightsEngine()
        : m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return respond(request, connection); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_replica.address();
    }

    [[nodiscard]] u32 startedPrompts() const
    {
        return m_startedPrompts;
    }

    [[nodiscard]] SteadyClock::time_point lastStartTime() const
    {
        return m_lastStartTime;
    }

private:
    ConnectionAction respond(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        if (request.target == "/order") {
            connection.write(completeResponse(request, 409, ""));
        } else if (request.target == "/report") {
            const std::string report = R"({"busy":false,"seq":0,"running":0,"models":[{"name":"m","version":1}]})";
            connection.write(completeResponse(request, 200, report));
        } else {
            ++m_startedPrompts;
            m_lastStartTime = SteadyClock::now();
            connection.write(standins::streamHead(request));
            connection.write(standins::eventChunk(1, "x"));
            connection.write(standins::StreamEnd);
        }
        return ConnectionAction::Keep;
    }

    std::atomic<u32> m_startedPrompts{0};
    std::atomic<SteadyClock::time_point> m_lastStartTime{};
    Replica m_replica;
};

GatewayCall prompt(u32 number)
{
    GatewayCall call;
    call.path = "/prompts/1";
    call.attempt = "attempt-" + std::to_string(number);
    call.extraHeaders = {{"X-Model-Id", "m"}, {"X-Token-Usage", "10,4"}, {"X-Prompt-Prefix", "aa:6,bb:4"}};
    return call;
}

void announceWeights(GatewayDeployment &gateway, u64 version)
{
    gateway.store().put("versions", "m", {{"model", "m"}, {"version", version}});
}

/** @brief By how many milliseconds the age in the logged announcement falls short of the time elapsed since `announcedAt`. */
double ageDeficitMs(const GatewayDeployment &gateway, u64 version, std::chrono::system_clock::time_point announcedAt)
{
    const auto log = gateway.log();
    const auto line
        = log.substr(log.rfind("\n", log.find(R"("event":"weights_named","model":"m","version":)" + std::to_string(version))) + 1);
    const auto event = boost::json::parse(line.substr(0, line.find('\n'))).as_object();
    const auto elapsedMs
        = event.at("ts_ms").to_number<double>() - std::chrono::duration<double, std::milli>(announcedAt.time_since_epoch()).count();
    return elapsedMs - event.at("age_ms").to_number<double>();
}

bool isAnnouncementLogged(const GatewayDeployment &gateway, u64 version)
{
    return gateway.log().find(R"("event":"weights_named","model":"m","version":)" + std::to_string(version)) != std::string::npos;
}

} // namespace

// Guards against a restarted gateway that measures how long old weights may be used from the latest announcement instead of the first one.
TEST_CASE("a gateway that restarts after a second announcement starts no prompt past the first one's time limit")
{
    GatewayDeployment gateway(MaxStaleWeightTimeSetting);
    FixedWeightsEngine engine;
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();

    announceWeights(gateway, 2);
    const auto announcedAt = SteadyClock::now();
    REQUIRE(gateway.call(prompt(0)).response.status == 200);
    // Longer than the age that a gateway may assume at startup.
    std::this_thread::sleep_until(announcedAt + std::chrono::milliseconds(6300));
    announceWeights(gateway, 3);
    REQUIRE(GatewayDeployment::waitFor([&] { return isAnnouncementLogged(gateway, 3) && gateway.store().count("burdock-duties") == 1; }));
    gateway.restart();
    gateway.awaitReady();
    for (u32 number = 1; SteadyClock::now() < announcedAt + MaxStaleWeightTime + std::chrono::milliseconds(1200); ++number) {
        static_cast<void>(gateway.call(prompt(number)));
        std::this_thread::sleep_for(PromptPeriod);
    }
    CHECK(engine.startedPrompts() > 0);
    CHECK(std::chrono::duration<double>(engine.lastStartTime() - announcedAt).count() < 8.0);
}

// Guards against a restarted gateway that estimates the age of an announcement although another gateway observed it.
TEST_CASE("a gateway that restarts learns from the others when weights were announced")
{
    GatewayDeployment gateway(MaxStaleWeightTimeSetting);
    GatewayProcess other("vm-2", "zone-a", gateway.store().address(), {{"weights_ms", 8000}});
    other.start();
    FixedWeightsEngine engine;
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.store().count("burdock-entries") == 2; }));

    announceWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor(
        [&] { return isAnnouncementLogged(gateway, 2) && other.log().find("weights_named") != std::string::npos; }));
    gateway.restart();
    CHECK(GatewayDeployment::waitFor([&] { return gateway.log().find(R"("told_by":"vm-2")") != std::string::npos; }));
    gateway.awaitReady();
    CHECK(gateway.call(prompt(1)).response.status == 200);
}

// Guards against using old weights at a gateway that cannot learn from any other process how long ago newer ones were announced.
TEST_CASE("a gateway that can't know when weights were announced starts no prompt on older ones")
{
    GatewayDeployment gateway(MaxStaleWeightTimeSetting);
    gateway.configure(3);
    announceWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor([&] { return isAnnouncementLogged(gateway, 2); }));
    REQUIRE(gateway.store().count("burdock-duties") == 0);
    gateway.restart();
    gateway.awaitReady();
    FixedWeightsEngine engine;
    gateway.registerReplica("r1", "engines", engine.address());
    REQUIRE(
        GatewayDeployment::waitFor([&] { return gateway.log().find(R"("event":"endpoint_seen","endpoint":"r1")") != std::string::npos; }));
    CHECK(gateway.call(prompt(1)).response.status == 503);
    CHECK(engine.startedPrompts() == 0);
}

// Guards against a prompt that starts on expired weights because it was queued inside the engine.
TEST_CASE("a prompt that an engine has not begun when its weights expire is cut off there")
{
    constexpr Duration ShortMaxStaleWeightTime = std::chrono::milliseconds(2500);
    GatewayDeployment gateway(R"({"weights_ms":2500})");
    std::atomic<SteadyClock::time_point> closedAt{};
    Replica engine([&](const ReceivedRequest &request, ReplicaConnection &connection) {
        if (request.target != "/prompts/1") {
            connection.write(completeResponse(request, 409, ""));
        } else if (connection.waitForClose(std::chrono::seconds(5))) {
            closedAt = SteadyClock::now();
        }
        return ConnectionAction::Close;
    });
    gateway.configure(3);
    gateway.registerReplica("r1", "engines", engine.address());
    gateway.awaitReady();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.call({}).progress == runtime::http::Progress::Answered; }));
    announceWeights(gateway, 2);
    const auto announcedAt = SteadyClock::now();
    REQUIRE(GatewayDeployment::waitFor([&] { return isAnnouncementLogged(gateway, 2); }));
    const auto answer = gateway.call(prompt(1));
    CHECK(answer.response.status == 502);
    CHECK(answer.response.body.find("weights_expired") != std::string::npos);
    REQUIRE(GatewayDeployment::waitFor([&] { return closedAt.load() != SteadyClock::time_point{}; }));
    CHECK(closedAt.load() - announcedAt < ShortMaxStaleWeightTime);
}

// Guards against extending the use of old weights by the time during which the store's watches delivered no changes.
TEST_CASE("a watch that delivered nothing does not reduce the age of newly announced weights")
{
    GatewayDeployment gateway(MaxStaleWeightTimeSetting);
    gateway.configure(3);
    gateway.awaitReady();
    announceWeights(gateway, 2);
    REQUIRE(GatewayDeployment::waitFor([&] { return isAnnouncementLogged(gateway, 2); }));
    const auto hasLost = [&] {
        return gateway.log().find(R"("event":"store_lost","kind":"weights")") != std::string::npos;
    };
    const auto hasRegained = [&] {
        return gateway.log().find(R"("event":"store_regained","kind":"weights")") != std::string::npos;
    };
    gateway.store().setMode(ObjectStoreMode::Unavailable);
    REQUIRE(GatewayDeployment::waitFor(hasLost));
    const auto announcedAt = std::chrono::system_clock::now();
    announceWeights(gateway, 3);
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the watch that delivers nothing must start after the announcement
    gateway.store().setMode(ObjectStoreMode::SilentWatches);
    REQUIRE(GatewayDeployment::waitFor(hasRegained));
    gateway.store().setMode(ObjectStoreMode::HistoryExpired);
    REQUIRE(GatewayDeployment::waitFor([&] { return isAnnouncementLogged(gateway, 3); }));
    CHECK(ageDeficitMs(gateway, 3, announcedAt) <= 0);
}
