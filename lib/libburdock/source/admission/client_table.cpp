#include <burdock/admission/client_table.hpp>

namespace burdock::admission {

namespace {

constexpr std::array<std::string_view, ClientPhaseCount> PhaseNames{"silent", "receiving",  "working", "sending",
                                                                    "idle",   "discarding", "closing"};

} // namespace

std::string_view toString(ClientPhase phase)
{
    return PhaseNames.at(static_cast<std::size_t>(phase));
}

ClientTable::ClientTable(const ClientTablePolicy &policy)
    : m_policy(policy)
{
}

ClientTable::Position ClientTable::add(u64 id, TimePoint now)
{
    auto &silent = clientsIn(ClientPhase::Silent);
    ++m_size;
    return silent.insert(silent.end(), Client{id, ClientPhase::Silent, now});
}

void ClientTable::remove(Position client)
{
    --m_size;
    clientsIn(client->phase).erase(client);
}

void ClientTable::enter(Position client, ClientPhase phase, TimePoint now)
{
    if (client->phase == ClientPhase::Closing) {
        return;
    }
    auto &entered = clientsIn(phase);
    entered.splice(entered.end(), clientsIn(client->phase), client);
    client->phase = phase;
    client->since = now;
}

std::size_t ClientTable::size() const
{
    return m_size - m_clients.at(static_cast<std::size_t>(ClientPhase::Closing)).size();
}

std::optional<ClientTable::Client> ClientTable::closeForConnection(TimePoint now)
{
    auto client = longestIn({ClientPhase::Discarding}, m_policy.minWait, now);
    if (!client) {
        client = longestIn({ClientPhase::Silent, ClientPhase::Receiving, ClientPhase::Sending}, m_policy.stallTime, now);
    }
    if (!client) {
        // A caller whose idle connection is closed can send its next request on another one.
        client = longestIn({ClientPhase::Idle}, m_policy.minWait, now);
    }
    return close(client, now);
}

std::optional<ClientTable::Client> ClientTable::closeStalled(TimePoint now)
{
    return close(longestIn({ClientPhase::Receiving, ClientPhase::Sending}, m_policy.stallTime, now), now);
}

std::list<ClientTable::Client> &ClientTable::clientsIn(ClientPhase phase)
{
    return m_clients.at(static_cast<std::size_t>(phase));
}

std::optional<ClientTable::Position> ClientTable::longestIn(std::initializer_list<ClientPhase> phases, Duration atLeast, TimePoint now)
{
    std::optional<Position> longest;
    for (const auto phase : phases) {
        auto &clients = clientsIn(phase);
        const bool isLonger = !clients.empty() && (!longest || clients.front().since < (*longest)->since);
        if (isLonger && now - clients.front().since >= atLeast) {
            longest = clients.begin();
        }
    }
    return longest;
}

std::optional<ClientTable::Client> ClientTable::close(const std::optional<Position> &client, TimePoint now)
{
    if (!client) {
        return std::nullopt;
    }
    const Client closed = **client;
    enter(*client, ClientPhase::Closing, now);
    return closed;
}

} // namespace burdock::admission
