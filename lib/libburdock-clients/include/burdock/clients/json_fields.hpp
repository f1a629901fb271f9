#pragma once

#include <burdock/types.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

/** @brief Reads fields of JSON documents from other systems; a field that is missing or of another type reads as empty. */
namespace burdock::clients {

/** @brief The string, or an empty one. */
[[nodiscard]] std::string textOf(const boost::json::object &object, std::string_view key);

/** @brief The non-negative integer, or 0. */
[[nodiscard]] u64 numberOf(const boost::json::object &object, std::string_view key);

/** @brief The number, integer or floating point, or nullopt. */
[[nodiscard]] std::optional<double> realOf(const boost::json::object &object, std::string_view key);

/** @brief True only if the field is the boolean `true`. */
[[nodiscard]] bool flagOf(const boost::json::object &object, std::string_view key);

/** @brief The nested object, or an empty one. */
[[nodiscard]] const boost::json::object &objectOf(const boost::json::object &object, std::string_view key);

/** @brief The array, or an empty one. */
[[nodiscard]] const boost::json::array &arrayOf(const boost::json::object &object, std::string_view key);

} // namespace burdock::clients
