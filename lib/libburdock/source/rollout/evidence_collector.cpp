#include <burdock/rollout/evidence_collector.hpp>

namespace burdock::rollout {

namespace {

/** Limits the memory for replicas with lost requests. */
constexpr std::size_t MaxReplicas = 256;

} // namespace

void EvidenceCollector::note(const Observation &observation, TimePoint now)
{
    if (observation.end == End::NoEvidence) {
        return;
    }
    auto &counts = m_evidence[{observation.route, observation.side}];
    if (observation.end == End::Lost) {
        noteLost(observation, counts, now);
        return;
    }
    noteAlive(observation);
    ++counts.answers;
    if (observation.end == End::Failed) {
        ++counts.failures;
        return;
    }
    noteTimes(observation, counts, now);
}

const Evidence &EvidenceCollector::evidence() const
{
    return m_evidence;
}

void EvidenceCollector::noteTimes(const Observation &observation, VersionCounts &counts, TimePoint now)
{
    if (observation.isCold) {
        return;
    }
    auto &baseline = m_baselines[observation.route];
    bool isTimed = false;
    bool isSlow = false;
    const auto compare = [&](SlownessBaseline &times, const std::optional<Duration> &time) {
        if (!time) {
            return;
        }
        const auto result = times.isSlow(*time, now);
        isTimed = isTimed || result.has_value();
        isSlow = isSlow || result.value_or(false);
        if (observation.side == Side::Others) {
            times.add(*time, now);
        }
    };
    compare(baseline.firstEvents, observation.firstEvent);
    compare(baseline.pauses, observation.longestPause);
    counts.timed += isTimed ? 1 : 0;
    counts.slow += isSlow ? 1 : 0;
}

void EvidenceCollector::noteLost(const Observation &observation, VersionCounts &counts, TimePoint now)
{
    const bool isKnown = m_lost.count(observation.replica) > 0;
    if (!isKnown && m_lost.size() >= MaxReplicas) {
        return;
    }
    auto &lost = m_lost[observation.replica];
    lost.lastAt = now;
    if (!isKnown) {
        counts.broken.insert(observation.replica);
        return;
    }
    ++lost.waiting[{observation.route, observation.side}];
}

void EvidenceCollector::noteAlive(const Observation &observation)
{
    const auto lost = m_lost.find(observation.replica);
    if (lost == m_lost.end() || observation.sentAt <= lost->second.lastAt) {
        return;
    }
    for (const auto &[cell, count] : lost->second.waiting) {
        m_evidence[cell].answers += count;
        m_evidence[cell].failures += count;
    }
    lost->second.waiting.clear();
}

} // namespace burdock::rollout
