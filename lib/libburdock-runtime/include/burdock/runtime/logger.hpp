#pragma once

#include <burdock/types.hpp>

#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
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

/** @brief The level with this name in the settings; Info if the name is empty or unknown. */
[[nodiscard]] LogLevel parseLogLevel(std::string_view name);

/** @brief When lines are written to standard output. */
enum class LogFlush : u8 {
    EachLine,
    OnRequest, ///< by flush(); saves a system call for each line
};

using FieldValue = std::variant<std::string_view, i64, u64, double, bool>;
using Field = std::pair<std::string_view, FieldValue>;

/**
 * @brief Writes events as JSON lines to standard output.
 *
 * Event names are stable and listed in docs/OPERATIONS.md. Never pass customers' prompts or responses. Logging never blocks. The
 * number of lines per event and second is limited; a `log_suppressed` line says how many were left out. Thread-safe.
 */
class Logger
{
public:
    Logger(LogLevel level, std::string_view process, LogFlush flushing = LogFlush::EachLine);
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    void event(LogLevel level, std::string_view name, std::initializer_list<Field> fields = {});

    /** @brief Writes the buffered lines, as many as can be written without blocking. */
    void flush();

private:
    struct Rate
    {
        i64 second = 0;
        u32 lines = 0;
        u64 suppressed = 0;
    };

    void write(LogLevel level, std::string_view name, std::initializer_list<Field> fields, i64 nowMs);
    [[nodiscard]] u64 takeSuppressed(LogLevel level, std::string_view name, i64 second, bool &isAllowed);

    std::string m_process;
    std::unique_ptr<spdlog::logger> m_sink;
    std::mutex m_mutex;
    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace burdock::runtime
