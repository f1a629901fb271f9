#pragma once

#include <burdock/link.pb.h>
#include <burdock/run/answer_transfer.hpp>
#include <burdock/runtime/link/server.hpp>
#include <burdock/runtime/mailbox.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/verdict.hpp>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace burdock::serving {

/** @brief Events that wake a run's coroutine. */
enum class RunSignal : u8 {
    Admitted,
    Evicted,
    Cancelled,
    Acknowledged,
};

using RunSignals = runtime::Mailbox<RunSignal>;

/**
 * @brief The response of one run on its way to the entry; survives the loss of the link.
 *
 * Buffers what the entry has not acknowledged, so that a new link can resume from any position that the entry requests.
 * Thread-safe.
 */
class ResponseStream
{
public:
    ResponseStream(runtime::link::Server &server, const schema::RunRef &ref, const runtime::link::PeerId &peer, std::size_t bufferBytes,
                   std::shared_ptr<RunSignals> signals);

    void sendAccepted(const schema::EndpointLoad &load);
    void sendHead(schema::RunHead head);
    void sendData(std::string_view data);
    void finish(schema::RunEnd end);
    void refuse(const Refusal &refusal, u64 configVersion, const schema::EndpointLoad &load);

    /** @brief Waits until the buffer has room for data; false if the run was cancelled or the deadline has passed. */
    [[nodiscard]] boost::asio::awaitable<bool> waitForRoom(TimePoint deadline);

    /** @brief Continues on a new link of the entry, from a byte offset of the response. */
    void resume(const runtime::link::PeerId &peer, u64 offset);
    void acknowledge(u64 offset);
    void cancel();

    [[nodiscard]] bool isCancelled() const;
    [[nodiscard]] runtime::link::PeerId peer() const;

    /** @brief True once the response need not be kept: the entry has all of it, the run was refused, or it ended after a cancellation. */
    [[nodiscard]] bool isDelivered() const;
    [[nodiscard]] bool hasEnded() const;

private:
    void send(const schema::LinkMessage &message) const;
    void sendDataFrom(u64 offset) const;
    void sendOutcome() const;
    [[nodiscard]] bool hasEndedLocked() const;

    runtime::link::Server &m_server;
    schema::RunRef m_ref;
    std::shared_ptr<RunSignals> m_signals; // shared with the run's coroutine

    mutable runtime::OrderedMutex<runtime::LockLevel::Run> m_mutex;
    runtime::link::PeerId m_peer;
    run::RetransmitBuffer m_buffer;
    schema::EndpointLoad m_load;
    std::optional<schema::RunHead> m_head;
    std::optional<schema::RunEnd> m_end;
    std::optional<schema::RunRefused> m_refused;
    bool m_isCancelled = false;
    bool m_isDelivered = false;
};

} // namespace burdock::serving
