#include <support/gateway_deployment.hpp>

#include <support/ports.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace support {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

constexpr u32 PoolThreads = 2;
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr Duration Patience = std::chrono::seconds(10);
constexpr Duration Poll = std::chrono::milliseconds(10);

std::string route(const std::string &name, const std::string &kind, const std::string &service)
{
    return fmt::format(R"({{"name":"{0}","host":"desk.example","pathPrefix":"/{0}/","routeType":"{1}","service":"{2}","timeoutMs":3000,)"
                       R"("targetLatencyMs":2000,"priority":1,"maxAttempts":2,"noAuth":{3},"sticky":{4},"resumable":{5}}})",
                       name, kind, service, name == "open", kind == "streaming", name == "resumable");
}

std::string readAll(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

GatewayDeployment::GatewayDeployment(const std::string &settingsChange)
    : m_pool(PoolThreads)
    , m_store(m_pool.context(), freeAddress())
    , m_folder((std::filesystem::temp_directory_path() / ("gateway-test-" + std::to_string(freePort()))).string())
    , m_callers(freeAddress())
    , m_readiness(freeAddress())
    , m_metrics(freeAddress())
{
    std::filesystem::create_directories(m_folder);
    auto settings = json::parse(R"({"name":"vm-1","zone":"zone-a","grace_seconds":6,"revocation_ms":4000,"retry_share":0.2,)"
                                R"("retry_slack":50,"weights_ms":12000,"order_pause_ms":3000})")
                        .as_object();
    settings["callers_listen"] = m_callers;
    settings["readiness_listen"] = m_readiness;
    settings["metrics_listen"] = m_metrics;
    settings["load_listen"] = freeAddress();
    settings["platform"] = m_store.address();
    if (!settingsChange.empty()) {
        const auto changes = json::parse(settingsChange);
        for (const auto &[key, value] : changes.as_object()) {
            settings[key] = value;
        }
    }
    const auto path = m_folder + "/settings.json";
    std::ofstream(path) << json::serialize(settings);
    m_process
        = std::make_unique<ChildProcess>(std::vector<std::string>{BURDOCK_DAEMON, "gateway", "--settings=" + path}, m_folder + "/log");
}

// The stand-in's watches may still wait on the pool's threads, so these end before the stand-in does.
GatewayDeployment::~GatewayDeployment()
{
    m_process.reset();
    m_pool.stop();
    m_pool.wait();
}

standins::ObjectStore &GatewayDeployment::store()
{
    return m_store;
}

void GatewayDeployment::configure(u64 version, const std::vector<std::string> &keys)
{
    const std::string routes = route("once", "non_idempotent", "plain") + "," + route("read", "idempotent", "plain") + ","
        + route("open", "idempotent", "plain") + "," + route("prompts", "streaming", "engines") + ","
        + route("resumable", "streaming", "engines");
    const std::string services = R"({"name":"plain","maxConnections":100,"coldPerS":0.0},)"
                                 R"({"name":"engines","maxConnections":100,"coldPerS":0.0,)"
                                 R"("engine":{"slots":8,"kvCapacity":100000,"models":[{"name":"m"}]}})";
    const std::string limits = R"({"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":5000})";
    const auto names = json::serialize(json::array(keys.begin(), keys.end()));
    m_store.put(
        "config", "main",
        json::parse(fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],"tenants":[{{"name":"desk","apiKeys":{}}}],"limits":{}}})",
                                version, routes, services, names, limits)));
}

void GatewayDeployment::registerReplica(const std::string &id, const std::string &service, const std::string &address, bool isDraining)
{
    m_store.put("servers", id,
                json::parse(fmt::format(R"({{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"{}",)"
                                        R"("coldLeftMs":0,"born":1,"models":[{{"name":"m","version":1}}]}})",
                                        service, address, isDraining ? "draining" : "in_service")));
}

void GatewayDeployment::awaitReady()
{
    if (!waitFor([this] { return readiness() == 200; })) {
        throw std::runtime_error("the gateway did not become ready: " + log());
    }
}

http::Exchange GatewayDeployment::call(const GatewayCall &call)
{
    return exchange(m_callers, toRequest(call));
}

void GatewayDeployment::callAndLeave(const GatewayCall &call, Duration after)
{
    const auto work = [this, call, after]() -> boost::asio::awaitable<void> {
        const auto executor = co_await boost::asio::this_coro::executor;
        http::Connection connection(executor, http::parseAddress(m_callers), http::Reuse::Once);
        if (co_await connection.connect(CallTimeout)) {
            connection.startSend(toRequest(call));
            boost::asio::steady_timer timer(executor, after);
            co_await timer.async_wait(boost::asio::use_awaitable);
            connection.cut();
        }
    };
    boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), work, boost::asio::use_future).get();
}

u16 GatewayDeployment::readiness()
{
    http::Request request;
    request.target = "/readiness";
    const auto answer = exchange(m_readiness, request);
    return answer.progress == http::Progress::Answered ? answer.response.status : 0;
}

std::string GatewayDeployment::metrics()
{
    http::Request request;
    request.target = "/metrics";
    return exchange(m_metrics, request).response.body;
}

std::string GatewayDeployment::log() const
{
    return readAll(m_folder + "/log");
}

ChildProcess &GatewayDeployment::process()
{
    return *m_process;
}

bool GatewayDeployment::waitFor(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + Patience;
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Poll);
    }
    return condition();
}

http::Request GatewayDeployment::toRequest(const GatewayCall &call) const
{
    http::Request request;
    request.method = call.method;
    request.target = call.path;
    request.body = call.body;
    request.headers = {{"Host", "desk.example"}, {"X-Attempt-Id", call.attempt}, {"X-Deadline-Ms", "5000"}};
    if (!call.key.empty()) {
        request.headers.emplace_back("Authorization", "Token " + call.key);
    }
    request.headers.insert(request.headers.end(), call.further.begin(), call.further.end());
    return request;
}

http::Exchange GatewayDeployment::exchange(const std::string &address, const http::Request &request)
{
    const auto strand = boost::asio::make_strand(m_pool.context());
    return boost::asio::co_spawn(strand, http::exchange(http::parseAddress(address), request, CallTimeout), boost::asio::use_future).get();
}

} // namespace support
