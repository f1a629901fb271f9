#pragma once

#include <burdock/types.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

/** @brief Reads fields of documents that other systems sent; what is missing or of another type reads as empty. */
namespace burdock::clients {

/** @brief A string, or an empty one. */
[[nodiscard]] std::string textOf(const boost::json::object &object, std::string_view key);

/** @brief A whole number that is not negative, or 0. */
[[nodiscard]] u64 numberOf(const boost::json::object &object, std::string_view key);

/** @brief A number of any form, or nothing. */
[[nodiscard]] std::optional<double> realOf(const boost::json::object &object, std::string_view key);

/** @brief True only for a true truth value. */
[[nodiscard]] bool flagOf(const boost::json::object &object, std::string_view key);

/** @brief An object, or an empty one. */
[[nodiscard]] const boost::json::object &objectOf(const boost::json::object &object, std::string_view key);

/** @brief An array, or an empty one. */
[[nodiscard]] const boost::json::array &arrayOf(const boost::json::object &object, std::string_view key);

} // namespace burdock::clients
