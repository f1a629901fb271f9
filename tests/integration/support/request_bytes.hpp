#pragma once

#include <burdock/types.hpp>

#include <string>

namespace support {

using namespace burdock;

/** @brief Returns one chunk of a chunked body. */
[[nodiscard]] std::string chunkOf(std::size_t bytes);

/** @brief Returns header lines of the fewest bytes, up to this size. */
[[nodiscard]] std::string shortFields(std::size_t bytes);

/** @brief Returns a text several times over. */
[[nodiscard]] std::string repeat(const std::string &text, u32 count);

} // namespace support
