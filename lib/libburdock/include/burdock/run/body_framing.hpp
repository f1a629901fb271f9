#pragma once

#include <burdock/types.hpp>

#include <string_view>

namespace burdock::run {

/** @brief How the end of a response body is marked. */
enum class BodyFraming : u8 {
    ContentLength,
    Chunked,
    UntilClose, ///< by the end of the connection, which may also mean that the sender failed
};

[[nodiscard]] std::string_view toString(BodyFraming framing);

} // namespace burdock::run
