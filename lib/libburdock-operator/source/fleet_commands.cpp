#include "bundle_commands.hpp"
#include "console.hpp"

#include <burdock/schema/document.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace burdock::ops::detail {

namespace {

using Arguments = std::vector<std::string>;

constexpr Duration WatchInterval = std::chrono::seconds(2);
constexpr std::string_view ClearScreen = "\033[H\033[2J";

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

ExitCode applyRollout(const Arguments &arguments, const Options &options)
{
    const auto text = readFile(arguments[0]);
    if (!text) {
        return fail(ExitCode::BadInput, arguments[0] + " can't be read");
    }
    const auto parsed = schema::parseSignedBundle(arguments[0], *text);
    if (!parsed.document) {
        return fail(ExitCode::BadInput, schema::toString(parsed.faults.front()));
    }
    PlatformClient client(options);
    Rollout rollout(client.store());
    const auto result = client.wait(rollout.apply(*parsed.document));
    return reportRollout(client, result, options);
}

ExitCode editBundle(const Options &options, std::function<bool(schema::Bundle &)> edit)
{
    const auto key = readFile(options.key);
    if (!key) {
        return fail(ExitCode::BadInput, "--key must be a key file written by `bundle keygen`");
    }
    PlatformClient client(options);
    Rollout rollout(client.store());
    const auto result = client.wait(rollout.edit(key->substr(0, key->find('\n')), std::move(edit)));
    return reportRollout(client, result, options);
}

ExitCode setZone(const std::string &name, bool isOut, const Options &options)
{
    bool isKnown = false;
    const auto code = editBundle(options, [&](schema::Bundle &bundle) {
        for (auto &zone : *bundle.mutable_zones()) {
            if (zone.name() == name) {
                isKnown = true;
                const bool isChanged = zone.out() != isOut;
                zone.set_out(isOut);
                return isChanged;
            }
        }
        return false;
    });
    if (code == ExitCode::Ok && !isKnown) {
        return fail(ExitCode::BadInput, "unknown availability zone: " + name);
    }
    return code;
}

ExitCode zoneOut(const Arguments &arguments, const Options &options)
{
    return setZone(arguments[0], true, options);
}

ExitCode zoneIn(const Arguments &arguments, const Options &options)
{
    return setZone(arguments[0], false, options);
}

ExitCode zoneStatus(const Arguments & /*arguments*/, const Options &options)
{
    PlatformClient client(options);
    Rollout rollout(client.store());
    const auto accepted = client.wait(rollout.accepted());
    if (accepted.status != StoreResult::Found) {
        return fail(ExitCode::Failed, "there is no accepted bundle, or the platform is unreachable");
    }
    const auto statuses = client.wait(fetchAllStatuses(client.store()));
    std::vector<std::vector<std::string>> rows;
    for (const auto &zone : accepted.bundle.zones()) {
        u64 running = 0;
        for (const auto &status : statuses) {
            const bool isEndpointThere = status.vm.zone == zone.name() && status.vm.pool != clients::EntryPool;
            running += isEndpointThere ? status.number("running") : 0;
        }
        rows.push_back({zone.name(), zone.out() ? "out" : "in", std::to_string(running)});
    }
    printTable({"zone", "state", "running"}, rows, options);
    return ExitCode::Ok;
}

ExitCode drain(const Arguments &arguments, const Options &options)
{
    return editBundle(options, [&](schema::Bundle &bundle) {
        const auto &drained = bundle.drained_endpoints();
        if (std::find(drained.begin(), drained.end(), arguments[0]) != drained.end()) {
            return false;
        }
        bundle.add_drained_endpoints(arguments[0]);
        return true;
    });
}

ExitCode undrain(const Arguments &arguments, const Options &options)
{
    return editBundle(options, [&](schema::Bundle &bundle) {
        auto *drained = bundle.mutable_drained_endpoints();
        const auto firstRemoved = std::remove(drained->begin(), drained->end(), arguments[0]);
        const bool isChanged = firstRemoved != drained->end();
        drained->erase(firstRemoved, drained->end());
        return isChanged;
    });
}

ExitCode setCustomer(const Arguments &arguments, const Options &options)
{
    const auto text = readFile(arguments[0]);
    if (!text) {
        return fail(ExitCode::BadInput, arguments[0] + " can't be read");
    }
    const auto parsed = schema::parseCustomer(arguments[0], *text);
    for (const auto &fault : parsed.faults) {
        static_cast<void>(fail(ExitCode::BadInput, schema::toString(fault)));
    }
    if (!parsed.document) {
        return ExitCode::BadInput;
    }
    return editBundle(options, [&](schema::Bundle &bundle) {
        auto &customers = *bundle.mutable_customers();
        const auto found = std::find_if(customers.begin(), customers.end(),
                                        [&](const auto &customer) { return customer.name() == parsed.document->name(); });
        auto &customer = found == customers.end() ? *customers.Add() : *found;
        const bool isChanged = customer.SerializeAsString() != parsed.document->SerializeAsString();
        customer = *parsed.document;
        return isChanged;
    });
}

ExitCode removeCustomer(const Arguments &arguments, const Options &options)
{
    return editBundle(options, [&](schema::Bundle &bundle) {
        auto &customers = *bundle.mutable_customers();
        const auto firstRemoved
            = std::remove_if(customers.begin(), customers.end(), [&](const auto &customer) { return customer.name() == arguments[0]; });
        const bool isChanged = firstRemoved != customers.end();
        customers.erase(firstRemoved, customers.end());
        return isChanged;
    });
}

ExitCode endpointStatus(const Arguments & /*arguments*/, const Options &options)
{
    PlatformClient client(options);
    std::vector<std::vector<std::string>> rows;
    for (const auto &status : client.wait(fetchAllStatuses(client.store()))) {
        if (status.vm.pool == clients::EntryPool) {
            continue;
        }
        rows.push_back({status.vm.name, status.vm.zone, status.vm.pool, status.isReachable ? "up" : "unreachable",
                        std::to_string(status.number("running")), std::to_string(status.number("queued")),
                        std::to_string(status.number("limit")), yesNo(status.flag("cold")), yesNo(status.flag("leaving"))});
    }
    printTable({"endpoint", "zone", "pool", "state", "running", "queued", "limit", "cold", "leaving"}, rows, options);
    return ExitCode::Ok;
}

ExitCode printFleetStatus(PlatformClient &client, const Options &options)
{
    Rollout rollout(client.store());
    const auto accepted = client.wait(rollout.accepted());
    std::vector<std::vector<std::string>> rows;
    for (const auto &status : client.wait(fetchAllStatuses(client.store()))) {
        const u64 version = status.number("config_version");
        const bool isBehind = version < accepted.current.version();
        const bool isEntry = status.vm.pool == clients::EntryPool;
        const u64 running = isEntry ? status.number("runs") : status.number("running");
        rows.push_back({status.vm.name, isEntry ? "entry" : "endpoint", status.vm.zone, status.isReachable ? "up" : "unreachable",
                        std::to_string(version) + (isBehind ? " (behind)" : ""), std::to_string(running),
                        std::to_string(status.number("queued")), yesNo(status.flag("leaving")), yesNo(status.flag("cold")),
                        status.counts("refused"), status.counts("cache_bytes")});
    }
    printTable({"vm", "role", "zone", "state", "config", "running", "queued", "leaving", "cold", "refused", "cache_bytes"}, rows, options);
    return accepted.status == StoreResult::Unreachable ? fail(ExitCode::Failed, "the platform is unreachable") : ExitCode::Ok;
}

ExitCode fleetStatus(const Arguments & /*arguments*/, const Options &options)
{
    PlatformClient client(options);
    auto code = printFleetStatus(client, options);
    while (options.isWatching) {
        std::cout << std::flush;
        std::this_thread::sleep_for(WatchInterval);
        std::cout << ClearScreen;
        code = printFleetStatus(client, options);
    }
    return code;
}

ExitCode rolloutStatus(const Arguments & /*arguments*/, const Options &options)
{
    PlatformClient client(options);
    Rollout rollout(client.store());
    const auto accepted = client.wait(rollout.accepted());
    if (accepted.status != StoreResult::Found) {
        return fail(ExitCode::Failed, "there is no accepted bundle, or the platform is unreachable");
    }
    RolloutResult result;
    result.code = ExitCode::Ok;
    result.version = accepted.current.version();
    auto statusOptions = options;
    statusOptions.rolloutTimeoutMs = 0;
    return reportRollout(client, result, statusOptions);
}

} // namespace

void addFleetCommands(std::vector<std::unique_ptr<Command>> &commands)
{
    const auto add = commandAdder(commands);
    add({"rollout apply", "rollout apply SIGNED --platform=IP:PORT",
         "Has a signed bundle accepted, and waits until every listed process has it in force.",
         "rollout apply signed.json --platform=10.0.0.5:9000"},
        1, applyRollout);
    add({"rollout status", "rollout status --platform=IP:PORT", "Tells the accepted version and which processes are behind.",
         "rollout status --platform=10.0.0.5:9000"},
        0, rolloutStatus);
    add({"zone out", "zone out ZONE --platform=IP:PORT --key=KEYFILE", "Takes an availability zone out: no new work there.",
         "zone out bkk-2 --platform=10.0.0.5:9000 --key=signing.key"},
        1, zoneOut);
    add({"zone in", "zone in ZONE --platform=IP:PORT --key=KEYFILE", "Brings an availability zone back.",
         "zone in bkk-2 --platform=10.0.0.5:9000 --key=signing.key"},
        1, zoneIn);
    add({"zone status", "zone status --platform=IP:PORT", "Lists the availability zones with what runs there.",
         "zone status --platform=10.0.0.5:9000"},
        0, zoneStatus);
    add({"customer set", "customer set FILE --platform=IP:PORT --key=KEYFILE",
         "Adds a customer or replaces its key and limits; FILE is one item of a bundle's \"customers\".",
         "customer set desk.json --platform=10.0.0.5:9000 --key=signing.key"},
        1, setCustomer);
    add({"customer remove", "customer remove CUSTOMER --platform=IP:PORT --key=KEYFILE", "Takes a customer out.",
         "customer remove desk --platform=10.0.0.5:9000 --key=signing.key"},
        1, removeCustomer);
    add({"endpoint drain", "endpoint drain VM --platform=IP:PORT --key=KEYFILE",
         "Lets an endpoint finish what it has, and take nothing new.", "endpoint drain model-3 --platform=10.0.0.5:9000 --key=signing.key"},
        1, drain);
    add({"endpoint undrain", "endpoint undrain VM --platform=IP:PORT --key=KEYFILE", "Lets a drained endpoint take work again.",
         "endpoint undrain model-3 --platform=10.0.0.5:9000 --key=signing.key"},
        1, undrain);
    add({"endpoint status", "endpoint status --platform=IP:PORT", "Lists the endpoints with their load.",
         "endpoint status --platform=10.0.0.5:9000 --output=json"},
        0, endpointStatus);
    add({"status", "status --platform=IP:PORT [--watch]",
         "Lists all processes: who is cold, leaving or behind in configuration, queues, refusals by reason, kept-cache bytes.",
         "status --platform=10.0.0.5:9000 --watch"},
        0, fleetStatus);
}

} // namespace burdock::ops::detail
