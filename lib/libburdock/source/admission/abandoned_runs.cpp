#include <burdock/admission/abandoned_runs.hpp>

#include <algorithm>

namespace burdock::admission {

namespace {

/** Bounds the loss where an endpoint reports runs that this process knows nothing of. */
constexpr Duration MaxAbandonedTime = std::chrono::minutes(1);

} // namespace

void AbandonedRuns::noteBegun()
{
    ++m_begun;
}

void AbandonedRuns::noteEnded()
{
    ++m_ended;
}

void AbandonedRuns::noteAbandoned(TimePoint now)
{
    m_abandonedAt.push_back(now);
    ++m_abandoned;
}

RunningQuery AbandonedRuns::query() const
{
    return {m_begun, m_abandoned};
}

void AbandonedRuns::noteReport(const RunningQuery &query, u64 running, TimePoint now)
{
    // Runs that had begun before the question and had not ended by the answer.
    const u64 known = query.begun - std::min(query.begun, m_ended);
    const u64 unknown = running - std::min(running, known);
    const u64 later = m_abandoned - query.abandoned;
    u64 reported = m_abandonedAt.size() - std::min<u64>(m_abandonedAt.size(), later);
    for (; reported > unknown; --reported) {
        m_abandonedAt.pop_front();
    }
    while (!m_abandonedAt.empty() && m_abandonedAt.front() + MaxAbandonedTime < now) {
        m_abandonedAt.pop_front();
    }
}

void AbandonedRuns::forgetBegun()
{
    m_ended = m_begun;
}

void AbandonedRuns::clear()
{
    forgetBegun();
    m_abandonedAt.clear();
}

u32 AbandonedRuns::count() const
{
    return static_cast<u32>(m_abandonedAt.size());
}

} // namespace burdock::admission
