#include "cache_follower.hpp"

#include <burdock/hash/digest.hpp>
#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using runtime::LogLevel;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration EventPollTime = std::chrono::milliseconds(400);
constexpr Duration EventTimeout = std::chrono::milliseconds(500);
constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
/** Delay between two requests, so that one response covers events that occur close together. */
constexpr Duration EventBatchDelay = std::chrono::milliseconds(60);
constexpr Duration RetryDelay = std::chrono::milliseconds(400);
/** Number of entries that poll one store; the others receive its events from them. */
constexpr std::size_t FollowersPerStore = 3;
/** How often the other entries check whether they still receive the store's events. */
constexpr Duration PeerUpdateCheckPeriod = std::chrono::milliseconds(300);
constexpr Duration FreePeriod = std::chrono::milliseconds(500);
constexpr std::size_t MaxPartsPerFree = 200;
constexpr u16 FirstHttpErrorStatus = 400;
constexpr std::size_t MaxAnswerBytes = std::size_t{4} * 1024 * 1024;

} // namespace

CacheFollower::CacheFollower(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                             std::string store)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_store(std::move(store))
    , m_client(http::parseAddress(m_store), ConnectTimeout)
{
}

boost::asio::awaitable<void> CacheFollower::run()
{
    m_state.storeFreshness.try_emplace(m_store, cache::StoreFreshnessPolicy{});
    m_state.storeListeners[m_store] = [this](const CacheEvents &events) {
        applyPeerEvents(events);
    };
    while (isConfigured()) {
        const bool isUpToDate = co_await followOnce();
        if (!isUpToDate) {
            co_await runtime::sleepFor(RetryDelay);
            continue;
        }
        co_await freeSupersededParts();
        co_await runtime::sleepFor(EventBatchDelay);
    }
    m_state.storeListeners.erase(m_store);
    m_state.storeFreshness.erase(m_store);
    m_state.parts.forgetStore(m_store);
}

cache::StoreFreshness &CacheFollower::freshness()
{
    return m_state.storeFreshness.at(m_store);
}

// A store serves only a few long polls for events at once. So a few entries, chosen by hash, poll each store and forward its events to the
// others, which read the full list only after they have missed events.
boost::asio::awaitable<bool> CacheFollower::followOnce()
{
    if (!freshness().isCurrent(m_dependencies.clock.now())) {
        co_return co_await readList();
    }
    if (rank() < FollowersPerStore) {
        co_return co_await readChanges();
    }
    co_await runtime::sleepFor(PeerUpdateCheckPeriod);
    co_return true;
}

// Applies events of the store that another entry forwarded.
void CacheFollower::applyPeerEvents(const CacheEvents &events)
{
    noteClock(events);
    const auto batchResult = freshness().noteEvents(events.epoch, events.since, events.next, m_dependencies.clock.now());
    if (batchResult == cache::EventBatchResult::Applied) {
        applyEvents(events);
    }
}

http::BodyLimit CacheFollower::answerLimit()
{
    return {MaxAnswerBytes, &m_state.responseMemory};
}

void CacheFollower::noteClock(const CacheEvents &events)
{
    if (events.clockMs) {
        m_state.noteEndpointClock(*events.clockMs, m_dependencies.clock.now());
    }
}

void CacheFollower::queueForPeers(const CacheEvents &events)
{
    m_state.outgoingStoreEvents.push_back({m_store, events});
}

std::size_t CacheFollower::rank() const
{
    const auto score = [this](const std::string &entry) {
        return hash::hash64(entry, hash::hash64(m_store));
    };
    return static_cast<std::size_t>(std::count_if(m_state.entryNames.begin(), m_state.entryNames.end(),
                                                  [&](const std::string &entry) { return score(entry) > score(m_settings.name); }));
}

bool CacheFollower::isConfigured() const
{
    const auto &stores = m_state.parts.stores();
    return std::any_of(stores.begin(), stores.end(), [this](const cache::PartStore &store) { return store.address == m_store; });
}

boost::asio::awaitable<bool> CacheFollower::readList()
{
    const auto request = m_dependencies.codec.cacheListRequest();
    const auto result = co_await m_client.exchange(request, ListTimeout, answerLimit());
    if (result.progress != http::Progress::Answered) {
        co_return false;
    }
    const auto list = m_dependencies.codec.readCacheList(result.response.body);
    if (!list) {
        co_return false;
    }
    m_state.parts.forgetStore(m_store);
    freshness().noteListed(list->epoch, list->next, m_dependencies.clock.now());
    applyEvents(*list);
    m_dependencies.logger.event(LogLevel::Info, "cache_store_listed",
                                {{"store", m_store}, {"epoch", list->epoch}, {"parts", u64{list->events.size()}}});
    co_return true;
}

boost::asio::awaitable<bool> CacheFollower::readChanges()
{
    const u64 since = freshness().next();
    const auto request = m_dependencies.codec.cacheEventsRequest(since, EventPollTime);
    const auto result = co_await m_client.exchange(request, EventTimeout, answerLimit());
    if (result.progress != http::Progress::Answered) {
        m_dependencies.logger.event(LogLevel::Warning, "cache_store_lost", {{"store", m_store}});
        freshness().markOutdated();
        // Empty events tell the other entries to treat their contents as outdated too.
        queueForPeers(CacheEvents{});
        co_return false;
    }
    auto events = m_dependencies.codec.readCacheEvents(result.response.body);
    if (events) {
        events->since = since;
    }
    const bool isUnusable = !events || events->epoch != freshness().epoch() || events->hasGap;
    if (isUnusable) {
        m_dependencies.logger.event(LogLevel::Info, "cache_events_broken",
                                    {{"store", m_store},
                                     {"status", u64{result.response.status}},
                                     {"restarted", events && events->epoch != freshness().epoch()},
                                     {"gap", events && events->hasGap}});
        freshness().markOutdated();
        co_return false;
    }
    noteClock(*events);
    queueForPeers(*events);
    if (freshness().noteEvents(events->epoch, since, events->next, m_dependencies.clock.now()) == cache::EventBatchResult::Applied) {
        applyEvents(*events);
    }
    co_return true;
}

void CacheFollower::applyEvents(const CacheEvents &events)
{
    for (const auto &event : events.events) {
        if (event.isStored) {
            m_state.parts.noteStored(m_store, event.salt, event.part, event.tokens);
        } else {
            m_state.parts.noteDropped(m_store, event.salt, event.part);
        }
    }
}

// Returns since when every check has found that all entries know the newest weights of a model.
std::optional<TimePoint> CacheFollower::noteKnownToAll(const std::string &model, u64 version)
{
    auto others = m_state.entryNames;
    std::erase(others, m_settings.name);
    auto &known = m_knownToAll[model];
    const bool isKnown = m_state.endpoints.peers().allReportVersion(others, model, version);
    if (!isKnown || known.version != version) {
        known.version = version;
        known.since.reset();
    }
    if (isKnown && !known.since) {
        known.since = m_dependencies.clock.now();
    }
    return known.since;
}

void CacheFollower::notePromisedByAll(const std::string &model)
{
    const auto &peers = m_state.endpoints.peers();
    auto others = m_state.entryNames;
    const bool isListKnown = std::erase(others, m_settings.name) > 0;
    const auto &own = m_state.servedVersions.promises();
    const auto version = own.find(model);
    const u64 lowest = version == own.end() || !isListKnown ? 0 : version->second;
    const u64 promised = std::min(lowest, peers.lowestVersionInUse(others, model));
    m_promisedByAll[model].note(promised, peers.generation(), m_dependencies.clock.now());
}

bool CacheFollower::mayFreeUnused(const std::string &model, u64 version) const
{
    const auto &promised = m_promisedByAll.at(model);
    return version < promised.version() && m_state.retirement.mayFreeUnused(promised.since(), m_dependencies.clock.now());
}

boost::asio::awaitable<void> CacheFollower::freeSupersededParts()
{
    const auto now = m_dependencies.clock.now();
    if (now - m_lastFreeAt < FreePeriod || rank() > 0) {
        co_return;
    }
    m_lastFreeAt = now;
    for (const auto &entry : m_state.weights) {
        notePromisedByAll(entry.first);
    }
    for (const auto &entry : m_state.weights) {
        const auto &model = entry.first;
        const auto &announced = entry.second;
        const auto knownToAll = noteKnownToAll(model, announced.wanted());
        const auto mayFree = [&](u64 version, std::string_view part) {
            return mayFreeUnused(model, version) || m_state.retirement.mayFree(announced, version, part, knownToAll, now);
        };
        const auto parts = m_state.parts.partsToFree(m_store, model, mayFree, MaxPartsPerFree);
        if (parts.parts.empty()) {
            continue;
        }
        const auto request = m_dependencies.codec.cacheFreeRequest(parts, freshness().epoch());
        const auto result = co_await m_client.exchange(request, ListTimeout, answerLimit());
        if (result.progress == http::Progress::Answered && result.response.status < FirstHttpErrorStatus) {
            for (const auto &[salt, id] : parts.parts) {
                m_state.parts.noteDropped(m_store, salt, id);
            }
        }
        m_dependencies.logger.event(LogLevel::Info, "cache_freed",
                                    {{"store", m_store},
                                     {"model", model},
                                     {"older_than", m_state.wantedVersion(model)},
                                     {"parts", u64{parts.parts.size()}},
                                     {"status", u64{result.progress == http::Progress::Answered ? result.response.status : u16{0}}}});
        co_return;
    }
}

} // namespace burdock::gateway
