#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <thread>

namespace soak {

using namespace burdock;

/** @brief Measures stalls of the soak process, to distinguish a paused machine from gateways that do not serve. */
class StallMonitor
{
public:
    StallMonitor();
    ~StallMonitor();
    StallMonitor(const StallMonitor &) = delete;
    StallMonitor &operator=(const StallMonitor &) = delete;

    /** @brief Longest stall so far. Thread-safe. */
    [[nodiscard]] Duration longestStall() const;

private:
    void sample();

    std::atomic<bool> m_isStopping{false};
    std::atomic<Duration> m_longestStall{Duration::zero()};
    std::thread m_thread;
};

} // namespace soak
