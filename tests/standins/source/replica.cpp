#include <standins/replica.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

ReceivedRequest parseHead(const std::string &head)
{
    ReceivedRequest request;
    const auto firstEnd = head.find("\r\n");
    const auto first = head.substr(0, firstEnd);
    const auto space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    for (auto position = firstEnd + 2; position < head.size();) {
        const auto end = head.find("\r\n", position);
        const auto line = head.substr(position, end - position);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            request.headers[lowerCase(line.substr(0, colon))] = line.substr(line.find_first_not_of(' ', colon + 1));
        }
        position = end == std::string::npos ? head.size() : end + 2;
    }
    return request;
}

// Reads one request; returns false if the connection was closed.
bool readRequest(int descriptor, std::string &buffer, ReceivedRequest &request)
{
    std::string chunk(ReadBytes, '\0');
    while (true) {
        const auto headEnd = buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            request = parseHead(buffer.substr(0, headEnd));
            const auto length = request.header("content-length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            if (buffer.size() >= headEnd + 4 + size) {
                request.body = buffer.substr(headEnd + 4, size);
                buffer.erase(0, headEnd + 4 + size);
                return true;
            }
        }
        const auto read = ::recv(descriptor, chunk.data(), chunk.size(), 0);
        if (read <= 0) {
            return false;
        }
        buffer.append(chunk, 0, static_cast<std::size_t>(read));
    }
}

} // namespace

std::string ReceivedRequest::header(const std::string &name) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? std::string() : found->second;
}

ReplicaConnection::ReplicaConnection(int descriptor)
    : m_descriptor(descriptor)
{
}

void ReplicaConnection::write(const std::string &bytes) const
{
    static_cast<void>(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

bool ReplicaConnection::waitForClose(Duration timeout) const
{
    pollfd pollEntry{m_descriptor, POLLIN, 0};
    const auto ms = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    char byte = 0;
    return ::poll(&pollEntry, 1, ms) == 1 && ::recv(m_descriptor, &byte, 1, MSG_PEEK) <= 0;
}

Replica::Replica(ReplicaScript script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isBound = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    if (!isBound || ::listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("replica cannot listen on a loopback port");
    }
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

Replica::~Replica()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_openDescriptors) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    ::close(m_listener);
}

std::string Replica::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::vector<ReceivedRequest> Replica::received() const
{
    const std::lock_guard lock(m_mutex);
    return m_received;
}

std::size_t Replica::receivedCount(const std::string &target) const
{
    const auto all = received();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&target](const ReceivedRequest &request) { return request.target == target; }));
}

void Replica::acceptLoop()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_openDescriptors.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void Replica::serve(int descriptor)
{
    std::string buffer;
    ReceivedRequest request;
    ReplicaConnection connection(descriptor);
    while (!m_isStopping && readRequest(descriptor, buffer, request)) {
        {
            const std::lock_guard lock(m_mutex);
            m_received.push_back(request);
        }
        const auto action = m_script(request, connection);
        if (action == ConnectionAction::Reset) {
            const linger resetOnClose{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        }
        if (action != ConnectionAction::Keep) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    std::erase(m_openDescriptors, descriptor);
    ::close(descriptor);
}

std::string completeResponse(const ReceivedRequest &request, u16 status, const std::string &body, const std::string &extraHeaders)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n{}Content-Length: {}\r\n\r\n{}", status,
                       request.header("X-Attempt-Id"), extraHeaders, body.size(), body);
}

std::string unframedResponse(const ReceivedRequest &request, u16 status, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n\r\n{}", status, request.header("X-Attempt-Id"), body);
}

std::string unframedStreamHead(const ReceivedRequest &request)
{
    return unframedResponse(request, 200, "");
}

std::string streamHead(const ReceivedRequest &request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       request.header("X-Attempt-Id"));
}

std::string eventText(u32 id, const std::string &data)
{
    return fmt::format("id: {}\ndata: {}\n\n", id, data);
}

std::string eventChunk(u32 id, const std::string &data)
{
    const auto event = eventText(id, data);
    return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

} // namespace standins
