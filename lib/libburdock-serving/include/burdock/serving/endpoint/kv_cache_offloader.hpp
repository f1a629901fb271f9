#pragma once

#include <burdock/cache/cost_model.hpp>
#include <burdock/cache/export_queue.hpp>
#include <burdock/clients/block_store.hpp>
#include <burdock/clients/engine.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/config/config_holder.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdock::serving {

/** @brief Client of a store VM, with the name that is hashed to choose stores for a block. */
struct NamedStore
{
    std::string name;
    std::unique_ptr<clients::BlockStore> store;
};

/**
 * @brief Moves KV cache blocks between an engine and the store VMs: imports them before runs and exports them after runs.
 *
 * Tracks which blocks the engine holds, as far as is known. Thread-safe.
 */
class KvCacheOffloader
{
public:
    KvCacheOffloader(Process &process, ConfigHolder &config, clients::Engine &engine, std::vector<NamedStore> stores);

    /**
     * @brief Imports blocks that the engine lacks, if that costs less than recomputing them.
     * @return number of imported blocks; after a failure the engine recomputes the rest
     */
    [[nodiscard]] boost::asio::awaitable<u32> importMissing(const std::vector<cache::BlockKey> &keys);

    /** @brief Records that the engine has computed or used these blocks; new ones become candidates for export. */
    void noteRun(const std::vector<cache::BlockKey> &keys, u32 cachedTokens);

    /** @brief Records that the engine has restarted and holds no blocks. */
    void forgetEngineBlocks();

    /** @brief Exports queued blocks until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> exportLoop();

    /** @brief Polls the engine's cache events until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> eventLoop();

private:
    [[nodiscard]] std::size_t firstMissingBlock(const std::vector<cache::BlockKey> &keys) const;
    [[nodiscard]] cache::ImportInputs importInputs(std::size_t blocks) const;
    [[nodiscard]] std::vector<const NamedStore *> storesFor(const cache::BlockKey &key);
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> fetch(const cache::BlockKey &root, const cache::BlockKey &key);
    [[nodiscard]] boost::asio::awaitable<void> exportBlockToStore(const cache::ExportCandidate &candidate);
    void avoidStore(const std::string &name);
    void noteDeclined();
    void noteTransfer(std::size_t bytes, Duration time);

    Process &m_process;
    ConfigHolder &m_config;
    clients::Engine &m_engine;
    std::vector<NamedStore> m_stores;

    mutable runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards the members below
    std::set<cache::BlockKey> m_engineBlocks; // blocks that the engine holds, as far as is known
    std::set<cache::BlockKey> m_exportedBlocks;
    std::map<cache::BlockKey, cache::BlockKey> m_rootBlocks; // first block of the prompt, by queued block
    cache::ExportQueue m_exportQueue;
    std::map<std::string, TimePoint> m_avoidUntil; // by store name
    double m_blockBytes;
    double m_linkBytesPerSecond;
};

} // namespace burdock::serving
