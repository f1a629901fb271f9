#include <burdock/serving/entry/fleet.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/serving/config/config_watcher.hpp>
#include <burdock/serving/link_messages.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

// If the watch connection goes silent, changes of the list stay unnoticed for this long; meanwhile the links show which VMs are alive.
constexpr Duration ListWatchTimeout = std::chrono::seconds(15);
constexpr Duration ListRetryDelay = std::chrono::milliseconds(500);
constexpr u32 MaxCandidates = 8;
// Entries that keep a link to each endpoint: three, so that two can fail at once.
constexpr u32 LinkedEntriesPerEndpoint = 3;
// Entries of an availability zone that watch the platform's configuration.
constexpr u32 ConfigWatchersPerZone = 3;
// Entries share only quarantined requests: a crash makes every request running at the time a suspect, and a retry carries the
// suspicion with the request itself.
constexpr u32 MinCrashesToShare = retry::CrashesToQuarantine;

} // namespace

Fleet::Fleet(Process &process, ConfigHolder &config, RunTable &runs, runtime::link::Context &links,
             const runtime::link::ClientOptions &options)
    : m_process(process)
    , m_config(config)
    , m_runs(runs)
    , m_links(links)
    , m_options(options)
    , m_suspects(process, MinCrashesToShare)
{
    m_suspects.setUpdateListener([this] { sendSuspectUpdates(); });
}

Fleet::~Fleet() = default;

boost::asio::awaitable<void> Fleet::watchVmList(clients::ObjectStore &store)
{
    u64 knownVersion = 0;
    while (true) {
        const auto list = co_await store.watchVms(knownVersion, ListWatchTimeout);
        if (list.status == StoreResult::Found) {
            knownVersion = list.version;
            applyVmList(list.vms);
        }
        if (list.status == StoreResult::Unreachable) {
            knownVersion = 0;
            co_await runtime::sleepFor(jittered(ListRetryDelay, m_process.random));
        }
    }
}

void Fleet::applyVmList(const std::vector<membership::ListedVm> &vms)
{
    std::vector<membership::ListedVm> endpoints;
    std::vector<u64> entryIds;
    std::vector<u64> entryIdsOfZone;
    for (const auto &vm : vms) {
        if (vm.pool == clients::EntryPool) {
            if (!vm.isLeaving) {
                entryIds.push_back(hash::hash64(vm.name));
                if (vm.zone == m_process.zone) {
                    entryIdsOfZone.push_back(entryIds.back());
                }
            }
        } else {
            endpoints.push_back(vm);
        }
    }
    std::vector<std::shared_ptr<runtime::link::Client>> closedClients;
    {
        const std::lock_guard lock(m_mutex);
        m_members.setListed(endpoints);
        m_hasVmList = true;
        m_entryIds = std::move(entryIds);
        m_entryIdsOfZone = std::move(entryIdsOfZone);
        for (auto it = m_clients.begin(); it != m_clients.end();) {
            auto client = it++;
            if (m_members.find(client->first) == nullptr && m_seeds.count(client->first) == 0) {
                closedClients.push_back(std::move(client->second));
                m_suspects.removePeer(client->first);
                m_clients.erase(client);
            }
        }
        openAssignedLinks();
    }
}

void Fleet::openAssignedLinks()
{
    const u64 ownId = hash::hash64(m_process.vmName);
    for (const auto &[name, member] : m_members.members()) {
        if (membership::isAssigned(ownId, member.id, m_entryIds, LinkedEntriesPerEndpoint)) {
            static_cast<void>(openLink(name, member));
        }
    }
}

void Fleet::addSeed(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    membership::Member seed;
    seed.vm.name = "seed " + address;
    seed.vm.linkAddress = address;
    m_seeds[seed.vm.name] = address;
    static_cast<void>(openLink(seed.vm.name, seed));
}

std::shared_ptr<runtime::link::Client> Fleet::openLink(const std::string &peer, const membership::Member &member)
{
    auto &client = m_clients[peer];
    if (!client) {
        const auto address = runtime::http::parseAddress(member.vm.linkAddress);
        client = std::make_shared<runtime::link::Client>(m_links, peer, address, m_options, *this);
    }
    return client;
}

std::vector<EndpointCandidate> Fleet::rankEndpoints(const Snapshot &config, std::string_view pool,
                                                    const placement::PlacementRequest &request, const std::vector<std::string> &excluded)
{
    const u32 boundPercent = config.bundle().policy().bounded_load_percent();
    const placement::HomePolicy policy({placement::LoadBound::Bounded, placement::HintUse::Ignore, boundPercent});
    const std::lock_guard lock(m_mutex);
    const auto candidates = membership::eligibleEndpoints(m_members, pool, config.eligibility(), m_process.clock.now());
    std::vector<EndpointCandidate> ranked;
    for (const u32 index : policy.order(request, candidates.views, MaxCandidates + static_cast<u32>(excluded.size()))) {
        const auto &name = candidates.names[index];
        if (std::find(excluded.begin(), excluded.end(), name) == excluded.end()) {
            const auto &view = candidates.views[index];
            ranked.push_back({name, view.id, view.isLastResort, m_members.find(name)->load.loaded});
        }
    }
    return ranked;
}

std::shared_ptr<runtime::link::Client> Fleet::link(const std::string &endpoint)
{
    const std::lock_guard lock(m_mutex);
    const auto *member = m_members.find(endpoint);
    if (member == nullptr) {
        return nullptr;
    }
    m_members.noteProposed(endpoint);
    return openLink(endpoint, *member);
}

void Fleet::noteLoss(const std::string &endpoint, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    m_members.noteLoss(endpoint, sentAt, m_process.clock.now());
}

void Fleet::noteSuccess(const std::string &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_members.noteSuccess(endpoint);
}

void Fleet::makeLastResort(const std::string &endpoint, Duration duration)
{
    const std::lock_guard lock(m_mutex);
    m_members.makeLastResort(endpoint, m_process.clock.now() + duration);
}

SuspectTable &Fleet::suspects()
{
    return m_suspects;
}

void Fleet::sendSuspectUpdates()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[peer, client] : m_clients) {
        client->sendHeartbeatNow();
    }
}

bool Fleet::watchesConfig() const
{
    const std::lock_guard lock(m_mutex);
    return !m_hasVmList
        || membership::watchesConfig(hash::hash64(m_process.vmName), m_process.zone, m_entryIdsOfZone, ConfigWatchersPerZone);
}

u32 Fleet::entryCount() const
{
    const std::lock_guard lock(m_mutex);
    return std::max<u32>(1, static_cast<u32>(m_entryIds.size()));
}

std::vector<membership::Member> Fleet::members() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<membership::Member> result;
    for (const auto &[name, member] : m_members.members()) {
        result.push_back(member);
    }
    return result;
}

schema::Heartbeat Fleet::heartbeat(const std::string &peer)
{
    schema::Heartbeat message;
    message.set_sender(m_process.vmName);
    message.set_boot_id(m_process.bootId);
    message.set_config_version(m_config.version());
    m_suspects.addUpdate(peer, message);
    return message;
}

// An entry that starts while the platform is down would know no endpoints. It takes them from the seed links, which works while at
// least one of these peers is alive, until the platform's list is available.
void Fleet::addMemberFromSeed(const std::string &peer, const schema::Heartbeat &heartbeat)
{
    const std::lock_guard lock(m_mutex);
    const auto seed = m_seeds.find(peer);
    if (seed == m_seeds.end() || m_hasVmList) {
        return;
    }
    m_members.addFromLink(peer, {heartbeat.sender(), heartbeat.zone(), heartbeat.pool(), seed->second, "", false});
    m_members.noteLoad(peer, toReportedLoad(heartbeat.load()));
}

void Fleet::onMessage(const std::string &peer, const schema::LinkMessage &message)
{
    if (const auto *load = endpointLoadOf(message)) {
        noteLoad(peer, *load);
    }
    switch (message.body_case()) {
    case schema::LinkMessage::kHeartbeat:
        addMemberFromSeed(peer, message.heartbeat());
        handleHeartbeat(peer, message.heartbeat());
        break;
    case schema::LinkMessage::kConfigPush:
        if (m_config.tryApply(message.config_push()) == config::OfferResult::Gap) {
            requestConfig(peer, m_config.updateRequest());
        }
        break;
    case schema::LinkMessage::kConfigRequest:
        if (const auto config = m_config.current(); config && config->version() > message.config_request().known_version()) {
            schema::LinkMessage push;
            *push.mutable_config_push() = m_config.pushFor(message.config_request());
            sendTo(peer, push);
        }
        break;
    default:
        m_runs.dispatch(peer, message);
    }
}

void Fleet::handleHeartbeat(const std::string &peer, const schema::Heartbeat &heartbeat)
{
    m_suspects.applyUpdate(peer, heartbeat);
    noteConfigVersion(peer, heartbeat.config_version());
}

void Fleet::noteLoad(const std::string &peer, const schema::EndpointLoad &load)
{
    {
        const std::lock_guard lock(m_mutex);
        m_members.noteLoad(peer, toReportedLoad(load));
    }
    noteConfigVersion(peer, load.config_version());
}

void Fleet::noteConfigVersion(const std::string &peer, u64 version)
{
    if (const auto request = m_config.updateRequestFor(version)) {
        requestConfig(peer, *request);
    }
}

void Fleet::requestConfig(const std::string &peer, const schema::ConfigRequest &wanted)
{
    schema::LinkMessage request;
    *request.mutable_config_request() = wanted;
    sendTo(peer, request);
}

// Also sends to peers that are not members, such as seed links.
void Fleet::sendTo(const std::string &peer, const schema::LinkMessage &message)
{
    std::shared_ptr<runtime::link::Client> client;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_clients.find(peer);
        client = found == m_clients.end() ? nullptr : found->second;
    }
    if (client) {
        client->send(message);
    }
}

void Fleet::onLinkReplaced(const std::string &peer)
{
    m_process.metrics.count("burdock_links_replaced_total");
    m_process.logger.event(runtime::LogLevel::Warning, "link_replaced", {{"peer", std::string_view(peer)}});
    m_runs.notify(peer, RunEventKind::LinkReplaced);
}

void Fleet::onHealth(const std::string &peer, membership::LinkHealth health)
{
    {
        const std::lock_guard lock(m_mutex);
        m_members.noteHealth(peer, health);
    }
    if (health == membership::LinkHealth::Dead) {
        m_process.logger.event(runtime::LogLevel::Warning, "endpoint_dead", {{"peer", std::string_view(peer)}});
        m_runs.notify(peer, RunEventKind::PeerDead);
    }
}

} // namespace burdock::serving
