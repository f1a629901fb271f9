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

/** @brief The size of a run. */
struct Size
{
    u32 gateways = 4;
    u32 plainEndpoints = 3;
    u32 engines = 4;
    u32 callers = 12;
};

/** @brief A gateway's process with the proxy through which it reaches the store. */
class GatewaySlot
{
public:
    GatewaySlot(boost::asio::io_context &workers, u32 number, const standins::ObjectStore &store, const Bounds &bounds);

    void start();
    [[nodiscard]] support::ChildProcess &process();
    [[nodiscard]] standins::FaultProxy &storeProxy();
    [[nodiscard]] GatewayFace &face();
    [[nodiscard]] std::unique_ptr<GatewayFace> takeFace();
    [[nodiscard]] const support::GatewayProcess &gateway() const;
    [[nodiscard]] std::string keepLog();

private:
    std::unique_ptr<standins::FaultProxy> m_storeProxy;
    support::GatewayProcess m_gateway;
    std::unique_ptr<GatewayFace> m_ownFace; ///< until the callers take it
    GatewayFace *m_face = nullptr;
};

/** @brief All processes and stand-ins of one run. */
class Deployment
{
public:
    Deployment(const Size &size, u64 seed, const Bounds &bounds);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** @brief Starts all, and waits until every gateway is ready; false if one is not. */
    [[nodiscard]] bool start();
    void startCallers();
    void stopCallers();

    [[nodiscard]] bool awaitAllReady(Duration patience);

    /** @brief Waits until each engine that stays holds the newest weights; false if one does not. */
    [[nodiscard]] bool awaitWeights(u64 version, Duration patience);

    /** @brief Sends some calls of each kind to each gateway; counts those that were not served, by gateway, kind and answer. */
    [[nodiscard]] std::map<std::string, u32> countUnserved(const std::string &key, u32 callsEach);

    /** @brief Adds an endpoint like the given one in place of it. */
    BackEnd &addEndpoint(bool isEngine, const std::string &zone);

    /** @brief Lets what engines loaded meanwhile be seen in their entries. */
    void refreshEntries();

    /** @brief Keeps the logs of the gateways after the end, for a run that broke a promise; their paths. */
    [[nodiscard]] std::vector<std::string> keepLogs();

    [[nodiscard]] Ledger &ledger();
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
    Ledger m_ledger;
    runtime::WorkerPool m_pool;
    standins::ObjectStore m_store;
    KeyRing m_keys;
    std::vector<std::unique_ptr<BackEnd>> m_endpoints;
    std::vector<std::unique_ptr<GatewaySlot>> m_gateways;
    std::vector<std::unique_ptr<GatewayFace>> m_faces;
    std::atomic<bool> m_isOver{false};
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::future<void>> m_calling;
    std::map<std::string, u64> m_announcedWeights;
    u32 m_endpointCount = 0;
};

} // namespace soak
