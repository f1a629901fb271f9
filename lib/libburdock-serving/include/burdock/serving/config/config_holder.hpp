#pragma once

#include <burdock/config/change_history.hpp>
#include <burdock/link.pb.h>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/config/snapshot.hpp>
#include <burdock/serving/process.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdock::serving {

/** @brief Identifies a configuration: its version and the step that produced it. */
struct ConfigIdentity
{
    u64 version = 0; ///< 0 if none
    std::string id; ///< step id, see stepId()
};

/** @brief Holds the configuration in force in this process. Its version never decreases. Thread-safe. */
class ConfigHolder
{
public:
    using Listener = std::function<void(const Snapshot &)>;

    ConfigHolder(Process &process, std::vector<std::string> trustedSigners);

    /** @brief The configuration in force, or null. Shared ownership lets an attempt keep the configuration it started with. */
    [[nodiscard]] std::shared_ptr<const Snapshot> current() const;

    /** @brief The version in force, or 0 if there is none. */
    [[nodiscard]] u64 version() const;
    [[nodiscard]] ConfigIdentity identity() const;

    /** @brief Applies steps if they lead to a newer version and are signed by trusted signers. Calls the listeners on success. */
    config::OfferResult tryApply(const config::Steps &steps);

    /** @brief Applies steps that a peer sent. */
    config::OfferResult tryApply(const schema::ConfigPush &push);

    /** @brief Request to send to a peer whose steps don't continue the held configuration. */
    [[nodiscard]] schema::ConfigRequest updateRequest() const;

    /** @brief Request to send to a peer that holds a version; nothing if the version is not newer or was requested a moment ago. */
    [[nodiscard]] std::optional<schema::ConfigRequest> updateRequestFor(u64 version);

    /** @brief Steps that bring the requesting peer to the version in force. */
    [[nodiscard]] schema::ConfigPush pushFor(const schema::ConfigRequest &request) const;

    /** @brief Number of changes kept since the whole bundle. */
    [[nodiscard]] std::size_t changeCount() const;

    /**
     * @brief Replaces the whole bundle by a later one and drops the changes that it contains.
     *
     * Does nothing if the bundle is not trusted or belongs to another history.
     */
    void rebase(const config::BundleStep &bundle);

    /** @brief Adds a listener that is called after each applied change. Must be called before the first steps are applied. */
    void addListener(Listener listener);

private:
    [[nodiscard]] std::shared_ptr<const Snapshot> buildSnapshot(const config::Steps &steps,
                                                                const config::StepsEvaluation &evaluation) const;
    [[nodiscard]] std::shared_ptr<const Snapshot> readWholeBundle(const config::BundleStep &bundle) const;
    [[nodiscard]] config::OfferResult reject(std::string_view reason) const;

    Process &m_process;
    std::vector<std::string> m_trustedSigners;
    std::vector<Listener> m_listeners;
    runtime::OrderedMutex<runtime::LockLevel::ConfigOffer> m_applyMutex; // serializes changes of the configuration
    mutable runtime::OrderedMutex<runtime::LockLevel::Config> m_mutex; // guards the members below
    std::shared_ptr<const Snapshot> m_current;
    config::ChangeHistory m_history;
    u64 m_requestedVersion = 0;
    TimePoint m_requestedAt{};
};

} // namespace burdock::serving
