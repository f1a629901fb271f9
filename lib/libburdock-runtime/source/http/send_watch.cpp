#include "send_watch.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace burdock::runtime::http::detail {

namespace asio = boost::asio;

void setUserTimeout(asio::ip::tcp::socket &socket, Duration timeout)
{
    using IntegerOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    socket.set_option(IntegerOption(static_cast<int>(ms)), ignored);
}

std::optional<run::SendProgress> sendProgress(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    int unsentBytes = 0;
    const int descriptor = socket.native_handle();
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || ::ioctl(descriptor, SIOCOUTQNSD, &unsentBytes) != 0) {
        return std::nullopt;
    }
    run::SendProgress progress;
    progress.unacknowledgedSegments = info.tcpi_unacked;
    progress.unsentBytes = static_cast<u64>(unsentBytes);
    progress.unansweredProbes = info.tcpi_probes;
    progress.retransmissionTimeout = std::chrono::microseconds(info.tcpi_rto);
    progress.sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    return progress;
}

void setResetOnClose(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

} // namespace burdock::runtime::http::detail
