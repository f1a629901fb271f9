#include <burdock/admission/connection_shedding.hpp>

#include <algorithm>

namespace burdock::admission {

ConnectionShedding::ConnectionShedding(const ConnectionSheddingPolicy &policy)
    : m_policy(policy)
{
}

void ConnectionShedding::noteLateness(Duration lateness)
{
    m_lateness.push_back(lateness);
    if (m_lateness.size() > m_policy.measurements) {
        m_lateness.pop_front();
    }
    if (!isOverloaded()) {
        m_share = std::max(0.0, m_share - m_policy.decrease);
        return;
    }
    m_share = std::min(m_policy.maxShare, m_share + m_policy.growth * toMilliseconds(lag()) / toMilliseconds(m_policy.maxLag));
}

void ConnectionShedding::setPeers(std::size_t known, std::size_t calm)
{
    m_canOthersServe = 2 * calm > known;
}

bool ConnectionShedding::isOverloaded() const
{
    return m_lateness.size() >= m_policy.measurements && lag() > m_policy.maxLag;
}

Duration ConnectionShedding::lag() const
{
    auto sorted = m_lateness;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

bool ConnectionShedding::mustClose()
{
    if (!m_canOthersServe) {
        return false;
    }
    m_due += m_share;
    if (m_due < 1) {
        return false;
    }
    m_due -= 1;
    return true;
}

} // namespace burdock::admission
