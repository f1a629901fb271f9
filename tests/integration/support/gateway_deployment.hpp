#pragma once

#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/worker_pool.hpp>
#include <standins/fault_proxy.hpp>
#include <standins/object_store.hpp>
#include <standins/replica.hpp>
#include <support/gateway_process.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace support {

using namespace burdock;

/** @brief Parameters of a request through a gateway. */
struct GatewayCall
{
    std::string method = "POST";
    std::string path = "/once/1";
    std::string attempt = "a1";
    std::string key = "key-desk";
    std::string body = "{}";
    runtime::http::Headers extraHeaders;
};

/** @brief Parts of the prompt of promptCall(). */
inline const std::string PromptParts = "aa:6,bb:4";

/** @brief Returns a call with a prompt of ten tokens for the model `m`. */
[[nodiscard]] GatewayCall promptCall(const std::string &path, const std::string &attempt);

/** @brief Sends bytes to an address and returns all bytes received until the connection is closed. */
[[nodiscard]] std::string exchangeBytes(const std::string &address, const std::string &bytes);

/** @brief One gateway as a real process on loopback, with a stand-in for the platform's object store. */
class GatewayDeployment
{
public:
    explicit GatewayDeployment(const std::string &settingsOverrides = {});
    ~GatewayDeployment();
    GatewayDeployment(const GatewayDeployment &) = delete;
    GatewayDeployment &operator=(const GatewayDeployment &) = delete;

    standins::ObjectStore &store();

    /** @brief Proxy between the gateway and the store. */
    standins::FaultProxy &storeProxy();

    /** @brief Writes a configuration with the customer `desk` and these API keys to the store; versions must increase to take effect. */
    void configure(u64 version, const std::vector<std::string> &keys = {"key-desk"});

    /** @brief Registers a replica of the service `plain` or `engines`. */
    void registerReplica(const std::string &id, const std::string &service, const std::string &address, bool isDraining = false);

    /** @brief Configures the gateway, registers the replicas as r1, r2 and so on, and waits until the gateway is ready. */
    void setUpService(const std::string &service, const std::vector<const standins::Replica *> &replicas);

    /** @brief Registers a replica of the service `engines` whose software has this version. */
    void registerEngine(const std::string &id, const std::string &address, const std::string &softwareVersion);

    /** @brief Starts a further gateway with the same store and waits until all gateways know each other and it is ready. */
    GatewayProcess &addGateway();

    /** @brief Starts further gateways with these settings, whose connections to the store don't pass storeProxy(); waits as addGateway()
     * does. */
    std::vector<GatewayProcess *> addGateways(std::size_t count, const std::string &settingsOverrides);

    /** @brief Waits until the gateway reports that it is ready; throws std::runtime_error if it does not within ten seconds. */
    void awaitReady();

    [[nodiscard]] runtime::http::Exchange call(const GatewayCall &call);

    /** @brief Makes a call through a further gateway. */
    [[nodiscard]] runtime::http::Exchange call(const GatewayCall &call, const GatewayProcess &gateway);

    /** @brief Makes a call and returns all bytes received until the connection is closed. */
    [[nodiscard]] std::string callRaw(const GatewayCall &call);

    /** @brief Sends bytes to the callers' address and returns all bytes received until the connection is closed. */
    [[nodiscard]] std::string sendRaw(const std::string &bytes);

    /** @brief Starts a call and closes its connection after the given time. */
    void callAndDisconnect(const GatewayCall &call, Duration after);
    /** @brief Starts a call and closes its connection as soon as a condition holds, at the latest after 20 seconds. */
    void callAndDisconnectWhen(const GatewayCall &call, const std::function<bool()> &condition);

    [[nodiscard]] u16 readiness();
    [[nodiscard]] std::string metrics();
    [[nodiscard]] std::string metricsOf(const GatewayProcess &gateway);
    [[nodiscard]] std::string log() const;
    [[nodiscard]] const GatewayProcess &gateway() const;
    [[nodiscard]] ChildProcess &process();

    /** @brief Kills the gateway and restarts it with the same settings. */
    void restart();

    /** @brief Waits until a condition holds. Returns false if it does not within ten seconds. */
    [[nodiscard]] static bool waitFor(const std::function<bool()> &condition);

private:
    [[nodiscard]] u16 readinessOf(const GatewayProcess &gateway);
    [[nodiscard]] runtime::http::Request toRequest(const GatewayCall &call) const;
    [[nodiscard]] runtime::http::Exchange exchange(const std::string &address, const runtime::http::Request &request);

    runtime::WorkerPool m_pool;
    standins::ObjectStore m_store;
    standins::FaultProxy m_storeProxy;
    GatewayProcess m_gateway;
    std::vector<std::unique_ptr<GatewayProcess>> m_furtherGateways;
};

} // namespace support
