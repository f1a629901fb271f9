#include <burdock/endpoints/peer_loads.hpp>

#include <algorithm>
#include <cstddef>
#include <limits>

namespace burdock::endpoints {

namespace {

/** Entries that start at the same time, and aren't listed yet. */
constexpr std::ptrdiff_t MaxUnlistedPeers = 32;

} // namespace

Load &Load::operator+=(const Load &other)
{
    running += other.running;
    memory += other.memory;
    pending += other.pending;
    return *this;
}

Load &Load::operator-=(const Load &other)
{
    running -= std::min(running, other.running);
    memory -= std::min(memory, other.memory);
    pending -= std::min(pending, other.pending);
    return *this;
}

PeerLoads::PeerLoads(Duration reportLifetime)
    : m_reportLifetime(reportLifetime)
{
}

void PeerLoads::setListed(const std::vector<std::string> &entries)
{
    m_listed.emplace(entries.begin(), entries.end());
}

bool PeerLoads::hasRoomFor(const std::string &peer) const
{
    if (!m_listed || m_listed->count(peer) > 0 || m_reports.count(peer) > 0) {
        return true;
    }
    const auto isUnlisted = [this](const auto &entry) {
        return m_listed->count(entry.first) == 0;
    };
    return std::count_if(m_reports.begin(), m_reports.end(), isUnlisted) < MaxUnlistedPeers;
}

void PeerLoads::apply(const std::string &peer, Report report, TimePoint now)
{
    if (!hasRoomFor(peer)) {
        return;
    }
    const auto [entry, isNew] = m_reports.try_emplace(peer);
    auto &received = entry->second;
    const bool isStale = received.report.bootId == report.bootId && report.sequence <= received.report.sequence;
    if (isStale) {
        return;
    }
    m_generation += isNew || received.report.bootId != report.bootId ? 1 : 0;
    if (report.isSnapshot || received.report.bootId != report.bootId) {
        subtract(received.report.loads);
        received.report.loads.clear();
    } else {
        report.loading = std::move(received.report.loading);
        report.unresponsive = std::move(received.report.unresponsive);
    }
    auto loads = std::move(received.report.loads);
    for (const auto &[endpoint, load] : report.loads) {
        auto &known = loads[endpoint];
        adjustSum(endpoint, known, load);
        known = load;
    }
    std::erase_if(loads, [](const auto &entry) { return entry.second.running == 0; });
    report.loads = std::move(loads);
    received = ReceivedReport{std::move(report), now};
}

bool PeerLoads::allReportVersion(const std::vector<std::string> &entries, std::string_view model, u64 version) const
{
    return std::all_of(entries.begin(), entries.end(), [&](const std::string &entry) {
        const auto received = m_reports.find(entry);
        if (received == m_reports.end()) {
            return false;
        }
        const auto &announced = received->second.report.announcedWeights;
        const auto known = announced.find(model);
        return known != announced.end() && known->second >= version;
    });
}

u64 PeerLoads::lowestVersionInUse(const std::vector<std::string> &entries, std::string_view model) const
{
    u64 lowest = std::numeric_limits<u64>::max();
    for (const auto &entry : entries) {
        const auto received = m_reports.find(entry);
        if (received == m_reports.end()) {
            return 0;
        }
        const auto &versions = received->second.report.lowestVersions;
        const auto version = versions.find(model);
        lowest = std::min(lowest, version == versions.end() ? 0 : version->second);
    }
    return lowest;
}

u64 PeerLoads::generation() const
{
    return m_generation;
}

void PeerLoads::expire(TimePoint now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now - report->second.receivedAt < m_reportLifetime) {
            ++report;
            continue;
        }
        subtract(report->second.report.loads);
        report = m_reports.erase(report);
    }
}

Load PeerLoads::at(u64 endpoint) const
{
    const auto found = m_sums.find(endpoint);
    return found == m_sums.end() ? Load{} : found->second;
}

bool PeerLoads::isLoading(u64 endpoint) const
{
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [endpoint](const auto &entry) { return entry.second.report.loading.count(endpoint) > 0; });
}

std::size_t PeerLoads::unresponsiveReportCount(u64 endpoint) const
{
    return static_cast<std::size_t>(std::count_if(m_reports.begin(), m_reports.end(), [endpoint](const auto &entry) {
        return entry.second.report.unresponsive.count(endpoint) > 0;
    }));
}

bool PeerLoads::anyHasCurrentKeys() const
{
    return std::any_of(m_reports.begin(), m_reports.end(), [](const auto &entry) { return entry.second.report.hasCurrentKeys; });
}

std::size_t PeerLoads::calmPeerCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_reports.begin(), m_reports.end(), [](const auto &entry) { return !entry.second.report.isOverloaded; }));
}

std::size_t PeerLoads::peerCount() const
{
    return m_reports.size();
}

void PeerLoads::subtract(const LoadsById &loads)
{
    for (const auto &[endpoint, load] : loads) {
        adjustSum(endpoint, load, Load{});
    }
}

void PeerLoads::adjustSum(u64 endpoint, const Load &from, const Load &to)
{
    auto &sum = m_sums[endpoint];
    sum -= from;
    sum += to;
    if (sum.running == 0) {
        m_sums.erase(endpoint);
    }
}

} // namespace burdock::endpoints
