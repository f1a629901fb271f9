#include <support/gateway_deployment.hpp>

#include <support/platform_objects.hpp>
#include <support/ports.hpp>
#include <support/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <optional>
#include <sstream>

namespace support {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

constexpr u32 PoolThreads = 2;
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr Duration Patience = std::chrono::seconds(10);
constexpr Duration Poll = std::chrono::milliseconds(5);

} // namespace

GatewayDeployment::GatewayDeployment(const std::string &settingsChange)
    : m_pool(PoolThreads)
    , m_store(m_pool.context(), freeAddress())
    , m_storeProxy(m_pool.context(), m_store.address())
    , m_gateway("vm-1", "zone-a", m_storeProxy.address(), settingsChange.empty() ? json::object() : json::parse(settingsChange).as_object())
{
    m_gateway.start();
}

// The stand-in's watches may still wait on the pool's threads, so these end before the stand-in does.
GatewayDeployment::~GatewayDeployment()
{
    m_gateway.process().signal(SIGKILL);
    static_cast<void>(m_gateway.process().waitForExit(Patience));
    m_pool.stop();
    m_pool.wait();
}

standins::ObjectStore &GatewayDeployment::store()
{
    return m_store;
}

standins::FaultProxy &GatewayDeployment::storeProxy()
{
    return m_storeProxy;
}

void GatewayDeployment::configure(u64 version, const std::vector<std::string> &keys)
{
    m_store.put("config", "main", configurationObject(version, keys));
}

void GatewayDeployment::registerReplica(const std::string &id, const std::string &service, const std::string &address, bool isDraining)
{
    ReplicaRegistration entry;
    entry.service = service;
    entry.address = address;
    entry.isDraining = isDraining;
    m_store.put("servers", id, replicaObject(entry));
}

void GatewayDeployment::awaitReady()
{
    if (!waitFor([this] { return readiness() == 200; })) {
        throw std::runtime_error("the gateway did not become ready: " + log());
    }
}

http::Exchange GatewayDeployment::call(const GatewayCall &call)
{
    return exchange(m_gateway.callerAddress(), toRequest(call));
}

std::string GatewayDeployment::callForBytes(const GatewayCall &call)
{
    const auto address = http::parseAddress(m_gateway.callerAddress());
    boost::asio::ip::tcp::iostream stream(address.ip, std::to_string(address.port));
    stream.expires_after(CallTimeout);
    const auto request = toRequest(call);
    stream << request.method << ' ' << request.target << " HTTP/1.1\r\nConnection: close\r\nContent-Length: " << request.body.size()
           << "\r\n";
    for (const auto &[name, value] : request.headers) {
        stream << name << ": " << value << "\r\n";
    }
    stream << "\r\n" << request.body << std::flush;
    std::ostringstream bytes;
    bytes << stream.rdbuf();
    return bytes.str();
}

void GatewayDeployment::callAndLeave(const GatewayCall &call, Duration after)
{
    std::optional<std::chrono::steady_clock::time_point> sent;
    callAndLeaveOnce(call, [after, sent]() mutable {
        sent = sent.value_or(std::chrono::steady_clock::now());
        return std::chrono::steady_clock::now() >= *sent + after;
    });
}

void GatewayDeployment::callAndLeaveOnce(const GatewayCall &call, const std::function<bool()> &condition)
{
    const auto work = [this, call, condition]() -> boost::asio::awaitable<void> {
        const auto executor = co_await boost::asio::this_coro::executor;
        http::Connection connection(executor, http::parseAddress(m_gateway.callerAddress()), http::Reuse::Once);
        if (co_await connection.connect(CallTimeout)) {
            connection.startSend(toRequest(call));
            const auto until = std::chrono::steady_clock::now() + CallTimeout;
            while (!condition() && std::chrono::steady_clock::now() < until) {
                boost::asio::steady_timer timer(executor, Poll);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            connection.cut();
        }
    };
    boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), work, boost::asio::use_future).get();
}

u16 GatewayDeployment::readiness()
{
    http::Request request;
    request.target = "/readiness";
    const auto answer = exchange(m_gateway.readinessAddress(), request);
    return answer.progress == http::Progress::Answered ? answer.response.status : 0;
}

std::string GatewayDeployment::metrics()
{
    http::Request request;
    request.target = "/metrics";
    return exchange(m_gateway.metricsAddress(), request).response.body;
}

std::string GatewayDeployment::log() const
{
    return m_gateway.log();
}

ChildProcess &GatewayDeployment::process()
{
    return m_gateway.process();
}

void GatewayDeployment::restart()
{
    m_gateway.process().signal(SIGKILL);
    static_cast<void>(m_gateway.process().waitForExit(Patience));
    m_gateway.start();
}

bool GatewayDeployment::waitFor(const std::function<bool()> &condition)
{
    return waitUntil(condition, Patience);
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
