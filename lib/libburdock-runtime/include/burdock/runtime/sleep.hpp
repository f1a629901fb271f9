#pragma once

#include <burdock/types.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::runtime {

/** @brief Suspends the calling coroutine for the given time. */
[[nodiscard]] boost::asio::awaitable<void> sleepFor(Duration duration);

} // namespace burdock::runtime
