#include "entry_role.hpp"

#include "../role_support.hpp"

#include <burdock/run/idle_detector.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/serving/problem.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace burdock::serving::detail {

namespace {

namespace http = runtime::http;

constexpr u32 DefaultMaxBodyBytes = 8 * 1024 * 1024;
constexpr u32 DefaultReadTimeoutMs = 30'000;
constexpr u32 DefaultMemoryMegabytes = 128;
constexpr u32 DefaultDescriptors = 2048;
// A silent link is replaced within four heartbeats, and two more allow the peer to report on the new link whether it has the request.
// Failing over earlier would run requests twice whenever links, not endpoints, go silent.
constexpr u32 AcceptTimeoutHeartbeats = 6;
constexpr Duration ReadyPollInterval = std::chrono::milliseconds(20);
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(100);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
// A caller that sends another request on a kept-alive connection within this time is told in the response that the connection closes.
constexpr Duration IdlePeriodBeforeClose = std::chrono::milliseconds(200);

admission::ClientBudget clientBudgetOf(const schema::EntrySettings &settings)
{
    return admission::clientBudget(settings.descriptors() == 0 ? DefaultDescriptors : settings.descriptors(),
                                   settings.memory_mb() == 0 ? DefaultMemoryMegabytes : settings.memory_mb());
}

http::ServerLimits callerLimits(const schema::EntrySettings &settings, u32 connections, admission::ClientMemory &memory)
{
    http::ServerLimits limits;
    limits.connections = connections;
    limits.memory = &memory;
    limits.bodyBytes = settings.max_body_bytes() == 0 ? DefaultMaxBodyBytes : settings.max_body_bytes();
    const Duration readTimeout
        = std::chrono::milliseconds(settings.read_timeout_ms() == 0 ? DefaultReadTimeoutMs : settings.read_timeout_ms());
    limits.ioTimeout = readTimeout;
    limits.headerTimeout = readTimeout;
    limits.idleTimeout = readTimeout;
    return limits;
}

runtime::link::ClientOptions linkOptions(Duration heartbeatInterval)
{
    runtime::link::ClientOptions options;
    options.heartbeat.interval = heartbeatInterval;
    return options;
}

std::string_view healthName(membership::LinkHealth health)
{
    constexpr std::array<std::string_view, 4> Names{"unknown", "alive", "suspect", "dead"};
    return Names.at(static_cast<std::size_t>(health));
}

} // namespace

EntryRole::EntryRole(Process &process, const schema::DaemonSettings &settings)
    : m_process(process)
    , m_settings(settings)
    , m_store(http::parseAddress(settings.platform()), PlatformTimeout)
    , m_config(process, signersOf(settings))
    , m_configWatcher(process, m_store, m_config)
    , m_links(process.workers, linkKeysOf(settings))
    , m_fleet(process, m_config, m_runs, m_links, linkOptions(heartbeatIntervalOf(settings)))
    , m_coordinator(process, m_config, m_fleet, m_runs, heartbeatIntervalOf(settings) * AcceptTimeoutHeartbeats)
    , m_callerHandler(process, m_config, m_fleet, m_coordinator)
    , m_adminHandler(
          process, [this] { return isReady(); }, [this] { return status(); })
    , m_clientBudget(clientBudgetOf(settings.entry()))
    , m_clientMemory(m_clientBudget.messageBytes)
    , m_adminServer(process.workers, http::parseAddress(settings.admin_listen()), http::operatorLimits(m_operatorMemory), m_adminHandler)
    , m_callerServer(process.workers, http::parseAddress(settings.entry().listen()),
                     callerLimits(settings.entry(), m_clientBudget.connections, m_clientMemory), m_callerHandler,
                     http::ListenMode::Deferred)
{
}

void EntryRole::start()
{
    boost::asio::co_spawn(m_process.workers, m_configWatcher.run([this] { return m_fleet.watchesConfig(); }), boost::asio::detached);
    boost::asio::co_spawn(m_process.workers, m_configWatcher.rebaseLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_process.workers, m_fleet.watchVmList(m_store), boost::asio::detached);
    boost::asio::co_spawn(m_process.workers, listenWhenReady(), boost::asio::detached);
    for (const auto &seed : m_settings.entry().seed_links()) {
        m_fleet.addSeed(seed);
    }
}

// A restarted entry would refuse all requests with not_configured until it has a configuration. With the port closed, load balancers
// use the next entry, whether or not they check /readyz.
boost::asio::awaitable<void> EntryRole::listenWhenReady()
{
    while (!m_callerHandler.isReady()) {
        co_await runtime::sleepFor(ReadyPollInterval);
    }
    m_callerServer.listen();
    m_isListening = true;
}

boost::asio::awaitable<void> EntryRole::drain()
{
    m_callerHandler.setStopping();
    m_callerServer.closeAfterAnswers();
    co_await runtime::sleepFor(std::chrono::milliseconds(m_settings.entry().lame_duck_ms()));
    m_callerServer.stopListening();
    co_await waitUntilIdle();
    m_callerServer.closeIdle(problemFor({RefusalReason::Leaving, LeavingRetryAfter}));
    co_await waitUntilIdle();
}

boost::asio::awaitable<void> EntryRole::waitUntilIdle()
{
    run::IdleDetector idleDetector(IdlePeriodBeforeClose / DrainPollInterval);
    while (!idleDetector.addSample(m_callerServer.busyConnections() > 0)) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
}

bool EntryRole::isReady() const
{
    return m_isListening && m_callerHandler.isReady();
}

std::string EntryRole::status() const
{
    boost::json::array endpoints;
    for (const auto &member : m_fleet.members()) {
        boost::json::array loaded;
        for (const auto &name : member.load.loaded) {
            loaded.push_back(boost::json::value(name));
        }
        endpoints.push_back({{"name", member.vm.name},
                             {"zone", member.vm.zone},
                             {"pool", member.vm.pool},
                             {"health", healthName(member.health)},
                             {"running", member.load.running},
                             {"queued", member.load.queued},
                             {"limit", member.load.limit},
                             {"leaving", member.vm.isLeaving || member.load.isLeaving},
                             {"loaded", std::move(loaded)}});
    }
    const boost::json::object status{
        {"role", "entry"},
        {"name", m_process.vmName},
        {"zone", m_process.zone},
        {"config_version", m_config.version()},
        {"watches_config", m_fleet.watchesConfig()},
        {"ready", isReady()},
        {"runs", m_runs.size()},
        {"refused", totalsByLabel(m_process.metrics, "burdock_refusals_total", "reason")},
        {"endpoints", std::move(endpoints)},
    };
    return boost::json::serialize(status);
}

} // namespace burdock::serving::detail
