#pragma once

#include <burdock/runtime/http/message.hpp>
#include <burdock/verdict.hpp>

#include <string_view>

namespace burdock::serving {

/** @brief A response with a problem document (RFC 9457) for a refusal: verdict, reason and, if retrying can help, Retry-After. */
[[nodiscard]] runtime::http::Response problemFor(const Refusal &refusal);

/** @brief A response with a problem document for a malformed or disallowed request; its verdict is not_run. */
[[nodiscard]] runtime::http::Response problem(u16 status, std::string_view reason, std::string_view detail);

/** @brief The JSON body of problemFor(). */
[[nodiscard]] std::string problemBody(const Refusal &refusal);

} // namespace burdock::serving
