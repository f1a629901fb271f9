#pragma once

#include <burdock/limits/named_limits.hpp>
#include <burdock/link.pb.h>

#include <optional>

namespace burdock::schema {

/** @brief Converts what is known of an endpoint's limit to its message. */
[[nodiscard]] EndpointLimit toMessage(const limits::NamedLimit &record, TimePoint now);

/** @brief Returns nothing if the message names an impossible rate. */
[[nodiscard]] std::optional<limits::NamedLimit> toRecord(const EndpointLimit &message, TimePoint now);

} // namespace burdock::schema
