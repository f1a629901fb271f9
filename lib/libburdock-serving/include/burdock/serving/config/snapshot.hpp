#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/config/copy_on_write_table.hpp>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/membership/member_table.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace burdock::serving {

/** @brief An accepted configuration with its lookup tables. Immutable. */
class Snapshot
{
public:
    explicit Snapshot(schema::Bundle bundle);

    /** @brief Applies a change to another snapshot; customers that don't change are shared with it. */
    Snapshot(const Snapshot &base, const schema::Change &change);

    /** @brief The bundle without its customers. */
    [[nodiscard]] const schema::Bundle &bundle() const;
    [[nodiscard]] u64 version() const;

    /** @brief The customer with the given hash of an API key in hexadecimal, or null; valid as long as the snapshot. */
    [[nodiscard]] const schema::Customer *customerByKeyHash(const std::string &hexHash) const;

    /** @brief The item with the given name, or null; valid as long as the snapshot. */
    [[nodiscard]] const schema::Customer *customer(const std::string &name) const;
    [[nodiscard]] const schema::Model *model(std::string_view name) const;
    [[nodiscard]] const schema::Service *service(std::string_view name) const;
    [[nodiscard]] const schema::EndpointPool *pool(std::string_view name) const;

    [[nodiscard]] const membership::EligibilityRules &eligibility() const;

    /** @brief Whether operators took a zone out of service; also true for a zone that the configuration doesn't contain. */
    [[nodiscard]] bool isZoneOut(std::string_view zone) const;

    /** @brief Whether operators drain an endpoint VM. */
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
