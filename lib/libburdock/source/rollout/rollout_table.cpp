#include <burdock/rollout/rollout_table.hpp>

namespace burdock::rollout {

RolloutTable::Event RolloutTable::observe(const OrderRecord &record, TimePoint now)
{
    const auto known = m_entries.find(record.service);
    if (known == m_entries.end()) {
        m_entries.emplace(record.service, Entry{RolloutOrder(record, now), false, {}});
        return Event::Started;
    }
    auto &entry = known->second;
    if (entry.order.observe(record, now) == RolloutOrder::Change::None) {
        return Event::Known;
    }
    const bool wasUndecided = entry.order.state() == OrderState::Active;
    const bool wasReverted = entry.order.state() == OrderState::Reverted;
    // What isn't known to be sound doesn't become a version like any other because the operator names another one.
    if ((wasUndecided || wasReverted) && now < entry.order.deadline()) {
        entry.excludedUntil[entry.order.record().target] = entry.order.deadline();
    }
    entry.excludedUntil.erase(record.target);
    entry.order = RolloutOrder(record, now);
    entry.hadOthers = false;
    return Event::Replaced;
}

RolloutTable::Event RolloutTable::remove(std::string_view service, TimePoint now)
{
    const auto known = m_entries.find(service);
    if (known == m_entries.end()) {
        return Event::Known;
    }
    known->second.order.noteWithdrawn();
    removeOld(now);
    return Event::Withdrawn;
}

void RolloutTable::noteServing(std::string_view service, std::string_view version, TimePoint now)
{
    const auto known = m_entries.find(service);
    if (known == m_entries.end() || version == known->second.order.record().target) {
        return;
    }
    const auto excluded = known->second.excludedUntil.find(version);
    const bool isUsable = excluded == known->second.excludedUntil.end() || now >= excluded->second;
    known->second.hadOthers = known->second.hadOthers || isUsable;
}

void RolloutTable::removeOld(TimePoint now)
{
    for (auto &[service, entry] : m_entries) {
        std::erase_if(entry.excludedUntil, [now](const auto &excluded) { return now >= excluded.second; });
    }
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.order.isOver(now) && entry.second.excludedUntil.empty(); });
}

RolloutOrder *RolloutTable::find(std::string_view service)
{
    const auto known = m_entries.find(service);
    return known == m_entries.end() ? nullptr : &known->second.order;
}

const RolloutOrder *RolloutTable::find(std::string_view service) const
{
    const auto known = m_entries.find(service);
    return known == m_entries.end() ? nullptr : &known->second.order;
}

std::vector<std::string> RolloutTable::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, entry] : m_entries) {
        names.push_back(service);
    }
    return names;
}

SoftwareRule RolloutTable::rule(std::string_view service, TimePoint now) const
{
    const auto known = m_entries.find(service);
    if (known == m_entries.end()) {
        return {};
    }
    const auto &entry = known->second;
    SoftwareRule rule{entry.order.targetUse(now), entry.order.record().target, {}};
    if (rule.use == TargetUse::Limited && !entry.hadOthers) {
        rule.use = TargetUse::Unrestricted;
    }
    for (const auto &[version, until] : entry.excludedUntil) {
        if (now < until) {
            rule.excluded.insert(version);
        }
    }
    return rule;
}

} // namespace burdock::rollout
