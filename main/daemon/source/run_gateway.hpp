#pragma once

#include <optional>
#include <string>

namespace burdock::daemon {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitBadSettings = 2;

/** @brief The content of a settings file; says on standard error if it can't be read. */
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);

/** @brief Runs a gateway until SIGTERM; returns the exit code. */
[[nodiscard]] int runGateway(const std::string &settingsPath);

} // namespace burdock::daemon
