#pragma once

#include <burdock/link.pb.h>
#include <burdock/runtime/mailbox.hpp>
#include <burdock/runtime/ordered_mutex.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace burdock::serving {

enum class RunEventKind : u8 {
    Message, ///< the endpoint process sent a message about the run
    LinkReplaced, ///< the link broke and a new one was opened; the run has to be resumed on it
    PeerDead, ///< the endpoint process sent nothing until the link was declared dead
};

struct RunEvent
{
    RunEventKind kind = RunEventKind::Message;
    schema::LinkMessage message;
};

using RunMailbox = runtime::Mailbox<RunEvent>;

/** @brief The active runs of an entry, by run id. Thread-safe. */
class RunTable
{
public:
    void add(const std::string &runId, const std::string &peer, u32 attempt, std::shared_ptr<RunMailbox> mailbox);
    void remove(const std::string &runId);

    /**
     * @brief Delivers a message to its run.
     *
     * Drops late and misdirected messages, those of another run or of an abandoned attempt, by comparing run id, attempt and peer.
     * Run ids are random and the attempt number of a run only increases, so a stale message never matches.
     */
    void dispatch(const std::string &peer, const schema::LinkMessage &message);

    /** @brief Sends an event to all runs at a peer. */
    void notify(const std::string &peer, RunEventKind kind);

    [[nodiscard]] std::size_t size() const;

private:
    struct ActiveRun
    {
        std::string peer;
        u32 attempt = 0;
        std::shared_ptr<RunMailbox> mailbox; // shared with the run's coroutine
    };

    mutable runtime::OrderedMutex<runtime::LockLevel::Runs> m_mutex;
    std::unordered_map<std::string, ActiveRun> m_runs;
};

} // namespace burdock::serving
