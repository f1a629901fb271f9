#include <support/client_crowd.hpp>

#include <support/wait_until.hpp>

#include <burdock/runtime/http/message.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace support {

namespace {

constexpr std::size_t BlockBytes = 64 * 1024;
constexpr int PollMs = 20;
/** Small, so that what a client doesn't read stays at the server. */
constexpr int ReceiveBufferBytes = 4096;
/** The crowd has settled once nothing could be sent for this long. */
constexpr auto SettleTime = std::chrono::milliseconds(1500);
constexpr Duration SettleTimeout = std::chrono::seconds(90);

int connectTo(const std::string &text)
{
    const auto address = runtime::http::parseAddress(text);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

ClientCrowd::ClientCrowd(const std::string &address, const ClientScript &script, std::size_t count)
    : m_script(script)
    , m_clients(count)
{
    while (!m_script.repeated.empty() && m_block.size() < BlockBytes) {
        m_block += m_script.repeated;
    }
    for (auto &client : m_clients) {
        client.descriptor = connectTo(address);
        m_openCount += client.descriptor >= 0 ? 1 : 0;
    }
    m_thread = std::thread([this] { run(); });
}

ClientCrowd::~ClientCrowd()
{
    m_isStopping = true;
    m_thread.join();
    for (auto &client : m_clients) {
        close(client);
    }
}

bool ClientCrowd::awaitSettled() const
{
    return waitUntil([this] { return m_isSettled.load(); }, SettleTimeout);
}

std::size_t ClientCrowd::openCount() const
{
    return m_openCount;
}

void ClientCrowd::run()
{
    auto lastProgress = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        bool hasProgress = false;
        std::vector<pollfd> waiting;
        for (auto &client : m_clients) {
            if (client.descriptor < 0) {
                continue;
            }
            hasProgress = serve(client) || hasProgress;
            if (client.descriptor >= 0) {
                const bool isSending = client.sentBytes < totalBytes();
                waiting.push_back(
                    {client.descriptor, static_cast<short>((m_script.isReading ? POLLIN : 0) | (isSending ? POLLOUT : 0)), 0});
            }
        }
        const auto now = std::chrono::steady_clock::now();
        lastProgress = hasProgress ? now : lastProgress;
        m_isSettled = m_isSettled || now - lastProgress > SettleTime;
        if (!hasProgress) {
            ::poll(waiting.data(), waiting.size(), PollMs);
        }
    }
}

bool ClientCrowd::serve(Client &client)
{
    const bool hasSent = send(client);
    const bool hasRead = client.descriptor >= 0 && m_script.isReading && read(client);
    return hasSent || hasRead;
}

bool ClientCrowd::send(Client &client)
{
    if (client.sentBytes >= totalBytes()) {
        return false;
    }
    const std::string_view begin = m_script.begin;
    std::string_view bytes = begin.substr(std::min(client.sentBytes, begin.size()));
    if (bytes.empty()) {
        bytes = std::string_view(m_block).substr((client.sentBytes - begin.size()) % m_block.size());
        bytes = bytes.substr(0, totalBytes() - client.sentBytes);
    }
    const auto size = ::send(client.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
        client.sentBytes += static_cast<std::size_t>(size);
        return true;
    }
    if (!wouldBlock()) {
        close(client);
    }
    return false;
}

bool ClientCrowd::read(Client &client)
{
    std::string buffer(BlockBytes, '\0');
    const auto size = ::recv(client.descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && !wouldBlock()) {
        close(client);
    }
    return size > 0;
}

std::size_t ClientCrowd::totalBytes() const
{
    return m_script.begin.size() + (m_block.empty() ? 0 : m_script.repeatedBytes);
}

void ClientCrowd::close(Client &client)
{
    if (client.descriptor >= 0) {
        ::close(client.descriptor);
        client.descriptor = -1;
        --m_openCount;
    }
}

} // namespace support
