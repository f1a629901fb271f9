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
    u32 patienceMs = 30'000; ///< how long a rollout waits for the fleet
};

/** @brief One subcommand, e.g. `zone out`. */
class Command
{
public:
    virtual ~Command() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    [[nodiscard]] virtual std::string_view help() const = 0;
    [[nodiscard]] virtual ExitCode run(const std::vector<std::string> &arguments, const Options &options) = 0;
};

/** @brief All subcommands; a new one is added to the list in commands.cpp. */
[[nodiscard]] std::vector<std::unique_ptr<Command>> allCommands();

/** @brief Finds the subcommand that the words begin with and runs it. */
[[nodiscard]] ExitCode runCommand(const std::vector<std::string> &words, const Options &options);

} // namespace burdock::ops
