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

/** @brief Kinds of objects in the platform's store. */
enum class ObjectKind : u8 {
    Configuration,
    Endpoints,
    Evacuations,
    Weights,
    Entries, ///< of this project: the entries that serve
    Duties, ///< of this project: leases of duties
};

/** @brief The name of a kind in logs and metrics. */
[[nodiscard]] std::string_view toString(ObjectKind kind);

struct StoredObject
{
    std::string name;
    u64 revision = 0; ///< of its last change
    boost::json::value spec;
};

/** @brief Whether a list must be up to date. */
enum class Freshness : u8 {
    Current,
    MayLag, ///< costs the platform less
};

/** @brief All objects of a kind. */
struct ObjectList
{
    StoreResult answer = StoreResult::Unreachable; ///< Found, or Unreachable or Unknown
    u64 revision = 0; ///< of the store
    std::vector<StoredObject> items;
};

/** @brief Changes of a kind since a revision. */
struct ObjectChanges
{
    StoreResult answer = StoreResult::Unreachable; ///< Found, Absent if the history is gone, or Unreachable or Unknown
    u64 revision = 0; ///< to watch from next
    std::vector<StoredObject> changed;
    std::vector<std::string> removed;
};

struct ObjectWrite
{
    StoreResult answer = StoreResult::Unreachable; ///< Written, Conflict, Unknown or Unreachable
    u64 revision = 0; ///< of the object, if written
    std::optional<StoredObject> present; ///< on Conflict, if the store told it
};

/** @brief The platform's store, by kind. Each call counts against its rates, a waiting watch as one. */
class KindStore
{
public:
    virtual ~KindStore() = default;

    [[nodiscard]] virtual boost::asio::awaitable<ObjectList> list(ObjectKind kind, Freshness freshness) = 0;

    /** @brief Waits for changes after a revision, at most as long as told; none if there were none. */
    [[nodiscard]] virtual boost::asio::awaitable<ObjectChanges> watch(ObjectKind kind, u64 revision, Duration wait) = 0;

    /** @brief Writes an object that must have the given revision, or must not exist without one. */
    [[nodiscard]] virtual boost::asio::awaitable<ObjectWrite> write(ObjectKind kind, const std::string &name,
                                                                    const boost::json::value &spec, std::optional<u64> revision)
        = 0;

    [[nodiscard]] virtual boost::asio::awaitable<StoreResult> remove(ObjectKind kind, const std::string &name) = 0;
};

} // namespace burdock::gateway
