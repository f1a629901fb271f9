#include <burdock/serving/endpoint/kv_cache_offloader.hpp>

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <cstring>

namespace burdock::serving {

namespace {

constexpr u32 BytesPerToken = 4;
constexpr std::size_t MaxTrackedBlocks = 200'000;
constexpr std::size_t MaxQueuedExports = 1024;
constexpr std::size_t StoresPerBlock = 2;
constexpr double InitialBlockBytes = 64 * 1024;
constexpr double InitialLinkBytesPerSecond = 100e6;
constexpr double SmoothingFactor = 0.2;
constexpr double LinkEstimateRecovery = 0.02;
constexpr Duration SlowResponseTime = std::chrono::milliseconds(500);
constexpr Duration StoreBackoff = std::chrono::seconds(5);
constexpr Duration ExportPollInterval = std::chrono::milliseconds(20);
constexpr Duration EventPollInterval = std::chrono::milliseconds(200);
// A prompt that was reused once is likely to be reused again; a new one may never be.
constexpr double ReuseProbabilityAfterFirstUse = 0.4;
constexpr double ReuseProbabilityAfterReuse = 0.8;
constexpr double DefaultExportBytesPerSecond = 50e6;

double movingAverage(double mean, double newest)
{
    return (1 - SmoothingFactor) * mean + SmoothingFactor * newest;
}

void trimToLimit(std::set<cache::BlockKey> &keys)
{
    // Keys are hashes, so erasing the smallest ones is a random choice; a forgotten key costs one unneeded lookup.
    while (keys.size() > MaxTrackedBlocks) {
        keys.erase(keys.begin());
    }
}

} // namespace

KvCacheOffloader::KvCacheOffloader(Process &process, ConfigHolder &config, clients::Engine &engine, std::vector<NamedStore> stores)
    : m_process(process)
    , m_config(config)
    , m_engine(engine)
    , m_stores(std::move(stores))
    , m_exportQueue(MaxQueuedExports, limits::TokenBucket(DefaultExportBytesPerSecond, DefaultExportBytesPerSecond))
    , m_blockBytes(InitialBlockBytes)
    , m_linkBytesPerSecond(InitialLinkBytesPerSecond)
{
}

boost::asio::awaitable<u32> KvCacheOffloader::importMissing(const std::vector<cache::BlockKey> &keys)
{
    const auto config = m_config.current();
    const std::size_t first = firstMissingBlock(keys);
    if (m_stores.empty() || first == keys.size() || !config) {
        co_return 0;
    }
    const auto &policy = config->bundle().policy();
    const cache::CostWeights weights{policy.weight_first_token_ms(), policy.weight_recomputed_ktoken(), policy.weight_link_mib()};
    const cache::CostBasedImport importPolicy(weights);
    const auto inputs = importInputs(keys.size() - first);
    if (!importPolicy.shouldImport(inputs)) {
        m_process.metrics.count("burdock_imports_declined_total");
        noteDeclined();
        co_return 0;
    }
    const Duration budget = cache::importBudget(weights, inputs);
    const TimePoint startTime = m_process.clock.now();
    u32 imported = 0;
    for (std::size_t i = first; i < keys.size() && m_process.clock.now() - startTime < budget; ++i) {
        const auto payload = co_await fetch(keys.front(), keys[i]);
        // A block is unusable without all the blocks before it.
        if (!payload || !co_await m_engine.importBlock(keys[i], *payload)) {
            break;
        }
        ++imported;
        const std::lock_guard lock(m_mutex);
        m_engineBlocks.insert(keys[i]);
        m_exportedBlocks.insert(keys[i]);
    }
    m_process.metrics.count("burdock_imported_blocks_total", {}, imported);
    co_return imported;
}

boost::asio::awaitable<std::optional<std::string>> KvCacheOffloader::fetch(const cache::BlockKey &root, const cache::BlockKey &key)
{
    // The second store holds blocks that were exported while the first one was unreachable or full.
    for (const auto *store : storesFor(root)) {
        const TimePoint startTime = m_process.clock.now();
        auto payload = co_await store->store->get(key);
        if (payload) {
            noteTransfer(payload->size(), m_process.clock.now() - startTime);
            m_process.metrics.count("burdock_cache_link_bytes_total", {{"direction", "import"}}, static_cast<double>(payload->size()));
            co_return payload;
        }
        if (m_process.clock.now() - startTime >= SlowResponseTime) {
            // A slow request without a payload counts as a transfer at zero bytes per second.
            noteTransfer(0, m_process.clock.now() - startTime);
        }
    }
    co_return std::nullopt;
}

void KvCacheOffloader::noteRun(const std::vector<cache::BlockKey> &keys, u32 cachedTokens)
{
    const auto config = m_config.current();
    if (!config) {
        return;
    }
    const auto &policy = config->bundle().policy();
    const u32 blockTokens = policy.block_bytes() / BytesPerToken;
    const double recomputeMs = 1000.0 * blockTokens / policy.prefill_tokens_per_second();
    const double cost = policy.weight_first_token_ms() * recomputeMs + policy.weight_recomputed_ktoken() * blockTokens / 1000.0;
    const std::lock_guard lock(m_mutex);
    for (const auto &key : keys) {
        m_engineBlocks.insert(key);
        if (m_exportedBlocks.count(key) == 0 && !m_stores.empty()) {
            m_rootBlocks[key] = keys.front();
            m_exportQueue.add(
                {key, static_cast<u64>(m_blockBytes), cost, cachedTokens > 0 ? ReuseProbabilityAfterReuse : ReuseProbabilityAfterFirstUse});
        }
    }
    trimToLimit(m_engineBlocks);
}

void KvCacheOffloader::forgetEngineBlocks()
{
    const std::lock_guard lock(m_mutex);
    m_engineBlocks.clear();
}

boost::asio::awaitable<void> KvCacheOffloader::exportLoop()
{
    while (true) {
        std::optional<cache::ExportCandidate> next;
        {
            const std::lock_guard lock(m_mutex);
            next = m_exportQueue.take(m_process.clock.now());
        }
        if (next) {
            co_await exportBlockToStore(*next);
        } else {
            co_await runtime::sleepFor(ExportPollInterval);
        }
    }
}

boost::asio::awaitable<void> KvCacheOffloader::exportBlockToStore(const cache::ExportCandidate &candidate)
{
    cache::BlockKey root = candidate.key;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_rootBlocks.extract(candidate.key); !found.empty()) {
            root = found.mapped();
        }
    }
    const auto payload = co_await m_engine.exportBlock(candidate.key);
    if (!payload) {
        const std::lock_guard lock(m_mutex);
        m_engineBlocks.erase(candidate.key);
        co_return;
    }
    for (const auto *store : storesFor(root)) {
        const auto result = co_await store->store->put(candidate.key, *payload);
        if (result != clients::PutResult::Stored) {
            // A store VM that is unreachable (an error) or full (status 507) is skipped for a while. Every key has a second store,
            // and a block that is in no store only has to be recomputed.
            avoidStore(store->name);
            m_process.metrics.count("burdock_exports_failed_total", {{"store", store->name}});
            continue;
        }
        m_process.metrics.count("burdock_cache_link_bytes_total", {{"direction", "export"}}, static_cast<double>(payload->size()));
        const std::lock_guard lock(m_mutex);
        m_blockBytes = movingAverage(m_blockBytes, static_cast<double>(payload->size()));
        m_exportedBlocks.insert(candidate.key);
        trimToLimit(m_exportedBlocks);
        co_return;
    }
}

boost::asio::awaitable<void> KvCacheOffloader::eventLoop()
{
    u64 lastSequence = 0;
    while (true) {
        const auto events = co_await m_engine.events(lastSequence);
        if (events.isKnown) {
            const std::lock_guard lock(m_mutex);
            // A gap may hide dropped blocks, and a sequence that starts over means that the engine restarted; assuming that the
            // engine holds no blocks is correct in both cases.
            if (events.hasGap || events.lastSequence < lastSequence) {
                m_engineBlocks.clear();
            }
            std::set<std::string_view> dropped(events.dropped.begin(), events.dropped.end());
            std::erase_if(m_engineBlocks, [&dropped](const auto &key) { return dropped.count(hash::toHex(hash::asBytes(key))) > 0; });
            lastSequence = events.lastSequence;
        }
        co_await runtime::sleepFor(EventPollInterval);
    }
}

std::size_t KvCacheOffloader::firstMissingBlock(const std::vector<cache::BlockKey> &keys) const
{
    const std::lock_guard lock(m_mutex);
    const auto missing = std::find_if(keys.begin(), keys.end(), [this](const auto &key) { return m_engineBlocks.count(key) == 0; });
    return static_cast<std::size_t>(missing - keys.begin());
}

cache::ImportInputs KvCacheOffloader::importInputs(std::size_t blocks) const
{
    const auto config = m_config.current();
    const auto &policy = config->bundle().policy();
    cache::ImportInputs inputs;
    inputs.tokens = static_cast<u32>(blocks) * (policy.block_bytes() / BytesPerToken);
    inputs.prefillTokensPerSecond = policy.prefill_tokens_per_second();
    const std::lock_guard lock(m_mutex);
    inputs.bytes = static_cast<u64>(m_blockBytes * static_cast<double>(blocks));
    const double limit = static_cast<double>(policy.cache_link_bytes_per_second());
    inputs.linkBytesPerSecond = static_cast<u64>(std::max(1.0, std::min(limit, m_linkBytesPerSecond)));
    return inputs;
}

std::vector<const NamedStore *> KvCacheOffloader::storesFor(const cache::BlockKey &key)
{
    std::vector<std::pair<u64, const NamedStore *>> ranked;
    const std::lock_guard lock(m_mutex);
    for (const auto &store : m_stores) {
        const auto avoided = m_avoidUntil.find(store.name);
        if (avoided == m_avoidUntil.end() || avoided->second <= m_process.clock.now()) {
            ranked.emplace_back(hash::hash64(store.name, hash::hash64(hash::asBytes(key))), &store);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), StoresPerBlock));
    std::vector<const NamedStore *> stores;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(stores), [](const auto &entry) { return entry.second; });
    return stores;
}

void KvCacheOffloader::avoidStore(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_avoidUntil[name] = m_process.clock.now() + StoreBackoff;
}

// The link is measured only while it is used, so after a slow period imports would stay declined even though the link has recovered.
// Each declined import moves the estimate a little towards its initial value, until an import is tried again.
void KvCacheOffloader::noteDeclined()
{
    const std::lock_guard lock(m_mutex);
    m_linkBytesPerSecond += LinkEstimateRecovery * (InitialLinkBytesPerSecond - m_linkBytesPerSecond);
}

void KvCacheOffloader::noteTransfer(std::size_t bytes, Duration time)
{
    const std::lock_guard lock(m_mutex);
    if (bytes > 0) {
        m_blockBytes = movingAverage(m_blockBytes, static_cast<double>(bytes));
    }
    const double seconds = std::max(1e-6, toMilliseconds(time) / 1000.0);
    m_linkBytesPerSecond = movingAverage(m_linkBytesPerSecond, static_cast<double>(bytes) / seconds);
}

} // namespace burdock::serving
