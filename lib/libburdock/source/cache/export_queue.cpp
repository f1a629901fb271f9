#include <burdock/cache/export_queue.hpp>

namespace burdock::cache {

ExportQueue::ExportQueue(std::size_t capacity, limits::TokenBucket budget)
    : m_capacity(capacity)
    , m_budget(budget)
{
}

void ExportQueue::add(const ExportCandidate &candidate)
{
    if (candidate.bytes == 0 || !m_queuedKeys.insert(candidate.key).second) {
        return;
    }
    const double value = candidate.recomputeCost * candidate.reuseProbability / static_cast<double>(candidate.bytes);
    m_byValue.emplace(value, candidate);
    if (m_byValue.size() > m_capacity) {
        m_queuedKeys.erase(m_byValue.begin()->second.key);
        m_byValue.erase(m_byValue.begin());
    }
}

std::optional<ExportCandidate> ExportQueue::take(TimePoint now)
{
    if (m_byValue.empty()) {
        return std::nullopt;
    }
    const auto best = std::prev(m_byValue.end());
    if (!m_budget.tryTake(static_cast<double>(best->second.bytes), now)) {
        return std::nullopt;
    }
    const auto candidate = best->second;
    m_queuedKeys.erase(candidate.key);
    m_byValue.erase(best);
    return candidate;
}

std::size_t ExportQueue::size() const
{
    return m_byValue.size();
}

} // namespace burdock::cache
