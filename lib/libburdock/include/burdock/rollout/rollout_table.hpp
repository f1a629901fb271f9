#pragma once

#include <burdock/rollout/rollout_order.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::rollout {

/** @brief Which software versions of a service a request may be sent to. */
struct SoftwareRule
{
    TargetUse use = TargetUse::Unrestricted;
    std::string target;
    std::set<std::string, std::less<>> excluded; ///< targets of earlier orders that were replaced before they were decided
};

/** @brief The orders that one gateway knows, by the name of their record, which is the service's. Not thread-safe. */
class RolloutTable
{
public:
    /** @brief What a change of a record meant. */
    enum class Event : u8 {
        Known,
        Started,
        Replaced, ///< by another order
        Withdrawn,
    };

    /** @brief Takes a readable record. */
    Event observe(const OrderRecord &record, TimePoint now);

    /** @brief Takes the end of a record, or that it can't be read any more: an order that was under way is withdrawn. */
    Event remove(std::string_view service, TimePoint now);

    /** @brief Records that a service has replicas of this version that accept requests. */
    void noteServing(std::string_view service, std::string_view version, TimePoint now);

    /** @brief Forgets what has no effect any more. */
    void removeOld(TimePoint now);

    [[nodiscard]] RolloutOrder *find(std::string_view service);
    [[nodiscard]] const RolloutOrder *find(std::string_view service) const;
    [[nodiscard]] std::vector<std::string> services() const;

    [[nodiscard]] SoftwareRule rule(std::string_view service, TimePoint now) const;

private:
    struct Entry
    {
        RolloutOrder order;
        /** Whether replicas of another version could be used at any time since the order. If not, there's nothing to move away from. */
        bool hadOthers = false;
        std::map<std::string, TimePoint, std::less<>> excludedUntil; ///< targets of earlier orders
    };

    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace burdock::rollout
