#pragma once

#include <optional>
#include <string>
#include <string_view>

/** @brief Syntax of HTTP/1.1 messages as RFC 9110 and RFC 9112 define it, without leniency. */
namespace burdock::wire {

/** @brief Whether the text can be a method or the name of a field. */
[[nodiscard]] bool isToken(std::string_view text);

/** @brief Whether the text can be the value of a field: it holds no control bytes but tabs. */
[[nodiscard]] bool isFieldValue(std::string_view text);

/** @brief Whether the text reaches the recipient of a field as it is: it can be a value, and has no blanks at its ends. */
[[nodiscard]] bool isFieldText(std::string_view text);

/** @brief Whether a request with this method may have this target. */
[[nodiscard]] bool isRequestTarget(std::string_view method, std::string_view target);

/** @brief Whether the text can be the value of a Host field. */
[[nodiscard]] bool isHost(std::string_view text);

/** @brief The text without spaces and tabs at its ends. */
[[nodiscard]] std::string_view trimmed(std::string_view text);

/** @brief Compares without regard to the case of ASCII letters. */
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** @brief Encodes a name for use as one segment of a path, or as a value in a query. */
[[nodiscard]] std::string percentEncoded(std::string_view name);

/** @brief The name that a segment of a path, or a value in a query, stands for; nothing if it isn't encoded properly. */
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

} // namespace burdock::wire
