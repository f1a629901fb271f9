#include <support/gateway_deployment.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <sstream>
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

constexpr const char *Settings = R"({"shared_reading":true})";
/** Gateways besides the first one: with it, as many as share their reading. */
constexpr std::size_t FurtherGateways = 7;
/** Time within which the settings of the test's gateways want a revoked key to be refused. */
constexpr Duration RevocationTime = std::chrono::milliseconds(4000);
/** Longest wait of a gateway's watch of the configuration if it reads for itself. */
constexpr Duration OwnWatchTime = std::chrono::milliseconds(1500);
constexpr u16 StatusOk = 200;
constexpr u16 StatusUnknownKey = 401;

ConnectionAction respond(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(completeResponse(request, StatusOk, "{}"));
    return ConnectionAction::Keep;
}

/** @brief Eight gateways that share their reading, with one replica of a plain service. */
class SharingGateways
{
public:
    SharingGateways()
        : m_replica(respond)
        , m_deployment(Settings)
    {
        m_deployment.setUpService("plain", {&m_replica});
        m_gateways = m_deployment.addGateways(FurtherGateways, Settings);
    }

    [[nodiscard]] GatewayDeployment &deployment()
    {
        return m_deployment;
    }

    [[nodiscard]] const std::vector<GatewayProcess *> &furtherGateways() const
    {
        return m_gateways;
    }

    [[nodiscard]] u16 statusOf(const GatewayProcess &gateway)
    {
        GatewayCall call;
        call.attempt = "a" + std::to_string(++m_calls);
        return m_deployment.call(call, gateway).response.status;
    }

    /** @brief Sum of a metric over its labels that contain a text. */
    [[nodiscard]] double metric(const GatewayProcess &gateway, const std::string &name, const std::string &label = {})
    {
        std::istringstream lines(m_deployment.metricsOf(gateway));
        std::string line;
        double sum = 0;
        while (std::getline(lines, line)) {
            if (line.rfind(name, 0) == 0 && line.find(label) != std::string::npos) {
                sum += std::stod(line.substr(line.rfind(' ') + 1));
            }
        }
        return sum;
    }

    [[nodiscard]] bool isReader(const GatewayProcess &gateway)
    {
        return metric(gateway, "burdock_store_reader") > 0;
    }

    /** @brief Whether a gateway reads for others, or others have confirmed what it knows of the configuration. */
    [[nodiscard]] bool isConfirmed(const GatewayProcess &gateway)
    {
        return isReader(gateway) || metric(gateway, "burdock_store_confirmations_total", "kind=\"configuration\"") > 0;
    }

    /** @brief Whether all further gateways, but for those that are left out, answer a call with this status. */
    [[nodiscard]] bool doAllAnswer(u16 status, const std::vector<GatewayProcess *> &leftOut = {})
    {
        return std::all_of(m_gateways.begin(), m_gateways.end(), [&](const auto *gateway) {
            const bool isLeftOut = std::count(leftOut.begin(), leftOut.end(), gateway) > 0;
            return isLeftOut || statusOf(*gateway) == status;
        });
    }

private:
    Replica m_replica;
    GatewayDeployment m_deployment;
    std::vector<GatewayProcess *> m_gateways;
    u32 m_calls = 0;
};

} // namespace

TEST_CASE("two of eight gateways read the store, and the others learn of a new replica and a revoked key")
{
    SharingGateways gateways;
    auto &deployment = gateways.deployment();
    std::size_t readers = gateways.isReader(deployment.gateway()) ? 1 : 0;
    for (const auto *gateway : gateways.furtherGateways()) {
        readers += gateways.isReader(*gateway) ? 1 : 0;
    }
    CHECK(readers == 2);
    CHECK(gateways.doAllAnswer(StatusOk));

    const auto callsOfOthers = [&] {
        double calls = 0;
        for (const auto *gateway : gateways.furtherGateways()) {
            calls += gateways.isReader(*gateway) ? 0 : gateways.metric(*gateway, "burdock_store_calls_total", "kind=\"configuration\"");
        }
        return calls;
    };
    const auto &others = gateways.furtherGateways();
    REQUIRE(GatewayDeployment::waitFor(
        [&] { return std::all_of(others.begin(), others.end(), [&](const auto *gateway) { return gateways.isConfirmed(*gateway); }); }));
    const double before = callsOfOthers();
    const auto until = SteadyClock::now() + RevocationTime;
    while (SteadyClock::now() < until) {
        CHECK(gateways.doAllAnswer(StatusOk));
    }
    const auto callsAlone
        = static_cast<double>(others.size() + 1 - readers) * toMilliseconds(RevocationTime) / toMilliseconds(OwnWatchTime);
    CHECK(callsOfOthers() - before <= callsAlone / 4);

    deployment.configure(4, {"key-other"});
    CHECK(GatewayDeployment::waitFor([&] { return gateways.doAllAnswer(StatusUnknownKey); }));
    deployment.configure(5);
    CHECK(GatewayDeployment::waitFor([&] { return gateways.doAllAnswer(StatusOk); }));
    deployment.store().erase("servers", "r1");
    CHECK(GatewayDeployment::waitFor([&] { return gateways.doAllAnswer(503); }));
}

// Guards against gateways that refuse callers because those that read for them have ended, or accept keys that were revoked meanwhile.
TEST_CASE("gateways read for themselves when all that read for them are killed")
{
    SharingGateways gateways;
    auto &deployment = gateways.deployment();
    std::vector<GatewayProcess *> readers;
    for (auto *gateway : gateways.furtherGateways()) {
        if (gateways.isReader(*gateway)) {
            readers.push_back(gateway);
        }
    }
    for (auto *reader : readers) {
        reader->process().signal(SIGKILL);
    }
    if (gateways.isReader(deployment.gateway())) {
        deployment.process().signal(SIGKILL);
    }
    const auto until = SteadyClock::now() + RevocationTime + RevocationTime / 2;
    while (SteadyClock::now() < until) {
        CHECK(gateways.doAllAnswer(StatusOk, readers));
    }
    deployment.configure(4, {"key-other"});
    const auto revoked = SteadyClock::now();
    CHECK(GatewayDeployment::waitFor([&] { return gateways.doAllAnswer(StatusUnknownKey, readers); }));
    CHECK(SteadyClock::now() - revoked < RevocationTime);
}

// Guards against a gateway that refuses callers although its neighbours know that the keys are current.
TEST_CASE("a gateway that the store turns away serves callers with keys by what the others know")
{
    SharingGateways gateways;
    auto &deployment = gateways.deployment();
    REQUIRE(GatewayDeployment::waitFor([&] { return gateways.isConfirmed(deployment.gateway()); }));
    deployment.storeProxy().setRefusing(true);
    deployment.storeProxy().closeConnections();
    const auto until = SteadyClock::now() + RevocationTime + RevocationTime / 2;
    while (SteadyClock::now() < until) {
        CHECK(gateways.statusOf(deployment.gateway()) == StatusOk);
    }
    deployment.configure(4, {"key-other"});
    const auto revoked = SteadyClock::now();
    // It can't read the configuration, so it refuses as soon as it doesn't know that the keys are current.
    CHECK(GatewayDeployment::waitFor([&] { return gateways.statusOf(deployment.gateway()) != StatusOk; }));
    CHECK(SteadyClock::now() - revoked < RevocationTime);
}
