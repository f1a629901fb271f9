#pragma once

#include <burdock/types.hpp>

#include <string>

namespace support {

/** @brief A port of 127.0.0.1 on which no process listens; a test process never gets the same port twice. */
[[nodiscard]] burdock::u16 freePort();

/** @brief Address IP:port of a port from freePort(). */
[[nodiscard]] std::string freeAddress();

} // namespace support
