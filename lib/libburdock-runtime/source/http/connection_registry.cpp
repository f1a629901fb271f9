#include "connection_registry.hpp"

#include "client_connection.hpp"

#include <burdock/runtime/http/server.hpp>

namespace burdock::runtime::http::detail {

namespace asio = boost::asio;
using admission::ClientPhase;

namespace {

void resetConnection(ClientConnection &connection)
{
    boost::system::error_code ignored;
    connection.stream().socket().set_option(asio::socket_base::linger(true, 0), ignored);
    connection.stream().socket().close(ignored);
}

bool isWaitingForRequest(ClientPhase phase)
{
    return phase == ClientPhase::Silent || phase == ClientPhase::Idle;
}

} // namespace

ConnectionRegistry::ConnectionRegistry(ConnectionGate *gate)
    : m_gate(gate)
{
}

u64 ConnectionRegistry::add(ClientConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    const u64 id = m_nextId++;
    m_entries.emplace(id, Entry{&connection, m_table.add(id, steadyNow())});
    return id;
}

void ConnectionRegistry::remove(u64 id)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    m_table.remove(entry->second.position);
    m_entries.erase(entry);
}

bool ConnectionRegistry::enter(u64 id, ClientPhase phase)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries.at(id);
    m_table.enter(entry.position, phase, steadyNow());
    return !entry.isClosing;
}

bool ConnectionRegistry::makeRoomForConnection(u32 limit)
{
    const std::lock_guard lock(m_mutex);
    if (limit == 0 || m_table.size() < limit) {
        return true;
    }
    const auto client = m_table.closeForConnection(steadyNow());
    if (client) {
        reset(*client);
    }
    return client.has_value();
}

u32 ConnectionRegistry::closeStalled(u32 most)
{
    const std::lock_guard lock(m_mutex);
    for (u32 i = 0; i < most; ++i) {
        const auto client = m_table.closeStalled(steadyNow());
        if (!client) {
            return i;
        }
        reset(*client);
    }
    return most;
}

void ConnectionRegistry::closeIdle(const std::optional<Response> &finalResponse)
{
    const std::lock_guard lock(m_mutex);
    m_finalResponse = finalResponse;
    for (const auto &[id, entry] : m_entries) {
        post(id, entry, [](const Entry &open) {
            if (isWaitingForRequest(open.position->phase)) {
                open.connection->stream().cancel();
            }
        });
    }
}

std::optional<Response> ConnectionRegistry::finalResponse() const
{
    const std::lock_guard lock(m_mutex);
    return m_finalResponse;
}

void ConnectionRegistry::cancelAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        post(id, entry, [](const Entry &open) { open.connection->stream().cancel(); });
    }
}

void ConnectionRegistry::resetAll()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, entry] : m_entries) {
        entry.isClosing = true;
        post(id, entry, [](const Entry &open) { resetConnection(*open.connection); });
    }
}

template <typename Function>
void ConnectionRegistry::post(u64 id, const Entry &entry, Function function)
{
    asio::post(entry.connection->stream().get_executor(), [self = shared_from_this(), id, function] {
        const std::lock_guard lock(self->m_mutex);
        if (const auto open = self->m_entries.find(id); open != self->m_entries.end()) {
            function(open->second);
        }
    });
}

void ConnectionRegistry::reset(const admission::ClientTable::Client &client)
{
    auto &entry = m_entries.at(client.id);
    entry.isClosing = true;
    post(client.id, entry, [](const Entry &open) { resetConnection(*open.connection); });
    if (m_gate != nullptr) {
        m_gate->noteClosedForRoom(client.phase);
    }
}

} // namespace burdock::runtime::http::detail
