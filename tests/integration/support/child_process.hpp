#pragma once

#include <burdock/types.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

namespace support {

using namespace burdock;

/** @brief A process started by a test; the destructor kills it if it is still running. */
class ChildProcess
{
public:
    /** @param log file to which standard output and standard error are appended */
    ChildProcess(const std::vector<std::string> &command, const std::string &log);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    [[nodiscard]] pid_t pid() const;
    void signal(int number) const;
    /** @brief Whether the process handles a signal by itself; a process that was just created doesn't yet. */
    [[nodiscard]] bool handles(int signal) const;

    /** @brief Waits until the process exits. Returns its exit code, 128 + n after signal n, or -1 if it outlives `timeout`. */
    [[nodiscard]] int waitForExit(Duration timeout);

private:
    pid_t m_pid = 0;
    int m_exitCode = -1;
};

} // namespace support
