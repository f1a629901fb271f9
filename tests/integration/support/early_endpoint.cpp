#include <support/early_endpoint.hpp>

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace support {

namespace {

constexpr int ReceiveBytes = 2 * 1024;
/** As on Ethernet; a segment of loopback holds much more than the receive buffer. */
constexpr int SegmentBytes = 1460;
constexpr std::size_t ReadBytes = 512;
const std::string HeadEnd = "\r\n\r\n";
const std::string LengthField = "Content-Length: ";
const std::string AttemptField = "X-Attempt-Id: ";

std::string fieldOf(const std::string &head, const std::string &field)
{
    const auto start = head.find(field);
    if (start == std::string::npos) {
        return {};
    }
    return head.substr(start + field.size(), head.find("\r\n", start) - start - field.size());
}

bool receiveMore(int descriptor, std::string &bytes)
{
    std::array<char, ReadBytes> buffer{};
    const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    bytes.append(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    return size > 0;
}

void sendAll(int descriptor, const std::string &bytes)
{
    static_cast<void>(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

} // namespace

EarlyEndpoint::EarlyEndpoint(std::string firstHalf, std::string secondHalf, EarlyEnd end, Duration pause)
    : m_firstHalf(std::move(firstHalf))
    , m_secondHalf(std::move(secondHalf))
    , m_end(end)
    , m_pause(pause)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes, sizeof ReceiveBytes);
    ::setsockopt(m_listener, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool isBound = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0;
    if (!isBound || ::listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("the endpoint cannot listen on a loopback port");
    }
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

EarlyEndpoint::~EarlyEndpoint()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
}

std::string EarlyEndpoint::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

u32 EarlyEndpoint::requests() const
{
    return m_requests;
}

void EarlyEndpoint::acceptLoop()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            serve(descriptor);
        }
    }
}

void EarlyEndpoint::serve(int descriptor)
{
    std::string received;
    bool isOpen = true;
    while (isOpen && received.find(HeadEnd) == std::string::npos) {
        isOpen = receiveMore(descriptor, received);
    }
    if (isOpen) {
        ++m_requests;
        const auto headBytes = received.find(HeadEnd) + HeadEnd.size();
        const auto head = received.substr(0, headBytes);
        const auto bodyBytes = std::strtoull(fieldOf(head, LengthField).c_str(), nullptr, 10);
        sendAll(descriptor,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + fieldOf(head, AttemptField) + "\r\nX-Server-Seal: seal\r\n\r\n" + m_firstHalf);
        std::this_thread::sleep_for(m_pause);
        while (m_end == EarlyEnd::Close && isOpen && received.size() < headBytes + bodyBytes) {
            isOpen = receiveMore(descriptor, received);
        }
        if (m_end == EarlyEnd::Reset) {
            const linger resetOnClose{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        } else {
            sendAll(descriptor, m_secondHalf);
        }
    }
    ::close(descriptor);
}

} // namespace support
