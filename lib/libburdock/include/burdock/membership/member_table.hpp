#pragma once

#include <burdock/placement/policy.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/** @brief Membership state that one process holds about the others. */
namespace burdock::membership {

/** @brief One VM in the platform's list, which may be out of date. */
struct ListedVm
{
    std::string name;
    std::string zone;
    std::string pool;
    std::string linkAddress;
    std::string adminAddress;
    bool isLeaving = false;
};

/** @brief Health of an endpoint as seen on this process's link to it. */
enum class LinkHealth : u8 {
    Unknown, ///< no link yet
    Alive,
    Suspect, ///< no message for several heartbeat intervals; the link is being replaced
    Dead, ///< no message through several link replacements
};

/** @brief Most recently reported load of an endpoint. */
struct ReportedLoad
{
    u32 running = 0;
    u32 queued = 0;
    u32 limit = 1;
    bool isLeaving = false;
    /** Weights that serve new requests, as `model@version`. */
    std::vector<std::string> loaded;
};

/** @brief Configuration of an availability zone. */
struct ZoneRule
{
    bool isOut = false;
    u32 weightPercent = 100;
};

/** @brief What is known about one endpoint. */
struct Member
{
    ListedVm vm;
    LinkHealth health = LinkHealth::Unknown;
    ReportedLoad load;
    /** Requests proposed to the endpoint since its last report, which therefore does not include them. */
    u32 proposed = 0;
    u64 id = 0;
    bool isListed = false;
    /** No new work until then, e.g. because the endpoint lost several runs in a row. */
    TimePoint avoidUntil{};
    /** Until then, new work only if no other endpoint is left, because the endpoint did not answer a request or lost a run. */
    TimePoint lastResortUntil{};
    /** Lost runs since the last successful one. */
    u32 consecutiveLosses = 0;
    TimePoint lastLossAt{};
};

/**
 * @brief Endpoints by name, from the platform's list and from this process's links. Not thread-safe.
 *
 * The list may be out of date, so it only determines which VMs exist; links determine which of them accept work. A VM that disappears from
 * the list while its link is alive is kept, as the list may be wrong. A VM known only from a link is removed when a list is set.
 */
class MemberTable
{
public:
    using Members = std::map<std::string, Member, std::less<>>;

    MemberTable() = default;
    MemberTable(const MemberTable &) = delete;
    MemberTable &operator=(const MemberTable &) = delete;

    /** @brief Applies the platform's list of endpoint VMs. */
    void setListed(const std::vector<ListedVm> &vms);

    /** @brief Adds an endpoint that was discovered on a link rather than in the list. */
    void addFromLink(const std::string &name, const ListedVm &vm);

    void noteHealth(std::string_view name, LinkHealth health);
    void noteLoad(std::string_view name, const ReportedLoad &load);

    /** @brief Counts a request that was proposed to an endpoint, until its next load report. */
    void noteProposed(std::string_view name);

    /** @brief Excludes an endpoint from new work until the given time. */
    void avoid(std::string_view name, TimePoint until);

    /**
     * @brief Records that an endpoint lost a run that it had started.
     *
     * A single loss only makes the endpoint a last resort; repeated losses exclude it for a while. If a single loss excluded it, a pool
     * whose endpoints each lost one run would refuse all work with no_endpoint although all of them serve. A run that was sent before the
     * last loss is not counted again, as one crash ends many runs.
     *
     * @param sentAt  when the lost run was sent to the endpoint
     */
    void noteLoss(std::string_view name, TimePoint sentAt, TimePoint now);

    /** @brief Records a successful run and resets the count of consecutive losses. */
    void noteSuccess(std::string_view name);

    /** @brief Gives an endpoint new work only if no other is left, until the given time. */
    void makeLastResort(std::string_view name, TimePoint until);

    [[nodiscard]] const Member *find(std::string_view name) const;
    [[nodiscard]] const Members &members() const;

    /** @brief The members of one pool, from an index that avoids a scan of all members per request. */
    [[nodiscard]] const std::vector<const Members::value_type *> &pool(std::string_view name) const;

private:
    void indexPools();

    Members m_members;
    std::map<std::string, std::vector<const Members::value_type *>, std::less<>> m_pools;
};

/** @brief Endpoints of one pool that may receive work, as input to placement. */
struct Candidates
{
    std::vector<placement::EndpointView> views;
    std::vector<std::string> names; ///< same order as views
};

/** @brief Configuration that excludes endpoints from new work. */
struct EligibilityRules
{
    std::map<std::string, ZoneRule, std::less<>> zones;
    std::vector<std::string> drained;
};

/**
 * @brief True if an entry is assigned to an endpoint and keeps a link to it even without work.
 *
 * Rendezvous hashing assigns each endpoint to the `assigneeCount` highest-ranking entries, so that configuration reaches every endpoint
 * while each entry has few links. No election is needed: while the lists of entries differ, an endpoint has too many or too few links.
 */
[[nodiscard]] bool isAssigned(u64 entryId, u64 endpointId, const std::vector<u64> &entryIds, u32 assigneeCount);

/**
 * @brief True if an entry is one of the `watcherCount` in its availability zone that watch the platform's configuration.
 *
 * The platform counts a pending watch as a call, and each change completes all of them. If every entry watched, the platform's rate limits
 * would have to grow with the number of entries.
 */
[[nodiscard]] bool watchesConfig(u64 entryId, std::string_view zone, const std::vector<u64> &entryIdsOfZone, u32 watcherCount);

/** @brief Returns the endpoints of a pool that may receive new work now. */
[[nodiscard]] Candidates eligibleEndpoints(const MemberTable &table, std::string_view pool, const EligibilityRules &rules, TimePoint now);

} // namespace burdock::membership
