#pragma once

#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/worker_pool.hpp>
#include <standins/fault_proxy.hpp>
#include <standins/object_store.hpp>
#include <standins/replica.hpp>
#include <support/gateway_process.hpp>

#include <functional>
#include <string>

namespace support {

using namespace burdock;

/** @brief A request of a caller on the users' platform. */
struct GatewayCall
{
    std::string method = "POST";
    std::string path = "/once/1";
    std::string attempt = "a1";
    std::string key = "key-desk";
    std::string body = "{}";
    runtime::http::Headers further;
};

/** @brief One gateway as a real process on loopback, before the stand-in of the users' store. */
class GatewayDeployment
{
public:
    explicit GatewayDeployment(const std::string &settingsChange = {});
    ~GatewayDeployment();
    GatewayDeployment(const GatewayDeployment &) = delete;
    GatewayDeployment &operator=(const GatewayDeployment &) = delete;

    standins::ObjectStore &store();

    /** @brief What lies between the gateway and the store. */
    standins::FaultProxy &storeProxy();

    /** @brief Writes a configuration with the customer `desk` and these keys; versions must rise. */
    void configure(u64 version, const std::vector<std::string> &keys = {"key-desk"});

    /** @brief Registers a replica of the service `plain` or `engines`. */
    void registerReplica(const std::string &id, const std::string &service, const std::string &address, bool isDraining = false);

    /** @brief Waits until the gateway says that it is ready. */
    void awaitReady();

    [[nodiscard]] runtime::http::Exchange call(const GatewayCall &call);

    /** @brief Makes a call and returns every byte that comes back until the connection ends. */
    [[nodiscard]] std::string callForBytes(const GatewayCall &call);

    /** @brief Begins a call and closes its connection after the given time. */
    void callAndLeave(const GatewayCall &call, Duration after);
    /** @brief Leaves as soon as a condition holds. */
    void callAndLeaveOnce(const GatewayCall &call, const std::function<bool()> &condition);

    [[nodiscard]] u16 readiness();
    [[nodiscard]] std::string metrics();
    [[nodiscard]] std::string log() const;
    [[nodiscard]] ChildProcess &process();

    /** @brief Kills the gateway and starts it again with the settings that it had. */
    void restart();

    /** @brief Waits until a condition holds; false if it did not within ten seconds. */
    [[nodiscard]] static bool waitFor(const std::function<bool()> &condition);

private:
    [[nodiscard]] runtime::http::Request toRequest(const GatewayCall &call) const;
    [[nodiscard]] runtime::http::Exchange exchange(const std::string &address, const runtime::http::Request &request);

    runtime::WorkerPool m_pool;
    standins::ObjectStore m_store;
    standins::FaultProxy m_storeProxy;
    GatewayProcess m_gateway;
};

} // namespace support
