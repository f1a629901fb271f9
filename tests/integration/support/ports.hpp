#pragma once

#include <burdock/types.hpp>

#include <string>

namespace support {

/** @brief A port of 127.0.0.1 that nobody listens on. */
[[nodiscard]] burdock::u16 freePort();

/** @brief The same, as IP:port. */
[[nodiscard]] std::string freeAddress();

} // namespace support
