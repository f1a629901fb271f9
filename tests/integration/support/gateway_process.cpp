#include <support/gateway_process.hpp>

#include <support/ports.hpp>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace support {

namespace {

namespace json = boost::json;

std::string settingsPath(const std::string &directory)
{
    return directory + "/settings.json";
}

std::string logPath(const std::string &directory)
{
    return directory + "/log";
}

} // namespace

GatewayProcess::GatewayProcess(const std::string &name, const std::string &zone, const std::string &platform, const json::object &overrides)
    : m_directory((std::filesystem::temp_directory_path() / ("gateway-test-" + std::to_string(freePort()))).string())
    , m_callerAddress(freeAddress())
    , m_readinessAddress(freeAddress())
    , m_metricsAddress(freeAddress())
    , m_loadAddress(freeAddress())
{
    std::filesystem::create_directories(m_directory);
    auto settings = json::parse(R"({"grace_seconds":6,"revocation_ms":4000,"retry_share":0.2,"retry_slack":50,)"
                                R"("weights_ms":12000,"order_pause_ms":3000})")
                        .as_object();
    settings["name"] = name;
    settings["zone"] = zone;
    settings["callers_listen"] = m_callerAddress;
    settings["readiness_listen"] = m_readinessAddress;
    settings["metrics_listen"] = m_metricsAddress;
    settings["load_listen"] = m_loadAddress;
    settings["platform"] = platform;
    for (const auto &[key, value] : overrides) {
        settings[key] = value;
    }
    std::ofstream(settingsPath(m_directory)) << json::serialize(settings);
    std::ofstream(logPath(m_directory)).flush();
}

GatewayProcess::~GatewayProcess()
{
    m_process.reset();
    if (!m_isLogKept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }
}

void GatewayProcess::start()
{
    m_process.reset();
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string>{BURDOCK_DAEMON, "gateway", "--settings=" + settingsPath(m_directory)}, logPath(m_directory));
}

ChildProcess &GatewayProcess::process()
{
    return *m_process;
}

const std::string &GatewayProcess::callerAddress() const
{
    return m_callerAddress;
}

const std::string &GatewayProcess::readinessAddress() const
{
    return m_readinessAddress;
}

const std::string &GatewayProcess::metricsAddress() const
{
    return m_metricsAddress;
}

const std::string &GatewayProcess::loadAddress() const
{
    return m_loadAddress;
}

std::string GatewayProcess::log() const
{
    const std::ifstream file(logPath(m_directory));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string GatewayProcess::keepLog()
{
    m_isLogKept = true;
    return logPath(m_directory);
}

} // namespace support
