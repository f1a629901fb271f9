#include "listening_socket.hpp"

#include <array>
#include <cerrno>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace burdock::runtime::http::detail {

namespace {

/** Offset of the flags in the TCP header; the filter of a TCP socket sees packets from this header on. */
constexpr unsigned int FlagsOffset = 13;
constexpr unsigned int AcceptPacket = 0xffffffff;
constexpr unsigned int DropPacket = 0;

} // namespace

void dropNewHandshakes(int socket)
{
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, DropPacket),
        BPF_STMT(BPF_RET | BPF_K, AcceptPacket),
    }};
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    static_cast<void>(::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)));
}

AcceptedConnection acceptConnection(int socket)
{
    while (true) {
        const int connection = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (connection >= 0) {
            return {connection, false};
        }
        const bool hasPeerLeft = errno == ECONNABORTED || errno == EINTR;
        if (!hasPeerLeft) {
            return {std::nullopt, errno == EAGAIN || errno == EWOULDBLOCK};
        }
    }
}

void resetConnection(int connection)
{
    // Closing a connection that lingers for no time sends a reset.
    constexpr linger ResetOnClose{1, 0};
    static_cast<void>(::setsockopt(connection, SOL_SOCKET, SO_LINGER, &ResetOnClose, sizeof(ResetOnClose)));
    ::close(connection);
}

void resetBacklog(int socket)
{
    for (int connection = ::accept(socket, nullptr, nullptr); connection >= 0; connection = ::accept(socket, nullptr, nullptr)) {
        resetConnection(connection);
    }
}

} // namespace burdock::runtime::http::detail
