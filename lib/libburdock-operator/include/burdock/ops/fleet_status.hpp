#pragma once

#include <burdock/clients/object_store.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief What one process says of itself. */
struct ProcessStatus
{
    membership::ListedVm vm;
    bool isReachable = false;
    boost::json::object document; ///< its /statusz

    [[nodiscard]] u64 number(std::string_view key) const;
    [[nodiscard]] bool flag(std::string_view key) const;
    /** @brief Counts by name, as `overloaded 3, customer_limit 1`; empty if there are none. */
    [[nodiscard]] std::string counts(std::string_view key) const;
};

/** @brief Asks all listed processes for their status. */
[[nodiscard]] boost::asio::awaitable<std::vector<ProcessStatus>> askAll(clients::ObjectStore &store);

/** @brief Waits until all reachable processes hold a version; returns those that don't when time is up. */
[[nodiscard]] boost::asio::awaitable<std::vector<ProcessStatus>> awaitVersion(clients::ObjectStore &store, u64 version, Duration patience);

} // namespace burdock::ops
