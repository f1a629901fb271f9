#include <burdock/rollout/evidence.hpp>

#include <algorithm>

namespace burdock::rollout {

namespace {

/** Limits to the memory that messages can take. */
constexpr std::size_t MaxSources = 2000;
constexpr std::size_t MaxCells = 64;
constexpr std::size_t MaxBroken = 256;
constexpr u64 MaxCount = u64{1} << 40U;

bool isSound(const VersionCounts &counts)
{
    return counts.answers <= MaxCount && counts.failures <= counts.answers && counts.timed <= counts.answers && counts.slow <= counts.timed
        && counts.broken.size() <= MaxBroken;
}

} // namespace

u64 VersionCounts::observed() const
{
    return answers + broken.size();
}

u64 VersionCounts::failed() const
{
    return failures + broken.size();
}

void VersionCounts::takeGreater(const VersionCounts &other)
{
    answers = std::max(answers, other.answers);
    failures = std::max(failures, other.failures);
    timed = std::max(timed, other.timed);
    slow = std::max(slow, other.slow);
    broken.insert(other.broken.begin(), other.broken.end());
}

void VersionCounts::add(const VersionCounts &other)
{
    answers += other.answers;
    failures += other.failures;
    timed += other.timed;
    slow += other.slow;
    broken.insert(other.broken.begin(), other.broken.end());
}

bool EvidenceTotals::take(const std::string &gateway, u64 bootId, const Evidence &evidence)
{
    const auto hasRoom = [&evidence](const Evidence &known) {
        const auto added
            = std::count_if(evidence.begin(), evidence.end(), [&known](const auto &cell) { return known.count(cell.first) == 0; });
        return known.size() + static_cast<std::size_t>(added) <= MaxCells;
    };
    if (!std::all_of(evidence.begin(), evidence.end(), [](const auto &cell) { return isSound(cell.second); }) || !hasRoom(m_totals)) {
        return false;
    }
    const auto source = std::pair(gateway, bootId);
    if (m_bySource.count(source) == 0 && m_bySource.size() >= MaxSources) {
        return false;
    }
    auto &known = m_bySource[source];
    for (const auto &[cell, counts] : evidence) {
        auto &before = known[cell];
        auto after = before;
        after.takeGreater(counts);
        auto &total = m_totals[cell];
        total.answers += after.answers - before.answers;
        total.failures += after.failures - before.failures;
        total.timed += after.timed - before.timed;
        total.slow += after.slow - before.slow;
        total.broken.insert(after.broken.begin(), after.broken.end());
        before = std::move(after);
    }
    return true;
}

const Evidence &EvidenceTotals::totals() const
{
    return m_totals;
}

} // namespace burdock::rollout
