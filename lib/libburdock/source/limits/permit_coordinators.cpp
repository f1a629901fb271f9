#include <burdock/limits/permit_coordinators.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <utility>

namespace burdock::limits {

namespace {

u64 rankOf(u64 entry, u64 endpoint)
{
    return hash::mix64(entry ^ hash::mix64(endpoint));
}

} // namespace

PermitCoordinators::PermitCoordinators(u64 own, const CoordinatorPolicy &policy)
    : m_own(own)
    , m_policy(policy)
    , m_silenceTimeout(policy.minSilenceTimeout)
{
}

void PermitCoordinators::setEntries(const std::vector<u64> &entries, Duration reportPeriod)
{
    m_registered = {entries.begin(), entries.end()};
    m_isRegistered = m_registered.erase(m_own) > 0;
    m_silenceTimeout = std::max(m_policy.minSilenceTimeout, reportPeriod * m_policy.silentReports);
}

void PermitCoordinators::noteHeard(u64 entry, TimePoint now)
{
    if (entry != m_own) {
        m_peers[entry].heardAt = now;
    }
}

void PermitCoordinators::noteVotes(u64 entry, CoordinatorVotes votes)
{
    if (entry != m_own) {
        m_peers[entry].votes = std::move(votes);
    }
}

std::optional<u64> PermitCoordinators::coordinatorOf(u64 endpoint, TimePoint now) const
{
    std::optional<u64> coordinator;
    if (m_isRegistered) {
        coordinator = m_own;
    }
    for (const auto &[entry, peer] : m_peers) {
        if (isFresh(peer, now) && (!coordinator || rankOf(entry, endpoint) > rankOf(*coordinator, endpoint))) {
            coordinator = entry;
        }
    }
    return coordinator;
}

bool PermitCoordinators::mayIssue(u64 endpoint, TimePoint now)
{
    if (!hasMajority(now) || !isAgreedOn(endpoint, now)) {
        m_agreements.erase(endpoint);
        return false;
    }
    auto &agreement = m_agreements.try_emplace(endpoint, Agreement{now, now}).first->second;
    if (now - agreement.checkedAt > m_policy.maxPause) {
        agreement.since = now;
    }
    agreement.checkedAt = now;
    return now - agreement.since >= m_policy.agreementTime;
}

bool PermitCoordinators::hasMajority(TimePoint now) const
{
    std::size_t heard = 1;
    std::size_t all = m_registered.size() + 1;
    for (const auto &[entry, peer] : m_peers) {
        if (isFresh(peer, now)) {
            ++heard;
            all += m_registered.count(entry) == 0 ? 1 : 0;
        }
    }
    return m_isRegistered && 2 * heard > all;
}

void PermitCoordinators::expire(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) { return !isFresh(entry.second, now) && m_registered.count(entry.first) == 0; });
}

std::vector<u64> PermitCoordinators::others(TimePoint now) const
{
    std::vector<u64> entries(m_registered.begin(), m_registered.end());
    for (const auto &[entry, peer] : m_peers) {
        if (isFresh(peer, now) && m_registered.count(entry) == 0) {
            entries.push_back(entry);
        }
    }
    return entries;
}

bool PermitCoordinators::isFresh(const Peer &peer, TimePoint now) const
{
    return now - peer.heardAt < m_silenceTimeout;
}

bool PermitCoordinators::isAgreedOn(u64 endpoint, TimePoint now) const
{
    if (coordinatorOf(endpoint, now) != m_own) {
        return false;
    }
    std::size_t votes = 1;
    std::size_t ownVotes = 1;
    for (const auto &[entry, peer] : m_peers) {
        const auto vote = peer.votes.find(endpoint);
        if (isFresh(peer, now) && vote != peer.votes.end()) {
            ++votes;
            ownVotes += vote->second == m_own ? 1 : 0;
        }
    }
    return 3 * ownVotes >= 2 * votes;
}

} // namespace burdock::limits
