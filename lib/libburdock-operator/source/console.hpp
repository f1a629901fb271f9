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

[[nodiscard]] std::optional<std::string> readFile(const std::string &path);
[[nodiscard]] bool writeFile(const std::string &path, const std::string &content);

/** @brief Prints an error and gives its exit code. */
[[nodiscard]] ExitCode fail(ExitCode code, const std::string &message);

/** @brief Prints rows under a heading, or an array of objects. */
void printTable(const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows, const Options &options);

/** @brief The platform, for commands that wait for each call. */
class PlatformConsole
{
public:
    explicit PlatformConsole(const Options &options);

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

/** @brief Reports a rollout and waits until it is in force everywhere. */
[[nodiscard]] ExitCode reportRollout(PlatformConsole &console, const RolloutResult &result, const Options &options);

} // namespace burdock::ops::detail
