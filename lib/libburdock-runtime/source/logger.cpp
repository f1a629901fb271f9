#include <burdock/runtime/logger.hpp>

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace burdock::runtime {

namespace {

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning", "error"};
constexpr std::array<spdlog::level::level_enum, 4> SinkLevels{spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                                              spdlog::level::err};

std::size_t indexOf(LogLevel level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

LogLevel logLevelFrom(std::string_view name)
{
    for (std::size_t i = 0; i < LevelNames.size(); ++i) {
        if (LevelNames.at(i) == name) {
            return static_cast<LogLevel>(i);
        }
    }
    return LogLevel::Info;
}

Logger::Logger(LogLevel level, std::string_view process)
    : m_process(process)
    , m_sink(std::make_unique<spdlog::logger>("burdock", std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
    m_sink->set_pattern("%v");
    m_sink->set_level(SinkLevels.at(indexOf(level)));
    m_sink->flush_on(spdlog::level::debug);
}

Logger::~Logger() = default;

void Logger::event(LogLevel level, std::string_view name, std::initializer_list<Field> fields)
{
    const auto sinkLevel = SinkLevels.at(indexOf(level));
    if (!m_sink->should_log(sinkLevel)) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    boost::json::object line;
    line["ts_ms"] = now.time_since_epoch().count();
    line["level"] = LevelNames.at(indexOf(level));
    line["vm"] = m_process;
    line["event"] = name;
    for (const auto &[key, value] : fields) {
        std::visit([&line, key = key](const auto &held) { line[key] = held; }, value);
    }
    m_sink->log(sinkLevel, "{}", boost::json::serialize(line));
}

} // namespace burdock::runtime
