#include <support/endless_endpoint.hpp>

#include <fstream>

namespace support {

namespace {

constexpr std::size_t WriteBytes = 32 * 1024;

} // namespace

EndlessEndpoint::EndlessEndpoint(const EndlessAnswer &answer)
    : m_answer(answer)
    , m_replica(
          [this](const standins::ReceivedRequest &request, standins::ReplicaConnection &connection) { return serve(request, connection); })
{
}

const standins::Replica &EndlessEndpoint::replica() const
{
    return m_replica;
}

u32 EndlessEndpoint::begun() const
{
    return m_begun;
}

u32 EndlessEndpoint::closed() const
{
    return m_closed;
}

standins::ConnectionAction EndlessEndpoint::serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    ++m_begun;
    std::string block;
    while (block.size() < WriteBytes) {
        block += m_answer.repeated;
    }
    connection.write(m_answer.begin(request));
    while (!connection.waitForClose(Duration::zero())) {
        connection.write(block);
    }
    ++m_closed;
    return standins::ConnectionAction::Close;
}

u64 peakKib(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

} // namespace support
