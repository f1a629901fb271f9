#pragma once

#include <burdock/link.pb.h>
#include <burdock/membership/member_table.hpp>
#include <burdock/retry/quarantine.hpp>

/** @brief Helpers for messages between entries and endpoint processes. */
namespace burdock::serving {

/** @brief The run attempt that a message is about, or null. */
[[nodiscard]] const schema::RunRef *refOf(const schema::LinkMessage &message);

/** @brief The endpoint load that a message carries, or null. */
[[nodiscard]] const schema::EndpointLoad *loadOf(const schema::LinkMessage &message);

[[nodiscard]] membership::ReportedLoad toReportedLoad(const schema::EndpointLoad &load);

/** @brief Adds suspect records to a heartbeat, and reads one back. */
void addSuspects(schema::Heartbeat &heartbeat, const std::vector<retry::SuspectRecord> &records);
[[nodiscard]] retry::SuspectRecord toSuspectRecord(const schema::Suspect &suspect);

/** @brief `model@version`, the form in which loaded weights are named. */
[[nodiscard]] std::string weightName(std::string_view model, std::string_view version);

} // namespace burdock::serving
