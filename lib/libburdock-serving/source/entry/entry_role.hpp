#pragma once

#include <burdock/clients/http_object_store.hpp>
#include <burdock/serving/admin_handler.hpp>
#include <burdock/serving/config/config_watcher.hpp>
#include <burdock/serving/entry/caller_handler.hpp>
#include <burdock/serving/role.hpp>

#include <atomic>

namespace burdock::serving::detail {

/** @brief The entry: speaks to callers and proposes their requests to endpoint processes. */
class EntryRole : public Role
{
public:
    EntryRole(Process &process, const schema::DaemonSettings &settings);

    void start() override;
    [[nodiscard]] boost::asio::awaitable<void> drain() override;

private:
    [[nodiscard]] boost::asio::awaitable<void> openToCallers();
    /** @brief Waits until no request has been under way for a moment. */
    [[nodiscard]] boost::asio::awaitable<void> awaitQuiet();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string status() const;

    Process &m_process;
    std::atomic<bool> m_isOpen{false};
    schema::DaemonSettings m_settings;
    clients::HttpObjectStore m_store;
    ConfigHolder m_config;
    ConfigWatcher m_watch;
    RunTable m_runs;
    runtime::link::Context m_links;
    Fleet m_fleet;
    RunDriver m_driver;
    CallerHandler m_callers;
    AdminHandler m_admin;
    runtime::http::Server m_adminServer;
    runtime::http::Server m_callerServer;
};

} // namespace burdock::serving::detail
