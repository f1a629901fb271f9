#pragma once

#include <optional>
#include <string>

namespace burdock::daemon {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitBadSettings = 2;

/** @brief Reads a settings file. Prints an error to standard error if it cannot be read. */
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);

/** @brief Runs a gateway until it is stopped by SIGTERM or SIGINT; returns the exit code. */
[[nodiscard]] int runGateway(const std::string &settingsPath);

} // namespace burdock::daemon
