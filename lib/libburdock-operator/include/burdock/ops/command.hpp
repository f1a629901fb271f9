#pragma once

#include <burdock/ops/exit_code.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::ops {

/** @brief Options that commands share. */
struct Options
{
    std::string platform; ///< IP:port of the object API
    std::string key; ///< file with the signing key
    std::string out; ///< file to write
    bool isJson = false;
    bool isWatching = false; ///< prints the status again and again
    u32 patienceMs = 30'000; ///< how long a rollout waits for the fleet
};

/** @brief One subcommand, e.g. `zone out`. */
class Command
{
public:
    virtual ~Command() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /** @brief One line: the name, its arguments and the flags that it needs. */
    [[nodiscard]] virtual std::string_view usage() const = 0;
    /** @brief Usage, purpose and an example. */
    [[nodiscard]] virtual std::string help() const = 0;
    [[nodiscard]] virtual ExitCode run(const std::vector<std::string> &arguments, const Options &options) = 0;
};

/** @brief All subcommands; a new one is added to the list in commands.cpp. */
[[nodiscard]] std::vector<std::unique_ptr<Command>> allCommands();

/** @brief Prints the help of the subcommand that the words begin with, or the usage of all. */
[[nodiscard]] ExitCode showHelp(const std::vector<std::string> &words);

/** @brief Finds the subcommand that the words begin with and runs it. */
[[nodiscard]] ExitCode runCommand(const std::vector<std::string> &words, const Options &options);

} // namespace burdock::ops
