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
constexpr Duration EventWait = std::chrono::milliseconds(1000);
constexpr Duration EventTimeout = std::chrono::milliseconds(1600);
constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
/** Pause between two calls, so that events which come together are answered by one. */
constexpr Duration GatherTime = std::chrono::milliseconds(60);
constexpr Duration FailurePause = std::chrono::milliseconds(400);
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
    bool isKnown = false;
    while (isConfigured()) {
        if (!isKnown) {
            isKnown = co_await readAll();
        }
        const bool isFollowed = isKnown && co_await readChanges();
        if (!isFollowed) {
            // Parts that may be gone must not be fetched.
            m_state.parts.noteReset(m_store);
            isKnown = false;
            co_await runtime::sleepFor(FailurePause);
            continue;
        }
        co_await freeOutdated();
        co_await runtime::sleepFor(GatherTime);
    }
    m_state.parts.noteReset(m_store);
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
    m_state.parts.noteReset(m_store);
    m_epoch = list->epoch;
    take(*list);
    m_parts.logger.event(LogLevel::Info, "cache_store_listed",
                         {{"store", m_store}, {"epoch", m_epoch}, {"parts", u64{list->events.size()}}});
    co_return true;
}

boost::asio::awaitable<bool> CacheFollower::readChanges()
{
    const auto request = m_parts.dialect.cacheEventsRequest(m_next, EventWait);
    const auto result = co_await m_client.exchange(request, EventTimeout);
    if (result.progress != http::Progress::Answered) {
        m_parts.logger.event(LogLevel::Warning, "cache_store_lost", {{"store", m_store}});
        co_return false;
    }
    const auto events = m_parts.dialect.readCacheEvents(result.response.body);
    if (!events || events->epoch != m_epoch || events->hasGap) {
        m_parts.logger.event(LogLevel::Info, "cache_events_broken",
                             {{"store", m_store},
                              {"status", u64{result.response.status}},
                              {"restarted", events && events->epoch != m_epoch},
                              {"gap", events && events->hasGap}});
        co_return false;
    }
    take(*events);
    co_return true;
}

void CacheFollower::take(const CacheEvents &events)
{
    m_next = events.next;
    if (events.clockMs) {
        m_state.noteEndpointClock(*events.clockMs, m_parts.clock.now());
    }
    for (const auto &event : events.events) {
        if (event.isStored) {
            m_state.parts.noteStored(m_store, event.salt, event.part, event.tokens);
        } else {
            m_state.parts.noteDropped(m_store, event.salt, event.part);
        }
    }
}

// One entry frees at each store, chosen by hash over the registered entries; a second one would only repeat calls.
bool CacheFollower::isOwnDuty() const
{
    const auto rank = [this](const std::string &entry) {
        return hash::fast(entry, hash::fast(m_store));
    };
    return std::none_of(m_state.entries.begin(), m_state.entries.end(),
                        [&](const std::string &entry) { return rank(entry) > rank(m_settings.name); });
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
    if (now - m_freedAt < FreePeriod || !isOwnDuty()) {
        co_return;
    }
    m_freedAt = now;
    for (const auto &[model, named] : m_state.weights) {
        const auto knownToAll = noteKnownToAll(model, named.wanted());
        const auto mayFree = [&](u64 version, std::string_view part) {
            return m_state.retirement.mayFree(named, version, part, knownToAll, now);
        };
        const auto parts = m_state.parts.freeable(m_store, model, mayFree, FreeAtMost);
        if (parts.parts.empty()) {
            continue;
        }
        const auto request = m_parts.dialect.cacheFreeRequest(parts, m_epoch);
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
