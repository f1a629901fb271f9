#pragma once

#include "workload.hpp"

#include <burdock/admission/admission_controller.hpp>
#include <burdock/cache/export_queue.hpp>
#include <burdock/placement/policy.hpp>
#include <burdock/placement/recent_placements.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace experiment {

/**
 * @brief Fault injected half way through a run.
 *
 * An outage lasts for a quarter of the run. `HalfRestarted` crashes the replicas at a single moment; the requests that arrive in the
 * quarter after it are counted as requests during the fault.
 */
enum class Fault : u8 {
    None,
    ZoneOutage, ///< one zone leaves service, then returns with empty caches
    StoreOutage, ///< one store VM loses its blocks and accepts none
    HalfRestarted, ///< every second replica crashes and restarts cold
};

/** @brief The policies of one simulated run. */
struct PolicyChoice
{
    std::string placement; ///< a name that placement::createPolicy() knows
    std::string import; ///< `never`, `always` or `by-cost`
    bool hasWarmUp = true; ///< whether admission raises the limit of a cold replica gradually

    [[nodiscard]] std::string name() const;
};

/** @brief Results of one simulated run. */
struct RunMetrics
{
    std::vector<double> firstTokenMs; ///< one value per served request
    std::vector<double> firstTokenMsDuringFault;
    u64 requests = 0;
    u64 requestsDuringFault = 0;
    u64 refused = 0;
    u64 lost = 0; ///< runs that an endpoint crash ended
    u64 promptTokens = 0;
    u64 recomputedTokens = 0; ///< tokens that had been computed before
    u64 linkBytes = 0;

    [[nodiscard]] double cost(const cache::CostWeights &weights) const;
};

/** @brief Discrete-event simulation of one deployment with one policy choice; the same seed gives the same requests. */
class Simulation
{
public:
    Simulation(const Deployment &deployment, const PolicyChoice &choice, Fault fault, u64 seed);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    [[nodiscard]] RunMetrics run(double minutes);

private:
    struct PendingRequest;
    struct Replica;
    struct Store;
    struct Event;

    void schedule(TimePoint at, std::function<void()> action);
    void handleArrival(const Prompt &prompt);
    void scheduleNextNewPrompt();
    void tryEndpoint(const std::shared_ptr<PendingRequest> &request, const placement::Order &order, std::size_t position);
    void startRun(Replica &replica, const std::shared_ptr<PendingRequest> &request);
    [[nodiscard]] TimePoint importBlocks(Replica &replica, const PendingRequest &request, std::size_t residentBlocks,
                                         std::size_t &importedBlocks);
    void finishRun(Replica &replica, const std::shared_ptr<PendingRequest> &request, u64 boot, TimePoint startTime);
    void admitNext(Replica &replica, const admission::AdmissionChanges &changes);
    void touchBlocks(Replica &replica, const std::vector<cache::BlockKey> &keys);
    void crash(Replica &replica);
    void exportBlocks();
    void refreshEntryViews();
    void scheduleFault(double minutes);
    [[nodiscard]] Store *findStoreWith(const cache::BlockKey &key);
    [[nodiscard]] Store *selectStore(const cache::BlockKey &key);
    [[nodiscard]] bool isDuringFault() const;

    Deployment m_deployment;
    PolicyChoice m_choice;
    Fault m_fault;
    Random m_random;
    TimePoint m_now{};
    TimePoint m_faultBegin = TimePoint::max();
    TimePoint m_faultEnd = TimePoint::max();
    std::unique_ptr<placement::PlacementPolicy> m_placement;
    std::unique_ptr<cache::ImportPolicy> m_import;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Store> m_stores;
    std::vector<std::vector<placement::EndpointView>> m_entryViews; // by entry
    std::vector<placement::RecentPlacements> m_recentPlacements; // by entry
    std::vector<Event> m_events;
    u64 m_lastEventNumber = 0;
    u64 m_lastSession = 0;
    u64 m_lastTicket = 0;
    std::set<cache::BlockKey> m_computedBlocks;
    RunMetrics m_metrics;
};

} // namespace experiment
