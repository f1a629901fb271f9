#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/ops/exit_code.hpp>
#include <burdock/serving/config/config_reader.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief The currently accepted bundle. */
struct AcceptedBundle
{
    StoreResult status = StoreResult::Unreachable; ///< Found, Absent or Unreachable
    schema::CurrentConfig current;
    schema::Bundle bundle; ///< with all later changes applied
    u64 objectVersion = 0; ///< version of the object that `current` was read from
};

struct RolloutResult
{
    ExitCode code = ExitCode::Failed;
    u64 version = 0; ///< the accepted version, if Ok
    u64 conflictingVersion = 0; ///< the version accepted instead, if Conflict
    std::string detail;
};

/** @brief Limits that determine how bundles and changes are stored on the platform. */
struct RolloutStorageLimits
{
    /** Changes held in the CurrentConfig object; beyond that they are moved to a ChangeSegment. */
    u32 maxInlineChanges = 32;
    /** Changes after which a full bundle is stored, to limit how many changes a starting process has to read. */
    u32 maxChangesSinceBundle = 1024;
    /** Maximum size of one object in bytes; the platform accepts up to one megabyte. */
    std::size_t maxObjectBytes = 900'000;
};

/** @brief Publishes signed bundles and changes through the platform's object store. */
class Rollout
{
public:
    explicit Rollout(clients::ObjectStore &store, const RolloutStorageLimits &limits = {});

    /** @brief Reads the currently accepted bundle from the platform. */
    [[nodiscard]] boost::asio::awaitable<AcceptedBundle> accepted();

    /** @brief Publishes a bundle. Ok means that it was accepted, even if responses of the platform were lost. */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> apply(const schema::SignedBundle &bundle);

    /**
     * @brief Edits the accepted bundle, and retries if it is changed concurrently. Only the difference is signed, stored and sent to
     * the processes.
     * @param secretKey hex Ed25519 secret key to sign with
     * @param edit      modifies the bundle in place; returns false if no change is needed
     */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> edit(const std::string &secretKey, std::function<bool(schema::Bundle &)> edit);

private:
    enum class VersionOrigin : u8 {
        Own,
        Other,
        Undetermined,
    };

    [[nodiscard]] boost::asio::awaitable<RolloutResult> applyChange(const AcceptedBundle &before, const schema::Bundle &after,
                                                                    const std::string &secretKey);
    /** @brief Moves changes that no longer fit into `next` to an object of their own, or replaces them by a full bundle. */
    [[nodiscard]] boost::asio::awaitable<bool> archiveChanges(const AcceptedBundle &before, const std::string &secretKey,
                                                              schema::CurrentConfig &next);
    [[nodiscard]] boost::asio::awaitable<bool> storeBundle(const std::string &digest, const std::string &bytes);
    [[nodiscard]] boost::asio::awaitable<bool> storeObject(const clients::ObjectId &id, const std::string &bytes);
    /** @brief Finds out whether the version of `next` was created by this change or by another one. */
    [[nodiscard]] boost::asio::awaitable<VersionOrigin> findOrigin(const schema::CurrentConfig &current, const schema::CurrentConfig &next);
    [[nodiscard]] boost::asio::awaitable<RolloutResult> publishCurrent(const schema::CurrentConfig &next, const AcceptedBundle &before);

    clients::ObjectStore &m_store;
    RolloutStorageLimits m_limits;
    serving::ConfigReader m_reader;
};

/** @brief Converts a bundle to JSON in the format that operators write. */
[[nodiscard]] std::string toJson(const schema::Bundle &bundle);

} // namespace burdock::ops
