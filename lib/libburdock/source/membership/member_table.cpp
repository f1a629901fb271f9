#include <burdock/membership/member_table.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace burdock::membership {

namespace {

constexpr u32 LossesBeforeAvoid = 3;
constexpr Duration LossPenalty = std::chrono::seconds(2);

} // namespace

void MemberTable::setListed(const std::vector<ListedVm> &vms)
{
    std::set<std::string_view> listed;
    for (const auto &vm : vms) {
        listed.insert(vm.name);
        auto &member = m_members[vm.name];
        member.vm = vm;
        member.id = hash::hash64(vm.name);
        member.isListed = true;
    }
    std::erase_if(m_members, [&](const auto &entry) {
        const bool isKept = entry.second.isListed && entry.second.health == LinkHealth::Alive;
        return listed.count(entry.first) == 0 && !isKept;
    });
    indexPools();
}

void MemberTable::addFromLink(const std::string &name, const ListedVm &vm)
{
    auto &member = m_members[name];
    member.vm = vm;
    member.id = hash::hash64(vm.name);
    member.health = LinkHealth::Alive;
    indexPools();
}

void MemberTable::noteHealth(std::string_view name, LinkHealth health)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        it->second.health = health;
    }
}

void MemberTable::noteLoad(std::string_view name, const ReportedLoad &load)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        it->second.load = load;
        it->second.proposed = 0;
    }
}

void MemberTable::noteProposed(std::string_view name)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        ++it->second.proposed;
    }
}

void MemberTable::avoid(std::string_view name, TimePoint until)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        it->second.avoidUntil = until;
    }
}

void MemberTable::noteLoss(std::string_view name, TimePoint sentAt, TimePoint now)
{
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    auto &member = it->second;
    if (member.consecutiveLosses == 0 || sentAt > member.lastLossAt) {
        ++member.consecutiveLosses;
    }
    member.lastLossAt = now;
    member.lastResortUntil = now + LossPenalty;
    if (member.consecutiveLosses >= LossesBeforeAvoid) {
        member.avoidUntil = now + LossPenalty;
    }
}

void MemberTable::noteSuccess(std::string_view name)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        it->second.consecutiveLosses = 0;
    }
}

void MemberTable::makeLastResort(std::string_view name, TimePoint until)
{
    if (const auto it = m_members.find(name); it != m_members.end()) {
        it->second.lastResortUntil = until;
    }
}

const Member *MemberTable::find(std::string_view name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

const MemberTable::Members &MemberTable::members() const
{
    return m_members;
}

const std::vector<const MemberTable::Members::value_type *> &MemberTable::pool(std::string_view name) const
{
    static const std::vector<const Members::value_type *> s_emptyPool;
    const auto it = m_pools.find(name);
    return it == m_pools.end() ? s_emptyPool : it->second;
}

void MemberTable::indexPools()
{
    m_pools.clear();
    for (const auto &item : m_members) {
        m_pools[item.second.vm.pool].push_back(&item);
    }
}

bool isAssigned(u64 entryId, u64 endpointId, const std::vector<u64> &entryIds, u32 assigneeCount)
{
    const auto rankOf = [endpointId](u64 id) {
        const std::array<u64, 2> pair{endpointId, id};
        return hash::hash64({reinterpret_cast<const char *>(pair.data()), sizeof(pair)});
    };
    const u64 own = rankOf(entryId);
    const auto ahead = std::count_if(entryIds.begin(), entryIds.end(), [&](u64 id) { return id != entryId && rankOf(id) > own; });
    return ahead < static_cast<std::ptrdiff_t>(assigneeCount);
}

bool watchesConfig(u64 entryId, std::string_view zone, const std::vector<u64> &entryIdsOfZone, u32 watcherCount)
{
    return isAssigned(entryId, hash::hash64(zone), entryIdsOfZone, watcherCount);
}

Candidates eligibleEndpoints(const MemberTable &table, std::string_view pool, const EligibilityRules &rules, TimePoint now)
{
    Candidates out;
    for (const auto *found : table.pool(pool)) {
        const auto &member = found->second;
        const auto zone = rules.zones.find(member.vm.zone);
        const bool isZoneInService = zone != rules.zones.end() && !zone->second.isOut;
        const bool isDrained = std::find(rules.drained.begin(), rules.drained.end(), member.vm.name) != rules.drained.end();
        const bool isLeaving = member.vm.isLeaving || member.load.isLeaving;
        const bool isAnswering = member.health != LinkHealth::Dead && member.avoidUntil <= now;
        if (!isZoneInService || isDrained || isLeaving || !isAnswering) {
            continue;
        }
        placement::EndpointView view;
        view.id = member.id;
        view.weight = zone->second.weightPercent / 100.0;
        view.load = member.load.running + member.load.queued + member.proposed;
        view.limit = std::max<u32>(1, member.load.limit);
        view.isLastResort = member.health == LinkHealth::Suspect || member.lastResortUntil > now;
        out.views.push_back(view);
        out.names.push_back(found->first);
    }
    return out;
}

} // namespace burdock::membership
