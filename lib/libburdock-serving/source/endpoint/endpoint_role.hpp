#pragma once

#include <burdock/clients/http_engine.hpp>
#include <burdock/clients/http_object_store.hpp>
#include <burdock/serving/admin_handler.hpp>
#include <burdock/serving/config/config_watcher.hpp>
#include <burdock/serving/endpoint/prompt_runner.hpp>
#include <burdock/serving/endpoint/run_registry.hpp>
#include <burdock/serving/endpoint/service_runner.hpp>
#include <burdock/serving/endpoint/weight_loader.hpp>
#include <burdock/serving/role.hpp>

#include <optional>

namespace burdock::serving::detail {

/** @brief Components that only the endpoint process of a model engine has. */
struct EngineComponents
{
    EngineComponents(Process &process, ConfigHolder &config, clients::ObjectStore &store, AdmissionGate &gate,
                     const schema::DaemonSettings &settings);

    clients::HttpEngine engine;
    KvCacheOffloader cacheOffloader;
    EngineWatcher watcher;
    WeightLoader weightLoader;
    PromptRunner runner;
};

/** @brief The endpoint process, through which all requests to its endpoint pass. */
class EndpointRole : public Role, private runtime::link::ServerHandler
{
public:
    EndpointRole(Process &process, const schema::DaemonSettings &settings);

    void start() override;
    [[nodiscard]] boost::asio::awaitable<void> drain() override;

private:
    void onMessage(const runtime::link::PeerId &peer, const schema::LinkMessage &message) override;
    void answerHeartbeat(const runtime::link::PeerId &peer, const schema::Heartbeat &heartbeat);
    void sendHeartbeat(const runtime::link::PeerId &peer);
    void sendSuspectUpdates();
    [[nodiscard]] boost::asio::awaitable<void> sendPendingSuspectUpdates(u64 sentCount);
    void noteConfigVersion(const runtime::link::PeerId &peer, u64 version);
    void requestConfig(const runtime::link::PeerId &peer, const schema::ConfigRequest &request);
    void pushConfig(const runtime::link::PeerId &peer, const schema::ConfigRequest &request);
    void applyPoolPolicy(const Snapshot &config);
    [[nodiscard]] BackEndRunner &runner();
    [[nodiscard]] std::string status() const;

    Process &m_process;
    schema::DaemonSettings m_settings;
    clients::HttpObjectStore m_store;
    ConfigHolder m_config;
    ConfigWatcher m_configWatcher;
    AdmissionGate m_gate;
    OnceStore m_onceStore;
    std::unique_ptr<EngineComponents> m_engineComponents;
    std::unique_ptr<ServiceRunner> m_serviceRunner;
    SuspectTable m_suspects;
    RunRegistry m_registry;
    std::atomic<bool> m_isSendingSuspectUpdates{false};
    runtime::link::Context m_linkContext;
    runtime::link::Server m_server;
    AdminHandler m_admin;
    admission::ClientMemory m_operatorMemory{runtime::http::OperatorMessageBytes};
    runtime::http::Server m_adminServer;
};

} // namespace burdock::serving::detail
