#pragma once

#include <burdock/link.pb.h>
#include <burdock/membership/member_table.hpp>
#include <burdock/retry/suspect_exchange.hpp>

/** @brief Accessors and conversions for the messages between entries and endpoint processes. */
namespace burdock::serving {

/** @brief The reference to the run attempt that a message concerns, or null if it concerns none. */
[[nodiscard]] const schema::RunRef *runRefOf(const schema::LinkMessage &message);

/** @brief The endpoint load that a message contains, or null. */
[[nodiscard]] const schema::EndpointLoad *endpointLoadOf(const schema::LinkMessage &message);

[[nodiscard]] membership::ReportedLoad toReportedLoad(const schema::EndpointLoad &load);

/** @brief Writes an update of suspect records to a heartbeat. */
void addSuspectUpdate(schema::Heartbeat &heartbeat, const retry::SuspectUpdate &update);

/** @brief Reads the update of suspect records that a heartbeat contains. */
[[nodiscard]] retry::SuspectUpdate toSuspectUpdate(const schema::Heartbeat &heartbeat);

/** @brief Returns `model@version`, the name of weights in load reports. */
[[nodiscard]] std::string weightName(std::string_view model, std::string_view version);

} // namespace burdock::serving
