#pragma once

#include <burdock/types.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace burdock::membership {

/**
 * @brief The members that are responsible for a key: those with the highest hashes of name and key.
 *
 * Members whose lists differ by a few names compute nearly the same ones, since a name that is added or missing moves no others.
 */
[[nodiscard]] std::vector<std::string> responsibleMembers(u64 key, const std::vector<std::string> &members, std::size_t count);

} // namespace burdock::membership
