#pragma once

#include <burdock/admission/client_table.hpp>
#include <burdock/runtime/http/message.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace burdock::runtime::http {

class ConnectionGate;

namespace detail {

class ClientConnection;

/** @brief The open connections of a server, and which of them make room for others. Thread-safe. */
class ConnectionRegistry : public std::enable_shared_from_this<ConnectionRegistry>
{
public:
    /** @param gate told of connections that are closed for others; may be null */
    explicit ConnectionRegistry(ConnectionGate *gate);

    /** @brief Adds a connection and returns its id, which no later connection gets. */
    [[nodiscard]] u64 add(ClientConnection &connection);
    void remove(u64 id);

    /** @brief Notes what a connection waits for; returns false if it is being closed. */
    bool enter(u64 id, admission::ClientPhase phase);

    /**
     * @brief Whether one more connection may be opened, for which another one is closed if need be.
     * @param limit most connections at a time; zero for no limit
     */
    [[nodiscard]] bool makeRoomForConnection(u32 limit);

    /** @brief Closes stalled connections with messages, so that they return their memory; returns how many. */
    u32 closeStalled(u32 most);

    /** @brief Closes the connections that wait for a request, with a final response on each of them if it is given. */
    void closeIdle(const std::optional<Response> &finalResponse);
    [[nodiscard]] std::optional<Response> finalResponse() const;

    /** @brief Aborts the reads and writes of all connections. */
    void cancelAll();

    /** @brief Resets all connections; requests that have not reached the handler are dropped. */
    void resetAll();

private:
    struct Entry
    {
        ClientConnection *connection = nullptr;
        admission::ClientTable::Position position;
        bool isClosing = false;
    };

    /** @brief Calls a function on the connection's strand if it is still open by then. */
    template <typename Function>
    void post(u64 id, const Entry &entry, Function function);
    void reset(const admission::ClientTable::Client &client);

    mutable std::mutex m_mutex;
    ConnectionGate *m_gate;
    admission::ClientTable m_table;
    std::map<u64, Entry> m_entries;
    u64 m_nextId = 1;
    std::optional<Response> m_finalResponse;
};

} // namespace detail

} // namespace burdock::runtime::http
