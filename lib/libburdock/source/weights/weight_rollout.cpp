#include <burdock/weights/weight_rollout.hpp>

#include <algorithm>
#include <tuple>

namespace burdock::weights {

namespace {

/** Share of the replicas that load concurrently, in percent. */
constexpr std::size_t ConcurrentLoadPercent = 19;
/** Number of replicas that may always load concurrently if at least as many others continue to serve. */
constexpr std::size_t MinConcurrentLoads = 2;
/** Delay before the order to a replica that refused it is repeated. */
constexpr Duration RefusalRetryDelay = std::chrono::milliseconds(400);

} // namespace

WeightRollout::WeightRollout(Duration orderRetryDelay)
    : m_orderRetryDelay(orderRetryDelay)
{
}

std::vector<std::string> WeightRollout::nextReplicas(u64 wanted, const std::vector<ReplicaWeights> &replicas, TimePoint now)
{
    std::erase_if(m_orders, [&](const auto &entry) {
        const auto replica
            = std::find_if(replicas.begin(), replicas.end(), [&](const ReplicaWeights &candidate) { return candidate.id == entry.first; });
        const bool isGone = replica == replicas.end();
        const auto lifetime = entry.second.isRefused ? RefusalRetryDelay : m_orderRetryDelay;
        return isGone || replica->version >= entry.second.version || now - entry.second.since >= lifetime;
    });
    std::vector<ReplicaWeights> outdated;
    for (const auto &replica : replicas) {
        if (replica.version < wanted && m_orders.count(replica.id) == 0) {
            outdated.push_back(replica);
        }
    }
    // The oldest weights first, because they are the next to expire for new requests.
    std::stable_sort(outdated.begin(), outdated.end(), [](const auto &left, const auto &right) {
        return std::tie(left.version, left.load) < std::tie(right.version, right.load);
    });
    const std::size_t maxPending = maxPendingOrders(replicas.size());
    const std::size_t maxWaiting = maxConcurrentLoads(replicas.size());
    std::size_t loading = 0;
    std::size_t waiting = 0;
    for (const auto &[id, order] : m_orders) {
        loading += order.isLoading && !order.isRefused ? 1 : 0;
        waiting += order.isLoading || order.isRefused ? 0 : 1;
    }
    std::vector<std::string> ids;
    for (const auto &replica : outdated) {
        const bool hasRoom = loading + waiting + ids.size() < maxPending && waiting + ids.size() < maxWaiting;
        if (!hasRoom) {
            break;
        }
        ids.push_back(replica.id);
    }
    return ids;
}

void WeightRollout::noteOrdered(std::string_view id, u64 version, TimePoint now)
{
    m_orders[std::string(id)] = Order{version, now, false, false};
}

void WeightRollout::noteLoading(std::string_view id)
{
    const auto order = m_orders.find(id);
    if (order != m_orders.end()) {
        order->second.isLoading = true;
    }
}

void WeightRollout::noteRefused(std::string_view id, TimePoint now)
{
    auto &order = m_orders[std::string(id)];
    order.since = now;
    order.isRefused = true;
}

std::vector<std::string> WeightRollout::pendingReplicas() const
{
    std::vector<std::string> ids;
    for (const auto &[id, order] : m_orders) {
        if (!order.isRefused) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t WeightRollout::maxConcurrentLoads(std::size_t replicas)
{
    const std::size_t maxBusy = std::max<std::size_t>(1, replicas / 2);
    return std::min(maxBusy, std::max(MinConcurrentLoads, replicas * ConcurrentLoadPercent / 100));
}

std::size_t WeightRollout::maxPendingOrders(std::size_t replicas)
{
    const std::size_t maxBusy = std::max<std::size_t>(1, replicas / 2);
    const std::size_t loading = maxConcurrentLoads(replicas);
    return std::min(maxBusy, loading + (loading + 1) / 2);
}

} // namespace burdock::weights
