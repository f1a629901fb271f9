#pragma once

#include <burdock/ops/exit_code.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::ops {

/** @brief Command-line options shared by all commands. */
struct Options
{
    std::string platform; ///< IP:port of the platform's object API
    std::string key; ///< path of the signing key file
    std::string out; ///< path of the output file
    bool isJson = false;
    bool isWatching = false; ///< refreshes the status until interrupted
    u32 rolloutTimeoutMs = 30'000; ///< how long to wait until all processes have applied a rollout
};

/** @brief One subcommand, e.g. `zone out`. */
class Command
{
public:
    virtual ~Command() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /** @brief One line with the name, the arguments and the required flags. */
    [[nodiscard]] virtual std::string_view usage() const = 0;
    /** @brief Usage, description and an example. */
    [[nodiscard]] virtual std::string help() const = 0;
    [[nodiscard]] virtual ExitCode run(const std::vector<std::string> &arguments, const Options &options) = 0;
};

/** @brief Creates all subcommands. New ones are registered in commands.cpp. */
[[nodiscard]] std::vector<std::unique_ptr<Command>> allCommands();

/** @brief Prints the help of the subcommand named by the leading words, or the usage of all subcommands. */
[[nodiscard]] ExitCode showHelp(const std::vector<std::string> &words);

/** @brief Runs the subcommand named by the leading words; the remaining words are its arguments. */
[[nodiscard]] ExitCode runCommand(const std::vector<std::string> &words, const Options &options);

} // namespace burdock::ops
