#include "kind_watcher.hpp"

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <array>

namespace burdock::gateway {

namespace {

constexpr std::array<std::string_view, 6> KindNames{"configuration", "endpoints", "evacuations", "weights", "entries", "duties"};

/** Pause after a failed call; doubles with each further one. */
constexpr Duration FirstPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::milliseconds(250);
constexpr u32 MostDoublings = 3;
/** Failures in a row after which the whole list is read again. */
constexpr u32 FailuresToRelist = 8;
/** Pause between two watches, so that changes which come together are answered by one call. */
constexpr Duration GatherTime = std::chrono::milliseconds(150);

/** Time in which a watch that was held to its end is answered and the answer read. */
constexpr Duration PromptAnswer = std::chrono::milliseconds(250);

} // namespace

std::string_view toString(ObjectKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

KindWatcher::KindWatcher(const GatewayParts &parts, ObjectKind kind, Duration wait, KindHandlers handlers)
    : m_parts(parts)
    , m_kind(kind)
    , m_wait(wait)
    , m_handlers(std::move(handlers))
{
}

boost::asio::awaitable<void> KindWatcher::run()
{
    while (true) {
        const bool isListed = co_await readList();
        if (isListed) {
            co_await followChanges();
        }
    }
}

boost::asio::awaitable<bool> KindWatcher::readList()
{
    const auto started = m_parts.clock.now();
    const auto list = co_await m_parts.store.list(m_kind, Freshness::Current);
    if (list.answer != StoreResult::Found) {
        co_await pauseAfterFailure(list.answer);
        co_return false;
    }
    noteAnswered();
    m_revision = list.revision;
    m_handlers.onList(list.items);
    if (m_handlers.onCurrent) {
        m_handlers.onCurrent(started, Evidence::List);
    }
    co_return true;
}

boost::asio::awaitable<void> KindWatcher::followChanges()
{
    while (m_failures < FailuresToRelist) {
        const auto started = m_parts.clock.now();
        // After a failure, or while requests are refused for want of an answer, the answer matters, not the wait.
        const bool isUrgent = m_failures > 0 || (m_handlers.isUrgent && m_handlers.isUrgent());
        const auto wait = isUrgent ? Duration::zero() : m_wait;
        const auto changes = co_await m_parts.store.watch(m_kind, m_revision, wait);
        if (changes.answer == StoreResult::Absent) {
            m_parts.logger.event(runtime::LogLevel::Info, "history_gone", {{"kind", toString(m_kind)}, {"revision", m_revision}});
            co_return;
        }
        if (changes.answer != StoreResult::Found) {
            co_await pauseAfterFailure(changes.answer);
            continue;
        }
        noteAnswered();
        m_revision = std::max(m_revision, changes.revision);
        if (!changes.changed.empty() || !changes.removed.empty()) {
            m_handlers.onChanges(changes);
        }
        if (m_handlers.onCurrent) {
            m_handlers.onCurrent(started, Evidence::Watch);
        }
        // A watch that ends without a change was held by the store for as long as it was asked to.
        // An answer that is read late may have been given early.
        const auto lasted = m_parts.clock.now() - started;
        const bool isHeld = changes.changed.empty() && changes.removed.empty() && lasted >= wait && lasted < wait + PromptAnswer;
        if (m_handlers.onHeld && isHeld) {
            m_handlers.onHeld(started + wait);
        }
        if (!changes.changed.empty() || !changes.removed.empty()) {
            co_await runtime::sleepFor(GatherTime);
        }
    }
    m_failures = 0;
}

boost::asio::awaitable<void> KindWatcher::pauseAfterFailure(StoreResult answer)
{
    if (m_failures == 0) {
        m_parts.logger.event(runtime::LogLevel::Warning, "store_lost",
                             {{"kind", toString(m_kind)}, {"answered", answer != StoreResult::Unreachable}});
    }
    const auto doublings = std::min(m_failures, MostDoublings);
    ++m_failures;
    const auto pause = std::min(FirstPause * (1U << doublings), LongestPause);
    co_await runtime::sleepFor(pause);
}

void KindWatcher::noteAnswered()
{
    if (m_failures > 0) {
        m_parts.logger.event(runtime::LogLevel::Info, "store_regained", {{"kind", toString(m_kind)}, {"failures", u64{m_failures}}});
    }
    m_failures = 0;
}

} // namespace burdock::gateway
