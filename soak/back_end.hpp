#pragma once

#include "guarantee_checker.hpp"

#include <standins/fault_proxy.hpp>
#include <standins/object_store.hpp>
#include <standins/replica.hpp>

#include <atomic>
#include <memory>

namespace soak {

/** @brief A part of prompts that crashes each engine that begins to answer one. */
inline const std::string PoisonPart = "dead";

/** @brief How an endpoint handles requests. */
enum class EndpointMode : u8 {
    Healthy,
    Failing, ///< executes requests and responds with 500
    Declining, ///< responds that it did not execute the request
    Slow, ///< works 12 times as long
    Truncating, ///< executes requests and closes the connection in the middle of the response
};

/** @brief How an engine handles weight orders, and how long prompts wait in it before they start. */
struct EngineBehavior
{
    TimePoint rejectsOrdersUntil{}; ///< rejects weight orders with 409 until then
    Duration orderDelay{}; ///< before the response to a weight order
    Duration loadTime = std::chrono::milliseconds(400);
    Duration maxQueueTime{}; ///< upper limit of the wait of a prompt
};

/** @brief A simulated endpoint behind a fault proxy: a plain service, or an engine that accepts weight orders. */
class BackEnd
{
public:
    BackEnd(boost::asio::io_context &workers, standins::ObjectStore &store, GuaranteeChecker &checker, std::string id, std::string service,
            std::string zone, std::string softwareVersion);

    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] standins::FaultProxy &proxy();
    void setMode(EndpointMode mode);
    void setBehavior(const EngineBehavior &behavior);

    /** @brief Writes the registration of the endpoint to the platform's store, as its heartbeat does after a change. */
    void publishRegistration();
    void publishDraining();
    void removeRegistration();

    [[nodiscard]] bool isEngine() const;
    [[nodiscard]] bool isDraining() const;
    /** @brief The loaded version, after completing a load that is due. */
    [[nodiscard]] u64 weightVersion() const;

private:
    [[nodiscard]] standins::ConnectionAction serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);
    [[nodiscard]] standins::ConnectionAction run(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);
    [[nodiscard]] standins::ConnectionAction stream(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection,
                                                    EndpointMode mode);
    [[nodiscard]] standins::ConnectionAction handleWeightOrder(const standins::ReceivedRequest &request,
                                                               standins::ReplicaConnection &connection);
    /** @brief Simulates a crash, if the engine isn't down already: all its connections break, and new ones for some time. */
    void crash();
    void finishLoadIfDue();
    [[nodiscard]] std::string statusJson();
    [[nodiscard]] EngineBehavior behavior();
    [[nodiscard]] bool waitForDisconnect(const std::string &attempt, const standins::ReplicaConnection &connection);

    standins::ObjectStore &m_store;
    GuaranteeChecker &m_checker;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_softwareVersion;
    std::atomic<EndpointMode> m_mode{EndpointMode::Healthy};
    std::atomic<bool> m_isDraining{false};
    std::atomic<TimePoint> m_downUntil{TimePoint{}};
    std::mutex m_mutex; ///< guards the members up to m_loadFinishTime
    EngineBehavior m_behavior;
    u64 m_weightVersion = 1;
    u64 m_loadingVersion = 0; ///< version that is being loaded; 0 for none
    u64 m_acceptedOrders = 0;
    TimePoint m_loadFinishTime{};
    std::unique_ptr<standins::Replica> m_replica;
    std::unique_ptr<standins::FaultProxy> m_proxy;
};

} // namespace soak
