#pragma once

#include <optional>

namespace burdock::runtime::http::detail {

/**
 * @brief Drops SYN packets for a listening socket; handshakes that have already started can still complete.
 *
 * Closing a listening socket resets the connections in its backlog; without new ones, the backlog can be emptied first. A peer whose
 * SYN was dropped sends it again after one second and is then refused. Does nothing if the system does not support socket filters.
 *
 * @param socket descriptor of a listening TCP socket
 */
void dropNewHandshakes(int socket);

/** @brief Result of accepting one connection. */
struct AcceptedConnection
{
    std::optional<int> descriptor; ///< in non-blocking mode; nothing if there is none
    bool isBacklogEmpty = false; ///< otherwise, without a descriptor, the process can't accept more at the moment
};

/**
 * @brief Accepts a connection if one waits.
 * @param socket descriptor of a listening TCP socket in non-blocking mode
 */
[[nodiscard]] AcceptedConnection acceptConnection(int socket);

/** @brief Closes a connection with a reset, so that the peer knows that its request hasn't been read. */
void resetConnection(int connection);

/**
 * @brief Resets the connections that wait to be accepted.
 * @param socket descriptor of a listening TCP socket in non-blocking mode
 */
void resetBacklog(int socket);

} // namespace burdock::runtime::http::detail
