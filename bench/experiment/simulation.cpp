#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace experiment {

namespace {

constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration ViewRefreshInterval = std::chrono::milliseconds(250);
constexpr Duration ExportInterval = std::chrono::milliseconds(50);
constexpr Duration RestartDuration = std::chrono::seconds(3);
constexpr Duration RequestTimeout = std::chrono::seconds(30);
constexpr u32 MaxCandidates = 2;
constexpr u32 BoundedLoadPercent = 150;
constexpr std::size_t RecentPlacementCapacity = 4096;
constexpr std::size_t ExportQueueCapacity = 1024;
constexpr double ReturnProbabilityNew = 0.4;
constexpr double ReturnProbabilityReturned = 0.8;
constexpr Duration StoreTimeout = std::chrono::seconds(1);
constexpr double LinkRateNewSampleWeight = 0.2;
// Raises the estimate after each declined import, as the endpoint process does, so that a link that was slow is tried again.
constexpr double LinkRateRecovery = 0.02;
// A cold replica crashes when it runs more than this multiple of the cold limit at once; the bound grows with finished runs.
constexpr u32 ColdOverloadFactor = 2;

Duration seconds(double value)
{
    return Duration(static_cast<i64>(value * 1e6));
}

std::unique_ptr<cache::ImportPolicy> createImportPolicy(const std::string &name, const cache::CostWeights &weights)
{
    if (name == "never") {
        return std::make_unique<cache::NeverImport>();
    }
    if (name == "always") {
        return std::make_unique<cache::AlwaysImport>();
    }
    return std::make_unique<cache::CostBasedImport>(weights);
}

} // namespace

struct Simulation::PendingRequest
{
    Prompt prompt;
    std::vector<cache::BlockKey> keys;
    TimePoint arrived;
    u32 entry = 0;
    admission::Ticket ticket = 0;
};

struct Simulation::Replica
{
    Replica(u32 replicaIndex, u32 replicaZone, const admission::AdmissionPolicy &policy, const limits::TokenBucket &budget)
        : index(replicaIndex)
        , zone(replicaZone)
        , admission(policy)
        , exports(ExportQueueCapacity, budget)
    {
    }

    u32 index;
    u32 zone;
    admission::AdmissionController admission;
    cache::ExportQueue exports;
    std::map<admission::Ticket, std::shared_ptr<PendingRequest>> pending;
    std::list<cache::BlockKey> recency; // most recently used first
    std::map<cache::BlockKey, std::list<cache::BlockKey>::iterator> memory;
    TimePoint prefillFree{};
    TimePoint downUntil{};
    TimePoint exportFree{};
    u64 boot = 1;
    u32 running = 0; // as counted by the engine
    u32 runsSinceBoot = 0;
    double linkBytesPerSecond = 0;
    bool isOutOfService = false;
};

struct Simulation::Store
{
    std::set<cache::BlockKey> blocks;
    TimePoint linkFree{};
    bool isLost = false;
};

struct Simulation::Event
{
    TimePoint at;
    u64 number = 0;
    std::function<void()> action;

    [[nodiscard]] bool operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

std::string PolicyChoice::name() const
{
    return placement + "/" + import + (hasWarmUp ? "" : "/no-ramp");
}

double RunMetrics::cost(const cache::CostWeights &weights) const
{
    const auto served = static_cast<double>(std::max<std::size_t>(1, firstTokenMs.size()));
    const double meanMs = std::accumulate(firstTokenMs.begin(), firstTokenMs.end(), 0.0) / served;
    const double kiloTokens = static_cast<double>(recomputedTokens) / 1000.0 / served;
    const double mebibytes = static_cast<double>(linkBytes) / (1024.0 * 1024.0) / served;
    return weights.firstTokenMs * meanMs + weights.recomputedKiloToken * kiloTokens + weights.linkMebibyte * mebibytes;
}

Simulation::Simulation(const Deployment &deployment, const PolicyChoice &choice, Fault fault, u64 seed)
    : m_deployment(deployment)
    , m_choice(choice)
    , m_fault(fault)
    , m_random(seed)
    , m_placement(placement::createPolicy(choice.placement, BoundedLoadPercent))
    , m_import(createImportPolicy(choice.import, deployment.weights))
    , m_stores(deployment.stores)
    , m_recentPlacements(deployment.entries, placement::RecentPlacements(RecentPlacementCapacity))
{
    admission::AdmissionPolicy policy;
    policy.warmUp = {deployment.coldLimit, deployment.warmLimit, choice.hasWarmUp};
    policy.queueLimit = deployment.queueLimit;
    const auto rate = static_cast<double>(deployment.endpointBytesPerSecond);
    for (u32 i = 0; i < deployment.replicas; ++i) {
        m_replicas.push_back(std::make_unique<Replica>(i, i % deployment.zones, policy, limits::TokenBucket(rate, rate)));
        m_replicas.back()->linkBytesPerSecond = static_cast<double>(deployment.storeBytesPerSecond);
    }
    m_entryViews.resize(deployment.entries);
}

Simulation::~Simulation() = default;

void Simulation::schedule(TimePoint at, std::function<void()> action)
{
    m_events.push_back({at, ++m_lastEventNumber, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end());
}

RunMetrics Simulation::run(double minutes)
{
    const TimePoint last = TimePoint{} + seconds(60 * minutes);
    scheduleNextNewPrompt();
    refreshEntryViews();
    exportBlocks();
    scheduleFault(minutes);
    while (!m_events.empty() && m_events.front().at < last) {
        std::pop_heap(m_events.begin(), m_events.end());
        auto event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.at;
        event.action();
    }
    return m_metrics;
}

void Simulation::scheduleNextNewPrompt()
{
    const double second = toMilliseconds(m_now - TimePoint{}) / 1000.0;
    const bool isBurst = second >= m_deployment.burstStartSecond && second < m_deployment.burstStartSecond + m_deployment.burstSeconds;
    const double rate = m_deployment.newPromptsPerSecond * (isBurst ? m_deployment.burstFactor : 1);
    const double gap = -std::log(uniform(m_random, 1e-9, 1)) / rate;
    schedule(m_now + seconds(gap), [this] {
        handleArrival(newPrompt(m_deployment, ++m_lastSession, m_random));
        scheduleNextNewPrompt();
    });
}

void Simulation::handleArrival(const Prompt &prompt)
{
    // Draws the caller's next turn now, so that it doesn't depend on the policies under comparison.
    if (uniform(m_random, 0, 1) < m_deployment.returnProbability) {
        const double gap = uniform(m_random, m_deployment.minGapSeconds, m_deployment.maxGapSeconds);
        const auto next = nextTurn(m_deployment, prompt, m_random);
        schedule(m_now + seconds(gap), [this, next] { handleArrival(next); });
    }
    const auto request = std::make_shared<PendingRequest>();
    request->prompt = prompt;
    request->keys = blockKeysOf(m_deployment, prompt);
    request->arrived = m_now;
    request->entry = static_cast<u32>(uniform(m_random, 0, m_deployment.entries));
    ++m_metrics.requests;
    m_metrics.requestsDuringFault += isDuringFault() ? 1 : 0;
    placement::PlacementRequest placementRequest;
    placementRequest.random = m_random();
    const auto customer = std::to_string(prompt.customer);
    const cache::BlockScope scope{customer, "m", "", "v"};
    placementRequest.homeHash = cache::homeHash(scope, std::to_string(prompt.session), request->keys);
    placementRequest.hint = m_recentPlacements[request->entry].find(request->keys);
    const auto order = m_placement->order(placementRequest, m_entryViews[request->entry], MaxCandidates);
    tryEndpoint(request, order, 0);
}

void Simulation::tryEndpoint(const std::shared_ptr<PendingRequest> &request, const placement::Order &order, std::size_t position)
{
    if (position >= order.size()) {
        ++m_metrics.refused;
        return;
    }
    ++m_entryViews[request->entry][order[position]].load;
    schedule(m_now + NetworkDelay, [this, request, order, position] {
        auto &replica = *m_replicas[order[position]];
        if (replica.isOutOfService || replica.downUntil > m_now) {
            tryEndpoint(request, order, position + 1);
            return;
        }
        admission::AdmissionRequest admissionRequest;
        admissionRequest.ticket = request->ticket = ++m_lastTicket;
        admissionRequest.customer = std::to_string(request->prompt.customer);
        admissionRequest.cost = request->prompt.tokens;
        admissionRequest.deadline = request->arrived + RequestTimeout;
        const auto decision = replica.admission.request(admissionRequest, m_now);
        if (decision.evicted) {
            replica.pending.erase(*decision.evicted);
            ++m_metrics.refused;
        }
        if (decision.status == admission::AdmissionStatus::Admitted) {
            startRun(replica, request);
        } else if (decision.status == admission::AdmissionStatus::Queued) {
            replica.pending[request->ticket] = request;
        } else {
            tryEndpoint(request, order, position + 1);
        }
    });
}

void Simulation::startRun(Replica &replica, const std::shared_ptr<PendingRequest> &request)
{
    ++replica.running;
    const bool isCold = replica.runsSinceBoot < m_deployment.warmLimit;
    if (isCold && replica.running > m_deployment.coldLimit * ColdOverloadFactor * (1 + replica.runsSinceBoot / m_deployment.coldLimit)) {
        crash(replica);
        return;
    }
    const auto &keys = request->keys;
    const auto isMissing = [&replica](const cache::BlockKey &key) {
        return replica.memory.count(key) == 0;
    };
    const auto firstMissing = std::find_if(keys.begin(), keys.end(), isMissing);
    const auto residentBlocks = static_cast<std::size_t>(firstMissing - keys.begin());
    std::size_t importedBlocks = 0;
    const TimePoint ready = importBlocks(replica, *request, residentBlocks, importedBlocks);
    const u32 reused = static_cast<u32>(residentBlocks + importedBlocks) * m_deployment.blockTokens;
    const u32 computed = request->prompt.tokens - std::min(reused, request->prompt.tokens);
    for (std::size_t i = residentBlocks + importedBlocks; i < keys.size(); ++i) {
        m_metrics.recomputedTokens += m_computedBlocks.count(keys[i]) > 0 ? m_deployment.blockTokens : 0;
    }
    m_computedBlocks.insert(keys.begin(), keys.end());
    m_metrics.promptTokens += request->prompt.tokens;
    const TimePoint prefillBegin = std::max(ready, replica.prefillFree);
    replica.prefillFree = prefillBegin + seconds(static_cast<double>(computed) / m_deployment.prefillTokensPerSecond);
    const TimePoint firstToken = replica.prefillFree;
    const double firstTokenMs = toMilliseconds(firstToken - request->arrived);
    touchBlocks(replica, keys);
    const double recomputeMs = 1000.0 * m_deployment.blockTokens / m_deployment.prefillTokensPerSecond;
    const double value
        = m_deployment.weights.firstTokenMs * recomputeMs + m_deployment.weights.recomputedKiloToken * m_deployment.blockTokens / 1000.0;
    for (const auto &key : keys) {
        if (m_choice.import != "never" && findStoreWith(key) == nullptr) {
            replica.exports.add(
                {key, m_deployment.blockBytes, value, request->prompt.turn > 0 ? ReturnProbabilityReturned : ReturnProbabilityNew});
        }
    }
    const TimePoint startTime = m_now;
    const TimePoint finish = firstToken + fromMilliseconds(m_deployment.outputTokens * m_deployment.tokenMs);
    schedule(finish, [this, &replica, request, boot = replica.boot, startTime, firstTokenMs] {
        if (boot == replica.boot) {
            m_metrics.firstTokenMs.push_back(firstTokenMs);
            if (request->arrived >= m_faultBegin && request->arrived < m_faultEnd) {
                m_metrics.firstTokenMsDuringFault.push_back(firstTokenMs);
            }
        }
        finishRun(replica, request, boot, startTime);
    });
    if (!keys.empty()) {
        m_recentPlacements[request->entry].note(keys.back(), m_entryViews[request->entry][replica.index].id);
    }
}

TimePoint Simulation::importBlocks(Replica &replica, const PendingRequest &request, std::size_t residentBlocks, std::size_t &importedBlocks)
{
    std::size_t availableBlocks = residentBlocks;
    while (availableBlocks < request.keys.size() && findStoreWith(request.keys[availableBlocks]) != nullptr) {
        ++availableBlocks;
    }
    cache::ImportInputs inputs;
    inputs.tokens = static_cast<u32>(availableBlocks - residentBlocks) * m_deployment.blockTokens;
    inputs.bytes = (availableBlocks - residentBlocks) * m_deployment.blockBytes;
    inputs.linkBytesPerSecond = static_cast<u64>(std::max(1.0, replica.linkBytesPerSecond));
    inputs.prefillTokensPerSecond = m_deployment.prefillTokensPerSecond;
    if (!m_import->shouldImport(inputs)) {
        replica.linkBytesPerSecond
            += LinkRateRecovery * (static_cast<double>(m_deployment.storeBytesPerSecond) - replica.linkBytesPerSecond);
        return m_now;
    }
    TimePoint ready = m_now;
    const bool isBounded = m_choice.import == "by-cost";
    const Duration budget = cache::importBudget(m_deployment.weights, inputs);
    const Duration transfer = seconds(static_cast<double>(m_deployment.blockBytes) / static_cast<double>(m_deployment.storeBytesPerSecond));
    for (std::size_t i = residentBlocks; i < availableBlocks; ++i) {
        auto &store = *findStoreWith(request.keys[i]);
        if ((isBounded && ready - m_now >= budget) || store.linkFree - ready > StoreTimeout) {
            break;
        }
        store.linkFree = std::max(ready, store.linkFree) + transfer;
        ready = store.linkFree;
        m_metrics.linkBytes += m_deployment.blockBytes;
        ++importedBlocks;
    }
    const double transferSeconds = std::max(1e-6, toMilliseconds(ready - m_now) / 1000.0);
    replica.linkBytesPerSecond = (1 - LinkRateNewSampleWeight) * replica.linkBytesPerSecond
        + LinkRateNewSampleWeight * static_cast<double>(importedBlocks * m_deployment.blockBytes) / transferSeconds;
    return ready;
}

void Simulation::finishRun(Replica &replica, const std::shared_ptr<PendingRequest> & /*request*/, u64 boot, TimePoint startTime)
{
    if (boot != replica.boot) {
        return;
    }
    --replica.running;
    ++replica.runsSinceBoot;
    admitNext(replica, replica.admission.finishRun({admission::RunOutcome::Success, m_now - startTime, false}, m_now));
}

void Simulation::admitNext(Replica &replica, const admission::AdmissionChanges &changes)
{
    for (const auto ticket : changes.expired) {
        replica.pending.erase(ticket);
        ++m_metrics.refused;
    }
    for (const auto ticket : changes.admitted) {
        const auto request = replica.pending.extract(ticket);
        startRun(replica, request.mapped());
    }
}

void Simulation::touchBlocks(Replica &replica, const std::vector<cache::BlockKey> &keys)
{
    for (const auto &key : keys) {
        if (const auto known = replica.memory.find(key); known != replica.memory.end()) {
            replica.recency.splice(replica.recency.begin(), replica.recency, known->second);
            continue;
        }
        replica.recency.push_front(key);
        replica.memory[key] = replica.recency.begin();
        if (replica.recency.size() > m_deployment.memoryBlocks) {
            replica.memory.erase(replica.recency.back());
            replica.recency.pop_back();
        }
    }
}

void Simulation::crash(Replica &replica)
{
    m_metrics.lost += replica.running;
    ++replica.boot;
    replica.running = 0;
    replica.runsSinceBoot = 0;
    replica.memory.clear();
    replica.recency.clear();
    replica.downUntil = m_now + RestartDuration;
    replica.prefillFree = replica.downUntil;
    m_metrics.refused += replica.pending.size();
    replica.pending.clear();
    admission::AdmissionPolicy policy;
    policy.warmUp = {m_deployment.coldLimit, m_deployment.warmLimit, m_choice.hasWarmUp};
    policy.queueLimit = m_deployment.queueLimit;
    replica.admission = admission::AdmissionController(policy);
}

void Simulation::exportBlocks()
{
    for (auto &replica : m_replicas) {
        // Exports one block at a time, as the daemon does, which bounds the share of a link that exports take from imports.
        while (replica->exportFree <= m_now) {
            const auto candidate = replica->exports.take(m_now);
            if (!candidate) {
                break;
            }
            auto *store = selectStore(candidate->key);
            if (store == nullptr || replica->memory.count(candidate->key) == 0 || findStoreWith(candidate->key) != nullptr) {
                continue;
            }
            store->blocks.insert(candidate->key);
            const double transferSeconds
                = static_cast<double>(m_deployment.blockBytes) / static_cast<double>(m_deployment.storeBytesPerSecond);
            store->linkFree = std::max(m_now, store->linkFree) + seconds(transferSeconds);
            replica->exportFree = store->linkFree;
            m_metrics.linkBytes += m_deployment.blockBytes;
        }
    }
    schedule(m_now + ExportInterval, [this] { exportBlocks(); });
}

void Simulation::refreshEntryViews()
{
    for (auto &views : m_entryViews) {
        views.resize(m_replicas.size());
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            const auto &replica = *m_replicas[i];
            views[i].id = i + 1;
            views[i].weight = replica.isOutOfService || replica.downUntil > m_now ? 0 : 1;
            views[i].load = replica.admission.running() + replica.admission.queued();
            views[i].limit = replica.admission.limit();
        }
    }
    schedule(m_now + ViewRefreshInterval, [this] { refreshEntryViews(); });
}

void Simulation::scheduleFault(double minutes)
{
    if (m_fault == Fault::None) {
        return;
    }
    m_faultBegin = TimePoint{} + seconds(60 * minutes / 2);
    m_faultEnd = m_faultBegin + seconds(60 * minutes / 4);
    schedule(m_faultBegin, [this] {
        for (auto &replica : m_replicas) {
            if (m_fault == Fault::ZoneOutage && replica->zone == 0) {
                replica->isOutOfService = true;
            }
            if (m_fault == Fault::HalfRestarted && replica->index % 2 == 0) {
                crash(*replica);
            }
        }
        if (m_fault == Fault::StoreOutage) {
            m_stores.front().isLost = true;
            m_stores.front().blocks.clear();
        }
    });
    schedule(m_faultEnd, [this] {
        for (auto &replica : m_replicas) {
            if (replica->isOutOfService) {
                // The zone returns with new VMs, which are cold and have empty caches.
                replica->isOutOfService = false;
                crash(*replica);
            }
        }
        m_stores.front().isLost = false;
    });
}

// Searches from the store that the block's key hashes to, then the following ones.
Simulation::Store *Simulation::findStoreWith(const cache::BlockKey &key)
{
    const auto first = hash::hash64(hash::asBytes(key)) % m_stores.size();
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        auto &store = m_stores[(first + i) % m_stores.size()];
        if (store.blocks.count(key) > 0) {
            return &store;
        }
    }
    return nullptr;
}

Simulation::Store *Simulation::selectStore(const cache::BlockKey &key)
{
    const auto first = hash::hash64(hash::asBytes(key)) % m_stores.size();
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        auto &store = m_stores[(first + i) % m_stores.size()];
        if (!store.isLost) {
            return &store;
        }
    }
    return nullptr;
}

bool Simulation::isDuringFault() const
{
    return m_now >= m_faultBegin && m_now < m_faultEnd;
}

} // namespace experiment
