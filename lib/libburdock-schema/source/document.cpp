#include <burdock/schema/document.hpp>

#include "json_check.hpp"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <limits>
#include <set>
#include <sstream>

namespace burdock::schema {

namespace {

using detail::FaultList;
using Names = std::set<std::string, std::less<>>;

constexpr std::size_t ApiKeyHashHexDigits = 64;
constexpr std::size_t PublicKeyHexDigits = 64;
constexpr std::size_t CurveKeyCharacters = 40;
constexpr u32 MaxLimit = 100'000;
constexpr u32 MinBlockBytes = 64;
constexpr u32 MaxBlockBytes = 1U << 20U;
constexpr u32 MinHeartbeatMs = 20;
constexpr u32 MaxHeartbeatMs = 60'000;
constexpr u32 MaxWorkers = 256;
constexpr double MinGraceSeconds = 1.0;
constexpr u32 MinTimeLimitMs = 100;
constexpr double MaxGraceSeconds = 3600.0;
constexpr double MaxTimeLimitMs = 3'600'000.0;
/** Largest number of requests in a limit. */
constexpr double MaxRequestCount = 1e9;
constexpr double MaxDescriptors = 1e7;
constexpr u32 MinEntryMegabytes = 32;
constexpr u32 MinEntryDescriptors = 64;
constexpr double MaxMemoryMegabytes = 1e7;

bool isHex(std::string_view text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string itemPath(const std::string &list, int index)
{
    return "$." + list + "[" + std::to_string(index) + "]";
}

void require(bool isSatisfied, const std::string &path, const std::string &reason, FaultList &faults)
{
    // Skips errors that only follow from a fault reported before.
    if (!isSatisfied && !faults.hasRelatedFault(path)) {
        faults.add(path, reason);
    }
}

// Returns the names in a list and reports empty and duplicate ones.
template <typename Items>
Names collectNames(const Items &items, const std::string &list, FaultList &faults)
{
    Names names;
    for (int i = 0; i < items.size(); ++i) {
        const auto &name = items[i].name();
        if (name.empty()) {
            require(false, itemPath(list, i) + ".name", "must not be empty", faults);
        } else if (!names.insert(name).second) {
            faults.add(itemPath(list, i) + ".name", "'" + name + "' is listed more than once");
        }
    }
    return names;
}

void checkPools(const Bundle &bundle, FaultList &faults)
{
    for (int i = 0; i < bundle.pools_size(); ++i) {
        const auto &pool = bundle.pools(i);
        const auto path = itemPath("pools", i);
        require(pool.cold_limit() >= 1, path + ".cold_limit", "must be at least 1", faults);
        require(pool.warm_limit() >= pool.cold_limit(), path + ".warm_limit", "must not be below cold_limit", faults);
        require(pool.warm_limit() <= MaxLimit, path + ".warm_limit", "must not be above 100000", faults);
        require(pool.queue_limit() <= MaxLimit, path + ".queue_limit", "must not be above 100000", faults);
    }
}

void checkModelsAndServices(const Bundle &bundle, const Names &pools, FaultList &faults)
{
    // If a pool has no readable name, a reference to it can't be recognized, so unknown pools are not reported.
    const auto hasNoName = [](const auto &pool) {
        return pool.name().empty();
    };
    const bool hasUnreadablePools = faults.hasRelatedFault("$.pools")
        && (bundle.pools_size() == 0 || std::any_of(bundle.pools().begin(), bundle.pools().end(), hasNoName));
    for (int i = 0; i < bundle.models_size(); ++i) {
        const auto &model = bundle.models(i);
        require(pools.count(model.pool()) > 0 || hasUnreadablePools, itemPath("models", i) + ".pool",
                "is not the name of a pool: '" + model.pool() + "'", faults);
        require(!model.weight_version().empty(), itemPath("models", i) + ".weight_version", "must not be empty", faults);
    }
    for (int i = 0; i < bundle.services_size(); ++i) {
        const auto &service = bundle.services(i);
        require(pools.count(service.pool()) > 0 || hasUnreadablePools, itemPath("services", i) + ".pool",
                "is not the name of a pool: '" + service.pool() + "'", faults);
        for (int j = 0; j < service.non_repeatable_size(); ++j) {
            const auto path = itemPath("services", i) + ".non_repeatable[" + std::to_string(j) + "]";
            require(!service.non_repeatable(j).method().empty(), path + ".method", "must not be empty", faults);
            require(service.non_repeatable(j).path_prefix().starts_with('/'), path + ".path_prefix", "must start with /", faults);
        }
    }
}

void checkCustomer(const Customer &customer, const std::string &path, FaultList &faults)
{
    require(isHex(customer.api_key_hash(), ApiKeyHashHexDigits), path + ".api_key_hash", "must be 64 lower-case hex digits", faults);
    require(customer.requests_per_second() >= 0, path + ".requests_per_second", "must not be negative", faults);
}

void checkCustomers(const Bundle &bundle, FaultList &faults)
{
    Names hashes;
    for (int i = 0; i < bundle.customers_size(); ++i) {
        const auto &customer = bundle.customers(i);
        const auto path = itemPath("customers", i);
        checkCustomer(customer, path, faults);
        require(hashes.insert(customer.api_key_hash()).second, path + ".api_key_hash", "is already used by another customer", faults);
    }
}

void checkPolicy(const Policy &policy, FaultList &faults)
{
    const auto requireRange = [&](const char *field, double value, double lowest, double highest) {
        require(value >= lowest && value <= highest, std::string("$.policy.") + field,
                "must be from " + std::to_string(lowest) + " to " + std::to_string(highest), faults);
    };
    requireRange("block_bytes", policy.block_bytes(), MinBlockBytes, MaxBlockBytes);
    requireRange("weight_first_token_ms", policy.weight_first_token_ms(), 0, 1e6);
    requireRange("weight_recomputed_ktoken", policy.weight_recomputed_ktoken(), 0, 1e6);
    requireRange("weight_link_mib", policy.weight_link_mib(), 0, 1e6);
    requireRange("bounded_load_percent", policy.bounded_load_percent(), 100, 1000);
    requireRange("retry_budget_percent", policy.retry_budget_percent(), 0, 20);
    requireRange("cache_link_bytes_per_second", static_cast<double>(policy.cache_link_bytes_per_second()), 1, 1e12);
    requireRange("prefill_tokens_per_second", policy.prefill_tokens_per_second(), 1, 1e7);
    requireRange("concurrent_weight_loads", policy.concurrent_weight_loads(), 1, 100);
    requireRange("default_deadline_ms", policy.default_deadline_ms(), 100, 3'600'000);
}

void validateBundle(const Bundle &bundle, FaultList &faults)
{
    require(bundle.version() >= 1, "$.version", "must be at least 1", faults);
    require(bundle.zones_size() > 0, "$.zones", "must name at least one availability zone", faults);
    collectNames(bundle.zones(), "zones", faults);
    for (int i = 0; i < bundle.zones_size(); ++i) {
        require(bundle.zones(i).weight_percent() <= 100, itemPath("zones", i) + ".weight_percent", "must not be above 100", faults);
    }
    const auto pools = collectNames(bundle.pools(), "pools", faults);
    collectNames(bundle.models(), "models", faults);
    collectNames(bundle.services(), "services", faults);
    collectNames(bundle.customers(), "customers", faults);
    checkPools(bundle, faults);
    checkModelsAndServices(bundle, pools, faults);
    checkCustomers(bundle, faults);
    checkPolicy(bundle.policy(), faults);
}

void checkLogLevel(const std::string &level, FaultList &faults)
{
    const Names levels{"", "debug", "info", "warning", "error"};
    require(levels.count(level) > 0, "$.log_level", "must be debug, info, warning or error", faults);
}

void checkEntrySettings(const DaemonSettings &settings, FaultList &faults)
{
    const auto &entry = settings.entry();
    require(isAddress(entry.listen()), "$.entry.listen", "must be IP:port", faults);
    require(entry.memory_mb() == 0 || entry.memory_mb() >= MinEntryMegabytes, "$.entry.memory_mb", "must be 0, or 32 or more", faults);
    require(entry.descriptors() == 0 || entry.descriptors() >= MinEntryDescriptors, "$.entry.descriptors", "must be 0, or 64 or more",
            faults);
    for (int i = 0; i < entry.seed_links_size(); ++i) {
        require(isAddress(entry.seed_links(i)), "$.entry.seed_links[" + std::to_string(i) + "]", "must be IP:port", faults);
    }
}

void checkEndpointSettings(const DaemonSettings &settings, FaultList &faults)
{
    const auto &endpoint = settings.endpoint();
    require(isAddress(endpoint.listen()), "$.endpoint.listen", "must be IP:port", faults);
    require(isAddress(endpoint.backend()), "$.endpoint.backend", "must be IP:port", faults);
    require(!endpoint.pool().empty(), "$.endpoint.pool", "must not be empty", faults);
    for (int i = 0; i < endpoint.stores_size(); ++i) {
        require(isAddress(endpoint.stores(i)), "$.endpoint.stores[" + std::to_string(i) + "]", "must be IP:port", faults);
    }
}

void checkSettings(const DaemonSettings &settings, FaultList &faults)
{
    require(!settings.name().empty(), "$.name", "must not be empty", faults);
    require(!settings.zone().empty(), "$.zone", "must not be empty", faults);
    require(isAddress(settings.admin_listen()), "$.admin_listen", "must be IP:port", faults);
    require(isAddress(settings.platform()), "$.platform", "must be IP:port", faults);
    require(settings.links().public_key().size() == CurveKeyCharacters, "$.links.public_key", "must be a Z85 key of 40 characters", faults);
    require(settings.links().secret_key().size() == CurveKeyCharacters, "$.links.secret_key", "must be a Z85 key of 40 characters", faults);
    const auto heartbeatMs = settings.links().heartbeat_ms();
    require(heartbeatMs == 0 || (heartbeatMs >= MinHeartbeatMs && heartbeatMs <= MaxHeartbeatMs), "$.links.heartbeat_ms",
            "must be from 20 to 60000", faults);
    require(settings.workers() <= MaxWorkers, "$.workers", "must not be above 256", faults);
    require(settings.trusted_signers_size() > 0, "$.trusted_signers", "must name at least one public key", faults);
    for (int i = 0; i < settings.trusted_signers_size(); ++i) {
        require(isHex(settings.trusted_signers(i), PublicKeyHexDigits), itemPath("trusted_signers", i), "must be 64 lower-case hex digits",
                faults);
    }
    checkLogLevel(settings.log_level(), faults);
    switch (settings.role()) {
    case DaemonSettings::ENTRY:
        checkEntrySettings(settings, faults);
        break;
    case DaemonSettings::ENDPOINT:
        checkEndpointSettings(settings, faults);
        break;
    default:
        require(false, "$.role", "must be ENTRY or ENDPOINT", faults);
    }
}

void requireInRange(double value, double lowest, double highest, std::string_view path, FaultList &faults)
{
    // Written so that a value that isn't a number is a fault.
    const bool isInRange = value >= lowest && value <= highest;
    std::ostringstream reason;
    reason << "must be from " << std::setprecision(std::numeric_limits<double>::digits10) << lowest << " to " << highest;
    require(isInRange, std::string(path), reason.str(), faults);
}

void checkGatewaySettings(const GatewaySettings &settings, FaultList &faults)
{
    require(!settings.name().empty(), "$.name", "must not be empty", faults);
    require(!settings.zone().empty(), "$.zone", "must not be empty", faults);
    require(isAddress(settings.callers_listen()), "$.callers_listen", "must be IP:port", faults);
    require(isAddress(settings.readiness_listen()), "$.readiness_listen", "must be IP:port", faults);
    require(isAddress(settings.metrics_listen()), "$.metrics_listen", "must be IP:port", faults);
    require(isAddress(settings.platform()), "$.platform", "must be IP:port", faults);
    require(isAddress(settings.load_listen()), "$.load_listen", "must be IP:port", faults);
    checkLogLevel(settings.log_level(), faults);
    requireInRange(settings.grace_seconds(), MinGraceSeconds, MaxGraceSeconds, "$.grace_seconds", faults);
    requireInRange(settings.revocation_ms(), MinTimeLimitMs, MaxTimeLimitMs, "$.revocation_ms", faults);
    requireInRange(settings.weights_ms(), MinTimeLimitMs, MaxTimeLimitMs, "$.weights_ms", faults);
    requireInRange(settings.order_pause_ms(), MinTimeLimitMs, MaxTimeLimitMs, "$.order_pause_ms", faults);
    requireInRange(settings.retry_slack(), 0, MaxRequestCount, "$.retry_slack", faults);
    requireInRange(settings.cold_factor(), 0, MaxRequestCount, "$.cold_factor", faults);
    requireInRange(settings.cold_slack(), 0, MaxRequestCount, "$.cold_slack", faults);
    requireInRange(settings.descriptors(), 0, MaxDescriptors, "$.descriptors", faults);
    requireInRange(settings.memory_mb(), 0, MaxMemoryMegabytes, "$.memory_mb", faults);
    const auto isShare = [](double share) {
        return share >= 0 && share <= 1;
    };
    require(settings.expose_share_size() <= 1, "$.expose_share", "must have at most one value", faults);
    require(std::all_of(settings.expose_share().begin(), settings.expose_share().end(), isShare), "$.expose_share", "must be from 0 to 1",
            faults);
    require(settings.retry_share() >= 0 && settings.retry_share() <= 1, "$.retry_share", "must be from 0 to 1", faults);
}

template <typename Document>
ParseResult<Document> parse(const std::string &file, std::string_view json, const std::function<void(const Document &, FaultList &)> &check)
{
    FaultList faults(file);
    Document document;
    if (detail::readJson(json, document, faults)) {
        check(document, faults);
    }
    if (!faults.isEmpty()) {
        return {std::nullopt, faults.take()};
    }
    return {std::move(document), {}};
}

} // namespace

std::string toString(const Fault &fault)
{
    return fault.file + ": " + fault.path + ": " + fault.reason;
}

ParseResult<Bundle> parseBundle(const std::string &file, std::string_view json)
{
    return parse<Bundle>(file, json, validateBundle);
}

std::vector<Fault> checkBundle(const std::string &file, const Bundle &bundle)
{
    FaultList faults(file);
    validateBundle(bundle, faults);
    return faults.take();
}

ParseResult<Customer> parseCustomer(const std::string &file, std::string_view json)
{
    return parse<Customer>(file, json, [](const Customer &customer, FaultList &faults) {
        require(!customer.name().empty(), "$.name", "must not be empty", faults);
        checkCustomer(customer, "$", faults);
    });
}

ParseResult<DaemonSettings> parseSettings(const std::string &file, std::string_view json)
{
    return parse<DaemonSettings>(file, json, checkSettings);
}

ParseResult<GatewaySettings> parseGatewaySettings(const std::string &file, std::string_view json)
{
    return parse<GatewaySettings>(file, json, checkGatewaySettings);
}

ParseResult<SignedBundle> parseSignedBundle(const std::string &file, std::string_view json)
{
    return parse<SignedBundle>(file, json, [](const SignedBundle &bundle, FaultList &faults) {
        require(!bundle.document().empty(), "$.document", "must not be empty", faults);
    });
}

} // namespace burdock::schema
