#pragma once

#include <burdock/runtime/link/client.hpp>
#include <burdock/settings.pb.h>

#include <string>
#include <vector>

namespace burdock::serving::detail {

inline constexpr Duration PlatformTimeout = std::chrono::seconds(1);

[[nodiscard]] std::vector<std::string> signersOf(const schema::DaemonSettings &settings);
[[nodiscard]] runtime::link::Keys linkKeysOf(const schema::DaemonSettings &settings);
[[nodiscard]] Duration beatOf(const schema::DaemonSettings &settings);

} // namespace burdock::serving::detail
