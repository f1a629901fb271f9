#pragma once

#include <burdock/config/acceptance.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/config/snapshot.hpp>
#include <burdock/serving/process.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdock::serving {

/** @brief The configuration in force in this process; its version only rises. Thread-safe. */
class ConfigHolder
{
public:
    using Listener = std::function<void(const Snapshot &)>;

    ConfigHolder(Process &process, std::vector<std::string> trustedSigners);

    /** @brief The bundle in force, or null. Shared: requests under way keep the one that they began with. */
    [[nodiscard]] std::shared_ptr<const Snapshot> current() const;

    /** @brief The version in force, or 0. */
    [[nodiscard]] u64 version() const;

    /** @brief Judges a serialized SignedBundle and takes it over if it is newer. */
    config::Offer offer(const std::string &signedBytes);

    /** @brief Adds a listener, which is called after each change. Only before offers begin. */
    void addListener(Listener listener);

private:
    Process &m_process;
    std::vector<std::string> m_trustedSigners;
    std::vector<Listener> m_listeners;
    mutable runtime::OrderedMutex<runtime::LockLevel::Config> m_mutex;
    std::shared_ptr<const Snapshot> m_current;
};

} // namespace burdock::serving
