#pragma once

#include <burdock/link.pb.h>
#include <burdock/retry/crash_attribution.hpp>

namespace burdock::schema {

/** @brief Converts what is known of a feature of crashing requests to its message. */
[[nodiscard]] CrashFeature toMessage(const retry::FeatureRecord &record);

[[nodiscard]] retry::FeatureRecord toRecord(const CrashFeature &message);

} // namespace burdock::schema
