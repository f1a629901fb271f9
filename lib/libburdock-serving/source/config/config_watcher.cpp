#include <burdock/serving/config/config_watcher.hpp>

#include <burdock/runtime/sleep.hpp>

namespace burdock::serving {

namespace {

// Bounds how long a watch whose connection went silent can hide a change.
constexpr Duration WatchTimeout = std::chrono::seconds(4);
// Bounds how late a process that doesn't watch applies a change that no peer sends it.
constexpr Duration PollInterval = std::chrono::seconds(5);
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr Duration RebaseInterval = std::chrono::minutes(5);
// A change has about 400 bytes; at the target size, these are the changes of two hours.
constexpr std::size_t MaxChanges = 8192;

} // namespace

Duration jittered(Duration base, runtime::RandomSource &random)
{
    const auto half = base.count() / 2;
    return Duration(half + static_cast<i64>(random.word() % static_cast<u64>(base.count() + 1)));
}

ConfigWatcher::ConfigWatcher(Process &process, clients::ObjectStore &store, ConfigHolder &holder)
    : m_process(process)
    , m_store(store)
    , m_reader(store)
    , m_holder(holder)
{
}

boost::asio::awaitable<void> ConfigWatcher::run(std::function<bool()> isWatcher)
{
    const auto id = currentConfigId();
    u64 seenVersion = 0;
    while (true) {
        const bool isWatching = isWatcher() || m_holder.version() == 0;
        clients::ReadResult result;
        if (isWatching) {
            result = co_await m_store.watch(id, seenVersion, WatchTimeout);
        } else {
            result = co_await m_store.read(id);
        }
        m_process.metrics.set("burdock_platform_reachable", result.status == StoreResult::Unreachable ? 0 : 1);
        if (result.status == StoreResult::Found) {
            seenVersion = co_await applyAccepted(result.value) ? result.version : 0;
        }
        if (result.status == StoreResult::Unreachable || seenVersion == 0) {
            // An object store restored from a backup continues at a lower version; watching from 0 also detects that.
            seenVersion = 0;
            co_await runtime::sleepFor(jittered(isWatching ? RetryDelay : PollInterval, m_process.random));
        } else if (!isWatching) {
            co_await runtime::sleepFor(jittered(PollInterval, m_process.random));
        }
    }
}

boost::asio::awaitable<void> ConfigWatcher::loadInitial()
{
    while (m_holder.version() == 0) {
        const auto result = co_await m_store.read(currentConfigId());
        if (result.status == StoreResult::Found) {
            static_cast<void>(co_await applyAccepted(result.value));
        }
        if (m_holder.version() == 0) {
            co_await runtime::sleepFor(jittered(RetryDelay, m_process.random));
        }
    }
}

boost::asio::awaitable<void> ConfigWatcher::rebaseLoop()
{
    while (true) {
        co_await runtime::sleepFor(jittered(RebaseInterval, m_process.random));
        if (m_holder.changeCount() <= MaxChanges) {
            continue;
        }
        const auto id = currentConfigId();
        const auto read = co_await m_store.read(id);
        schema::CurrentConfig current;
        if (read.status != StoreResult::Found || !current.ParseFromString(read.value)) {
            continue;
        }
        const auto bundleResult = co_await m_reader.readBundle(current);
        if (bundleResult.isRead) {
            m_holder.rebase(bundleResult.bundle);
        }
    }
}

boost::asio::awaitable<bool> ConfigWatcher::applyAccepted(const std::string &currentConfig)
{
    schema::CurrentConfig current;
    if (!current.ParseFromString(currentConfig) || current.version() <= m_holder.version()) {
        co_return true;
    }
    const auto held = m_holder.identity();
    const auto read = co_await m_reader.readSteps(current, held.version, held.id);
    if (!read.isRead) {
        m_process.logger.event(runtime::LogLevel::Warning, "bundle_unreadable", {{"version", current.version()}});
        co_return false;
    }
    // A gap means that steps of a peer were applied during the read; the next read finds what is still missing.
    co_return m_holder.tryApply(read.steps) != config::OfferResult::Gap;
}

} // namespace burdock::serving
