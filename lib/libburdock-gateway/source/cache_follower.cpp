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
constexpr Duration EventWait = std::chrono::milliseconds(400);
constexpr Duration EventTimeout = std::chrono::milliseconds(500);
constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
/** Pause between two calls, so that events which come together are answered by one. */
constexpr Duration GatherTime = std::chrono::milliseconds(60);
constexpr Duration FailurePause = std::chrono::milliseconds(400);
/** Entries that follow one store. */
constexpr std::size_t FollowersPerStore = 3;
/** How often the others look whether they still hear of the store. */
constexpr Duration ListenPeriod = std::chrono::milliseconds(300);
constexpr Duration FreePeriod = std::chrono::milliseconds(500);
constexpr std::size_t FreeAtMost = 200;
constexpr u16 HttpError = 400;

} // namespace

CacheFollower::CacheFollower(const GatewayParts &parts, const GatewaySettings &settings, State &state, std::string store)
    : m_parts(parts)
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
        hear(events);
    };
    while (isConfigured()) {
        const bool isFollowed = co_await followOnce();
        if (!isFollowed) {
            co_await runtime::sleepFor(FailurePause);
            continue;
        }
        co_await freeOutdated();
        co_await runtime::sleepFor(GatherTime);
    }
    m_state.storeListeners.erase(m_store);
    m_state.storeFreshness.erase(m_store);
    m_state.parts.forgetStore(m_store);
}

cache::StoreFreshness &CacheFollower::news()
{
    return m_state.storeFreshness.at(m_store);
}

// A store holds few calls for events at once. So a few entries follow each store, chosen by hash, and tell the others; these
// only read the list when they have missed something.
boost::asio::awaitable<bool> CacheFollower::followOnce()
{
    if (!news().isCurrent(m_parts.clock.now())) {
        co_return co_await readAll();
    }
    if (rank() < FollowersPerStore) {
        co_return co_await readChanges();
    }
    co_await runtime::sleepFor(ListenPeriod);
    co_return true;
}

// Takes what another entry tells of the store.
void CacheFollower::hear(const CacheEvents &events)
{
    noteClock(events);
    const auto stretch = news().noteEvents(events.epoch, events.since, events.next, m_parts.clock.now());
    if (stretch == cache::EventBatchResult::Applied) {
        take(events);
    }
}

void CacheFollower::noteClock(const CacheEvents &events)
{
    if (events.clockMs) {
        m_state.noteEndpointClock(*events.clockMs, m_parts.clock.now());
    }
}

void CacheFollower::tell(const CacheEvents &events)
{
    m_state.storeEventsToTell.push_back({m_store, events});
}

std::size_t CacheFollower::rank() const
{
    const auto score = [this](const std::string &entry) {
        return hash::fast(entry, hash::fast(m_store));
    };
    return static_cast<std::size_t>(std::count_if(m_state.entries.begin(), m_state.entries.end(),
                                                  [&](const std::string &entry) { return score(entry) > score(m_settings.name); }));
}

bool CacheFollower::isConfigured() const
{
    const auto &stores = m_state.parts.stores();
    return std::any_of(stores.begin(), stores.end(), [this](const cache::PartStore &store) { return store.address == m_store; });
}

boost::asio::awaitable<bool> CacheFollower::readAll()
{
    const auto request = m_parts.dialect.cacheListRequest();
    const auto result = co_await m_client.exchange(request, ListTimeout);
    if (result.progress != http::Progress::Answered) {
        co_return false;
    }
    const auto list = m_parts.dialect.readCacheList(result.response.body);
    if (!list) {
        co_return false;
    }
    m_state.parts.forgetStore(m_store);
    news().noteListed(list->epoch, list->next, m_parts.clock.now());
    take(*list);
    m_parts.logger.event(LogLevel::Info, "cache_store_listed",
                         {{"store", m_store}, {"epoch", list->epoch}, {"parts", u64{list->events.size()}}});
    co_return true;
}

boost::asio::awaitable<bool> CacheFollower::readChanges()
{
    const u64 since = news().next();
    const auto request = m_parts.dialect.cacheEventsRequest(since, EventWait);
    const auto result = co_await m_client.exchange(request, EventTimeout);
    if (result.progress != http::Progress::Answered) {
        m_parts.logger.event(LogLevel::Warning, "cache_store_lost", {{"store", m_store}});
        news().markOutdated();
        // The others are to believe nothing of it either.
        tell(CacheEvents{});
        co_return false;
    }
    auto events = m_parts.dialect.readCacheEvents(result.response.body);
    if (events) {
        events->since = since;
    }
    const bool isBroken = !events || events->epoch != news().epoch() || events->hasGap;
    if (isBroken) {
        m_parts.logger.event(LogLevel::Info, "cache_events_broken",
                             {{"store", m_store},
                              {"status", u64{result.response.status}},
                              {"restarted", events && events->epoch != news().epoch()},
                              {"gap", events && events->hasGap}});
        news().markOutdated();
        co_return false;
    }
    noteClock(*events);
    tell(*events);
    if (news().noteEvents(events->epoch, since, events->next, m_parts.clock.now()) == cache::EventBatchResult::Applied) {
        take(*events);
    }
    co_return true;
}

void CacheFollower::take(const CacheEvents &events)
{
    for (const auto &event : events.events) {
        if (event.isStored) {
            m_state.parts.noteStored(m_store, event.salt, event.part, event.tokens);
        } else {
            m_state.parts.noteDropped(m_store, event.salt, event.part);
        }
    }
}

// Since when all entries, at each look, knew of the newest weights of a model.
std::optional<TimePoint> CacheFollower::noteKnownToAll(const std::string &model, u64 version)
{
    auto others = m_state.entries;
    std::erase(others, m_settings.name);
    auto &known = m_knownToAll[model];
    const bool isKnown = m_state.endpoints.peers().allKnow(others, model, version);
    if (!isKnown || known.version != version) {
        known.version = version;
        known.since.reset();
    }
    if (isKnown && !known.since) {
        known.since = m_parts.clock.now();
    }
    return known.since;
}

boost::asio::awaitable<void> CacheFollower::freeOutdated()
{
    const auto now = m_parts.clock.now();
    if (now - m_freedAt < FreePeriod || rank() > 0) {
        co_return;
    }
    m_freedAt = now;
    for (const auto &entry : m_state.weights) {
        const auto &model = entry.first;
        const auto &named = entry.second;
        const auto knownToAll = noteKnownToAll(model, named.wanted());
        const auto mayFree = [&](u64 version, std::string_view part) {
            return m_state.retirement.mayFree(named, version, part, knownToAll, now);
        };
        const auto parts = m_state.parts.partsToFree(m_store, model, mayFree, FreeAtMost);
        if (parts.parts.empty()) {
            continue;
        }
        const auto request = m_parts.dialect.cacheFreeRequest(parts, news().epoch());
        const auto result = co_await m_client.exchange(request, ListTimeout);
        if (result.progress == http::Progress::Answered && result.response.status < HttpError) {
            for (const auto &[salt, id] : parts.parts) {
                m_state.parts.noteDropped(m_store, salt, id);
            }
        }
        m_parts.logger.event(LogLevel::Info, "cache_freed",
                             {{"store", m_store},
                              {"model", model},
                              {"older_than", m_state.wantedVersion(model)},
                              {"parts", u64{parts.parts.size()}},
                              {"status", u64{result.progress == http::Progress::Answered ? result.response.status : u16{0}}}});
        co_return;
    }
}

} // namespace burdock::gateway
