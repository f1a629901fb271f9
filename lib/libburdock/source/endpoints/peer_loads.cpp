#include <burdock/endpoints/peer_loads.hpp>

#include <algorithm>

namespace burdock::endpoints {

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

PeerLoads::PeerLoads(Duration validFor)
    : m_validFor(validFor)
{
}

void PeerLoads::take(const std::string &peer, u64 boot, u64 sequence, LoadsById loads, TimePoint now)
{
    auto &report = m_reports[peer];
    const bool isOld = report.boot == boot && sequence <= report.sequence;
    if (isOld) {
        return;
    }
    subtract(report.loads);
    for (const auto &[endpoint, load] : loads) {
        m_sums[endpoint] += load;
    }
    report = Report{boot, sequence, now, std::move(loads)};
}

void PeerLoads::expire(TimePoint now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now - report->second.at < m_validFor) {
            ++report;
            continue;
        }
        subtract(report->second.loads);
        report = m_reports.erase(report);
    }
}

Load PeerLoads::at(u64 endpoint) const
{
    const auto found = m_sums.find(endpoint);
    return found == m_sums.end() ? Load{} : found->second;
}

std::size_t PeerLoads::peers() const
{
    return m_reports.size();
}

void PeerLoads::subtract(const LoadsById &loads)
{
    for (const auto &[endpoint, load] : loads) {
        const auto sum = m_sums.find(endpoint);
        if (sum == m_sums.end()) {
            continue;
        }
        sum->second -= load;
        if (sum->second.running == 0) {
            m_sums.erase(sum);
        }
    }
}

} // namespace burdock::endpoints
