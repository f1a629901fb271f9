#include <burdock/reading/reading_duty.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/membership/rendezvous.hpp>

#include <algorithm>

namespace burdock::reading {

ReadingDuty::ReadingDuty(const ReadingPolicy &policy, std::string own)
    : m_policy(policy)
    , m_own(std::move(own))
{
}

void ReadingDuty::setEntries(const std::vector<std::string> &names)
{
    setEntries(names, names.size());
}

void ReadingDuty::setEntries(const std::vector<std::string> &present, std::size_t listed)
{
    static const u64 s_key = hash::hash64("readers");
    m_listed = listed;
    m_ranked = membership::responsibleMembers(s_key, present, present.size());
    m_ownRank = static_cast<std::size_t>(std::find(m_ranked.begin(), m_ranked.end(), m_own) - m_ranked.begin());
}

bool ReadingDuty::isShared() const
{
    const bool hasOthers = m_ranked.size() > m_policy.minReaders;
    return m_listed >= m_policy.minEntries && hasOthers && m_ownRank < m_ranked.size();
}

std::size_t ReadingDuty::readerCount() const
{
    const auto bySize = (m_ranked.size() + m_policy.entriesPerReader - 1) / m_policy.entriesPerReader;
    return std::max(m_policy.minReaders, bySize);
}

bool ReadingDuty::isReader() const
{
    return isShared() && m_ownRank < readerCount();
}

// The last confirmation of a reader began two of its waits ago, just before its watch ends.
Duration ReadingDuty::maxAge(Duration readerWait) const
{
    return 2 * readerWait + m_policy.answerTime;
}

TimePoint ReadingDuty::nextRead(const FollowedKind &kind, Duration readerWait, TimePoint now) const
{
    if (!isShared() || isReader() || kind.isBehind() || !kind.asOf()) {
        return now;
    }
    const auto placesBehindReaders = static_cast<i64>(m_ownRank - readerCount());
    const auto delay = std::min(m_policy.standInDelay * placesBehindReaders, m_policy.maxStandInDelay);
    return *kind.asOf() + maxAge(readerWait) + delay;
}

bool ReadingDuty::isOverdue(const FollowedKind &kind, Duration readerWait, TimePoint now) const
{
    return !kind.asOf() || now - *kind.asOf() > maxAge(readerWait) - m_policy.questionPeriod;
}

std::vector<std::string> ReadingDuty::nextToAsk(bool isAnyOverdue)
{
    std::vector<std::string> asked;
    if (!isShared()) {
        return asked;
    }
    asked.push_back(nextOf(readerCount(), m_readerTurn));
    for (std::size_t i = 0; isAnyOverdue && i < m_policy.furtherQuestions; ++i) {
        asked.push_back(nextOf(m_ranked.size(), m_entryTurn));
    }
    return asked;
}

// One of the first `count` entries in turn, but not this entry.
const std::string &ReadingDuty::nextOf(std::size_t count, std::size_t &turn) const
{
    auto index = turn++ % count;
    if (index == m_ownRank) {
        index = turn++ % count;
    }
    return m_ranked[index];
}

} // namespace burdock::reading
