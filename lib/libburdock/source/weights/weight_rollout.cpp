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

std::vector<std::string> WeightRollout::due(u64 wanted, const std::vector<ReplicaWeights> &replicas, TimePoint now)
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
    const auto loading = static_cast<std::size_t>(
        std::count_if(m_orders.begin(), m_orders.end(), [](const auto &entry) { return !entry.second.isRefused; }));
    const std::size_t most = atOnce(replicas.size());
    std::vector<std::string> ids;
    for (const auto &replica : old) {
        if (loading + ids.size() >= most) {
            break;
        }
        ids.push_back(replica.id);
    }
    return ids;
}

void WeightRollout::noteOrdered(std::string_view id, u64 version, TimePoint now)
{
    m_orders[std::string(id)] = Order{version, now, false};
}

void WeightRollout::noteRefused(std::string_view id, TimePoint now)
{
    auto &order = m_orders[std::string(id)];
    order.since = now;
    order.isRefused = true;
}

std::vector<std::string> WeightRollout::underWay() const
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

} // namespace burdock::weights
