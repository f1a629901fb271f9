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

/** @brief Request as received by a replica. */
struct ReceivedRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/** @brief Connection of a replica, controlled by its script. */
class ReplicaConnection
{
public:
    explicit ReplicaConnection(int descriptor);

    void write(const std::string &bytes) const;

    /** @brief Waits until the peer closes the connection; returns false on timeout. */
    [[nodiscard]] bool waitForClose(Duration timeout) const;

private:
    int m_descriptor;
};

/** @brief Whether a replica keeps its connection open after the script has returned. */
enum class ConnectionAction : u8 {
    Keep,
    Close,
    Reset,
};

/** @brief Responds to one request; called on the thread of the connection. */
using ReplicaScript = std::function<ConnectionAction(const ReceivedRequest &, ReplicaConnection &)>;

/** @brief Replica of the users' platform whose response bytes are written by a script, so that a test can produce any protocol error. */
class Replica
{
public:
    explicit Replica(ReplicaScript script);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<ReceivedRequest> received() const;

    /** @brief Number of requests received with this target. */
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
    std::vector<int> m_openDescriptors;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** @brief Returns a complete signed response for the attempt of the request. */
[[nodiscard]] std::string completeResponse(const ReceivedRequest &request, u16 status, const std::string &body,
                                           const std::string &extraHeaders = {});

/** @brief Returns a signed response with neither a length nor chunks; its body ends with the connection. */
[[nodiscard]] std::string unframedResponse(const ReceivedRequest &request, u16 status, const std::string &body);

/** @brief Returns the signed head of an event stream for the attempt of the request. */
[[nodiscard]] std::string streamHead(const ReceivedRequest &request);

/** @brief Returns the signed head of an event stream that ends with its connection. */
[[nodiscard]] std::string unframedStreamHead(const ReceivedRequest &request);

/** @brief Returns one event. */
[[nodiscard]] std::string eventText(u32 id, const std::string &data);

/** @brief Returns one event as an HTTP chunk. */
[[nodiscard]] std::string eventChunk(u32 id, const std::string &data);

/** @brief Last chunk of a stream. */
inline const std::string StreamEnd = "0\r\n\r\n";

} // namespace standins
