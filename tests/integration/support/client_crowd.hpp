#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace support {

using namespace burdock;

/** @brief What one client sends: a beginning, and then the same bytes again and again. */
struct ClientScript
{
    std::string begin;
    std::string repeated = {};
    std::size_t repeatedBytes = 0; ///< sent at most of the repeated bytes
    bool isReading = false; ///< whether the client reads what it receives
};

/** @brief Clients of one listener that all keep to a script and leave their connections open. Each connects once. */
class ClientCrowd
{
public:
    ClientCrowd(const std::string &address, const ClientScript &script, std::size_t count);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /** @brief Waits until no client can send any more: it has sent all, its connection has failed, or the server doesn't read on. */
    [[nodiscard]] bool awaitSettled() const;

    /** @brief Number of connections that have not failed. */
    [[nodiscard]] std::size_t openCount() const;

private:
    struct Client
    {
        int descriptor = -1;
        std::size_t sentBytes = 0; ///< of the beginning and the repeated bytes
    };

    void run();
    /** @brief Sends and reads what is possible; returns whether anything was. */
    [[nodiscard]] bool serve(Client &client);
    [[nodiscard]] bool send(Client &client);
    [[nodiscard]] bool read(Client &client);
    [[nodiscard]] std::size_t totalBytes() const;
    void close(Client &client);

    ClientScript m_script;
    std::string m_block; ///< the repeated bytes, several times over
    std::vector<Client> m_clients;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isSettled{false};
    std::atomic<std::size_t> m_openCount{0};
    std::thread m_thread;
};

} // namespace support
