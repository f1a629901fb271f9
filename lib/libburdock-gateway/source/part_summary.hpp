#pragma once

#include <burdock/cache/part_index.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace burdock::gateway {

/** @brief Returns how many of the addresses are given. */
[[nodiscard]] u64 countNonEmpty(const std::vector<std::string> &addresses);

/** @brief Formats the shared parts of a prompt for the log: hash:tokens:disposition, with +save if the part is to be saved. */
[[nodiscard]] std::string formatParts(const cache::PartPlan &plan, const std::vector<cache::PromptPart> &parts, std::string_view salt);

} // namespace burdock::gateway
