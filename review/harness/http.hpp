#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** @brief An HTTP/1.1 request or response. */
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    /** @brief Returns the status of a response, 0 if there is none. */
    [[nodiscard]] int status() const;
};

/** @brief An open connection of a listener. */
class Peer
{
public:
    explicit Peer(int descriptor);

    void send(std::string_view bytes) const;
    /** @brief Returns whether the other side closes the connection within the given time. */
    [[nodiscard]] bool waitForClose(Milliseconds time) const;

private:
    int m_descriptor;
};

/** @brief What follows on a connection after a request was handled. */
enum class Next {
    KeepOpen,
    Close,
    Reset,
    StaySilent, ///< nothing more is read or sent; the connection stays open until the other side closes it
};

/** @brief Accepts connections on a free loopback port and handles each in a thread of its own. Lives until the process ends. */
class Listener
{
public:
    using Handler = std::function<Next(const Message &, Peer &)>;

    explicit Listener(Handler handler);

    [[nodiscard]] int port() const;
    [[nodiscard]] std::string address() const;

private:
    void accept();
    void serve(int descriptor);

    Handler m_handler;
    int m_descriptor;
    int m_port = 0;
};

[[nodiscard]] std::string response(int status, std::string_view body, std::string_view extraHeaders = "");

/** @brief A client's connection, which is kept for further requests. */
class ClientConnection
{
public:
    explicit ClientConnection(int port);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /** @brief Sends a request; nothing if no complete response arrives in time. */
    [[nodiscard]] std::optional<Message> exchange(std::string_view request, Milliseconds timeout);

    struct Stream
    {
        std::string body; ///< without the framing, as far as it came
        bool isComplete = false;
        std::string startLine; ///< of a complete answer
    };
    /** @brief Sends a request and reads its answer as far as it comes. */
    [[nodiscard]] Stream exchangeStream(std::string_view request, Milliseconds timeout);

private:
    int m_descriptor;
    std::string m_buffer;
};

/** @brief Sends a request to a loopback port; nothing if no complete response arrives in time. */
[[nodiscard]] std::optional<Message> exchange(int port, const std::string &request, Milliseconds timeout);

/** @brief Returns a port of the loopback interface that is free for TCP and UDP. */
[[nodiscard]] int freePort();

} // namespace review
