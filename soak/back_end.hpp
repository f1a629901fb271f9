#pragma once

#include "ledger.hpp"

#include <standins/fault_proxy.hpp>
#include <standins/object_store.hpp>
#include <standins/replica.hpp>

#include <atomic>
#include <memory>

namespace soak {

/** @brief How an endpoint treats its requests. */
enum class EndpointMode : u8 {
    Sound,
    Failing, ///< runs them and answers 500
    Declining, ///< says that it did not run them
    Slow,
    BreakingOff, ///< runs them and closes the connection in the middle of the answer
};

/** @brief How an engine treats orders for weights, and for how long prompts wait inside it before they begin. */
struct EnginePace
{
    TimePoint refusesUntil{}; ///< orders
    Duration orderDelay{}; ///< until an order is answered
    Duration loadTime = std::chrono::milliseconds(400);
    Duration longestWait{}; ///< of a prompt
};

/** @brief One endpoint of the soak behind a proxy: a plain service, or an engine that takes orders for weights. */
class BackEnd
{
public:
    BackEnd(boost::asio::io_context &workers, standins::ObjectStore &store, Ledger &ledger, std::string id, std::string service,
            std::string zone);

    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] standins::FaultProxy &proxy();
    void setMode(EndpointMode mode);
    void setPace(const EnginePace &pace);

    /** @brief Writes its entry into the users' store, as a heartbeat does when something has changed. */
    void announce();
    void announceDraining();
    void removeEntry();

    [[nodiscard]] bool isEngine() const;
    [[nodiscard]] bool isDraining() const;
    [[nodiscard]] u64 weights() const;

private:
    [[nodiscard]] standins::ConnectionAction serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);
    [[nodiscard]] standins::ConnectionAction run(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);
    [[nodiscard]] standins::ConnectionAction takeOrder(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);
    void loadWhenDue();
    [[nodiscard]] std::string report();
    [[nodiscard]] EnginePace pace();
    [[nodiscard]] bool waitsUntilCut(const std::string &attempt, const standins::ReplicaConnection &connection);

    standins::ObjectStore &m_store;
    Ledger &m_ledger;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::atomic<EndpointMode> m_mode{EndpointMode::Sound};
    std::atomic<bool> m_isDraining{false};
    std::mutex m_mutex; ///< guards what follows
    EnginePace m_pace;
    u64 m_weights = 1;
    u64 m_ordered = 0; ///< weights that are being loaded; zero for none
    u64 m_ordersTaken = 0;
    TimePoint m_loadedAt{};
    std::unique_ptr<standins::Replica> m_replica;
    std::unique_ptr<standins::FaultProxy> m_proxy;
};

} // namespace soak
