#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 16384;
constexpr int HexBase = 16;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

bool isFree(int port, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(descriptor);
    return isBound;
}

Message parseHead(std::string_view head)
{
    Message message;
    message.startLine = head.substr(0, head.find("\r\n"));
    auto position = message.startLine.size() + 2;
    while (position < head.size()) {
        const auto end = std::min(head.find("\r\n", position), head.size());
        const auto line = head.substr(position, end - position);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            const auto value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        position = end + 2;
    }
    return message;
}

bool receiveMore(int descriptor, std::string &buffer)
{
    std::string chunk(ReadBytes, '\0');
    const auto size = ::recv(descriptor, chunk.data(), chunk.size(), 0);
    if (size > 0) {
        buffer.append(chunk, 0, static_cast<std::size_t>(size));
    }
    return size > 0;
}

bool readChunks(int descriptor, std::string &buffer, std::string &body)
{
    while (true) {
        std::size_t lineEnd = 0;
        while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
            if (!receiveMore(descriptor, buffer)) {
                return false;
            }
        }
        const auto size = std::strtoul(buffer.c_str(), nullptr, HexBase);
        while (buffer.size() < lineEnd + 2 + size + 2) {
            if (!receiveMore(descriptor, buffer)) {
                return false;
            }
        }
        body += buffer.substr(lineEnd + 2, size);
        buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

// Reads as much as comes; `body` also holds what came of a body that isn't complete.
std::optional<Message> readMessage(int descriptor, std::string &buffer, std::string &body)
{
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(descriptor, buffer)) {
            return std::nullopt;
        }
    }
    auto message = parseHead(std::string_view(buffer).substr(0, headEnd));
    buffer.erase(0, headEnd + 4);
    if (message.header("Transfer-Encoding") == "chunked") {
        const bool isWhole = readChunks(descriptor, buffer, body);
        message.body = body;
        return isWhole ? std::optional(message) : std::nullopt;
    }
    const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!receiveMore(descriptor, buffer)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(0, size);
    body = message.body;
    buffer.erase(0, size);
    return message;
}

std::optional<Message> readMessage(int descriptor, std::string &buffer)
{
    std::string body;
    return readMessage(descriptor, buffer, body);
}

} // namespace

std::string Message::header(std::string_view name) const
{
    const std::string wanted(name);
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&wanted](const auto &header) { return ::strcasecmp(header.first.c_str(), wanted.c_str()) == 0; });
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const auto begin = std::min(startLine.find(' '), startLine.size() - 1) + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

Peer::Peer(int descriptor)
    : m_descriptor(descriptor)
{
}

void Peer::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto size = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
}

bool Peer::waitForClose(Milliseconds time) const
{
    pollfd entry{m_descriptor, POLLIN, 0};
    char byte = 0;
    return ::poll(&entry, 1, static_cast<int>(time.count())) == 1 && ::recv(m_descriptor, &byte, 1, MSG_PEEK) <= 0;
}

Listener::Listener(Handler handler)
    : m_handler(std::move(handler))
    , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto address = loopback(0);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_descriptor, SOMAXCONN) != 0) {
        std::_Exit(2);
    }
    m_port = portOf(m_descriptor);
    std::thread([this] { accept(); }).detach();
}

int Listener::port() const
{
    return m_port;
}

std::string Listener::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Listener::accept()
{
    while (true) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }
}

void Listener::serve(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    Peer peer(descriptor);
    auto next = Next::KeepOpen;
    while (next == Next::KeepOpen) {
        const auto message = readMessage(descriptor, buffer);
        if (!message) {
            break;
        }
        next = m_handler(*message, peer);
    }
    if (next == Next::StaySilent) {
        static_cast<void>(peer.waitForClose(Milliseconds(120'000)));
    }
    if (next == Next::Reset) {
        const linger resetOnClose{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    ::close(descriptor);
}

std::string response(int status, std::string_view body, std::string_view extraHeaders)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    text += extraHeaders;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

ClientConnection::ClientConnection(int port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto address = loopback(port);
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

ClientConnection::~ClientConnection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

std::optional<Message> ClientConnection::exchange(std::string_view request, Milliseconds timeout)
{
    if (m_descriptor < 0) {
        return std::nullopt;
    }
    const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    Peer(m_descriptor).send(request);
    return readMessage(m_descriptor, m_buffer);
}

ClientConnection::Stream ClientConnection::exchangeStream(std::string_view request, Milliseconds timeout)
{
    Stream stream;
    if (m_descriptor >= 0) {
        const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        Peer(m_descriptor).send(request);
        const auto message = readMessage(m_descriptor, m_buffer, stream.body);
        stream.isComplete = message && message->status() == 200;
        stream.startLine = message ? message->startLine : std::string();
    }
    return stream;
}

std::optional<Message> exchange(int port, const std::string &request, Milliseconds timeout)
{
    return ClientConnection(port).exchange(request, timeout);
}

int freePort()
{
    // Below the ports that the system gives to outgoing connections, and apart from those of scripts that run at the same time.
    constexpr int FirstPort = 12000;
    constexpr int PortsOfScript = 100;
    constexpr int Blocks = 200;
    static std::atomic<int> s_taken{0};
    const int first = FirstPort + ::getpid() % Blocks * PortsOfScript;
    while (true) {
        const int port = first + s_taken++;
        if (isFree(port, SOCK_STREAM) && isFree(port, SOCK_DGRAM)) {
            return port;
        }
    }
}

} // namespace review
