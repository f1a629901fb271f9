#pragma once

#include <burdock/membership/member_table.hpp>
#include <burdock/store_result.hpp>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

/** @brief Clients of the systems that burdockpaddle depends on. */
namespace burdock::clients {

/** @brief Kind and name of an object. */
struct ObjectId
{
    std::string kind;
    std::string name;
};

struct ReadResult
{
    StoreResult status = StoreResult::Unreachable; ///< Found, Absent or Unreachable; Unknown if no response came in time
    std::string value;
    u64 version = 0; ///< version of the object, increases with each write
};

struct WriteResult
{
    StoreResult status = StoreResult::Unreachable; ///< Written, Conflict, Unknown or Unreachable
    u64 version = 0;
};

/** @brief The platform's list of VMs; may be out of date. */
struct VmList
{
    StoreResult status = StoreResult::Unreachable; ///< Found or Unreachable
    u64 version = 0;
    std::vector<membership::ListedVm> vms;
};

/**
 * @brief The platform's object API, which limits the request rate; a watch counts as one request, however long it waits.
 *
 * Thread-safe.
 */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    [[nodiscard]] virtual boost::asio::awaitable<ReadResult> read(const ObjectId &id) = 0;

    /** @brief Creates an object; Conflict if it exists already. */
    [[nodiscard]] virtual boost::asio::awaitable<WriteResult> create(const ObjectId &id, std::string_view value) = 0;

    /** @brief Replaces an object; Conflict if it no longer has the given version. */
    [[nodiscard]] virtual boost::asio::awaitable<WriteResult> replace(const ObjectId &id, std::string_view value, u64 version) = 0;

    /** @brief Waits until the object's version is above the given one, then reads it; Absent if the wait ended without a change. */
    [[nodiscard]] virtual boost::asio::awaitable<ReadResult> watch(const ObjectId &id, u64 version, Duration wait) = 0;

    /** @brief Like watch(), for the list of VMs. */
    [[nodiscard]] virtual boost::asio::awaitable<VmList> watchVms(u64 version, Duration wait) = 0;
};

/** @brief Pool under which the platform lists the entry VMs. */
inline constexpr std::string_view EntryPool = "entry";

} // namespace burdock::clients
