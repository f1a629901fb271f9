#pragma once

#include <burdock/types.hpp>

#include <functional>

namespace support {

using namespace burdock;

/** @brief Polls every 10 ms until a condition holds. Returns false if it does not within `timeout`. */
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(20));

} // namespace support
