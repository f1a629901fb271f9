#pragma once

#include <support/child_process.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace support {

/** @brief Gives a process little processor time: suspends it for the rest of each period once it has used its slice. */
class Throttle
{
public:
    explicit Throttle(ChildProcess &process);
    ~Throttle();
    Throttle(const Throttle &) = delete;
    Throttle &operator=(const Throttle &) = delete;

private:
    void run();
    [[nodiscard]] std::chrono::nanoseconds processorTime() const;

    ChildProcess &m_process;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace support
