#include <support/child_process.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace support {

namespace {

constexpr int SignalExitCodeBase = 128;
/** In the status file of a process: a bit for each signal that it handles, the lowest for signal 1. */
constexpr const char *HandledSignalsField = "SigCgt:";
constexpr int HexBase = 16;
constexpr auto PollInterval = std::chrono::milliseconds(5);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &log)
{
    std::vector<char *> arguments;
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that this process closes stays open while a child holds a copy of its socket.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int status = posix_spawn(&m_pid, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0) {
        throw std::runtime_error("cannot start process " + command.front());
    }
}

ChildProcess::~ChildProcess()
{
    if (waitForExit(Duration::zero()) == -1) {
        signal(SIGKILL);
        static_cast<void>(waitForExit(std::chrono::seconds(10)));
    }
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

void ChildProcess::signal(int number) const
{
    if (m_exitCode == -1) {
        kill(m_pid, number);
    }
}

bool ChildProcess::handles(int signal) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string name, value; status >> name && std::getline(status, value);) {
        if (name == HandledSignalsField) {
            return (std::stoull(value, nullptr, HexBase) >> (signal - 1) & 1) != 0;
        }
    }
    return false;
}

int ChildProcess::waitForExit(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (m_exitCode == -1) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitCodeBase + WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return -1;
        } else {
            std::this_thread::sleep_for(PollInterval);
        }
    }
    return m_exitCode;
}

} // namespace support
