#include "endpoint_role.hpp"

#include "../role_support.hpp"

#include <burdock/clients/http_block_store.hpp>
#include <burdock/run/idle_detector.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/serving/link_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace burdock::serving::detail {

namespace {

namespace http = runtime::http;

constexpr u32 DefaultBufferBytes = 256 * 1024;
// The engine sends a ping every second while it has no data to send.
constexpr Duration EngineIdleTimeout = std::chrono::seconds(3);
constexpr Duration ServiceIdleTimeout = std::chrono::seconds(30);
constexpr Duration BlockTimeout = std::chrono::seconds(1);
// Every suspect is shared with all entries, so that a retry through another entry is recognized as one.
constexpr u32 MinCrashesToShare = 1;
// A crash turns all active runs into suspects at nearly the same time; the delay lets one heartbeat carry them all.
constexpr Duration SuspectBatchDelay = std::chrono::milliseconds(10);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
// Entries learn from the next heartbeat that this process is leaving; requests that they send until then are refused.
constexpr Duration DrainIdleTime = std::chrono::milliseconds(1500);

std::vector<NamedStore> makeStores(Process &process, const schema::EndpointSettings &settings)
{
    std::vector<NamedStore> stores;
    for (const auto &address : settings.stores()) {
        stores.push_back({address, std::make_unique<clients::HttpBlockStore>(http::parseAddress(address), BlockTimeout, process.random)});
    }
    return stores;
}

} // namespace

EngineComponents::EngineComponents(Process &process, ConfigHolder &config, clients::ObjectStore &store, AdmissionGate &gate,
                                   const schema::DaemonSettings &settings)
    : engine(http::parseAddress(settings.endpoint().backend()), EngineIdleTimeout)
    , cacheOffloader(process, config, engine, makeStores(process, settings.endpoint()))
    , watcher(process, engine, gate, cacheOffloader)
    , weightLoader(process, config, store, engine, watcher, settings.endpoint().pool())
    , runner(process, engine, gate, watcher, cacheOffloader)
{
}

EndpointRole::EndpointRole(Process &process, const schema::DaemonSettings &settings)
    : m_process(process)
    , m_settings(settings)
    , m_store(http::parseAddress(settings.platform()), PlatformTimeout)
    , m_config(process, signersOf(settings))
    , m_configWatcher(process, m_store, m_config)
    , m_gate(process, {})
    , m_onceStore(process, m_store)
    , m_engineComponents(settings.endpoint().is_engine() ? std::make_unique<EngineComponents>(process, m_config, m_store, m_gate, settings)
                                                         : nullptr)
    , m_serviceRunner(
          std::make_unique<ServiceRunner>(process, m_onceStore, http::parseAddress(settings.endpoint().backend()), ServiceIdleTimeout))
    , m_suspects(process, MinCrashesToShare)
    , m_registry(process, m_config, m_gate, runner(), m_suspects,
                 settings.endpoint().max_tail_bytes() == 0 ? DefaultBufferBytes : settings.endpoint().max_tail_bytes())
    , m_linkContext(process.workers, linkKeysOf(settings))
    , m_server(m_linkContext, http::parseAddress(settings.endpoint().listen()), *this)
    , m_admin(
          process, [this] { return !m_registry.isLeaving() && m_config.version() > 0; }, [this] { return status(); })
    , m_adminServer(process.workers, http::parseAddress(settings.admin_listen()), http::operatorLimits(m_operatorMemory), m_admin)
{
    m_registry.setServer(m_server);
    m_suspects.setUpdateListener([this] { sendSuspectUpdates(); });
    m_config.addListener([this](const Snapshot &config) { applyPoolPolicy(config); });
}

BackEndRunner &EndpointRole::runner()
{
    return m_engineComponents ? static_cast<BackEndRunner &>(m_engineComponents->runner) : *m_serviceRunner;
}

void EndpointRole::start()
{
    const auto spawn = [this](boost::asio::awaitable<void> loop) {
        boost::asio::co_spawn(m_process.workers, std::move(loop), boost::asio::detached);
    };
    spawn(m_configWatcher.loadInitial());
    spawn(m_configWatcher.rebaseLoop());
    spawn(m_registry.sweepLoop());
    if (m_engineComponents) {
        spawn(m_engineComponents->watcher.run());
        spawn(m_engineComponents->weightLoader.run());
        spawn(m_engineComponents->cacheOffloader.exportLoop());
        spawn(m_engineComponents->cacheOffloader.eventLoop());
    }
}

boost::asio::awaitable<void> EndpointRole::drain()
{
    m_registry.setLeaving();
    run::IdleDetector idleDetector(DrainIdleTime / DrainPollInterval);
    while (!idleDetector.addSample(!m_registry.isIdle())) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
}

void EndpointRole::onMessage(const runtime::link::PeerId &peer, const schema::LinkMessage &message)
{
    m_registry.notePeer(peer);
    switch (message.body_case()) {
    case schema::LinkMessage::kHeartbeat:
        answerHeartbeat(peer, message.heartbeat());
        break;
    case schema::LinkMessage::kRunRequest:
        noteConfigVersion(peer, message.run_request().config_version());
        if (message.run_request().config_version() < m_config.version()) {
            // Only the version number of the entry's configuration is known here; if the push does not fit it, the entry asks again.
            schema::ConfigRequest request;
            request.set_known_version(message.run_request().config_version());
            pushConfig(peer, request);
        }
        m_registry.start(peer, message.run_request());
        break;
    case schema::LinkMessage::kRunResume:
        m_registry.resume(peer, message.run_resume());
        break;
    case schema::LinkMessage::kRunAck:
        m_registry.acknowledge(message.run_ack());
        break;
    case schema::LinkMessage::kRunCancel:
        m_registry.cancel(message.run_cancel());
        break;
    case schema::LinkMessage::kConfigRequest:
        pushConfig(peer, message.config_request());
        break;
    case schema::LinkMessage::kConfigPush:
        if (m_config.tryApply(message.config_push()) == config::OfferResult::Gap) {
            requestConfig(peer, m_config.updateRequest());
        }
        break;
    default:
        break;
    }
}

void EndpointRole::answerHeartbeat(const runtime::link::PeerId &peer, const schema::Heartbeat &heartbeat)
{
    m_suspects.applyUpdate(peer, heartbeat);
    sendHeartbeat(peer);
    noteConfigVersion(peer, heartbeat.config_version());
}

void EndpointRole::sendHeartbeat(const runtime::link::PeerId &peer)
{
    schema::LinkMessage message;
    auto *answer = message.mutable_heartbeat();
    answer->set_sender(m_process.vmName);
    answer->set_boot_id(m_process.bootId);
    answer->set_link_id(hash::hash64(peer));
    answer->set_zone(m_process.zone);
    answer->set_pool(m_settings.endpoint().pool());
    answer->set_config_version(m_config.version());
    *answer->mutable_load() = m_registry.load();
    m_suspects.addUpdate(peer, *answer);
    m_server.send(peer, message);
}

void EndpointRole::sendSuspectUpdates()
{
    if (m_isSendingSuspectUpdates.exchange(true)) {
        return;
    }
    const u64 sentCount = m_suspects.updateCount();
    for (const auto &peer : m_registry.peers()) {
        sendHeartbeat(peer);
    }
    boost::asio::co_spawn(m_process.workers, sendPendingSuspectUpdates(sentCount), boost::asio::detached);
}

boost::asio::awaitable<void> EndpointRole::sendPendingSuspectUpdates(u64 sentCount)
{
    co_await runtime::sleepFor(SuspectBatchDelay);
    m_isSendingSuspectUpdates = false;
    if (m_suspects.updateCount() != sentCount) {
        sendSuspectUpdates();
    }
}

void EndpointRole::noteConfigVersion(const runtime::link::PeerId &peer, u64 version)
{
    if (const auto request = m_config.updateRequestFor(version)) {
        requestConfig(peer, *request);
    }
}

void EndpointRole::requestConfig(const runtime::link::PeerId &peer, const schema::ConfigRequest &request)
{
    schema::LinkMessage message;
    *message.mutable_config_request() = request;
    m_server.send(peer, message);
}

void EndpointRole::pushConfig(const runtime::link::PeerId &peer, const schema::ConfigRequest &request)
{
    if (m_config.version() > request.known_version()) {
        schema::LinkMessage message;
        *message.mutable_config_push() = m_config.pushFor(request);
        m_server.send(peer, message);
    }
}

void EndpointRole::applyPoolPolicy(const Snapshot &config)
{
    const auto *pool = config.pool(m_settings.endpoint().pool());
    if (pool == nullptr) {
        m_process.logger.event(runtime::LogLevel::Error, "pool_unknown", {{"pool", std::string_view(m_settings.endpoint().pool())}});
        return;
    }
    admission::AdmissionPolicy policy;
    policy.warmUp.coldLimit = pool->cold_limit();
    policy.warmUp.warmLimit = pool->warm_limit();
    policy.queueLimit = pool->queue_limit();
    m_gate.setPolicy(policy);
}

std::string EndpointRole::status() const
{
    const auto load = m_registry.load();
    boost::json::array loaded;
    for (const auto &name : load.loaded()) {
        loaded.push_back(boost::json::value(name));
    }
    const boost::json::object status{
        {"role", "endpoint"},
        {"name", m_process.vmName},
        {"zone", m_process.zone},
        {"pool", m_settings.endpoint().pool()},
        {"config_version", m_config.version()},
        {"running", load.running()},
        {"queued", load.queued()},
        {"limit", load.limit()},
        {"cold", load.cold()},
        {"leaving", load.leaving()},
        {"refused", totalsByLabel(m_process.metrics, "burdock_refusals_total", "reason")},
        {"cache_bytes", totalsByLabel(m_process.metrics, "burdock_cache_link_bytes_total", "direction")},
        {"loaded", std::move(loaded)},
        {"incarnation", m_engineComponents ? m_engineComponents->weightLoader.incarnation() : 0},
    };
    return boost::json::serialize(status);
}

} // namespace burdock::serving::detail
