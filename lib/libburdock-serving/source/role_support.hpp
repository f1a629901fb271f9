#pragma once

#include <burdock/runtime/link/client.hpp>
#include <burdock/runtime/metrics.hpp>
#include <burdock/settings.pb.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace burdock::serving::detail {

inline constexpr Duration PlatformTimeout = std::chrono::seconds(1);

[[nodiscard]] std::vector<std::string> signersOf(const schema::DaemonSettings &settings);
[[nodiscard]] runtime::link::Keys linkKeysOf(const schema::DaemonSettings &settings);
/** @brief Interval between heartbeats; 250 ms if the settings leave it at 0. */
[[nodiscard]] Duration heartbeatIntervalOf(const schema::DaemonSettings &settings);

/** @brief Totals of a counter by the values of one of its labels, for a status document. */
[[nodiscard]] boost::json::object totalsByLabel(const runtime::Metrics &metrics, const std::string &name, const std::string &label);

} // namespace burdock::serving::detail
