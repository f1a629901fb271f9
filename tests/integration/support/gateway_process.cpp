#include <support/gateway_process.hpp>

#include <support/ports.hpp>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace support {

namespace {

namespace json = boost::json;

std::string settingsPath(const std::string &folder)
{
    return folder + "/settings.json";
}

std::string logPath(const std::string &folder)
{
    return folder + "/log";
}

} // namespace

GatewayProcess::GatewayProcess(const std::string &name, const std::string &zone, const std::string &platform, const json::object &changes)
    : m_folder((std::filesystem::temp_directory_path() / ("gateway-test-" + std::to_string(freePort()))).string())
    , m_callers(freeAddress())
    , m_readiness(freeAddress())
    , m_metrics(freeAddress())
{
    std::filesystem::create_directories(m_folder);
    auto settings = json::parse(R"({"grace_seconds":6,"revocation_ms":4000,"retry_share":0.2,"retry_slack":50,)"
                                R"("weights_ms":12000,"order_pause_ms":3000})")
                        .as_object();
    settings["name"] = name;
    settings["zone"] = zone;
    settings["callers_listen"] = m_callers;
    settings["readiness_listen"] = m_readiness;
    settings["metrics_listen"] = m_metrics;
    settings["load_listen"] = freeAddress();
    settings["platform"] = platform;
    for (const auto &[key, value] : changes) {
        settings[key] = value;
    }
    std::ofstream(settingsPath(m_folder)) << json::serialize(settings);
    std::ofstream(logPath(m_folder)).flush();
}

GatewayProcess::~GatewayProcess()
{
    m_process.reset();
    if (!m_isLogKept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

void GatewayProcess::start()
{
    m_process.reset();
    m_process = std::make_unique<ChildProcess>(std::vector<std::string>{BURDOCK_DAEMON, "gateway", "--settings=" + settingsPath(m_folder)},
                                               logPath(m_folder));
}

ChildProcess &GatewayProcess::process()
{
    return *m_process;
}

const std::string &GatewayProcess::callerAddress() const
{
    return m_callers;
}

const std::string &GatewayProcess::readinessAddress() const
{
    return m_readiness;
}

const std::string &GatewayProcess::metricsAddress() const
{
    return m_metrics;
}

std::string GatewayProcess::log() const
{
    const std::ifstream file(logPath(m_folder));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string GatewayProcess::keepLog()
{
    m_isLogKept = true;
    return logPath(m_folder);
}

} // namespace support
