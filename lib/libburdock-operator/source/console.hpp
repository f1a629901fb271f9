#pragma once

#include <burdock/clients/http_object_store.hpp>
#include <burdock/ops/command.hpp>
#include <burdock/ops/fleet_status.hpp>
#include <burdock/ops/rollout.hpp>
#include <burdock/runtime/worker_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <optional>
#include <string>
#include <vector>

namespace burdock::ops::detail {

/** @brief Reads a file; nothing if it cannot be opened. */
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);
[[nodiscard]] bool writeFile(const std::string &path, const std::string &content);

/** @brief Prints an error message to standard error and returns the exit code. */
[[nodiscard]] ExitCode fail(ExitCode code, const std::string &message);

/** @brief Prints a table with a heading, or a JSON array of objects if `options.isJson` is set. */
void printTable(const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows, const Options &options);

/** @brief Access to the platform that blocks until each call has finished. */
class PlatformClient
{
public:
    explicit PlatformClient(const Options &options);

    [[nodiscard]] clients::ObjectStore &store();

    template <typename Result>
    [[nodiscard]] Result wait(boost::asio::awaitable<Result> task)
    {
        return boost::asio::co_spawn(m_pool.context(), std::move(task), boost::asio::use_future).get();
    }

private:
    clients::HttpObjectStore m_store;
    runtime::WorkerPool m_pool;
};

/** @brief Waits until all processes have applied a rollout and prints the result. */
[[nodiscard]] ExitCode reportRollout(PlatformClient &client, const RolloutResult &result, const Options &options);

} // namespace burdock::ops::detail
