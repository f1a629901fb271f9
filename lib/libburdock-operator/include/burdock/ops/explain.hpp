#pragma once

#include <burdock/types.hpp>

#include <istream>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief One log event in the timeline of a request. */
struct TimelineEntry
{
    i64 unixMs = 0;
    std::string vm;
    std::string event;
    std::string details; ///< the remaining fields as name=value
    bool isContext = false; ///< event of an endpoint or dependency involved, not of the request itself
};

/**
 * @brief Collects the log events that concern one request, sorted by time. The logs may come from any number of processes.
 *
 * Besides the events with the request's id, includes context events from shortly before its first event until its last one: those of
 * the endpoints that it was sent to, and, on the VMs that handled it, changes of the configuration and lost or restored dependencies.
 * Text before the JSON object of a line is skipped, as are lines without one.
 */
[[nodiscard]] std::vector<TimelineEntry> explainRequest(const std::string &id, std::istream &logs);

} // namespace burdock::ops
