#include "world.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace experiment {

namespace {

constexpr Duration Hop = std::chrono::milliseconds(1);
constexpr Duration ViewRefresh = std::chrono::milliseconds(250);
constexpr Duration ExportEvery = std::chrono::milliseconds(50);
constexpr Duration RestartTime = std::chrono::seconds(3);
constexpr Duration Deadline = std::chrono::seconds(30);
constexpr u32 MaxCandidates = 2;
constexpr u32 BoundPercent = 150;
constexpr std::size_t RecentCapacity = 4096;
constexpr std::size_t ExportCapacity = 1024;
constexpr double ReturnChanceNew = 0.4;
constexpr double ReturnChanceReturned = 0.8;
constexpr Duration StoreTimeout = std::chrono::seconds(1);
constexpr double NewestWeight = 0.2;
// As in serving/endpoint/kv_cache_offloader.cpp: a link that was found slow is tried again some time.
constexpr double DeclinedRecovery = 0.02;
// More runs at once than the cold limit by this factor, and a cold replica falls over.
constexpr u32 ColdBearsFactor = 2;

Duration seconds(double value)
{
    return Duration(static_cast<i64>(value * 1e6));
}

std::unique_ptr<cache::ImportPolicy> importNamed(const std::string &name, const cache::CostWeights &weights)
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

struct World::Waiting
{
    Prompt prompt;
    std::vector<cache::BlockKey> keys;
    TimePoint arrived;
    u32 entry = 0;
    admission::Ticket ticket = 0;
};

struct World::Replica
{
    Replica(u32 replicaIndex, u32 replicaZone, const admission::AdmissionPolicy &policy, const limits::TokenBucket &budget)
        : index(replicaIndex)
        , zone(replicaZone)
        , admission(policy)
        , exports(ExportCapacity, budget)
    {
    }

    u32 index;
    u32 zone;
    admission::AdmissionController admission;
    cache::ExportQueue exports;
    std::map<admission::Ticket, std::shared_ptr<Waiting>> waiting;
    std::list<cache::BlockKey> order;
    std::map<cache::BlockKey, std::list<cache::BlockKey>::iterator> memory;
    TimePoint prefillFree{};
    TimePoint downUntil{};
    TimePoint exportFree{};
    u64 boot = 1;
    u32 running = 0; // as the engine sees it
    u32 finishedSinceBoot = 0;
    double linkBytesPerSecond = 0;
    bool isOut = false;
};

struct World::Store
{
    std::set<cache::BlockKey> blocks;
    TimePoint linkFree{};
    bool isLost = false;
};

struct World::Event
{
    TimePoint at;
    u64 number = 0;
    std::function<void()> action;

    [[nodiscard]] bool operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

std::string Choice::name() const
{
    return placement + "/" + import + (ramps ? "" : "/no-ramp");
}

double Outcome::cost(const cache::CostWeights &weights) const
{
    const auto served = static_cast<double>(std::max<std::size_t>(1, firstTokenMs.size()));
    const double meanMs = std::accumulate(firstTokenMs.begin(), firstTokenMs.end(), 0.0) / served;
    const double kiloTokens = static_cast<double>(recomputedTokens) / 1000.0 / served;
    const double mebibytes = static_cast<double>(linkBytes) / (1024.0 * 1024.0) / served;
    return weights.firstTokenMs * meanMs + weights.recomputedKiloToken * kiloTokens + weights.linkMebibyte * mebibytes;
}

World::World(const Deployment &deployment, const Choice &choice, Fault fault, u64 seed)
    : m_deployment(deployment)
    , m_choice(choice)
    , m_fault(fault)
    , m_random(seed)
    , m_placement(placement::createPolicy(choice.placement, BoundPercent))
    , m_import(importNamed(choice.import, deployment.weights))
    , m_stores(deployment.stores)
    , m_recent(deployment.entries, placement::RecentPlacements(RecentCapacity))
{
    admission::AdmissionPolicy policy;
    policy.warmUp = {deployment.coldLimit, deployment.warmLimit, choice.ramps};
    policy.queueLimit = deployment.queueLimit;
    const auto rate = static_cast<double>(deployment.endpointBytesPerSecond);
    for (u32 i = 0; i < deployment.replicas; ++i) {
        m_replicas.push_back(std::make_unique<Replica>(i, i % deployment.zones, policy, limits::TokenBucket(rate, rate)));
        m_replicas.back()->linkBytesPerSecond = static_cast<double>(deployment.storeBytesPerSecond);
    }
    m_views.resize(deployment.entries);
}

World::~World() = default;

void World::schedule(TimePoint at, std::function<void()> action)
{
    m_events.push_back({at, ++m_lastEvent, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end());
}

Outcome World::run(double minutes)
{
    const TimePoint last = TimePoint{} + seconds(60 * minutes);
    scheduleNextNewPrompt();
    refreshViews();
    exportSome();
    scheduleFault(minutes);
    while (!m_events.empty() && m_events.front().at < last) {
        std::pop_heap(m_events.begin(), m_events.end());
        auto event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.at;
        event.action();
    }
    return m_outcome;
}

void World::scheduleNextNewPrompt()
{
    const double second = toMilliseconds(m_now - TimePoint{}) / 1000.0;
    const bool isBurst = second >= m_deployment.burstBeginSecond && second < m_deployment.burstBeginSecond + m_deployment.burstSeconds;
    const double rate = m_deployment.newPromptsPerSecond * (isBurst ? m_deployment.burstFactor : 1);
    const double gap = -std::log(uniform(m_random, 1e-9, 1)) / rate;
    schedule(m_now + seconds(gap), [this] {
        arrive(newPrompt(m_deployment, ++m_lastSession, m_random));
        scheduleNextNewPrompt();
    });
}

void World::arrive(const Prompt &prompt)
{
    // What the caller does next is drawn now, so that it does not depend on the decisions under comparison.
    if (uniform(m_random, 0, 1) < m_deployment.returnChance) {
        const double gap = uniform(m_random, m_deployment.gapSecondsLow, m_deployment.gapSecondsHigh);
        const auto next = nextTurn(m_deployment, prompt, m_random);
        schedule(m_now + seconds(gap), [this, next] { arrive(next); });
    }
    const auto request = std::make_shared<Waiting>();
    request->prompt = prompt;
    request->keys = keysOf(m_deployment, prompt);
    request->arrived = m_now;
    request->entry = static_cast<u32>(uniform(m_random, 0, m_deployment.entries));
    ++m_outcome.requests;
    m_outcome.requestsDuringFault += isDuringFault() ? 1 : 0;
    placement::PlacementRequest wanted;
    wanted.random = m_random();
    const auto customer = std::to_string(prompt.customer);
    const cache::BlockScope scope{customer, "m", "", "v"};
    wanted.homeHash = cache::homeHash(scope, std::to_string(prompt.session), request->keys);
    wanted.hint = m_recent[request->entry].find(request->keys);
    const auto order = m_placement->order(wanted, m_views[request->entry], MaxCandidates);
    propose(request, order, 0);
}

void World::propose(const std::shared_ptr<Waiting> &request, const placement::Order &order, std::size_t position)
{
    if (position >= order.size()) {
        ++m_outcome.refused;
        return;
    }
    ++m_views[request->entry][order[position]].load;
    schedule(m_now + Hop, [this, request, order, position] {
        auto &replica = *m_replicas[order[position]];
        if (replica.isOut || replica.downUntil > m_now) {
            propose(request, order, position + 1);
            return;
        }
        admission::AdmissionRequest asked;
        asked.ticket = request->ticket = ++m_lastTicket;
        asked.customer = std::to_string(request->prompt.customer);
        asked.cost = request->prompt.tokens;
        asked.deadline = request->arrived + Deadline;
        const auto decision = replica.admission.request(asked, m_now);
        if (decision.evicted) {
            replica.waiting.erase(*decision.evicted);
            ++m_outcome.refused;
        }
        if (decision.status == admission::AdmissionStatus::Admitted) {
            begin(replica, request);
        } else if (decision.status == admission::AdmissionStatus::Queued) {
            replica.waiting[request->ticket] = request;
        } else {
            propose(request, order, position + 1);
        }
    });
}

void World::begin(Replica &replica, const std::shared_ptr<Waiting> &request)
{
    ++replica.running;
    const bool isCold = replica.finishedSinceBoot < m_deployment.warmLimit;
    if (isCold && replica.running > m_deployment.coldLimit * ColdBearsFactor * (1 + replica.finishedSinceBoot / m_deployment.coldLimit)) {
        crash(replica);
        return;
    }
    const auto &keys = request->keys;
    const auto isUnheld = [&replica](const cache::BlockKey &key) {
        return replica.memory.count(key) == 0;
    };
    const auto unheld = std::find_if(keys.begin(), keys.end(), isUnheld);
    const auto held = static_cast<std::size_t>(unheld - keys.begin());
    std::size_t imported = 0;
    const TimePoint ready = import(replica, *request, held, imported);
    const u32 reused = static_cast<u32>(held + imported) * m_deployment.blockTokens;
    const u32 computed = request->prompt.tokens - std::min(reused, request->prompt.tokens);
    for (std::size_t i = held + imported; i < keys.size(); ++i) {
        m_outcome.recomputedTokens += m_everComputed.count(keys[i]) > 0 ? m_deployment.blockTokens : 0;
    }
    m_everComputed.insert(keys.begin(), keys.end());
    m_outcome.promptTokens += request->prompt.tokens;
    const TimePoint prefillBegin = std::max(ready, replica.prefillFree);
    replica.prefillFree = prefillBegin + seconds(static_cast<double>(computed) / m_deployment.prefillTokensPerSecond);
    const TimePoint firstToken = replica.prefillFree;
    const double waitedMs = toMilliseconds(firstToken - request->arrived);
    touch(replica, keys);
    const double recomputeMs = 1000.0 * m_deployment.blockTokens / m_deployment.prefillTokensPerSecond;
    const double value
        = m_deployment.weights.firstTokenMs * recomputeMs + m_deployment.weights.recomputedKiloToken * m_deployment.blockTokens / 1000.0;
    for (const auto &key : keys) {
        if (m_choice.import != "never" && storeHolding(key) == nullptr) {
            replica.exports.add({key, m_deployment.blockBytes, value, request->prompt.turn > 0 ? ReturnChanceReturned : ReturnChanceNew});
        }
    }
    const TimePoint begun = m_now;
    const TimePoint finish = firstToken + fromMilliseconds(m_deployment.outputTokens * m_deployment.tokenMs);
    schedule(finish, [this, &replica, request, boot = replica.boot, begun, waitedMs] {
        if (boot == replica.boot) {
            m_outcome.firstTokenMs.push_back(waitedMs);
            if (request->arrived >= m_faultBegin && request->arrived < m_faultEnd) {
                m_outcome.firstTokenMsDuringFault.push_back(waitedMs);
            }
        }
        end(replica, request, boot, begun);
    });
    if (!keys.empty()) {
        m_recent[request->entry].note(keys.back(), m_views[request->entry][replica.index].id);
    }
}

TimePoint World::import(Replica &replica, const Waiting &request, std::size_t held, std::size_t &imported)
{
    std::size_t kept = held;
    while (kept < request.keys.size() && storeHolding(request.keys[kept]) != nullptr) {
        ++kept;
    }
    cache::ImportInputs facts;
    facts.tokens = static_cast<u32>(kept - held) * m_deployment.blockTokens;
    facts.bytes = (kept - held) * m_deployment.blockBytes;
    facts.linkBytesPerSecond = static_cast<u64>(std::max(1.0, replica.linkBytesPerSecond));
    facts.prefillTokensPerSecond = m_deployment.prefillTokensPerSecond;
    if (!m_import->shouldImport(facts)) {
        replica.linkBytesPerSecond
            += DeclinedRecovery * (static_cast<double>(m_deployment.storeBytesPerSecond) - replica.linkBytesPerSecond);
        return m_now;
    }
    TimePoint ready = m_now;
    const bool isBounded = m_choice.import == "by-cost";
    const Duration budget = cache::importBudget(m_deployment.weights, facts);
    const Duration transfer = seconds(static_cast<double>(m_deployment.blockBytes) / static_cast<double>(m_deployment.storeBytesPerSecond));
    for (std::size_t i = held; i < kept; ++i) {
        auto &store = *storeHolding(request.keys[i]);
        if ((isBounded && ready - m_now >= budget) || store.linkFree - ready > StoreTimeout) {
            break;
        }
        store.linkFree = std::max(ready, store.linkFree) + transfer;
        ready = store.linkFree;
        m_outcome.linkBytes += m_deployment.blockBytes;
        ++imported;
    }
    const double tookSeconds = std::max(1e-6, toMilliseconds(ready - m_now) / 1000.0);
    replica.linkBytesPerSecond = (1 - NewestWeight) * replica.linkBytesPerSecond
        + NewestWeight * static_cast<double>(imported * m_deployment.blockBytes) / tookSeconds;
    return ready;
}

void World::end(Replica &replica, const std::shared_ptr<Waiting> & /*request*/, u64 boot, TimePoint begun)
{
    if (boot != replica.boot) {
        return;
    }
    --replica.running;
    ++replica.finishedSinceBoot;
    admitNext(replica, replica.admission.finishRun({admission::RunOutcome::Success, m_now - begun, false}, m_now));
}

void World::admitNext(Replica &replica, const admission::AdmissionChanges &changes)
{
    for (const auto ticket : changes.expired) {
        replica.waiting.erase(ticket);
        ++m_outcome.refused;
    }
    for (const auto ticket : changes.admitted) {
        const auto request = replica.waiting.extract(ticket);
        begin(replica, request.mapped());
    }
}

void World::touch(Replica &replica, const std::vector<cache::BlockKey> &keys)
{
    for (const auto &key : keys) {
        if (const auto known = replica.memory.find(key); known != replica.memory.end()) {
            replica.order.splice(replica.order.begin(), replica.order, known->second);
            continue;
        }
        replica.order.push_front(key);
        replica.memory[key] = replica.order.begin();
        if (replica.order.size() > m_deployment.memoryBlocks) {
            replica.memory.erase(replica.order.back());
            replica.order.pop_back();
        }
    }
}

void World::crash(Replica &replica)
{
    m_outcome.lost += replica.running;
    ++replica.boot;
    replica.running = 0;
    replica.finishedSinceBoot = 0;
    replica.memory.clear();
    replica.order.clear();
    replica.downUntil = m_now + RestartTime;
    replica.prefillFree = replica.downUntil;
    m_outcome.refused += replica.waiting.size();
    replica.waiting.clear();
    admission::AdmissionPolicy policy;
    policy.warmUp = {m_deployment.coldLimit, m_deployment.warmLimit, m_choice.ramps};
    policy.queueLimit = m_deployment.queueLimit;
    replica.admission = admission::AdmissionController(policy);
}

void World::exportSome()
{
    for (auto &replica : m_replicas) {
        // One block at a time, as the daemon does: so exports take no more than their share of a link from imports.
        while (replica->exportFree <= m_now) {
            const auto candidate = replica->exports.take(m_now);
            if (!candidate) {
                break;
            }
            auto *store = storeFor(candidate->key);
            if (store == nullptr || replica->memory.count(candidate->key) == 0 || storeHolding(candidate->key) != nullptr) {
                continue;
            }
            store->blocks.insert(candidate->key);
            const double took = static_cast<double>(m_deployment.blockBytes) / static_cast<double>(m_deployment.storeBytesPerSecond);
            store->linkFree = std::max(m_now, store->linkFree) + seconds(took);
            replica->exportFree = store->linkFree;
            m_outcome.linkBytes += m_deployment.blockBytes;
        }
    }
    schedule(m_now + ExportEvery, [this] { exportSome(); });
}

void World::refreshViews()
{
    for (auto &views : m_views) {
        views.resize(m_replicas.size());
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            const auto &replica = *m_replicas[i];
            views[i].id = i + 1;
            views[i].weight = replica.isOut || replica.downUntil > m_now ? 0 : 1;
            views[i].load = replica.admission.running() + replica.admission.queued();
            views[i].limit = replica.admission.limit();
        }
    }
    schedule(m_now + ViewRefresh, [this] { refreshViews(); });
}

void World::scheduleFault(double minutes)
{
    if (m_fault == Fault::None) {
        return;
    }
    m_faultBegin = TimePoint{} + seconds(60 * minutes / 2);
    m_faultEnd = m_faultBegin + seconds(60 * minutes / 4);
    schedule(m_faultBegin, [this] {
        for (auto &replica : m_replicas) {
            if (m_fault == Fault::ZoneLeavesAndReturns && replica->zone == 0) {
                replica->isOut = true;
            }
            if (m_fault == Fault::HalfTurnCold && replica->index % 2 == 0) {
                crash(*replica);
            }
        }
        if (m_fault == Fault::StoreLost) {
            m_stores.front().isLost = true;
            m_stores.front().blocks.clear();
        }
    });
    schedule(m_faultEnd, [this] {
        for (auto &replica : m_replicas) {
            if (replica->isOut) {
                // What comes back is a new machine: cold, and with nothing in memory.
                replica->isOut = false;
                crash(*replica);
            }
        }
        m_stores.front().isLost = false;
    });
}

// A block's first place comes from its key, the next store is its second place.
World::Store *World::storeHolding(const cache::BlockKey &key)
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

World::Store *World::storeFor(const cache::BlockKey &key)
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

bool World::isDuringFault() const
{
    return m_now >= m_faultBegin && m_now < m_faultEnd;
}

} // namespace experiment
