#pragma once

#include <string>
#include <vector>

namespace burdock::runtime::link::detail {

using Frames = std::vector<std::string>;

/** Size of a frame. Longer messages take several, so that a peer without a key, whose frames are kept until they end, can send no more. */
inline constexpr std::size_t MaxFrameBytes = 64 * 1024;

/** @brief Appends a message, in as many frames as it needs. */
void appendMessage(Frames &frames, std::string message);

/** @brief Joins the frames of a message, from the given one on. */
[[nodiscard]] std::string joinMessage(const Frames &frames, std::size_t first);

} // namespace burdock::runtime::link::detail
