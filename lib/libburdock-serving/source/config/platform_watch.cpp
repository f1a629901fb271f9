#include <burdock/serving/config/platform_watch.hpp>

#include <burdock/runtime/sleep.hpp>

namespace burdock::serving {

namespace {

// Bounds how long a watch whose connection went silent can hide a change.
constexpr Duration WatchWait = std::chrono::seconds(4);
// Bounds how late a process that does not watch takes over a change, if no peer tells it sooner.
constexpr Duration LookPause = std::chrono::seconds(5);
constexpr Duration RetryPause = std::chrono::milliseconds(500);
constexpr Duration RebasePause = std::chrono::minutes(5);
// Some 400 bytes each; two hours' worth at the target size.
constexpr std::size_t MostChangesKept = 8192;

} // namespace

Duration jittered(Duration base, runtime::RandomSource &random)
{
    const auto half = base.count() / 2;
    return Duration(half + static_cast<i64>(random.word() % static_cast<u64>(base.count() + 1)));
}

PlatformWatch::PlatformWatch(Process &process, clients::ObjectStore &store, ConfigHolder &holder)
    : m_process(process)
    , m_store(store)
    , m_reader(store)
    , m_holder(holder)
{
}

boost::asio::awaitable<void> PlatformWatch::run(std::function<bool()> watches)
{
    const auto id = currentConfigId();
    u64 seen = 0;
    while (true) {
        const bool isWatching = watches() || m_holder.version() == 0;
        clients::ReadResult result;
        if (isWatching) {
            result = co_await m_store.watch(id, seen, WatchWait);
        } else {
            result = co_await m_store.read(id);
        }
        m_process.metrics.set("burdock_platform_reachable", result.answer == StoreAnswer::Unreachable ? 0 : 1);
        if (result.answer == StoreAnswer::Found) {
            seen = co_await take(result.value) ? result.version : 0;
        }
        if (result.answer == StoreAnswer::Unreachable || seen == 0) {
            // An object store that was restored from an old copy counts from a lower version; watching from 0 finds that too.
            seen = 0;
            co_await runtime::sleepFor(jittered(isWatching ? RetryPause : LookPause, m_process.random));
        } else if (!isWatching) {
            co_await runtime::sleepFor(jittered(LookPause, m_process.random));
        }
    }
}

boost::asio::awaitable<void> PlatformWatch::readOnce()
{
    while (m_holder.version() == 0) {
        const auto result = co_await m_store.read(currentConfigId());
        if (result.answer == StoreAnswer::Found) {
            static_cast<void>(co_await take(result.value));
        }
        if (m_holder.version() == 0) {
            co_await runtime::sleepFor(jittered(RetryPause, m_process.random));
        }
    }
}

boost::asio::awaitable<void> PlatformWatch::rebaseLoop()
{
    while (true) {
        co_await runtime::sleepFor(jittered(RebasePause, m_process.random));
        if (m_holder.changeCount() <= MostChangesKept) {
            continue;
        }
        const auto id = currentConfigId();
        const auto read = co_await m_store.read(id);
        schema::CurrentConfig current;
        if (read.answer != StoreAnswer::Found || !current.ParseFromString(read.value)) {
            continue;
        }
        const auto whole = co_await m_reader.whole(current);
        if (whole.isRead) {
            m_holder.rebase(whole.whole);
        }
    }
}

boost::asio::awaitable<bool> PlatformWatch::take(const std::string &currentConfig)
{
    schema::CurrentConfig current;
    if (!current.ParseFromString(currentConfig) || current.version() <= m_holder.version()) {
        co_return true;
    }
    const auto held = m_holder.held();
    const auto read = co_await m_reader.steps(current, held.version, held.id);
    if (!read.isRead) {
        m_process.logger.event(runtime::LogLevel::Warning, "bundle_unreadable", {{"version", current.version()}});
        co_return false;
    }
    // A gap here means that a peer was faster; the next look finds what is still missing.
    co_return m_holder.offer(read.steps) != config::OfferResult::Gap;
}

} // namespace burdock::serving
