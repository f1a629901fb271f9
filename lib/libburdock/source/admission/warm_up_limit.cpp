#include <burdock/admission/warm_up_limit.hpp>

#include <algorithm>

namespace burdock::admission {

WarmUpLimit::WarmUpLimit(const WarmUpPolicy &policy)
    : m_policy(policy)
    , m_limit(policy.isRampEnabled ? policy.coldLimit : policy.warmLimit)
{
}

u32 WarmUpLimit::limit() const
{
    return m_limit;
}

bool WarmUpLimit::isCold() const
{
    return m_limit < m_policy.warmLimit;
}

void WarmUpLimit::noteSuccess()
{
    if (!isCold()) {
        return;
    }
    ++m_successesInRound;
    if (m_successesInRound < m_limit) {
        return;
    }
    m_successesInRound = 0;
    m_limit = std::min(m_limit * 2, m_policy.warmLimit);
    m_hasWarmedUp = !isCold();
}

void WarmUpLimit::noteRestart()
{
    m_successesInRound = 0;
    m_hasWarmedUp = false;
    if (m_policy.isRampEnabled) {
        m_limit = m_policy.coldLimit;
    }
}

void WarmUpLimit::setPolicy(const WarmUpPolicy &policy)
{
    m_policy = policy;
    m_limit = m_hasWarmedUp || !policy.isRampEnabled ? policy.warmLimit : std::clamp(m_limit, policy.coldLimit, policy.warmLimit);
}

} // namespace burdock::admission
