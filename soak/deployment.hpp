#pragma once

#include "back_end.hpp"
#include "callers.hpp"

#include <burdock/runtime/worker_pool.hpp>
#include <support/gateway_process.hpp>

#include <future>
#include <map>
#include <string>
#include <thread>

namespace soak {

/** @brief Number of processes, simulated endpoints and callers in a run. */
struct Size
{
    u32 gateways = 4;
    u32 plainEndpoints = 3;
    u32 engines = 4;
    u32 callers = 12;
};

/** @brief A gateway process and the fault proxy between it and the store. */
class GatewaySlot
{
public:
    GatewaySlot(boost::asio::io_context &workers, u32 number, const standins::ObjectStore &store, const Bounds &bounds);

    void start();
    [[nodiscard]] support::ChildProcess &process();
    [[nodiscard]] standins::FaultProxy &storeProxy();
    [[nodiscard]] GatewayTarget &target();
    /** @brief Transfers ownership of target(), which stays valid while the new owner keeps it. Call once. */
    [[nodiscard]] std::unique_ptr<GatewayTarget> takeTarget();
    [[nodiscard]] const support::GatewayProcess &gateway() const;
    /** @brief Preserves the log of the process; returns its path. */
    [[nodiscard]] std::string keepLog();

private:
    std::unique_ptr<standins::FaultProxy> m_storeProxy;
    support::GatewayProcess m_gateway;
    std::unique_ptr<GatewayTarget> m_ownTarget; ///< until takeTarget()
    GatewayTarget *m_target = nullptr;
};

/** @brief All processes and simulated services of a run. */
class Deployment
{
public:
    Deployment(const Size &size, u64 seed, const Bounds &bounds);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** @brief Starts all gateways and waits until they are ready; false if one is not ready within the start timeout. */
    [[nodiscard]] bool start();
    void startCallers();
    void stopCallers();

    [[nodiscard]] bool waitUntilAllReady(Duration timeout);

    /** @brief Waits until each engine that is not draining has loaded at least this version; false on timeout. */
    [[nodiscard]] bool waitForWeights(u64 version, Duration timeout);

    /** @brief Sends calls of each kind to each gateway and counts those not served, by gateway, kind, status and body. */
    [[nodiscard]] std::map<std::string, u32> countUnserved(const std::string &key, u32 callsPerKind);

    /** @brief Adds and registers an endpoint. */
    BackEnd &addEndpoint(bool isEngine, const std::string &zone);

    /** @brief Updates the registrations of engines that have loaded another version. */
    void refreshRegistrations();

    /** @brief Preserves the logs of all gateways, for a run that violated a guarantee; returns their paths. */
    [[nodiscard]] std::vector<std::string> keepLogs();

    [[nodiscard]] GuaranteeChecker &checker();
    [[nodiscard]] Disturbances &disturbances();
    [[nodiscard]] standins::ObjectStore &store();
    [[nodiscard]] KeyRing &keys();
    [[nodiscard]] std::vector<std::unique_ptr<GatewaySlot>> &gateways();
    [[nodiscard]] std::vector<std::unique_ptr<BackEnd>> &endpoints();

private:
    [[nodiscard]] u16 readinessOf(const GatewaySlot &slot);

    Size m_size;
    u64 m_seed;
    Disturbances m_disturbances;
    GuaranteeChecker m_checker;
    runtime::WorkerPool m_pool;
    standins::ObjectStore m_store;
    KeyRing m_keys;
    std::vector<std::unique_ptr<BackEnd>> m_endpoints;
    std::vector<std::unique_ptr<GatewaySlot>> m_gateways;
    std::vector<std::unique_ptr<GatewayTarget>> m_targets;
    std::atomic<bool> m_isStopping{false};
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::future<void>> m_callerFutures;
    std::map<std::string, u64> m_registeredWeights; ///< version in the registration, by endpoint
    u32 m_endpointCount = 0;
};

} // namespace soak
