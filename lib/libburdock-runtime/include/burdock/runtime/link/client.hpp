#pragma once

#include <burdock/membership/heartbeat_schedule.hpp>
#include <burdock/membership/member_table.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/runtime/link/context.hpp>

#include <burdock/link.pb.h>
#include <memory>
#include <string>

namespace burdock::runtime::link {

/** @brief Takes what happens on links to endpoint processes. Called on one thread at a time for each link. */
class ClientHandler
{
public:
    virtual ~ClientHandler() = default;

    /** @brief The heartbeat to send a peer now. */
    [[nodiscard]] virtual schema::Heartbeat heartbeat(const std::string &peer) = 0;

    virtual void onMessage(const std::string &peer, const schema::LinkMessage &message) = 0;

    /** @brief A silent link was replaced by a new socket; runs on it are to be resumed. */
    virtual void onLinkReplaced(const std::string &peer) = 0;

    virtual void onHealth(const std::string &peer, membership::LinkHealth health) = 0;
};

struct ClientOptions
{
    membership::HeartbeatOptions heartbeat;
    /** Replacements without a word after which the peer counts as dead. */
    u32 replacementsUntilDead = 4;
};

/**
 * @brief A link to one endpoint process.
 *
 * Nothing but heartbeats goes out until the peer has answered one on the present socket, so a message that never left is told
 * apart from one that may have arrived. Thread-safe.
 */
class Client
{
public:
    Client(Context &context, const std::string &peer, const http::Address &address, const ClientOptions &options, ClientHandler &handler);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /** @brief Sends once the link is established. */
    void send(const schema::LinkMessage &message);

    /**
     * @brief Takes a run request back.
     * @return true if it was still waiting, so that it provably never left
     */
    [[nodiscard]] bool cancelUnsent(const schema::RunRef &ref);

    /** @brief Sends a heartbeat out of turn, because there is news in it. */
    void sendHeartbeatNow();

    /** @brief Identifies the peer's process; 0 until it was heard. */
    [[nodiscard]] u64 peerBootId() const;

    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with handlers on the pool
};

} // namespace burdock::runtime::link
