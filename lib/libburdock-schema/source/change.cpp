#include <burdock/schema/change.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace burdock::schema {

namespace {

using Names = google::protobuf::RepeatedPtrField<std::string>;

// Adds new and changed items to `put`, and the names of removed items to `removed`.
template <typename Items>
void compareItems(const Items &before, const Items &after, Items &put, Names &removed)
{
    std::map<std::string, std::string, std::less<>> known;
    for (const auto &item : before) {
        known[item.name()] = item.SerializeAsString();
    }
    for (const auto &item : after) {
        const auto found = known.find(item.name());
        if (found == known.end() || found->second != item.SerializeAsString()) {
            *put.Add() = item;
        }
        if (found != known.end()) {
            known.erase(found);
        }
    }
    for (const auto &[name, item] : known) {
        *removed.Add() = name;
    }
}

void compareNames(const Names &before, const Names &after, Names &added, Names &removed)
{
    const std::set<std::string> namesBefore(before.begin(), before.end());
    const std::set<std::string> namesAfter(after.begin(), after.end());
    std::set_difference(namesAfter.begin(), namesAfter.end(), namesBefore.begin(), namesBefore.end(),
                        google::protobuf::RepeatedFieldBackInserter(&added));
    std::set_difference(namesBefore.begin(), namesBefore.end(), namesAfter.begin(), namesAfter.end(),
                        google::protobuf::RepeatedFieldBackInserter(&removed));
}

template <typename Items>
void applyToItems(Items &items, const Items &put, const Names &removed)
{
    const std::set<std::string, std::less<>> removedNames(removed.begin(), removed.end());
    items.erase(
        std::remove_if(items.begin(), items.end(), [&removedNames](const auto &item) { return removedNames.count(item.name()) > 0; }),
        items.end());
    for (const auto &item : put) {
        const auto found = std::find_if(items.begin(), items.end(), [&item](const auto &other) { return other.name() == item.name(); });
        if (found == items.end()) {
            *items.Add() = item;
        } else {
            *found = item;
        }
    }
}

void applyToNames(Names &names, const Names &added, const Names &removed)
{
    for (const auto &name : removed) {
        names.erase(std::remove(names.begin(), names.end(), name), names.end());
    }
    for (const auto &name : added) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            *names.Add() = name;
        }
    }
}

} // namespace

Change changeBetween(const Bundle &before, const Bundle &after)
{
    Change change;
    auto &put = *change.mutable_put();
    auto &removed = *change.mutable_removed();
    compareItems(before.zones(), after.zones(), *put.mutable_zones(), *removed.mutable_zones());
    compareItems(before.pools(), after.pools(), *put.mutable_pools(), *removed.mutable_pools());
    compareItems(before.models(), after.models(), *put.mutable_models(), *removed.mutable_models());
    compareItems(before.services(), after.services(), *put.mutable_services(), *removed.mutable_services());
    compareItems(before.customers(), after.customers(), *put.mutable_customers(), *removed.mutable_customers());
    compareNames(before.drained_endpoints(), after.drained_endpoints(), *put.mutable_drained_endpoints(),
                 *removed.mutable_drained_endpoints());
    if (before.policy().SerializeAsString() != after.policy().SerializeAsString()) {
        *put.mutable_policy() = after.policy();
    }
    return change;
}

void applyChange(Bundle &bundle, const Change &change)
{
    const auto &put = change.put();
    const auto &removed = change.removed();
    bundle.set_version(change.version());
    applyToItems(*bundle.mutable_zones(), put.zones(), removed.zones());
    applyToItems(*bundle.mutable_pools(), put.pools(), removed.pools());
    applyToItems(*bundle.mutable_models(), put.models(), removed.models());
    applyToItems(*bundle.mutable_services(), put.services(), removed.services());
    applyToItems(*bundle.mutable_customers(), put.customers(), removed.customers());
    applyToNames(*bundle.mutable_drained_endpoints(), put.drained_endpoints(), removed.drained_endpoints());
    if (put.has_policy()) {
        *bundle.mutable_policy() = put.policy();
    }
}

} // namespace burdock::schema
