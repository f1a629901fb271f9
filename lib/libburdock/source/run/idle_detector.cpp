#include <burdock/run/idle_detector.hpp>

namespace burdock::run {

IdleDetector::IdleDetector(u32 looks)
    : m_needed(looks)
{
}

bool IdleDetector::addSample(bool isBusy)
{
    m_quiet = isBusy ? 0 : m_quiet + 1;
    return m_quiet >= m_needed;
}

} // namespace burdock::run
