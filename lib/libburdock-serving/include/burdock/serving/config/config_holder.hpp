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

/** @brief Which configuration a process holds. */
struct HeldConfig
{
    u64 version = 0; ///< 0 if none
    std::string id; ///< of the step that made it
};

/** @brief The configuration in force in this process; its version only rises. Thread-safe. */
class ConfigHolder
{
public:
    using Listener = std::function<void(const Snapshot &)>;

    ConfigHolder(Process &process, std::vector<std::string> trustedSigners);

    /** @brief The configuration in force, or null. Shared: an attempt under way keeps the one that it began with. */
    [[nodiscard]] std::shared_ptr<const Snapshot> current() const;

    /** @brief The version in force, or 0. */
    [[nodiscard]] u64 version() const;
    [[nodiscard]] HeldConfig held() const;

    /** @brief Judges steps and takes them over if they lead to a newer version and are signed by trusted signers. */
    config::OfferResult offer(const config::Steps &steps);

    /** @brief As offer(), for what a peer sent. */
    config::OfferResult offer(const schema::ConfigPush &push);

    /** @brief What to ask a peer for whose steps do not continue what is held. */
    [[nodiscard]] schema::ConfigRequest request() const;

    /** @brief What to ask a peer for that holds a version; nothing if it is not newer, or was asked for a moment ago. */
    [[nodiscard]] std::optional<schema::ConfigRequest> requestFor(u64 version);

    /** @brief What brings a peer to the version in force. */
    [[nodiscard]] schema::ConfigPush pushFor(const schema::ConfigRequest &request) const;

    /** @brief Changes kept since the whole bundle, and putting a later whole bundle under them. */
    [[nodiscard]] std::size_t changeCount() const;
    void rebase(const config::BundleStep &whole);

    /** @brief Adds a listener, which is called after each change. Only before offers begin. */
    void addListener(Listener listener);

private:
    [[nodiscard]] std::shared_ptr<const Snapshot> build(const config::Steps &steps, const config::StepsEvaluation &judgement) const;
    [[nodiscard]] std::shared_ptr<const Snapshot> readWhole(const config::BundleStep &whole) const;
    [[nodiscard]] config::OfferResult reject(std::string_view reason) const;

    Process &m_process;
    std::vector<std::string> m_trustedSigners;
    std::vector<Listener> m_listeners;
    runtime::OrderedMutex<runtime::LockLevel::ConfigOffer> m_offerMutex; // one offer at a time
    mutable runtime::OrderedMutex<runtime::LockLevel::Config> m_mutex; // guards what follows
    std::shared_ptr<const Snapshot> m_current;
    config::ChangeHistory m_history;
    u64 m_askedVersion = 0;
    TimePoint m_askedAt{};
};

} // namespace burdock::serving
