#include <support/deployment.hpp>

#include <support/ports.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/ops/fleet_status.hpp>
#include <burdock/schema/document.hpp>

#include <boost/asio.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace support {

namespace {

namespace json = boost::json;

// Number of entries that keep a link to each endpoint.
constexpr u32 AssignedEntries = 3;

} // namespace

std::string zoneName(u32 number)
{
    return std::string("zone-") + static_cast<char>('a' + number);
}

Deployment::Deployment(const DeploymentOptions &options)
    : m_options(options)
    , m_signingKey(schema::generateSigningKey())
    , m_linkKeys(runtime::link::generateKeys())
    , m_pool(4)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "burdock-test-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_platform = std::make_unique<standins::Platform>(m_pool.context(), "127.0.0.1:0");
    m_platformProxy = std::make_unique<standins::FaultProxy>(m_pool.context(), m_platform->address());
    m_operatorStore
        = std::make_unique<clients::HttpObjectStore>(runtime::http::parseAddress(m_platform->address()), std::chrono::seconds(1));
    for (u32 i = 0; i < options.stores; ++i) {
        m_stores.push_back(std::make_unique<standins::Store>(m_pool.context(), "127.0.0.1:0"));
    }
    for (u32 i = 0; i < options.engines; ++i) {
        m_engines.push_back(std::make_unique<standins::Engine>(m_pool.context(), "127.0.0.1:0", options.engine));
        addEndpoint("model-" + std::to_string(i), zoneName(i % options.zones), "models", m_engines.back()->address(), true);
    }
    for (u32 i = 0; i < options.services; ++i) {
        const bool hasAddress = i < options.serviceAddresses.size();
        if (!hasAddress) {
            m_services.push_back(std::make_unique<standins::Service>(m_pool.context(), "127.0.0.1:0"));
        }
        const auto address = hasAddress ? options.serviceAddresses[i] : m_services.back()->address();
        addEndpoint("print-" + std::to_string(i), zoneName(i % options.zones), "printers", address, false);
    }
    for (u32 i = 0; i < options.entries; ++i) {
        addEntry(i);
    }
    publishVmList();
    m_bundle = makeInitialBundle();
}

Deployment::~Deployment()
{
    m_daemons.clear();
    m_pool.stop();
    m_pool.wait();
    std::filesystem::remove_all(m_directory);
}

void Deployment::addEndpoint(const std::string &name, const std::string &zone, const std::string &pool, const std::string &backend,
                             bool isEngine)
{
    Daemon daemon;
    daemon.name = name;
    daemon.zone = zone;
    daemon.pool = pool;
    daemon.listen = freeAddress();
    daemon.admin = freeAddress();
    m_linkProxies[name] = std::make_unique<standins::FaultProxy>(m_pool.context(), daemon.listen);
    m_backendProxies[name] = std::make_unique<standins::FaultProxy>(m_pool.context(), backend);
    daemon.advertisedLink = m_linkProxies[name]->address();
    json::array stores;
    for (const auto &store : m_stores) {
        stores.push_back(json::value(store->address()));
    }
    auto settings = commonSettings(daemon, "ENDPOINT");
    settings["endpoint"] = json::object{{"listen", daemon.listen},
                                        {"pool", pool},
                                        {"backend", m_backendProxies[name]->address()},
                                        {"is_engine", isEngine},
                                        {"stores", std::move(stores)}};
    addDaemon(std::move(daemon), std::move(settings));
}

void Deployment::addEntry(u32 number)
{
    Daemon daemon;
    daemon.name = "entry-" + std::to_string(number);
    daemon.zone = zoneName(number % m_options.zones);
    daemon.pool = clients::EntryPool;
    daemon.listen = freeAddress();
    daemon.admin = freeAddress();
    json::array seeds;
    for (const auto &[name, other] : m_daemons) {
        if (!other.advertisedLink.empty()) {
            seeds.push_back(json::value(other.advertisedLink));
        }
    }
    auto settings = commonSettings(daemon, "ENTRY");
    settings["entry"]
        = json::object{{"listen", daemon.listen}, {"lame_duck_ms", 100}, {"read_timeout_ms", 5000}, {"seed_links", std::move(seeds)}};
    if (m_options.entryDescriptors > 0) {
        settings["entry"].as_object()["descriptors"] = m_options.entryDescriptors;
    }
    addDaemon(std::move(daemon), std::move(settings));
}

json::object Deployment::commonSettings(const Daemon &daemon, std::string_view role) const
{
    return {
        {"role", role},
        {"name", daemon.name},
        {"zone", daemon.zone},
        {"admin_listen", daemon.admin},
        {"platform", m_platformProxy->address()},
        {"links", {{"public_key", m_linkKeys.publicKey}, {"secret_key", m_linkKeys.secretKey}, {"heartbeat_ms", m_options.heartbeatMs}}},
        {"trusted_signers", json::array{json::value(m_signingKey.publicKey)}},
        {"log_level", "info"},
        {"workers", 2},
    };
}

void Deployment::addDaemon(Daemon daemon, json::object settings)
{
    daemon.settings = m_directory + "/" + daemon.name + ".json";
    std::ofstream(daemon.settings) << json::serialize(settings);
    m_daemons[daemon.name] = std::move(daemon);
}

void Deployment::publishVmList()
{
    json::array vms;
    for (const auto &[name, daemon] : m_daemons) {
        vms.push_back(json::object{{"name", name},
                                   {"zone", daemon.zone},
                                   {"pool", daemon.pool},
                                   {"link", daemon.advertisedLink},
                                   {"admin", daemon.admin},
                                   {"state", daemon.isLeaving ? "leaving" : "live"}});
    }
    m_platform->setVms(json::serialize(vms));
}

schema::Bundle Deployment::makeInitialBundle() const
{
    schema::Bundle bundle;
    bundle.set_version(1);
    for (u32 i = 0; i < m_options.zones; ++i) {
        bundle.add_zones()->set_name(zoneName(i));
    }
    for (const auto *name : {"models", "printers"}) {
        auto *pool = bundle.add_pools();
        pool->set_name(name);
        pool->set_cold_limit(m_options.coldLimit);
        pool->set_warm_limit(m_options.warmLimit);
        pool->set_queue_limit(m_options.queueLimit);
    }
    auto *model = bundle.add_models();
    model->set_name("m");
    model->set_pool("models");
    model->set_weight_version("v1");
    auto *service = bundle.add_services();
    service->set_name("print");
    service->set_pool("printers");
    auto *route = service->add_non_repeatable();
    route->set_method("POST");
    route->set_path_prefix("/order");
    std::vector<std::string> customers{"desk", "clerk"};
    for (u32 i = 0; i < m_options.extraCustomers; ++i) {
        customers.push_back("customer-" + std::to_string(i));
    }
    for (const auto &name : customers) {
        auto *customer = bundle.add_customers();
        customer->set_name(name);
        customer->set_api_key_hash(hash::toHex(hash::asBytes(hash::plainDigest256("key-" + name))));
    }
    auto *policy = bundle.mutable_policy();
    policy->set_block_bytes(m_options.engine.blockTokens * 4);
    policy->set_weight_first_token_ms(1);
    policy->set_weight_recomputed_ktoken(300);
    policy->set_weight_link_mib(2);
    policy->set_bounded_load_percent(150);
    policy->set_retry_budget_percent(20);
    policy->set_cache_link_bytes_per_second(100'000'000);
    policy->set_prefill_tokens_per_second(20'000);
    policy->set_concurrent_weight_loads(2);
    policy->set_default_deadline_ms(30'000);
    return bundle;
}

void Deployment::start()
{
    for (auto &[name, daemon] : m_daemons) {
        startProcess(name);
    }
    const auto signedBundle = schema::sign(ops::toJson(m_bundle), m_signingKey.secretKey);
    ops::Rollout rollout(*m_operatorStore);
    const auto result = spawn(rollout.apply(*signedBundle)).get();
    if (result.code != ops::ExitCode::Ok) {
        throw std::runtime_error("initial rollout failed: " + result.detail);
    }
    const bool isReady = waitUntil([this] {
        for (const auto &[name, daemon] : m_daemons) {
            const auto document = status(name);
            if (!document.contains("config_version") || document.at("config_version").to_number<u64>() < 1) {
                return false;
            }
            if (daemon.pool != clients::EntryPool) {
                continue;
            }
            if (!document.at("ready").as_bool()) {
                return false;
            }
            for (const auto &endpoint : document.at("endpoints").as_array()) {
                const bool isModel = endpoint.at("pool").as_string() == "models";
                if (endpoint.at("health").as_string() == "unknown" && m_options.entries > AssignedEntries) {
                    // The endpoint is assigned to other entries.
                    continue;
                }
                if (endpoint.at("health").as_string() != "alive" || (isModel && endpoint.at("loaded").as_array().empty())) {
                    return false;
                }
            }
        }
        return true;
    });
    if (!isReady) {
        throw std::runtime_error("the deployment did not become ready");
    }
}

void Deployment::startProcess(const std::string &name)
{
    auto &started = daemon(name);
    started.process = std::make_unique<ChildProcess>(std::vector<std::string>{BURDOCK_DAEMON, "--settings=" + started.settings},
                                                     m_directory + "/" + name + ".log");
}

ops::RolloutResult Deployment::edit(const std::function<void(schema::Bundle &)> &edit)
{
    ops::Rollout rollout(*m_operatorStore);
    return spawn(rollout.edit(m_signingKey.secretKey,
                              [&edit](schema::Bundle &bundle) {
                                  edit(bundle);
                                  return true;
                              }))
        .get();
}

void Deployment::setListedLeaving(const std::string &name, bool isLeaving)
{
    daemon(name).isLeaving = isLeaving;
    publishVmList();
}

json::object Deployment::status(const std::string &name)
{
    runtime::http::Request request;
    request.target = "/statusz";
    const auto address = runtime::http::parseAddress(daemon(name).admin);
    const auto exchange = spawn(runtime::http::exchange(address, request, std::chrono::seconds(1))).get();
    boost::system::error_code error;
    auto value = json::parse(exchange.response.body, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

standins::Platform &Deployment::platform()
{
    return *m_platform;
}

standins::FaultProxy &Deployment::platformProxy()
{
    return *m_platformProxy;
}

standins::Engine &Deployment::engine(u32 number)
{
    return *m_engines.at(number);
}

standins::Service &Deployment::service(u32 number)
{
    return *m_services.at(number);
}

standins::Store &Deployment::store(u32 number)
{
    return *m_stores.at(number);
}

standins::FaultProxy &Deployment::linkProxy(const std::string &endpoint)
{
    return *m_linkProxies.at(endpoint);
}

standins::FaultProxy &Deployment::backendProxy(const std::string &endpoint)
{
    return *m_backendProxies.at(endpoint);
}

ChildProcess &Deployment::process(const std::string &name)
{
    return *daemon(name).process;
}

runtime::WorkerPool &Deployment::pool()
{
    return m_pool;
}

const schema::Bundle &Deployment::bundle() const
{
    return m_bundle;
}

const std::string &Deployment::signingKey() const
{
    return m_signingKey.secretKey;
}

const std::string &Deployment::linkPublicKey() const
{
    return m_linkKeys.publicKey;
}

std::string Deployment::entryAddress(u32 number) const
{
    return daemon("entry-" + std::to_string(number)).listen;
}

std::string Deployment::adminAddress(const std::string &name) const
{
    return daemon(name).admin;
}

std::string Deployment::linkAddress(const std::string &name) const
{
    return daemon(name).listen;
}

std::string Deployment::settings(const std::string &name) const
{
    return daemon(name).settings;
}

std::string Deployment::logOf(const std::string &name) const
{
    std::ostringstream text;
    text << std::ifstream(m_directory + "/" + name + ".log").rdbuf();
    return text.str();
}

std::string Deployment::directory() const
{
    return m_directory;
}

Deployment::Daemon &Deployment::daemon(const std::string &name)
{
    return m_daemons.at(name);
}

const Deployment::Daemon &Deployment::daemon(const std::string &name) const
{
    return m_daemons.at(name);
}

} // namespace support
