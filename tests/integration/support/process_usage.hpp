#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>

namespace support {

using namespace burdock;

/** @brief Whether the memory of processes can be compared with a bound; a sanitizer's own memory is several times that of the process. */
#if defined(__SANITIZE_ADDRESS__)
inline constexpr bool IsMemoryMeasured = false;
#else
inline constexpr bool IsMemoryMeasured = true;
#endif

/** @brief Observes the most memory and descriptors that a process has at a time. */
class ProcessUsage
{
public:
    /** @param listeners addresses of the process; what the kernel holds for their connections counts as memory */
    ProcessUsage(pid_t pid, const std::set<std::string> &listeners);
    ~ProcessUsage();
    ProcessUsage(const ProcessUsage &) = delete;
    ProcessUsage &operator=(const ProcessUsage &) = delete;

    /** @brief The most of the process's own memory and of the bytes that its connections hold unread and unsent. */
    [[nodiscard]] u64 peakKib() const;
    [[nodiscard]] u64 peakDescriptors() const;

private:
    void run();
    [[nodiscard]] u64 residentKib() const;
    [[nodiscard]] u64 queuedBytes() const;
    [[nodiscard]] u64 descriptors() const;

    pid_t m_pid;
    std::set<u16> m_ports;
    std::atomic<u64> m_peakKib{0};
    std::atomic<u64> m_peakDescriptors{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace support
