#include <burdock/rollout/exposure_limit.hpp>

#include <algorithm>

namespace burdock::rollout {

namespace {

/** How long a gateway may send to the target after the order was last known to be undecided. */
constexpr Duration PermissionTime = std::chrono::seconds(1);

} // namespace

ExposureLimit::ExposureLimit(double share, TimePoint learntAt)
    : m_share(std::clamp(share, 0.0, 1.0))
    , m_learntAt(learntAt)
{
}

void ExposureLimit::noteSent()
{
    ++m_sent;
}

void ExposureLimit::noteAnswered(TimePoint sentAt)
{
    if (sentAt >= m_learntAt) {
        ++m_answered;
    }
}

void ExposureLimit::noteUndecided(TimePoint asOf)
{
    m_permittedUntil = std::max(m_permittedUntil, asOf + PermissionTime);
}

void ExposureLimit::end()
{
    m_hasEnded = true;
}

bool ExposureLimit::maySend(TimePoint now) const
{
    return isPermitted(now) && static_cast<double>(m_sent + 1) <= m_share * static_cast<double>(m_answered);
}

u64 ExposureLimit::sent() const
{
    return m_sent;
}

u64 ExposureLimit::answered() const
{
    return m_answered;
}

bool ExposureLimit::isPermitted(TimePoint now) const
{
    return !m_hasEnded && now < m_permittedUntil;
}

} // namespace burdock::rollout
