#pragma once

#include <burdock/link.pb.h>
#include <burdock/membership/member_table.hpp>
#include <burdock/retry/suspect_exchange.hpp>

/** @brief Helpers for messages between entries and endpoint processes. */
namespace burdock::serving {

/** @brief The run attempt that a message is about, or null. */
[[nodiscard]] const schema::RunRef *refOf(const schema::LinkMessage &message);

/** @brief The endpoint load that a message carries, or null. */
[[nodiscard]] const schema::EndpointLoad *loadOf(const schema::LinkMessage &message);

[[nodiscard]] membership::ReportedLoad toReportedLoad(const schema::EndpointLoad &load);

/** @brief Adds what is told of suspects to a heartbeat, and reads it back. */
void addSuspectUpdate(schema::Heartbeat &heartbeat, const retry::SuspectUpdate &news);
[[nodiscard]] retry::SuspectUpdate toSuspectUpdate(const schema::Heartbeat &heartbeat);

/** @brief `model@version`, the form in which loaded weights are named. */
[[nodiscard]] std::string weightName(std::string_view model, std::string_view version);

} // namespace burdock::serving
