#include "stall_monitor.hpp"

#include <algorithm>
#include <chrono>

namespace soak {

namespace {

constexpr Duration SampleInterval = std::chrono::milliseconds(20);

} // namespace

StallMonitor::StallMonitor()
    : m_thread([this] { sample(); })
{
}

StallMonitor::~StallMonitor()
{
    m_isStopping = true;
    m_thread.join();
}

Duration StallMonitor::longestStall() const
{
    return m_longestStall;
}

void StallMonitor::sample()
{
    auto last = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        std::this_thread::sleep_for(SampleInterval);
        const auto now = std::chrono::steady_clock::now();
        const auto overrun = std::chrono::duration_cast<Duration>(now - last) - SampleInterval;
        m_longestStall = std::max(m_longestStall.load(), overrun);
        last = now;
    }
}

} // namespace soak
