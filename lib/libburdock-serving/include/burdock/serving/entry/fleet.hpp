#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/membership/member_table.hpp>
#include <burdock/runtime/link/client.hpp>
#include <burdock/serving/config/config_holder.hpp>
#include <burdock/serving/entry/run_table.hpp>
#include <burdock/serving/suspect_table.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdock::serving {

/** @brief An endpoint that a run can be sent to. */
struct EndpointCandidate
{
    std::string endpoint;
    u64 id = 0;
    bool isLastResort = false; ///< to be used only if no other endpoint is left, for example because its link is silent
    std::vector<std::string> loaded; ///< names of the loaded weights
};

/**
 * @brief The endpoint processes known to one entry: from the platform's VM list, with the state of its links and their load.
 *
 * Thread-safe.
 */
class Fleet : public runtime::link::ClientHandler
{
public:
    Fleet(Process &process, ConfigHolder &config, RunTable &runs, runtime::link::Context &links,
          const runtime::link::ClientOptions &options);
    ~Fleet() override;

    /** @brief Watches the platform's list of VMs until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> watchVmList(clients::ObjectStore &store);

    /** @brief Opens a link that provides the configuration and an endpoint while the platform is down. */
    void addSeed(const std::string &address);

    /**
     * @brief The endpoints of a pool that can take the request, best first.
     * @param excluded  names of endpoints to leave out
     */
    [[nodiscard]] std::vector<EndpointCandidate> rankEndpoints(const Snapshot &config, std::string_view pool,
                                                               const placement::PlacementRequest &request,
                                                               const std::vector<std::string> &excluded);

    /**
     * @brief The link to an endpoint process, opened on first use; null if the endpoint is not known any more.
     *
     * Shared, because a run can outlive the link's entry in the table.
     */
    [[nodiscard]] std::shared_ptr<runtime::link::Client> link(const std::string &endpoint);

    /**
     * @brief Records that an endpoint lost a run; it is then used last, and left out for a while after several losses in a row.
     * @param sentAt  when the run was sent there
     */
    void noteLoss(const std::string &endpoint, TimePoint sentAt);
    void noteSuccess(const std::string &endpoint);

    /** @brief For the given time, uses an endpoint only if no other is left. */
    void makeLastResort(const std::string &endpoint, Duration duration);

    /** @brief Requests that were running when endpoints crashed. */
    [[nodiscard]] SuspectTable &suspects();

    /** @brief True if this entry is one of those in its availability zone that watch the platform's configuration. */
    [[nodiscard]] bool watchesConfig() const;

    [[nodiscard]] u32 entryCount() const;
    [[nodiscard]] std::vector<membership::Member> members() const;

    [[nodiscard]] schema::Heartbeat heartbeat(const std::string &peer) override;
    void onMessage(const std::string &peer, const schema::LinkMessage &message) override;
    void onLinkReplaced(const std::string &peer) override;
    void onHealth(const std::string &peer, membership::LinkHealth health) override;

private:
    void applyVmList(const std::vector<membership::ListedVm> &vms);
    void openAssignedLinks();
    void sendSuspectUpdates();
    void noteLoad(const std::string &peer, const schema::EndpointLoad &load);
    void noteConfigVersion(const std::string &peer, u64 version);
    void requestConfig(const std::string &peer, const schema::ConfigRequest &wanted);
    void sendTo(const std::string &peer, const schema::LinkMessage &message);
    void addMemberFromSeed(const std::string &peer, const schema::Heartbeat &heartbeat);
    void handleHeartbeat(const std::string &peer, const schema::Heartbeat &heartbeat);
    [[nodiscard]] std::shared_ptr<runtime::link::Client> openLink(const std::string &peer, const membership::Member &member);

    Process &m_process;
    ConfigHolder &m_config;
    RunTable &m_runs;
    runtime::link::Context &m_links;
    runtime::link::ClientOptions m_options;
    SuspectTable m_suspects;

    mutable runtime::OrderedMutex<runtime::LockLevel::Membership> m_mutex;
    membership::MemberTable m_members;
    std::vector<u64> m_entryIds;
    std::vector<u64> m_entryIdsOfZone;
    std::map<std::string, std::string> m_seeds; // link addresses by peer name
    bool m_hasVmList = false;
    std::map<std::string, std::shared_ptr<runtime::link::Client>> m_clients;
};

} // namespace burdock::serving
