#include <support/gateway_deployment.hpp>

#include <support/platform_objects.hpp>
#include <support/ports.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
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
#include <stdexcept>

namespace support {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

constexpr u32 PoolThreads = 2;
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr Duration WaitTimeout = std::chrono::seconds(10);
constexpr Duration PollInterval = std::chrono::milliseconds(5);

} // namespace

GatewayCall promptCall(const std::string &path, const std::string &attempt)
{
    GatewayCall call;
    call.path = path;
    call.attempt = attempt;
    call.extraHeaders = {{"X-Model-Id", "m"}, {"X-Token-Usage", "10,4"}, {"X-Prompt-Prefix", PromptParts}};
    return call;
}

std::string exchangeBytes(const std::string &address, const std::string &bytes)
{
    const auto target = http::parseAddress(address);
    boost::asio::ip::tcp::iostream stream(target.ip, std::to_string(target.port));
    stream.expires_after(CallTimeout);
    stream << bytes << std::flush;
    std::ostringstream rawResponse;
    rawResponse << stream.rdbuf();
    return rawResponse.str();
}

GatewayDeployment::GatewayDeployment(const std::string &settingsOverrides)
    : m_pool(PoolThreads)
    , m_store(m_pool.context(), freeAddress())
    , m_storeProxy(m_pool.context(), m_store.address())
    , m_gateway("vm-1", "zone-a", m_storeProxy.address(),
                settingsOverrides.empty() ? json::object() : json::parse(settingsOverrides).as_object())
{
    m_gateway.start();
}

// Watches of the stand-in may still be pending on the pool's threads, so the threads are joined before the stand-in is destroyed.
GatewayDeployment::~GatewayDeployment()
{
    m_furtherGateways.clear();
    m_gateway.process().signal(SIGKILL);
    static_cast<void>(m_gateway.process().waitForExit(WaitTimeout));
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
    ReplicaRegistration registration;
    registration.service = service;
    registration.address = address;
    registration.isDraining = isDraining;
    m_store.put("servers", id, replicaObject(registration));
}

void GatewayDeployment::registerEngine(const std::string &id, const std::string &address, const std::string &softwareVersion)
{
    ReplicaRegistration registration;
    registration.service = "engines";
    registration.address = address;
    registration.softwareVersion = softwareVersion;
    m_store.put("servers", id, replicaObject(registration));
}

GatewayProcess &GatewayDeployment::addGateway()
{
    return *addGateways(1, "{}").front();
}

std::vector<GatewayProcess *> GatewayDeployment::addGateways(std::size_t count, const std::string &settingsOverrides)
{
    const auto overrides = json::parse(settingsOverrides).as_object();
    std::vector<GatewayProcess *> added;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "vm-" + std::to_string(m_furtherGateways.size() + 2);
        added.push_back(
            m_furtherGateways.emplace_back(std::make_unique<GatewayProcess>(name, "zone-a", m_store.address(), overrides)).get());
        added.back()->start();
    }
    const auto expected = "burdock_entries " + std::to_string(m_furtherGateways.size() + 1) + "\n";
    const auto knowsAll = [this, &expected](const GatewayProcess &gateway) {
        return metricsOf(gateway).find(expected) != std::string::npos;
    };
    const auto doOthersKnowAll = [this, &knowsAll] {
        return std::all_of(m_furtherGateways.begin(), m_furtherGateways.end(),
                           [&knowsAll](const auto &gateway) { return knowsAll(*gateway); });
    };
    const auto areReady = [this, &added] {
        return std::all_of(added.begin(), added.end(), [this](const auto *gateway) { return readinessOf(*gateway) == 200; });
    };
    if (!waitFor([&] { return areReady() && knowsAll(m_gateway) && doOthersKnowAll(); })) {
        throw std::runtime_error("a further gateway did not become ready: " + added.front()->log());
    }
    return added;
}

void GatewayDeployment::setUpService(const std::string &service, const std::vector<const standins::Replica *> &replicas)
{
    configure(3);
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        registerReplica("r" + std::to_string(i + 1), service, replicas[i]->address());
    }
    awaitReady();
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

http::Exchange GatewayDeployment::call(const GatewayCall &call, const GatewayProcess &gateway)
{
    return exchange(gateway.callerAddress(), toRequest(call));
}

std::string GatewayDeployment::callRaw(const GatewayCall &call)
{
    const auto request = toRequest(call);
    std::ostringstream bytes;
    bytes << request.method << ' ' << request.target << " HTTP/1.1\r\nConnection: close\r\nContent-Length: " << request.body.size()
          << "\r\n";
    for (const auto &[name, value] : request.headers) {
        bytes << name << ": " << value << "\r\n";
    }
    bytes << "\r\n" << request.body;
    return sendRaw(bytes.str());
}

std::string GatewayDeployment::sendRaw(const std::string &bytes)
{
    return exchangeBytes(m_gateway.callerAddress(), bytes);
}

void GatewayDeployment::callAndDisconnect(const GatewayCall &call, Duration after)
{
    std::optional<std::chrono::steady_clock::time_point> sendTime;
    callAndDisconnectWhen(call, [after, sendTime]() mutable {
        sendTime = sendTime.value_or(std::chrono::steady_clock::now());
        return std::chrono::steady_clock::now() >= *sendTime + after;
    });
}

void GatewayDeployment::callAndDisconnectWhen(const GatewayCall &call, const std::function<bool()> &condition)
{
    const auto exchangeUntilDisconnect = [this, call, condition]() -> boost::asio::awaitable<void> {
        const auto executor = co_await boost::asio::this_coro::executor;
        http::Connection connection(executor, http::parseAddress(m_gateway.callerAddress()), http::Reuse::SingleRequest);
        if (co_await connection.connect(CallTimeout)) {
            if (!connection.startSend(toRequest(call))) {
                throw std::invalid_argument("the call can't be sent");
            }
            const auto deadline = std::chrono::steady_clock::now() + CallTimeout;
            while (!condition() && std::chrono::steady_clock::now() < deadline) {
                boost::asio::steady_timer timer(executor, PollInterval);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            connection.close();
        }
    };
    boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), exchangeUntilDisconnect, boost::asio::use_future).get();
}

u16 GatewayDeployment::readiness()
{
    return readinessOf(m_gateway);
}

u16 GatewayDeployment::readinessOf(const GatewayProcess &gateway)
{
    http::Request request;
    request.target = "/readiness";
    const auto answer = exchange(gateway.readinessAddress(), request);
    return answer.progress == http::Progress::Answered ? answer.response.status : 0;
}

std::string GatewayDeployment::metrics()
{
    return metricsOf(m_gateway);
}

std::string GatewayDeployment::metricsOf(const GatewayProcess &gateway)
{
    http::Request request;
    request.target = "/metrics";
    return exchange(gateway.metricsAddress(), request).response.body;
}

std::string GatewayDeployment::log() const
{
    return m_gateway.log();
}

const GatewayProcess &GatewayDeployment::gateway() const
{
    return m_gateway;
}

ChildProcess &GatewayDeployment::process()
{
    return m_gateway.process();
}

void GatewayDeployment::restart()
{
    m_gateway.process().signal(SIGKILL);
    static_cast<void>(m_gateway.process().waitForExit(WaitTimeout));
    m_gateway.start();
}

bool GatewayDeployment::waitFor(const std::function<bool()> &condition)
{
    return waitUntil(condition, WaitTimeout);
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
    request.headers.insert(request.headers.end(), call.extraHeaders.begin(), call.extraHeaders.end());
    return request;
}

http::Exchange GatewayDeployment::exchange(const std::string &address, const http::Request &request)
{
    const auto strand = boost::asio::make_strand(m_pool.context());
    return boost::asio::co_spawn(strand, http::exchange(http::parseAddress(address), request, CallTimeout), boost::asio::use_future).get();
}

} // namespace support
