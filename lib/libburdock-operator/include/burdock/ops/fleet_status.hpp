#pragma once

#include <burdock/clients/object_store.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief Status reported by one process. */
struct ProcessStatus
{
    membership::ListedVm vm;
    bool isReachable = false;
    boost::json::object document; ///< JSON object returned by /statusz; empty if unreachable

    /** @brief Numeric field; 0 if it is missing. */
    [[nodiscard]] u64 number(std::string_view key) const;
    /** @brief Boolean field; false if it is missing. */
    [[nodiscard]] bool flag(std::string_view key) const;
    /** @brief Formats an object of counters as `overloaded 3, customer_limit 1`; empty if there are none. */
    [[nodiscard]] std::string counts(std::string_view key) const;
};

/** @brief Fetches the status of all processes listed by the platform. */
[[nodiscard]] boost::asio::awaitable<std::vector<ProcessStatus>> fetchAllStatuses(clients::ObjectStore &store);

/**
 * @brief Waits until all listed processes report at least the given configuration version.
 * @return the processes that are behind or unreachable when the timeout expires; empty on success
 */
[[nodiscard]] boost::asio::awaitable<std::vector<ProcessStatus>> waitForVersion(clients::ObjectStore &store, u64 version, Duration timeout);

} // namespace burdock::ops
