#include "object_watcher.hpp"

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <array>

namespace burdock::gateway {

namespace {

constexpr std::array<std::string_view, 8> KindNames{"configuration", "endpoints", "evacuations", "weights",
                                                    "entries",       "duties",    "rollouts",    "software"};

/** Delay after a failed call; doubles with each consecutive failure. */
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(250);
constexpr u32 MaxDoublings = 3;
/** Consecutive failures after which the full list is read again. */
constexpr u32 FailuresToRelist = 8;
/** Delay between two watches, so that one call covers changes that occur close together. */
constexpr Duration BatchDelay = std::chrono::milliseconds(150);

/** Time in which the response to a watch that waited to its end is sent and read. */
constexpr Duration MaxResponseDelay = std::chrono::milliseconds(250);

} // namespace

std::string_view toString(ObjectKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

ObjectWatcher::ObjectWatcher(const GatewayDependencies &dependencies, ObjectKind kind, Duration wait, ObjectHandlers handlers,
                             ReadingExchange &reading)
    : m_dependencies(dependencies)
    , m_kind(kind)
    , m_wait(wait)
    , m_handlers(std::move(handlers))
    , m_reading(reading)
{
    const auto onConfirmed = [this](TimePoint asOf) {
        if (m_handlers.onSynced) {
            m_handlers.onSynced(asOf, SyncSource::Watch);
        }
    };
    m_reading.follow(m_kind, {m_handlers.onChanges, onConfirmed});
}

boost::asio::awaitable<void> ObjectWatcher::run()
{
    while (true) {
        const bool isListed = co_await readList();
        if (isListed) {
            co_await followChanges();
        }
    }
}

boost::asio::awaitable<bool> ObjectWatcher::readList()
{
    if (!m_mustList) {
        co_await m_reading.waitForTurn(m_kind);
    }
    const u64 before = m_reading.known(m_kind).revision();
    const auto started = m_dependencies.clock.now();
    const auto list = co_await m_dependencies.store.list(m_kind, Freshness::Current);
    if (list.status != StoreResult::Found) {
        co_await delayAfterFailure(list.status);
        co_return false;
    }
    noteSuccess();
    const u64 known = m_reading.known(m_kind).revision();
    if (known > before && list.revision < known) {
        // Another entry told of newer changes meanwhile.
        co_return false;
    }
    m_mustList = false;
    m_reading.noteListed(m_kind, list.revision, started);
    m_handlers.onList(list.items);
    if (m_handlers.onSynced) {
        m_handlers.onSynced(started, SyncSource::List);
    }
    co_return true;
}

boost::asio::awaitable<void> ObjectWatcher::followChanges()
{
    while (m_failures < FailuresToRelist) {
        co_await m_reading.waitForTurn(m_kind);
        const auto started = m_dependencies.clock.now();
        // After a failure, or while requests are rejected until the store responds, an immediate response matters more than a long poll.
        const bool isUrgent = m_failures > 0 || (m_handlers.isUrgent && m_handlers.isUrgent());
        const auto wait = isUrgent ? Duration::zero() : m_reading.watchTime(m_kind, m_wait);
        const u64 since = m_reading.known(m_kind).revision();
        const auto changes = co_await m_dependencies.store.watch(m_kind, since, wait);
        if (changes.status == StoreResult::Absent) {
            m_dependencies.logger.event(runtime::LogLevel::Info, "history_gone", {{"kind", toString(m_kind)}, {"revision", since}});
            m_mustList = true;
            co_return;
        }
        if (changes.status != StoreResult::Found) {
            co_await delayAfterFailure(changes.status);
            continue;
        }
        noteSuccess();
        if (changes.revision < since && m_reading.isShared(m_kind)) {
            // Another entry told of a revision that the store doesn't have.
            m_mustList = true;
            co_await runtime::sleepFor(FirstRetryDelay);
            co_return;
        }
        if (m_reading.noteRead(m_kind, since, changes, started)) {
            m_handlers.onChanges(changes);
        }
        if (m_handlers.onSynced) {
            m_handlers.onSynced(started, SyncSource::Watch);
        }
        // The store ends a watch without changes only after the requested wait. A response that is read late may have been sent early,
        // so it is no evidence of that.
        const auto elapsed = m_dependencies.clock.now() - started;
        const bool isIdle = changes.changed.empty() && changes.removed.empty() && elapsed >= wait && elapsed < wait + MaxResponseDelay;
        if (m_handlers.onIdleWatch && isIdle) {
            m_handlers.onIdleWatch(started + wait);
            m_reading.noteComplete(m_kind, started + wait);
        }
        const bool hasChanges = !changes.changed.empty() || !changes.removed.empty();
        // The store may cut off a watch that waits, and again the next one.
        const bool isCutOff = !hasChanges && elapsed < wait / 2;
        if (hasChanges || isCutOff) {
            co_await runtime::sleepFor(BatchDelay);
        }
    }
    m_failures = 0;
}

boost::asio::awaitable<void> ObjectWatcher::delayAfterFailure(StoreResult status)
{
    if (m_failures == 0) {
        m_dependencies.logger.event(runtime::LogLevel::Warning, "store_lost",
                                    {{"kind", toString(m_kind)}, {"answered", status != StoreResult::Unreachable}});
    }
    const auto doublings = std::min(m_failures, MaxDoublings);
    ++m_failures;
    const auto pause = std::min(FirstRetryDelay * (1U << doublings), MaxRetryDelay);
    co_await runtime::sleepFor(pause);
}

void ObjectWatcher::noteSuccess()
{
    if (m_failures > 0) {
        m_dependencies.logger.event(runtime::LogLevel::Info, "store_regained", {{"kind", toString(m_kind)}, {"failures", u64{m_failures}}});
    }
    m_failures = 0;
}

} // namespace burdock::gateway
