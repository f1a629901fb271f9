#pragma once

#include <burdock/placement/policy.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/** @brief What one process knows of the others. */
namespace burdock::membership {

/** @brief One row of the platform's lagging list. */
struct ListedVm
{
    std::string name;
    std::string zone;
    std::string pool;
    std::string linkAddress;
    std::string adminAddress;
    bool isLeaving = false;
};

/** @brief What this process's own link to an endpoint process says about it. */
enum class LinkHealth : u8 {
    Unknown, ///< no link yet
    Alive,
    Suspect, ///< silent for some beats; the link is being replaced
    Dead, ///< silent through several replacements
};

/** @brief Load that an endpoint process reported last. */
struct ReportedLoad
{
    u32 running = 0;
    u32 queued = 0;
    u32 limit = 1;
    bool isLeaving = false;
    /** `model@version` of the weights that new requests find there. */
    std::vector<std::string> loaded;
};

/** @brief An availability zone as the configuration has it. */
struct ZoneRule
{
    bool isOut = false;
    u32 weightPercent = 100;
};

struct Member
{
    ListedVm vm;
    LinkHealth health = LinkHealth::Unknown;
    ReportedLoad load;
    /** Requests proposed since the last report, which the report can't know of yet. */
    u32 proposed = 0;
    u64 id = 0;
    bool isListed = false;
    /** Until then, no new work: it loses one run after the other. */
    TimePoint avoidUntil{};
    /** Until then, new work only where nobody else is left: it said nothing to a request, or lost a run. */
    TimePoint lastResortUntil{};
    /** Runs lost one after the other, with no success between them. */
    u32 lossesInRow = 0;
    TimePoint lostAt{};
};

/**
 * @brief Endpoints by name, from the platform's list and from own links. Not thread-safe.
 *
 * The list lags, so it only says who exists; whether someone takes work is learnt from links. A VM that vanishes from the list
 * while its link is alive stays: the list may be the one that errs. A VM that was only learnt from a link goes once there is a list.
 */
class MemberTable
{
public:
    using Members = std::map<std::string, Member, std::less<>>;

    MemberTable() = default;
    MemberTable(const MemberTable &) = delete;
    MemberTable &operator=(const MemberTable &) = delete;

    /** @brief Takes over the platform's list of endpoint VMs. */
    void setListed(const std::vector<ListedVm> &vms);

    /** @brief Adds an endpoint that was met on a link rather than in the list. */
    void addFromLink(const std::string &name, const ListedVm &vm);

    void noteHealth(std::string_view name, LinkHealth health);
    void noteLoad(std::string_view name, const ReportedLoad &load);
    void noteProposed(std::string_view name);
    void avoid(std::string_view name, TimePoint until);

    /**
     * @brief An endpoint lost a run that it had begun.
     *
     * Guards against a pool that refuses all work because each of its endpoints lost a run: it shows as refusals no_endpoint while all
     * of them serve. Coming last holds for a single loss; only an endpoint that loses run after run is left out for a while. Runs that
     * were under way at an earlier loss don't count again, as one crash takes many runs.
     *
     * @param sentAt  when the lost run was sent there
     */
    void noteLoss(std::string_view name, TimePoint sentAt, TimePoint now);

    /** @brief A run ended well there. */
    void noteSuccess(std::string_view name);
    void makeLastResort(std::string_view name, TimePoint until);

    [[nodiscard]] const Member *find(std::string_view name) const;
    [[nodiscard]] const Members &members() const;

    /** @brief The members of one pool, so that a request does not look at those of the others. */
    [[nodiscard]] const std::vector<const Members::value_type *> &pool(std::string_view name) const;

private:
    void indexPools();

    Members m_members;
    std::map<std::string, std::vector<const Members::value_type *>, std::less<>> m_pools;
};

/** @brief Endpoints of one pool that may be proposed work, in the form that placement takes. */
struct Candidates
{
    std::vector<placement::EndpointView> views;
    std::vector<std::string> names; ///< same order as views
};

/** @brief Rules that take endpoints out of work, from the configuration. */
struct EligibilityRules
{
    std::map<std::string, ZoneRule, std::less<>> zones;
    std::vector<std::string> drained;
};

/**
 * @brief True if an entry keeps a link to an endpoint even while it has no work for it.
 *
 * Each endpoint is attended by the few entries that rank first for it, so that configuration reaches every endpoint while the
 * links of an entry stay few. Needs no election: entries whose lists differ attend too many or, until the lists meet, too few.
 */
[[nodiscard]] bool isAssigned(u64 entryId, u64 endpointId, const std::vector<u64> &entryIds, u32 attendants);

/**
 * @brief True if an entry watches the platform's configuration, one of a few in its availability zone.
 *
 * The platform counts a waiting watch as a call, and each change answers all of them: with every entry watching, its rates would
 * have to grow with the fleet.
 */
[[nodiscard]] bool watchesConfig(u64 entryId, std::string_view zone, const std::vector<u64> &entryIdsOfZone, u32 watchers);

/** @brief Collects the endpoints of a pool that may get new work now. */
[[nodiscard]] Candidates eligibleEndpoints(const MemberTable &table, std::string_view pool, const EligibilityRules &rules, TimePoint now);

} // namespace burdock::membership
