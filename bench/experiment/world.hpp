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

/** @brief What goes wrong during a run. */
enum class Fault : u8 {
    None,
    ZoneLeavesAndReturns,
    StoreLost,
    HalfTurnCold,
};

/** @brief The decisions under comparison. */
struct Choice
{
    std::string placement; ///< a name that placement::createPolicy() knows
    std::string import; ///< never, always, by-cost
    bool ramps = true;

    [[nodiscard]] std::string name() const;
};

/** @brief What came of one run of the model. */
struct Outcome
{
    std::vector<double> firstTokenMs; ///< of each request served
    std::vector<double> firstTokenMsDuringFault;
    u64 requests = 0;
    u64 requestsDuringFault = 0;
    u64 refused = 0;
    u64 lost = 0; ///< runs that fell with an endpoint
    u64 promptTokens = 0;
    u64 recomputedTokens = 0; ///< computed again though an earlier turn had computed them
    u64 linkBytes = 0;

    [[nodiscard]] double cost(const cache::CostWeights &weights) const;
};

/** @brief Runs one choice on one deployment; the same seed gives the same requests. */
class World
{
public:
    World(const Deployment &deployment, const Choice &choice, Fault fault, u64 seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    [[nodiscard]] Outcome run(double minutes);

private:
    struct Waiting;
    struct Replica;
    struct Store;
    struct Event;

    void schedule(TimePoint at, std::function<void()> action);
    void arrive(const Prompt &prompt);
    void scheduleNextNewPrompt();
    void propose(const std::shared_ptr<Waiting> &request, const placement::Order &order, std::size_t position);
    void begin(Replica &replica, const std::shared_ptr<Waiting> &request);
    [[nodiscard]] TimePoint import(Replica &replica, const Waiting &request, std::size_t held, std::size_t &imported);
    void end(Replica &replica, const std::shared_ptr<Waiting> &request, u64 boot, TimePoint begun);
    void admitNext(Replica &replica, const admission::AdmissionChanges &changes);
    void touch(Replica &replica, const std::vector<cache::BlockKey> &keys);
    void crash(Replica &replica);
    void exportSome();
    void refreshViews();
    void scheduleFault(double minutes);
    [[nodiscard]] Store *storeHolding(const cache::BlockKey &key);
    [[nodiscard]] Store *storeFor(const cache::BlockKey &key);
    [[nodiscard]] bool isDuringFault() const;

    Deployment m_deployment;
    Choice m_choice;
    Fault m_fault;
    Random m_random;
    TimePoint m_now{};
    TimePoint m_faultBegin = TimePoint::max();
    TimePoint m_faultEnd = TimePoint::max();
    std::unique_ptr<placement::PlacementPolicy> m_placement;
    std::unique_ptr<cache::ImportPolicy> m_import;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Store> m_stores;
    std::vector<std::vector<placement::EndpointView>> m_views; // by entry
    std::vector<placement::RecentPlacements> m_recent; // by entry
    std::vector<Event> m_events;
    u64 m_lastEvent = 0;
    u64 m_lastSession = 0;
    u64 m_lastTicket = 0;
    std::set<cache::BlockKey> m_everComputed;
    Outcome m_outcome;
};

} // namespace experiment
