#include <burdock/weights/weight_rollout.hpp>

#include <algorithm>
#include <tuple>

namespace burdock::weights {

namespace {

/** Share of the replicas that load at once, in percent. */
constexpr std::size_t AtOncePercent = 19;
/** Replicas that may always load at once, if as many others serve on. */
constexpr std::size_t AlwaysAtOnce = 2;
/** Pause before a replica that refused an order is asked again. */
constexpr Duration RefusedPause = std::chrono::milliseconds(400);

} // namespace

WeightRollout::WeightRollout(Duration askAgainAfter)
    : m_askAgainAfter(askAgainAfter)
{
}

std::vector<std::string> WeightRollout::nextReplicas(u64 wanted, const std::vector<ReplicaWeights> &replicas, TimePoint now)
{
    std::erase_if(m_orders, [&](const auto &entry) {
        const auto replica
            = std::find_if(replicas.begin(), replicas.end(), [&](const ReplicaWeights &known) { return known.id == entry.first; });
        const bool isGone = replica == replicas.end();
        const auto patience = entry.second.isRefused ? RefusedPause : m_askAgainAfter;
        return isGone || replica->version >= entry.second.version || now - entry.second.since >= patience;
    });
    std::vector<ReplicaWeights> old;
    for (const auto &replica : replicas) {
        if (replica.version < wanted && m_orders.count(replica.id) == 0) {
            old.push_back(replica);
        }
    }
    // The oldest first, as they are the next that no request may begin on.
    std::stable_sort(old.begin(), old.end(), [](const auto &left, const auto &right) {
        return std::tie(left.version, left.load) < std::tie(right.version, right.load);
    });
    const std::size_t most = underOrderAtOnce(replicas.size());
    const std::size_t mostWaiting = atOnce(replicas.size());
    std::size_t loading = 0;
    std::size_t waiting = 0;
    for (const auto &[id, order] : m_orders) {
        loading += order.isLoading && !order.isRefused ? 1 : 0;
        waiting += order.isLoading || order.isRefused ? 0 : 1;
    }
    std::vector<std::string> ids;
    for (const auto &replica : old) {
        const bool hasRoom = loading + waiting + ids.size() < most && waiting + ids.size() < mostWaiting;
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

std::size_t WeightRollout::atOnce(std::size_t replicas)
{
    const std::size_t most = std::max<std::size_t>(1, replicas / 2);
    return std::min(most, std::max(AlwaysAtOnce, replicas * AtOncePercent / 100));
}

std::size_t WeightRollout::underOrderAtOnce(std::size_t replicas)
{
    const std::size_t most = std::max<std::size_t>(1, replicas / 2);
    const std::size_t loading = atOnce(replicas);
    return std::min(most, loading + (loading + 1) / 2);
}

} // namespace burdock::weights
