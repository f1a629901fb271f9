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

/** @brief Endpoints that a request may be proposed to, best first, with what they have loaded. */
struct Proposal
{
    std::string endpoint;
    u64 id = 0;
    bool isLastResort = false; ///< its link is silent, or was so a moment ago
    std::vector<std::string> loaded;
};

/**
 * @brief The endpoint processes as one entry sees them: the platform's list, its own links, their load.
 *
 * Thread-safe.
 */
class Fleet : public runtime::link::ClientHandler
{
public:
    Fleet(Process &process, ConfigHolder &config, RunTable &runs, runtime::link::Context &links,
          const runtime::link::ClientOptions &options);
    ~Fleet() override;

    /** @brief Follows the platform's list of VMs until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> followVms(clients::ObjectStore &store);

    /** @brief Opens links to learn the configuration and the list from while the platform is down. */
    void addSeed(const std::string &address);

    /**
     * @brief Endpoints of a pool to ask, best first.
     * @param tried names to leave out
     */
    [[nodiscard]] std::vector<Proposal> propose(const Snapshot &config, std::string_view pool, const placement::PlacementRequest &request,
                                                const std::vector<std::string> &tried);

    /** @brief The link to an endpoint process, opened if need be; null if the endpoint is gone. Shared: a run may outlast the link's place
     * in the table. */
    [[nodiscard]] std::shared_ptr<runtime::link::Client> link(const std::string &endpoint);

    /** @brief Leaves an endpoint out of proposals for a while. */
    /** @brief An endpoint lost a run that was sent there at some time. */
    void noteLoss(const std::string &endpoint, TimePoint sentAt);
    void noteSuccess(const std::string &endpoint);

    /** @brief Proposes an endpoint for a while only where nobody else is left. */
    void makeLastResort(const std::string &endpoint, Duration time);

    /** @brief Requests that were under way at crashes of endpoints. */
    [[nodiscard]] SuspectTable &suspects();

    /** @brief Whether this entry is one of the few of its availability zone that watch the platform's configuration. */
    [[nodiscard]] bool watchesConfig() const;

    [[nodiscard]] u32 entryCount() const;
    [[nodiscard]] std::vector<membership::Member> members() const;

    [[nodiscard]] schema::Heartbeat heartbeat(const std::string &peer) override;
    void onMessage(const std::string &peer, const schema::LinkMessage &message) override;
    void onReplaced(const std::string &peer) override;
    void onHealth(const std::string &peer, membership::LinkHealth health) override;

private:
    void takeList(const std::vector<membership::ListedVm> &vms);
    void openAttendedLinks();
    void tellSuspects();
    void noteLoad(const std::string &peer, const schema::EndpointLoad &load);
    void noteConfigVersion(const std::string &peer, u64 version);
    void requestConfig(const std::string &peer, const schema::ConfigRequest &wanted);
    void sendTo(const std::string &peer, const schema::LinkMessage &message);
    void learnFromSeed(const std::string &peer, const schema::Heartbeat &heartbeat);
    void takeHeartbeat(const std::string &peer, const schema::Heartbeat &heartbeat);
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
    bool m_hasList = false;
    std::map<std::string, std::shared_ptr<runtime::link::Client>> m_clients;
};

} // namespace burdock::serving
