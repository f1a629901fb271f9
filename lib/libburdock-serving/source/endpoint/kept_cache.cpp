#include <burdock/serving/endpoint/kept_cache.hpp>

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <cstring>

namespace burdock::serving {

namespace {

constexpr u32 BytesPerToken = 4;
constexpr std::size_t MaxKnownBlocks = 200'000;
constexpr std::size_t MaxExports = 1024;
constexpr std::size_t PlacesOfBlock = 2;
constexpr double FirstGuessBlockBytes = 64 * 1024;
constexpr double FirstGuessLinkBytesPerSecond = 100e6;
constexpr double NewestWeight = 0.2;
constexpr double DeclinedRecovery = 0.02;
constexpr Duration SlowAnswer = std::chrono::milliseconds(500);
constexpr Duration AvoidStoreTime = std::chrono::seconds(5);
constexpr Duration ExportPause = std::chrono::milliseconds(20);
constexpr Duration EventPause = std::chrono::milliseconds(200);
// A prompt that has come back once is likely to come back again; one seen for the first time may not.
constexpr double ReturnChanceNew = 0.4;
constexpr double ReturnChanceReturned = 0.8;
constexpr double DefaultExportBytesPerSecond = 50e6;

double moving(double mean, double newest)
{
    return (1 - NewestWeight) * mean + NewestWeight * newest;
}

void bound(std::set<cache::BlockKey> &keys)
{
    // Keys are hashes, so dropping the smallest drops at random; a forgotten key costs one needless look-up.
    while (keys.size() > MaxKnownBlocks) {
        keys.erase(keys.begin());
    }
}

} // namespace

KeptCache::KeptCache(Process &process, ConfigHolder &config, clients::Engine &engine, std::vector<NamedStore> stores)
    : m_process(process)
    , m_config(config)
    , m_engine(engine)
    , m_stores(std::move(stores))
    , m_exports(MaxExports, limits::TokenBucket(DefaultExportBytesPerSecond, DefaultExportBytesPerSecond))
    , m_blockBytes(FirstGuessBlockBytes)
    , m_linkBytesPerSecond(FirstGuessLinkBytesPerSecond)
{
}

boost::asio::awaitable<u32> KeptCache::prepare(const std::vector<cache::BlockKey> &keys)
{
    const auto config = m_config.current();
    const std::size_t first = firstUnheld(keys);
    if (m_stores.empty() || first == keys.size() || !config) {
        co_return 0;
    }
    const auto &policy = config->bundle().policy();
    const cache::CostWeights weights{policy.weight_first_token_ms(), policy.weight_recomputed_ktoken(), policy.weight_link_mib()};
    const cache::CostBasedImport byCost(weights);
    const auto facts = importCase(keys.size() - first);
    if (!byCost.shouldImport(facts)) {
        m_process.metrics.count("burdock_imports_declined_total");
        noteDeclined();
        co_return 0;
    }
    const Duration budget = cache::importBudget(weights, facts);
    const TimePoint begin = m_process.clock.now();
    u32 imported = 0;
    for (std::size_t i = first; i < keys.size() && m_process.clock.now() - begin < budget; ++i) {
        const auto payload = co_await fetch(keys.front(), keys[i]);
        // A later block is of no use without the ones before it.
        if (!payload || !co_await m_engine.importBlock(keys[i], *payload)) {
            break;
        }
        ++imported;
        const std::lock_guard lock(m_mutex);
        m_held.insert(keys[i]);
        m_exported.insert(keys[i]);
    }
    m_process.metrics.count("burdock_imported_blocks_total", {}, imported);
    co_return imported;
}

boost::asio::awaitable<std::optional<std::string>> KeptCache::fetch(const cache::BlockKey &root, const cache::BlockKey &key)
{
    // The second place holds what was kept while the first was dead or full.
    for (const auto *store : storesFor(root)) {
        const TimePoint begin = m_process.clock.now();
        auto payload = co_await store->store->get(key);
        if (payload) {
            noteTransfer(payload->size(), m_process.clock.now() - begin);
            m_process.metrics.count("burdock_cache_link_bytes_total", {{"direction", "import"}}, static_cast<double>(payload->size()));
            co_return payload;
        }
        if (m_process.clock.now() - begin >= SlowAnswer) {
            // Too slow to answer at all counts as the slowest transfer that there is.
            noteTransfer(0, m_process.clock.now() - begin);
        }
    }
    co_return std::nullopt;
}

void KeptCache::noteRun(const std::vector<cache::BlockKey> &keys, u32 cachedTokens)
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
        m_held.insert(key);
        if (m_exported.count(key) == 0 && !m_stores.empty()) {
            m_roots[key] = keys.front();
            m_exports.add({key, static_cast<u64>(m_blockBytes), cost, cachedTokens > 0 ? ReturnChanceReturned : ReturnChanceNew});
        }
    }
    bound(m_held);
}

void KeptCache::forgetEngine()
{
    const std::lock_guard lock(m_mutex);
    m_held.clear();
}

boost::asio::awaitable<void> KeptCache::exportLoop()
{
    while (true) {
        std::optional<cache::ExportCandidate> next;
        {
            const std::lock_guard lock(m_mutex);
            next = m_exports.take(m_process.clock.now());
        }
        if (next) {
            co_await exportOne(*next);
        } else {
            co_await runtime::sleepFor(ExportPause);
        }
    }
}

boost::asio::awaitable<void> KeptCache::exportOne(const cache::ExportCandidate &candidate)
{
    cache::BlockKey root = candidate.key;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_roots.extract(candidate.key); !found.empty()) {
            root = found.mapped();
        }
    }
    const auto payload = co_await m_engine.exportBlock(candidate.key);
    if (!payload) {
        const std::lock_guard lock(m_mutex);
        m_held.erase(candidate.key);
        co_return;
    }
    for (const auto *store : storesFor(root)) {
        const auto result = co_await store->store->put(candidate.key, *payload);
        if (result != clients::PutResult::Stored) {
            // Guards against a dead or full store VM: it shows as an error or 507. Passing it over for a while holds because
            // every key has a second place, and none at all only costs recomputation.
            avoidStore(store->name);
            m_process.metrics.count("burdock_exports_failed_total", {{"store", store->name}});
            continue;
        }
        m_process.metrics.count("burdock_cache_link_bytes_total", {{"direction", "export"}}, static_cast<double>(payload->size()));
        const std::lock_guard lock(m_mutex);
        m_blockBytes = moving(m_blockBytes, static_cast<double>(payload->size()));
        m_exported.insert(candidate.key);
        bound(m_exported);
        co_return;
    }
}

boost::asio::awaitable<void> KeptCache::eventLoop()
{
    u64 seen = 0;
    while (true) {
        const auto events = co_await m_engine.events(seen);
        if (events.isKnown) {
            const std::lock_guard lock(m_mutex);
            // A gap may hide drops, and a sequence that starts over means a new engine; knowing nothing is right in both cases.
            if (events.hasGap || events.lastSequence < seen) {
                m_held.clear();
            }
            std::set<std::string_view> dropped(events.dropped.begin(), events.dropped.end());
            std::erase_if(m_held, [&dropped](const auto &key) { return dropped.count(hash::toHex(hash::asBytes(key))) > 0; });
            seen = events.lastSequence;
        }
        co_await runtime::sleepFor(EventPause);
    }
}

std::size_t KeptCache::firstUnheld(const std::vector<cache::BlockKey> &keys) const
{
    const std::lock_guard lock(m_mutex);
    const auto unheld = std::find_if(keys.begin(), keys.end(), [this](const auto &key) { return m_held.count(key) == 0; });
    return static_cast<std::size_t>(unheld - keys.begin());
}

cache::ImportInputs KeptCache::importCase(std::size_t blocks) const
{
    const auto config = m_config.current();
    const auto &policy = config->bundle().policy();
    cache::ImportInputs facts;
    facts.tokens = static_cast<u32>(blocks) * (policy.block_bytes() / BytesPerToken);
    facts.prefillTokensPerSecond = policy.prefill_tokens_per_second();
    const std::lock_guard lock(m_mutex);
    facts.bytes = static_cast<u64>(m_blockBytes * static_cast<double>(blocks));
    const double limit = static_cast<double>(policy.cache_link_bytes_per_second());
    facts.linkBytesPerSecond = static_cast<u64>(std::max(1.0, std::min(limit, m_linkBytesPerSecond)));
    return facts;
}

std::vector<const NamedStore *> KeptCache::storesFor(const cache::BlockKey &key)
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
    ranked.resize(std::min(ranked.size(), PlacesOfBlock));
    std::vector<const NamedStore *> stores;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(stores), [](const auto &entry) { return entry.second; });
    return stores;
}

void KeptCache::avoidStore(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_avoidUntil[name] = m_process.clock.now() + AvoidStoreTime;
}

// Guards against a link that was slow once and is then never used, so never measured, again: it shows as imports that stay
// declined after the link has recovered. Moving the estimate back a little with each refusal has it tried again.
void KeptCache::noteDeclined()
{
    const std::lock_guard lock(m_mutex);
    m_linkBytesPerSecond += DeclinedRecovery * (FirstGuessLinkBytesPerSecond - m_linkBytesPerSecond);
}

void KeptCache::noteTransfer(std::size_t bytes, Duration time)
{
    const std::lock_guard lock(m_mutex);
    if (bytes > 0) {
        m_blockBytes = moving(m_blockBytes, static_cast<double>(bytes));
    }
    const double seconds = std::max(1e-6, toMilliseconds(time) / 1000.0);
    m_linkBytesPerSecond = moving(m_linkBytesPerSecond, static_cast<double>(bytes) / seconds);
}

} // namespace burdock::serving
