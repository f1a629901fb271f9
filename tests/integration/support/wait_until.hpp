#pragma once

#include <burdock/types.hpp>

#include <functional>

namespace support {

using namespace burdock;

/** @brief Waits until a condition holds; false if it did not in time. */
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition, Duration patience = std::chrono::seconds(20));

} // namespace support
