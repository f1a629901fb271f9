#pragma once

#include <burdock/store_result.hpp>
#include <burdock/types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::gateway {

/** @brief Kinds of objects in the platform's object store. */
enum class ObjectKind : u8 {
    Configuration,
    Endpoints,
    Evacuations,
    Weights,
    Entries, ///< written by this project: the running entries
    Duties, ///< written by this project: leader leases
    Rollouts, ///< orders to move a service to another software version; this project writes their status
    Software, ///< written by this project: software with which streams of a service may have begun
};

/** @brief Returns the name of a kind in logs and metrics. */
[[nodiscard]] std::string_view toString(ObjectKind kind);

struct StoredObject
{
    std::string name;
    u64 revision = 0; ///< of the object's last change
    boost::json::value spec;
    boost::json::value status; ///< null if there is none; only read for kinds whose status matters
    boost::json::value metadata; ///< as the store gave it, for writing the status; only read for these kinds
    u64 createdRevision = 0; ///< of the store when the object was created; only read for these kinds
};

/** @brief Required consistency of a list. */
enum class Freshness : u8 {
    Current,
    MayBeStale, ///< may be outdated; costs the platform less
};

/** @brief All objects of a kind. */
struct ObjectList
{
    StoreResult status = StoreResult::Unreachable; ///< Found, or Unreachable or Unknown
    u64 revision = 0; ///< of the store at the time of the list
    std::vector<StoredObject> items;
};

/** @brief Changes to objects of a kind since a revision. */
struct ObjectChanges
{
    StoreResult status = StoreResult::Unreachable; ///< Found; Absent if the store no longer has the history; Unreachable or Unknown
    u64 revision = 0; ///< from which to watch next
    std::vector<StoredObject> changed;
    std::vector<std::string> removed;
    std::vector<StoredObject> superseded; ///< states of objects that have changed or were removed since; only where the store gives them
};

/** @brief Result of a write. */
struct ObjectWrite
{
    StoreResult status = StoreResult::Unreachable; ///< Written, Conflict, Unknown or Unreachable
    u64 revision = 0; ///< of the object, if it was written
    std::optional<StoredObject> present; ///< the stored object on Conflict, if the store returned it
};

/** @brief The platform's object store. Each call counts against its rate limits; a long-polling watch counts as one call. */
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    [[nodiscard]] virtual boost::asio::awaitable<ObjectList> list(ObjectKind kind, Freshness freshness) = 0;

    /** @brief Waits up to the given time for changes after a revision; the result is empty if there were none. */
    [[nodiscard]] virtual boost::asio::awaitable<ObjectChanges> watch(ObjectKind kind, u64 revision, Duration wait) = 0;

    /** @brief Writes an object if it has the given revision; without a revision, if it doesn't exist. */
    [[nodiscard]] virtual boost::asio::awaitable<ObjectWrite> write(ObjectKind kind, const std::string &name,
                                                                    const boost::json::value &spec, std::optional<u64> revision)
        = 0;

    /** @brief Writes the status of an object, with the rest as it was read, if it still has the revision of that time. */
    [[nodiscard]] virtual boost::asio::awaitable<ObjectWrite> writeStatus(ObjectKind kind, const StoredObject &object,
                                                                          const boost::json::value &status)
        = 0;

    [[nodiscard]] virtual boost::asio::awaitable<StoreResult> remove(ObjectKind kind, const std::string &name) = 0;
};

} // namespace burdock::gateway
