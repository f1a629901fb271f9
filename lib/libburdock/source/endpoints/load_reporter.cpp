#include <burdock/endpoints/load_reporter.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

constexpr Duration ShortestPeriod = std::chrono::milliseconds(40);
constexpr Duration PeriodPerPeer = std::chrono::microseconds(1500);
constexpr Duration WholePeriod = std::chrono::milliseconds(400);

} // namespace

LoadUpdate LoadReporter::next(const LoadsById &own, bool hasNews, TimePoint now)
{
    if (hasNews || !m_toldWholeAt || now - *m_toldWholeAt >= WholePeriod) {
        m_toldWholeAt = now;
        m_told = own;
        return {own, true};
    }
    LoadUpdate told{{}, false};
    for (const auto &[endpoint, load] : own) {
        const auto before = m_told.find(endpoint);
        if (before == m_told.end() || before->second != load) {
            told.loads[endpoint] = load;
        }
    }
    for (const auto &[endpoint, load] : m_told) {
        if (own.count(endpoint) == 0) {
            told.loads[endpoint] = Load{};
        }
    }
    m_told = own;
    return told;
}

Duration LoadReporter::period(std::size_t peers)
{
    return std::max(ShortestPeriod, PeriodPerPeer * static_cast<int>(peers));
}

} // namespace burdock::endpoints
