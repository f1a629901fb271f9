#pragma once

#include <burdock/types.hpp>

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

/** @brief Reads fields of documents that other systems sent; what is missing or of another type reads as empty. */
namespace burdock::platform {

/** @brief A string, or an empty one. */
[[nodiscard]] std::string textOf(const boost::json::object &object, std::string_view key);

/** @brief A whole number that is not negative, or 0. */
[[nodiscard]] u64 numberOf(const boost::json::object &object, std::string_view key);

} // namespace burdock::platform
