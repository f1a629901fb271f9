#include "deployment.hpp"

#include <burdock/runtime/http/client.hpp>

#include <support/platform_objects.hpp>
#include <support/ports.hpp>
#include <support/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fmt/format.h>

namespace soak {

namespace {

namespace asio = boost::asio;
namespace http = runtime::http;

constexpr u32 PoolThreads = 3;
constexpr Duration RecoveryTime = std::chrono::milliseconds(3000);
constexpr Duration ReadinessTimeout = std::chrono::milliseconds(500);
constexpr Duration StartTimeout = std::chrono::seconds(20);
constexpr Duration ExitTimeout = std::chrono::seconds(5);
constexpr u16 Ok = 200;
/** Callers from this number on only check whether all calls are served after the faults. */
constexpr u32 FirstProbeNumber = 1000;

std::string zoneOf(u32 number)
{
    return number % 2 == 0 ? "zone-a" : "zone-b";
}

} // namespace

GatewaySlot::GatewaySlot(asio::io_context &workers, u32 number, const standins::ObjectStore &store, const Bounds &bounds)
    : m_storeProxy(std::make_unique<standins::FaultProxy>(workers, store.address()))
    , m_gateway("vm-" + std::to_string(number), zoneOf(number), m_storeProxy->address(),
                {{"weights_ms", static_cast<u64>(toMilliseconds(bounds.maxStaleWeightTime))}})
    , m_ownTarget(std::make_unique<GatewayTarget>())
    , m_target(m_ownTarget.get())
{
    m_target->address = m_gateway.callerAddress();
}

void GatewaySlot::start()
{
    ++m_target->incarnation;
    m_target->startedAt = now();
    m_gateway.start();
}

support::ChildProcess &GatewaySlot::process()
{
    return m_gateway.process();
}

standins::FaultProxy &GatewaySlot::storeProxy()
{
    return *m_storeProxy;
}

GatewayTarget &GatewaySlot::target()
{
    return *m_target;
}

std::unique_ptr<GatewayTarget> GatewaySlot::takeTarget()
{
    return std::move(m_ownTarget);
}

std::string GatewaySlot::keepLog()
{
    return m_gateway.keepLog();
}

const support::GatewayProcess &GatewaySlot::gateway() const
{
    return m_gateway;
}

Deployment::Deployment(const Size &size, u64 seed, const Bounds &bounds)
    : m_size(size)
    , m_seed(seed)
    , m_disturbances(RecoveryTime)
    , m_checker(bounds, m_disturbances)
    , m_pool(PoolThreads)
    , m_store(m_pool.context(), support::freeAddress())
    , m_keys("key-desk")
{
    for (u32 i = 0; i < size.plainEndpoints; ++i) {
        addEndpoint(false, zoneOf(i));
    }
    for (u32 i = 0; i < size.engines; ++i) {
        addEndpoint(true, zoneOf(i));
    }
    for (u32 i = 0; i < size.gateways; ++i) {
        m_gateways.push_back(std::make_unique<GatewaySlot>(m_pool.context(), i, m_store, bounds));
        m_targets.push_back(m_gateways.back()->takeTarget());
    }
}

// Ends the processes before the worker threads of the simulated services, so that no process waits for a response.
Deployment::~Deployment()
{
    stopCallers();
    for (const auto &slot : m_gateways) {
        if (slot->target().incarnation > 0) {
            slot->process().signal(SIGCONT);
            slot->process().signal(SIGKILL);
            static_cast<void>(slot->process().waitForExit(ExitTimeout));
        }
    }
    m_pool.stop();
    m_pool.wait();
}

bool Deployment::start()
{
    m_store.put("config", "main", support::configurationObject(1, {"key-desk"}));
    for (const auto &slot : m_gateways) {
        slot->start();
    }
    return waitUntilAllReady(StartTimeout);
}

void Deployment::startCallers()
{
    for (u32 i = 0; i < m_size.callers; ++i) {
        m_callers.push_back(std::make_unique<Caller>(i, m_seed, m_checker, m_keys, m_targets, m_isStopping));
        m_callerFutures.push_back(asio::co_spawn(asio::make_strand(m_pool.context()), m_callers.back()->run(), asio::use_future));
    }
}

void Deployment::stopCallers()
{
    m_isStopping = true;
    for (auto &future : m_callerFutures) {
        future.get();
    }
    m_callerFutures.clear();
}

bool Deployment::waitUntilAllReady(Duration timeout)
{
    const auto areReady = [this] {
        return std::all_of(m_gateways.begin(), m_gateways.end(), [this](const auto &slot) { return readinessOf(*slot) == Ok; });
    };
    return support::waitUntil(areReady, timeout);
}

u16 Deployment::readinessOf(const GatewaySlot &slot)
{
    http::Request request;
    request.target = "/readiness";
    auto pending = asio::co_spawn(asio::make_strand(m_pool.context()),
                                  http::exchange(http::parseAddress(slot.gateway().readinessAddress()), request, ReadinessTimeout),
                                  asio::use_future);
    const auto answer = pending.get();
    return answer.progress == http::Progress::Answered ? answer.response.status : u16{0};
}

bool Deployment::waitForWeights(u64 version, Duration timeout)
{
    const auto haveWeights = [this, version] {
        refreshRegistrations();
        return std::all_of(m_endpoints.begin(), m_endpoints.end(), [version](const auto &endpoint) {
            return !endpoint->isEngine() || endpoint->isDraining() || endpoint->weightVersion() >= version;
        });
    };
    return support::waitUntil(haveWeights, timeout);
}

std::map<std::string, u32> Deployment::countUnserved(const std::string &key, u32 callsPerKind)
{
    constexpr std::size_t MaxBodyBytes = 80;
    const std::atomic<bool> isOver{false};
    std::map<std::string, u32> unserved;
    for (u32 gateway = 0; gateway < m_targets.size(); ++gateway) {
        Caller probe(FirstProbeNumber + gateway, m_seed, m_checker, m_keys, m_targets, isOver);
        for (u32 i = 0; i < callsPerKind * 3; ++i) {
            const auto kind = static_cast<CallKind>(i % 3);
            const auto outcome
                = asio::co_spawn(asio::make_strand(m_pool.context()), probe.call(gateway, kind, key), asio::use_future).get();
            if (!outcome.isAbandoned && (outcome.status != Ok || !outcome.isComplete)) {
                ++unserved[fmt::format("gateway {} {} {} {}", gateway, toString(kind), outcome.status,
                                       outcome.body.substr(0, MaxBodyBytes))];
            }
        }
    }
    return unserved;
}

BackEnd &Deployment::addEndpoint(bool isEngine, const std::string &zone)
{
    const auto service = isEngine ? std::string("engines") : std::string("plain");
    const std::string softwareVersion = m_endpointCount % 2 == 0 ? "v1" : "v2";
    const auto id = fmt::format("{}-{}", service, m_endpointCount++);
    m_endpoints.push_back(std::make_unique<BackEnd>(m_pool.context(), m_store, m_checker, id, service, zone, softwareVersion));
    m_endpoints.back()->publishRegistration();
    return *m_endpoints.back();
}

void Deployment::refreshRegistrations()
{
    for (const auto &endpoint : m_endpoints) {
        const u64 loadedVersion = endpoint->weightVersion();
        auto &registeredVersion = m_registeredWeights.try_emplace(endpoint->id(), 1).first->second;
        if (endpoint->isEngine() && loadedVersion != registeredVersion && !endpoint->isDraining()) {
            registeredVersion = loadedVersion;
            endpoint->publishRegistration();
        }
    }
}

std::vector<std::string> Deployment::keepLogs()
{
    std::vector<std::string> paths;
    for (const auto &slot : m_gateways) {
        paths.push_back(slot->keepLog());
    }
    return paths;
}

GuaranteeChecker &Deployment::checker()
{
    return m_checker;
}

Disturbances &Deployment::disturbances()
{
    return m_disturbances;
}

standins::ObjectStore &Deployment::store()
{
    return m_store;
}

KeyRing &Deployment::keys()
{
    return m_keys;
}

std::vector<std::unique_ptr<GatewaySlot>> &Deployment::gateways()
{
    return m_gateways;
}

std::vector<std::unique_ptr<BackEnd>> &Deployment::endpoints()
{
    return m_endpoints;
}

} // namespace soak
