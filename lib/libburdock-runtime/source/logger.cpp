#include <burdock/runtime/logger.hpp>

#include "bounded_sink.hpp"

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace burdock::runtime {

namespace {

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning", "error"};
constexpr std::array<spdlog::level::level_enum, 4> SinkLevels{spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                                              spdlog::level::err};

constexpr i64 MillisecondsPerSecond = 1000;
/** Limits per event and second. Rejected and failed requests are warnings, for which more lines are allowed. */
constexpr u32 MaxLinesPerSecond = 200;
constexpr u32 MaxWarningsPerSecond = 1000;

std::size_t indexOf(LogLevel level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

LogLevel parseLogLevel(std::string_view name)
{
    for (std::size_t i = 0; i < LevelNames.size(); ++i) {
        if (LevelNames.at(i) == name) {
            return static_cast<LogLevel>(i);
        }
    }
    return LogLevel::Info;
}

Logger::Logger(LogLevel level, std::string_view process, LogFlush flushing)
    : m_process(process)
    , m_sink(std::make_unique<spdlog::logger>("burdock", std::make_shared<detail::BoundedSink>(STDOUT_FILENO)))
{
    m_sink->set_level(SinkLevels.at(indexOf(level)));
    m_sink->flush_on(flushing == LogFlush::EachLine ? spdlog::level::debug : spdlog::level::off);
}

Logger::~Logger()
{
    m_sink->flush();
}

void Logger::event(LogLevel level, std::string_view name, std::initializer_list<Field> fields)
{
    if (!m_sink->should_log(SinkLevels.at(indexOf(level)))) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const i64 nowMs = now.time_since_epoch().count();
    bool isAllowed = true;
    const u64 suppressed = takeSuppressed(level, name, nowMs / MillisecondsPerSecond, isAllowed);
    if (suppressed > 0) {
        write(LogLevel::Warning, "log_suppressed", {{"of", name}, {"lines", suppressed}}, nowMs);
    }
    if (isAllowed) {
        write(level, name, fields, nowMs);
    }
}

void Logger::flush()
{
    m_sink->flush();
}

void Logger::write(LogLevel level, std::string_view name, std::initializer_list<Field> fields, i64 nowMs)
{
    boost::json::object line;
    line["ts_ms"] = nowMs;
    line["level"] = LevelNames.at(indexOf(level));
    line["vm"] = m_process;
    line["event"] = name;
    for (const auto &[key, value] : fields) {
        std::visit([&line, key = key](const auto &fieldValue) { line[key] = fieldValue; }, value);
    }
    m_sink->log(SinkLevels.at(indexOf(level)), "{}", boost::json::serialize(line));
}

// Counts a line of an event; returns the number of lines suppressed in an earlier second and not yet reported.
u64 Logger::takeSuppressed(LogLevel level, std::string_view name, i64 second, bool &isAllowed)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_rates.find(name);
    if (found == m_rates.end()) {
        found = m_rates.emplace(std::string(name), Rate{}).first;
    }
    auto &rate = found->second;
    u64 suppressed = 0;
    if (rate.second != second) {
        suppressed = rate.suppressed;
        rate = Rate{second, 0, 0};
    }
    const u32 maxLines = level >= LogLevel::Warning ? MaxWarningsPerSecond : MaxLinesPerSecond;
    isAllowed = ++rate.lines <= maxLines;
    if (!isAllowed) {
        ++rate.suppressed;
    }
    return suppressed;
}

} // namespace burdock::runtime
