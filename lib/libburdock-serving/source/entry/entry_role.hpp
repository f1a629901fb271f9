#pragma once

#include <burdock/clients/http_object_store.hpp>
#include <burdock/serving/admin_handler.hpp>
#include <burdock/serving/config/config_watcher.hpp>
#include <burdock/serving/entry/caller_handler.hpp>
#include <burdock/serving/role.hpp>

#include <atomic>

namespace burdock::serving::detail {

/** @brief The entry role: accepts requests of callers and sends them to endpoint processes. */
class EntryRole : public Role
{
public:
    EntryRole(Process &process, const schema::DaemonSettings &settings);

    void start() override;
    [[nodiscard]] boost::asio::awaitable<void> drain() override;

private:
    /** @brief Opens the callers' port once the first configuration has arrived. */
    [[nodiscard]] boost::asio::awaitable<void> listenWhenReady();
    /** @brief Waits until no request has been active for a short while. */
    [[nodiscard]] boost::asio::awaitable<void> waitUntilIdle();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string status() const;

    Process &m_process;
    std::atomic<bool> m_isListening{false};
    schema::DaemonSettings m_settings;
    clients::HttpObjectStore m_store;
    ConfigHolder m_config;
    ConfigWatcher m_configWatcher;
    RunTable m_runs;
    runtime::link::Context m_links;
    Fleet m_fleet;
    RunCoordinator m_coordinator;
    CallerHandler m_callerHandler;
    AdminHandler m_adminHandler;
    admission::ClientMemory m_operatorMemory{runtime::http::OperatorMessageBytes};
    admission::ClientBudget m_clientBudget;
    admission::ClientMemory m_clientMemory;
    runtime::http::Server m_adminServer;
    runtime::http::Server m_callerServer;
};

} // namespace burdock::serving::detail
