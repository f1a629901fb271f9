#include <burdock/serving/role.hpp>

#include "endpoint/endpoint_role.hpp"
#include "entry/entry_role.hpp"
#include "role_support.hpp"

namespace burdock::serving {

namespace detail {

namespace {

constexpr u32 DefaultHeartbeatMs = 250;

} // namespace

std::vector<std::string> signersOf(const schema::DaemonSettings &settings)
{
    return {settings.trusted_signers().begin(), settings.trusted_signers().end()};
}

runtime::link::Keys linkKeysOf(const schema::DaemonSettings &settings)
{
    return {settings.links().public_key(), settings.links().secret_key()};
}

Duration heartbeatIntervalOf(const schema::DaemonSettings &settings)
{
    const u32 intervalMs = settings.links().heartbeat_ms();
    return std::chrono::milliseconds(intervalMs == 0 ? DefaultHeartbeatMs : intervalMs);
}

boost::json::object totalsByLabel(const runtime::Metrics &metrics, const std::string &name, const std::string &label)
{
    boost::json::object counts;
    for (const auto &[value, total] : metrics.totals(name, label)) {
        counts[value] = static_cast<u64>(total);
    }
    return counts;
}

} // namespace detail

std::unique_ptr<Role> makeRole(Process &process, const schema::DaemonSettings &settings)
{
    if (settings.role() == schema::DaemonSettings::ENTRY) {
        return std::make_unique<detail::EntryRole>(process, settings);
    }
    return std::make_unique<detail::EndpointRole>(process, settings);
}

} // namespace burdock::serving
