#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/membership/member_table.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace burdock::serving {

/** @brief One accepted bundle with the tables that requests look things up in. Immutable. */
class Snapshot
{
public:
    /** @param signedBytes the serialized SignedBundle, for handing on */
    Snapshot(schema::Bundle bundle, std::string signedBytes);

    [[nodiscard]] const schema::Bundle &bundle() const;
    [[nodiscard]] const std::string &signedBytes() const;
    [[nodiscard]] u64 version() const;

    [[nodiscard]] const schema::Customer *customerByKeyHash(const std::string &hexHash) const;
    [[nodiscard]] const schema::Model *model(std::string_view name) const;
    [[nodiscard]] const schema::Service *service(std::string_view name) const;
    [[nodiscard]] const schema::EndpointPool *pool(std::string_view name) const;
    [[nodiscard]] const membership::EligibilityRules &eligibility() const;

    /** @brief Whether an endpoint VM may take new work as far as operators say. */
    [[nodiscard]] bool isZoneOut(std::string_view zone) const;
    [[nodiscard]] bool isDrained(std::string_view vm) const;

private:
    schema::Bundle m_bundle;
    std::string m_signedBytes;
    std::unordered_map<std::string, int> m_customers;
    membership::EligibilityRules m_eligibility;
};

} // namespace burdock::serving
