#pragma once

#include <burdock/types.hpp>

#include <istream>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief One line of the story of a request. */
struct StoryLine
{
    i64 unixMs = 0;
    std::string vm;
    std::string event;
    std::string details; ///< the other fields, as name=value
    bool isContext = false; ///< not of the request itself, but of an endpoint or dependency that it met
};

/**
 * @brief Collects what logs of any number of processes tell of one request, in order of time.
 *
 * Lines of the request's id, and those that were written on the same VM shortly before or meanwhile on the endpoints that it was sent
 * to, on the configuration, and on lost or regained dependencies. Text before the JSON object of a line is passed over, and so
 * are lines without one.
 */
[[nodiscard]] std::vector<StoryLine> explainRequest(const std::string &id, std::istream &logs);

} // namespace burdock::ops
