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
constexpr Duration CalmAfter = std::chrono::milliseconds(3000);
constexpr Duration ReadinessTimeout = std::chrono::milliseconds(500);
constexpr Duration StartPatience = std::chrono::seconds(20);
constexpr Duration EndPatience = std::chrono::seconds(5);
constexpr u16 Ok = 200;
/** Numbers of callers that only look at the end. */
constexpr u32 FirstProber = 1000;

std::string zoneOf(u32 number)
{
    return number % 2 == 0 ? "zone-a" : "zone-b";
}

} // namespace

GatewaySlot::GatewaySlot(asio::io_context &workers, u32 number, const standins::ObjectStore &store, const Bounds &bounds)
    : m_storeProxy(std::make_unique<standins::FaultProxy>(workers, store.address()))
    , m_gateway("vm-" + std::to_string(number), zoneOf(number), m_storeProxy->address(),
                {{"weights_ms", static_cast<u64>(toMilliseconds(bounds.weights))}})
    , m_ownFace(std::make_unique<GatewayFace>())
    , m_face(m_ownFace.get())
{
    m_face->address = m_gateway.callerAddress();
}

void GatewaySlot::start()
{
    ++m_face->incarnation;
    m_face->startedAt = now();
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

GatewayFace &GatewaySlot::face()
{
    return *m_face;
}

std::unique_ptr<GatewayFace> GatewaySlot::takeFace()
{
    return std::move(m_ownFace);
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
    , m_disturbances(CalmAfter)
    , m_ledger(bounds, m_disturbances)
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
        m_faces.push_back(m_gateways.back()->takeFace());
    }
}

// Processes end first, then the threads of the stand-ins, so that nobody waits for an answer any more.
Deployment::~Deployment()
{
    stopCallers();
    for (const auto &slot : m_gateways) {
        if (slot->face().incarnation > 0) {
            slot->process().signal(SIGCONT);
            slot->process().signal(SIGKILL);
            static_cast<void>(slot->process().waitForExit(EndPatience));
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
    return awaitAllReady(StartPatience);
}

void Deployment::startCallers()
{
    for (u32 i = 0; i < m_size.callers; ++i) {
        m_callers.push_back(std::make_unique<Caller>(i, m_seed, m_ledger, m_keys, m_faces, m_isOver));
        m_calling.push_back(asio::co_spawn(asio::make_strand(m_pool.context()), m_callers.back()->run(), asio::use_future));
    }
}

void Deployment::stopCallers()
{
    m_isOver = true;
    for (auto &calling : m_calling) {
        calling.get();
    }
    m_calling.clear();
}

bool Deployment::awaitAllReady(Duration patience)
{
    const auto areReady = [this] {
        return std::all_of(m_gateways.begin(), m_gateways.end(), [this](const auto &slot) { return readinessOf(*slot) == Ok; });
    };
    return support::waitUntil(areReady, patience);
}

u16 Deployment::readinessOf(const GatewaySlot &slot)
{
    http::Request request;
    request.target = "/readiness";
    auto asked = asio::co_spawn(asio::make_strand(m_pool.context()),
                                http::exchange(http::parseAddress(slot.gateway().readinessAddress()), request, ReadinessTimeout),
                                asio::use_future);
    const auto answer = asked.get();
    return answer.progress == http::Progress::Answered ? answer.response.status : u16{0};
}

bool Deployment::awaitWeights(u64 version, Duration patience)
{
    const auto areLoaded = [this, version] {
        refreshEntries();
        return std::all_of(m_endpoints.begin(), m_endpoints.end(), [version](const auto &endpoint) {
            return !endpoint->isEngine() || endpoint->isDraining() || endpoint->weights() >= version;
        });
    };
    return support::waitUntil(areLoaded, patience);
}

std::map<std::string, u32> Deployment::countUnserved(const std::string &key, u32 callsEach)
{
    constexpr std::size_t ShownBytes = 80;
    const std::atomic<bool> isOver{false};
    std::map<std::string, u32> unserved;
    for (u32 gateway = 0; gateway < m_faces.size(); ++gateway) {
        Caller prober(FirstProber + gateway, m_seed, m_ledger, m_keys, m_faces, isOver);
        for (u32 i = 0; i < callsEach * 3; ++i) {
            const auto kind = static_cast<CallKind>(i % 3);
            const auto end = asio::co_spawn(asio::make_strand(m_pool.context()), prober.call(gateway, kind, key), asio::use_future).get();
            if (!end.hasLeft && (end.status != Ok || !end.isWhole)) {
                ++unserved[fmt::format("gateway {} {} {} {}", gateway, toString(kind), end.status, end.body.substr(0, ShownBytes))];
            }
        }
    }
    return unserved;
}

BackEnd &Deployment::addEndpoint(bool isEngine, const std::string &zone)
{
    const auto service = isEngine ? std::string("engines") : std::string("plain");
    const auto id = fmt::format("{}-{}", service, m_endpointCount++);
    m_endpoints.push_back(std::make_unique<BackEnd>(m_pool.context(), m_store, m_ledger, id, service, zone));
    m_endpoints.back()->announce();
    return *m_endpoints.back();
}

void Deployment::refreshEntries()
{
    for (const auto &endpoint : m_endpoints) {
        const u64 held = endpoint->weights();
        auto &announced = m_announcedWeights.try_emplace(endpoint->id(), 1).first->second;
        if (endpoint->isEngine() && held != announced && !endpoint->isDraining()) {
            announced = held;
            endpoint->announce();
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

Ledger &Deployment::ledger()
{
    return m_ledger;
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
