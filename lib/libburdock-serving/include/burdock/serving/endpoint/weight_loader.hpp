#pragma once

#include <burdock/clients/engine.hpp>
#include <burdock/clients/object_store.hpp>
#include <burdock/serving/config/config_holder.hpp>
#include <burdock/serving/endpoint/engine_watcher.hpp>
#include <burdock/weights/load_slots.hpp>

#include <atomic>
#include <optional>
#include <string>

namespace burdock::serving {

/**
 * @brief Makes an engine load the configured weights, with a limit on how many replicas of a pool load at once.
 *
 * Load orders carry the incarnation number of this process as fencing token; a conditional update raises it at each start.
 */
class WeightLoader
{
public:
    WeightLoader(Process &process, ConfigHolder &config, clients::ObjectStore &store, clients::Engine &engine, EngineWatcher &engineWatcher,
                 std::string pool);

    /** @brief Starts to acquire an incarnation number and follows the configuration until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Fencing token of this process; 0 until it is acquired. */
    [[nodiscard]] u64 incarnation() const;

private:
    struct TargetWeights
    {
        std::string model;
        std::string version;
    };
    enum class SlotResult : u8 {
        Acquired,
        Busy,
        PlatformUnreachable,
    };

    [[nodiscard]] boost::asio::awaitable<void> acquireIncarnation();
    [[nodiscard]] std::optional<TargetWeights> nextMissingWeights() const;
    [[nodiscard]] boost::asio::awaitable<void> loadWeights(const TargetWeights &target);
    [[nodiscard]] boost::asio::awaitable<SlotResult> acquireSlot(weights::LoadSlots &slots);
    [[nodiscard]] boost::asio::awaitable<void> releaseSlot(weights::LoadSlots &slots);
    [[nodiscard]] clients::ObjectId slotsId() const;

    Process &m_process;
    ConfigHolder &m_config;
    clients::ObjectStore &m_store;
    clients::Engine &m_engine;
    EngineWatcher &m_engineWatcher;
    std::string m_pool;
    std::atomic<u64> m_incarnation{0};
};

} // namespace burdock::serving
