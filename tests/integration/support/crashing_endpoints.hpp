#pragma once

#include <standins/object_store.hpp>
#include <standins/replica.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

namespace support {

using namespace burdock;

/**
 * @brief Endpoints of one service that crash when they begin to answer certain requests.
 *
 * A crash breaks all answers of the endpoint. Some time later it is back at the same address, registered under a new id.
 */
class CrashingEndpoints
{
public:
    using Clock = std::chrono::steady_clock;
    using CrashRule = std::function<bool(const standins::ReceivedRequest &)>;

    /**
     * @param service `plain` or `engines`
     * @param crashes whether a request crashes the endpoints that run it; called on several threads
     */
    CrashingEndpoints(standins::ObjectStore &store, std::string service, u32 count, CrashRule crashes);
    ~CrashingEndpoints();
    CrashingEndpoints(const CrashingEndpoints &) = delete;
    CrashingEndpoints &operator=(const CrashingEndpoints &) = delete;

    /** @brief Sets the number of events of each further answer. */
    void setEventsPerAnswer(u32 count);

    /** @brief Crashes that many endpoints at the same moment; returns when they are back. */
    void crashAtOnce(std::size_t count);

    /** @brief Times of all crashes, the earliest first. */
    [[nodiscard]] std::vector<Clock::time_point> crashTimes() const;

    /** @brief Number of requests that reached endpoints after the given time and crash them. */
    [[nodiscard]] std::size_t crashingArrivalsAfter(Clock::time_point time) const;

private:
    struct Endpoint;

    [[nodiscard]] standins::ConnectionAction serve(Endpoint &endpoint, const standins::ReceivedRequest &request,
                                                   standins::ReplicaConnection &connection);
    [[nodiscard]] bool isCrashing(const standins::ReceivedRequest &request);
    void crash(Endpoint &endpoint);
    void registerAnew(Endpoint &endpoint);

    standins::ObjectStore &m_store;
    std::string m_service;
    CrashRule m_crashes;
    std::atomic<u32> m_eventsPerAnswer;
    mutable std::mutex m_mutex; ///< guards the members up to m_crashTimes, and the state of the endpoints
    u32 m_registrations = 0;
    std::vector<Clock::time_point> m_crashingArrivals;
    std::vector<Clock::time_point> m_crashTimes;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
};

} // namespace support
