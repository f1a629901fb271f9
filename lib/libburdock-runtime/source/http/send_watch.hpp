#pragma once

#include <burdock/run/send_progress.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace burdock::runtime::http::detail {

/** Time after which a connection fails on which sent data isn't acknowledged, so that one to an unreachable VM is closed. */
inline constexpr Duration UserTimeout = std::chrono::milliseconds(3000);

/** @brief Sets the time after which the system gives up a connection whose data isn't taken in; zero for none. */
void setUserTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/** @brief What the system tells of a connection's unsent and unacknowledged data; nothing where it doesn't tell. */
[[nodiscard]] std::optional<run::SendProgress> sendProgress(boost::asio::ip::tcp::socket &socket);

/** @brief Makes the next close reset the connection, so that a peer which can still be reached is told. */
void setResetOnClose(boost::asio::ip::tcp::socket &socket);

} // namespace burdock::runtime::http::detail
