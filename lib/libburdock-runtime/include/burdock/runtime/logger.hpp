#pragma once

#include <burdock/types.hpp>

#include <initializer_list>
#include <memory>
#include <string_view>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
}

namespace burdock::runtime {

enum class LogLevel : u8 {
    Debug,
    Info,
    Warning,
    Error,
};

/** @brief The level of this name in the settings; Info for an empty one. */
[[nodiscard]] LogLevel logLevelFrom(std::string_view name);

using FieldValue = std::variant<std::string_view, i64, u64, double, bool>;
using Field = std::pair<std::string_view, FieldValue>;

/**
 * @brief Writes events as JSON lines to standard error.
 *
 * Events have stable names, listed in docs/OPERATING.md. Never pass a customer's text. Thread-safe.
 */
class Logger
{
public:
    Logger(LogLevel level, std::string_view process);
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    void event(LogLevel level, std::string_view name, std::initializer_list<Field> fields = {});

private:
    std::string_view m_process;
    std::unique_ptr<spdlog::logger> m_sink;
};

} // namespace burdock::runtime
