#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/config/copy_on_write_table.hpp>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/membership/member_table.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace burdock::serving {

/** @brief One accepted configuration with the tables that requests look things up in. Immutable. */
class Snapshot
{
public:
    explicit Snapshot(schema::Bundle bundle);

    /** @brief What a change makes of another one; shares with it all customers but those changed. */
    Snapshot(const Snapshot &before, const schema::Change &change);

    /** @brief All but the customers. */
    [[nodiscard]] const schema::Bundle &bundle() const;
    [[nodiscard]] u64 version() const;

    /** @brief The customer with an API key, or null; lives as long as the snapshot. */
    [[nodiscard]] const schema::Customer *customerByKeyHash(const std::string &hexHash) const;
    [[nodiscard]] const schema::Customer *customer(const std::string &name) const;
    [[nodiscard]] const schema::Model *model(std::string_view name) const;
    [[nodiscard]] const schema::Service *service(std::string_view name) const;
    [[nodiscard]] const schema::EndpointPool *pool(std::string_view name) const;
    [[nodiscard]] const membership::EligibilityRules &eligibility() const;

    /** @brief Whether an endpoint VM may take new work as far as operators say. */
    [[nodiscard]] bool isZoneOut(std::string_view zone) const;
    [[nodiscard]] bool isDrained(std::string_view vm) const;

private:
    using CustomerTable = config::CopyOnWriteTable<schema::Customer>;

    void fillEligibility();
    void removeCustomer(const std::string &name);
    void putCustomer(const schema::Customer &customer);

    schema::Bundle m_bundle;
    CustomerTable m_customersByName;
    CustomerTable m_customersByKey;
    membership::EligibilityRules m_eligibility;
};

} // namespace burdock::serving
