#include <burdock/run/idle_detector.hpp>

namespace burdock::run {

IdleDetector::IdleDetector(u32 requiredSamples)
    : m_requiredSamples(requiredSamples)
{
}

bool IdleDetector::addSample(bool isBusy)
{
    m_idleSamples = isBusy ? 0 : m_idleSamples + 1;
    return m_idleSamples >= m_requiredSamples;
}

} // namespace burdock::run
