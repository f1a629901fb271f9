#pragma once

#include <burdock/types.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

namespace support {

using namespace burdock;

/** @brief A process that a test started; killed at the end if it still runs. */
class ChildProcess
{
public:
    /** @param log file for its standard error */
    ChildProcess(const std::vector<std::string> &command, const std::string &log);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    [[nodiscard]] pid_t pid() const;
    void signal(int number) const;

    /** @brief Waits for its end; its exit code, 128 + n after signal n, or -1 if it still runs. */
    [[nodiscard]] int waitForExit(Duration patience);

private:
    pid_t m_pid = 0;
    int m_exitCode = -1;
};

} // namespace support
