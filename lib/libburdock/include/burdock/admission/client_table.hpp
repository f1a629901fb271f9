#pragma once

#include <burdock/types.hpp>

#include <array>
#include <list>
#include <optional>
#include <string_view>

namespace burdock::admission {

/** @brief What a client's connection waits for. */
enum class ClientPhase : u8 {
    Silent, ///< the first byte of its first request
    Receiving, ///< the rest of a request
    Working, ///< the handler of a request
    Sending, ///< the client, to take an answer
    Idle, ///< the first byte of a further request
    Discarding, ///< the end of a client whose request was refused
    Closing, ///< its own end
};

inline constexpr std::size_t ClientPhaseCount = 7;

[[nodiscard]] std::string_view toString(ClientPhase phase);

/** @brief Parameters of ClientTable. */
struct ClientTablePolicy
{
    /** A client that must send or take bytes and makes no progress for this long may be closed for others. */
    Duration stallTime = std::chrono::milliseconds(1000);
    /** The same for one that has received a refusal, or that has no request under way. */
    Duration minWait = std::chrono::milliseconds(200);
};

/**
 * @brief Chooses which connections are closed when room for others is short: those whose clients keep the process waiting for longest.
 *
 * A connection whose request is being handled is never chosen. Not thread-safe.
 */
class ClientTable
{
public:
    struct Client
    {
        u64 id = 0;
        ClientPhase phase = ClientPhase::Silent;
        TimePoint since{}; ///< start of the phase, or the last progress in it
    };

    using Position = std::list<Client>::iterator;

    explicit ClientTable(const ClientTablePolicy &policy = {});

    [[nodiscard]] Position add(u64 id, TimePoint now);
    void remove(Position client);

    /** @brief Notes that a client has entered a phase, or made progress in it. */
    void enter(Position client, ClientPhase phase, TimePoint now);

    /** @brief Number of connections that are not being closed. */
    [[nodiscard]] std::size_t size() const;

    /** @brief Chooses a connection to be closed for a new one, and enters Closing for it; nothing if all must stay. */
    [[nodiscard]] std::optional<Client> closeForConnection(TimePoint now);

    /** @brief Chooses a connection to be closed for what its message takes, and enters Closing for it; nothing if all must stay. */
    [[nodiscard]] std::optional<Client> closeStalled(TimePoint now);

private:
    [[nodiscard]] std::list<Client> &clientsIn(ClientPhase phase);
    /** @brief Returns the client that has been longest in one of the phases, if that is long enough. */
    [[nodiscard]] std::optional<Position> longestIn(std::initializer_list<ClientPhase> phases, Duration atLeast, TimePoint now);
    [[nodiscard]] std::optional<Client> close(const std::optional<Position> &client, TimePoint now);

    ClientTablePolicy m_policy;
    std::array<std::list<Client>, ClientPhaseCount> m_clients; ///< by phase, in the order in which they entered it
    std::size_t m_size = 0;
};

} // namespace burdock::admission
