#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins {

using namespace burdock;

/** @brief A request as a replica received it. */
struct ReceivedRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/** @brief One connection of a replica, under the script's control. */
class ReplicaConnection
{
public:
    explicit ReplicaConnection(int descriptor);

    void write(const std::string &bytes) const;

    /** @brief Waits until the other side closes, at most so long; true if it did. */
    [[nodiscard]] bool waitForClose(Duration patience) const;

private:
    int m_descriptor;
};

/** @brief Whether a replica keeps the connection after an answer. */
enum class ConnectionAction : u8 {
    Keep,
    Close,
};

/** @brief Answers one request; called on a thread of its connection. */
using ReplicaScript = std::function<ConnectionAction(const ReceivedRequest &, ReplicaConnection &)>;

/** @brief A replica of the users' platform whose every byte a test writes, so that it may misbehave in any way. */
class Replica
{
public:
    explicit Replica(ReplicaScript script);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<ReceivedRequest> received() const;

    /** @brief How many requests to this path came. */
    [[nodiscard]] std::size_t receivedCount(const std::string &target) const;

private:
    void acceptLoop();
    void serve(int descriptor);

    ReplicaScript m_script;
    int m_listener = -1;
    u16 m_port = 0;
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_received;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** @brief A whole answer in one piece, signed, for the request's attempt. */
[[nodiscard]] std::string completeResponse(const ReceivedRequest &request, u16 status, const std::string &body,
                                           const std::string &furtherHeaders = {});

/** @brief The head of a stream of events, signed, for the request's attempt. */
[[nodiscard]] std::string streamHead(const ReceivedRequest &request);

/** @brief One event as a chunk. */
[[nodiscard]] std::string eventChunk(u32 id, const std::string &data);

/** @brief The end of a stream. */
inline const std::string StreamEnd = "0\r\n\r\n";

} // namespace standins
