#pragma once

namespace burdock::runtime::http::detail {

/**
 * @brief Lets a listening socket begin no further handshakes, while those that were begun still complete.
 *
 * Closing a listening socket resets the connections that wait to be accepted; without new ones they can all be accepted first. A peer
 * whose first packet is ignored sends it again after a second and is then refused. Does nothing where the system can't filter.
 *
 * @param socket  a TCP socket that listens
 */
void ignoreNewPeers(int socket);

} // namespace burdock::runtime::http::detail
