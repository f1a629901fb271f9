#pragma once

#include <burdock/membership/heartbeat_schedule.hpp>
#include <burdock/membership/member_table.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/runtime/link/context.hpp>

#include <burdock/link.pb.h>
#include <memory>
#include <string>

namespace burdock::runtime::link {

/** @brief Receives the events of links to endpoint processes. Called on one thread at a time for each link. */
class ClientHandler
{
public:
    virtual ~ClientHandler() = default;

    /** @brief Creates the heartbeat to send to a peer now. */
    [[nodiscard]] virtual schema::Heartbeat heartbeat(const std::string &peer) = 0;

    virtual void onMessage(const std::string &peer, const schema::LinkMessage &message) = 0;

    /** @brief The link has a new socket or connection; runs on it have to be resumed. */
    virtual void onLinkReplaced(const std::string &peer) = 0;

    virtual void onHealth(const std::string &peer, membership::LinkHealth health) = 0;
};

struct ClientOptions
{
    membership::HeartbeatOptions heartbeat;
    /** Number of consecutive socket replacements without a message from the peer after which it is considered dead. */
    u32 replacementsUntilDead = 4;
};

/**
 * @brief A link to one endpoint process.
 *
 * Only heartbeats are sent until the peer has answered one on the current socket; other messages wait. So a message that was
 * certainly not sent can be distinguished from one that may have arrived. Thread-safe.
 */
class Client
{
public:
    Client(Context &context, const std::string &peer, const http::Address &address, const ClientOptions &options, ClientHandler &handler);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /** @brief Sends a message, or queues it until the link is established. */
    void send(const schema::LinkMessage &message);

    /**
     * @brief Removes a run request from the queue.
     * @return true if it was still queued, so it was certainly not sent
     */
    [[nodiscard]] bool cancelUnsent(const schema::RunRef &ref);

    /** @brief Sends a heartbeat at once, outside the schedule, to deliver an update without delay. */
    void sendHeartbeatNow();

    /** @brief Identifies the peer's process; 0 until its first heartbeat has arrived. */
    [[nodiscard]] u64 peerBootId() const;

    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with handlers on the worker pool
};

} // namespace burdock::runtime::link
