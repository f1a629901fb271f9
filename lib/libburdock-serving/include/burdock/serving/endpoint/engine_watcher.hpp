#pragma once

#include <burdock/clients/engine.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/endpoint/admission_gate.hpp>
#include <burdock/serving/endpoint/kv_cache_offloader.hpp>

#include <string>
#include <vector>

namespace burdock::serving {

/** @brief Tracks an engine's restarts and loaded weights. Thread-safe. */
class EngineWatcher
{
public:
    EngineWatcher(Process &process, clients::Engine &engine, AdmissionGate &gate, KvCacheOffloader &cacheOffloader);

    /** @brief Polls the engine until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Queries the engine's state now; false if it can't be reached. */
    boost::asio::awaitable<bool> refresh();

    /** @brief Like refresh(), after a run has failed; admits no run until it is known whether the engine restarted. */
    [[nodiscard]] boost::asio::awaitable<bool> refreshAfterFailure();

    /** @brief Records the boot id of an engine response. */
    void noteBootId(const std::string &bootId);

    /** @brief Records that the engine did not respond or closed a connection. */
    void noteUnreachable();

    [[nodiscard]] std::vector<std::string> loadedWeights() const;
    [[nodiscard]] bool hasLoaded(const std::string &weightName) const;
    [[nodiscard]] bool isReachable() const;

private:
    void setLoadedWeights(std::vector<std::string> weightNames);

    Process &m_process;
    clients::Engine &m_engine;
    AdmissionGate &m_gate;
    KvCacheOffloader &m_cacheOffloader;
    mutable runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex;
    std::vector<std::string> m_loadedWeights;
    bool m_isReachable = false;
};

} // namespace burdock::serving
