#include <burdock/serving/config/snapshot.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

constexpr u32 FullWeightPercent = 100;

template <typename Items>
auto findNamed(const Items &items, std::string_view name) -> decltype(&items[0])
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const auto &item) { return item.name() == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

Snapshot::Snapshot(schema::Bundle bundle, std::string signedBytes)
    : m_bundle(std::move(bundle))
    , m_signedBytes(std::move(signedBytes))
{
    for (int i = 0; i < m_bundle.customers_size(); ++i) {
        m_customers.emplace(m_bundle.customers(i).api_key_hash(), i);
    }
    for (const auto &zone : m_bundle.zones()) {
        const u32 weight = zone.weight_percent() == 0 ? FullWeightPercent : zone.weight_percent();
        m_eligibility.zones[zone.name()] = {zone.out(), weight};
    }
    m_eligibility.drained.assign(m_bundle.drained_endpoints().begin(), m_bundle.drained_endpoints().end());
}

const schema::Bundle &Snapshot::bundle() const
{
    return m_bundle;
}

const std::string &Snapshot::signedBytes() const
{
    return m_signedBytes;
}

u64 Snapshot::version() const
{
    return m_bundle.version();
}

const schema::Customer *Snapshot::customerByKeyHash(const std::string &hexHash) const
{
    const auto found = m_customers.find(hexHash);
    return found == m_customers.end() ? nullptr : &m_bundle.customers(found->second);
}

const schema::Model *Snapshot::model(std::string_view name) const
{
    return findNamed(m_bundle.models(), name);
}

const schema::Service *Snapshot::service(std::string_view name) const
{
    return findNamed(m_bundle.services(), name);
}

const schema::EndpointPool *Snapshot::pool(std::string_view name) const
{
    return findNamed(m_bundle.pools(), name);
}

const membership::EligibilityRules &Snapshot::eligibility() const
{
    return m_eligibility;
}

bool Snapshot::isZoneOut(std::string_view zone) const
{
    const auto found = m_eligibility.zones.find(zone);
    return found == m_eligibility.zones.end() || found->second.isOut;
}

bool Snapshot::isDrained(std::string_view vm) const
{
    const auto &drained = m_eligibility.drained;
    return std::find(drained.begin(), drained.end(), vm) != drained.end();
}

} // namespace burdock::serving
