#include <burdock/serving/config/snapshot.hpp>

#include <burdock/schema/change.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

constexpr u32 DefaultWeightPercent = 100;

template <typename Items>
auto findByName(const Items &items, std::string_view name) -> decltype(&items[0])
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const auto &item) { return item.name() == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

Snapshot::Snapshot(schema::Bundle bundle)
    : m_bundle(std::move(bundle))
{
    std::vector<std::pair<std::string, CustomerTable::ValuePointer>> byName;
    std::vector<std::pair<std::string, CustomerTable::ValuePointer>> byKey;
    for (const auto &customer : m_bundle.customers()) {
        const auto shared = std::make_shared<const schema::Customer>(customer);
        byName.emplace_back(customer.name(), shared);
        byKey.emplace_back(customer.api_key_hash(), shared);
    }
    m_customersByName = CustomerTable(byName);
    m_customersByKey = CustomerTable(byKey);
    m_bundle.clear_customers();
    fillEligibility();
}

Snapshot::Snapshot(const Snapshot &base, const schema::Change &change)
    : m_bundle(base.m_bundle)
    , m_customersByName(base.m_customersByName)
    , m_customersByKey(base.m_customersByKey)
{
    for (const auto &name : change.removed().customers()) {
        removeCustomer(name);
    }
    // Removes all old records before adding new ones, as an API key may move from one customer to another in the same change.
    for (const auto &customer : change.put().customers()) {
        removeCustomer(customer.name());
    }
    for (const auto &customer : change.put().customers()) {
        putCustomer(customer);
    }
    schema::Change withoutCustomers = change;
    withoutCustomers.mutable_put()->clear_customers();
    schema::applyChange(m_bundle, withoutCustomers);
    fillEligibility();
}

void Snapshot::fillEligibility()
{
    for (const auto &zone : m_bundle.zones()) {
        const u32 weight = zone.weight_percent() == 0 ? DefaultWeightPercent : zone.weight_percent();
        m_eligibility.zones[zone.name()] = {zone.out(), weight};
    }
    m_eligibility.drained.assign(m_bundle.drained_endpoints().begin(), m_bundle.drained_endpoints().end());
}

// Also removes the entry of the customer's API key; otherwise a replaced key would stay valid.
void Snapshot::removeCustomer(const std::string &name)
{
    if (const auto old = m_customersByName.find(name)) {
        m_customersByKey.remove(old->api_key_hash());
        m_customersByName.remove(name);
    }
}

void Snapshot::putCustomer(const schema::Customer &customer)
{
    const auto shared = std::make_shared<const schema::Customer>(customer);
    m_customersByName.put(customer.name(), shared);
    m_customersByKey.put(customer.api_key_hash(), shared);
}

const schema::Bundle &Snapshot::bundle() const
{
    return m_bundle;
}

u64 Snapshot::version() const
{
    return m_bundle.version();
}

const schema::Customer *Snapshot::customerByKeyHash(const std::string &hexHash) const
{
    return m_customersByKey.find(hexHash).get();
}

const schema::Customer *Snapshot::customer(const std::string &name) const
{
    return m_customersByName.find(name).get();
}

const schema::Model *Snapshot::model(std::string_view name) const
{
    return findByName(m_bundle.models(), name);
}

const schema::Service *Snapshot::service(std::string_view name) const
{
    return findByName(m_bundle.services(), name);
}

const schema::EndpointPool *Snapshot::pool(std::string_view name) const
{
    return findByName(m_bundle.pools(), name);
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
