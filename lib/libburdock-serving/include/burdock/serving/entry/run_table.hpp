#pragma once

#include <burdock/link.pb.h>
#include <burdock/runtime/mailbox.hpp>
#include <burdock/runtime/ordered_mutex.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace burdock::serving {

enum class RunEventKind : u8 {
    Message, ///< the endpoint process says something about the run
    LinkReplaced, ///< the link broke; the run is to be resumed on the new one
    PeerDead, ///< the endpoint process has been silent for too long
};

struct RunEvent
{
    RunEventKind kind = RunEventKind::Message;
    schema::LinkMessage message;
};

using RunMailbox = runtime::Mailbox<RunEvent>;

/** @brief Runs under way at an entry, by run id. Thread-safe. */
class RunTable
{
public:
    void add(const std::string &runId, const std::string &peer, u32 attempt, std::shared_ptr<RunMailbox> mailbox);
    void remove(const std::string &runId);

    /**
     * @brief Hands a message to its run.
     *
     * Guards against late and crossed answers: it shows as a message of another run or of an attempt that was given up.
     * Comparing run id, attempt and peer holds because ids are random and attempts of a run only rise.
     */
    void dispatch(const std::string &peer, const schema::LinkMessage &message);

    /** @brief Tells all runs at a peer. */
    void notify(const std::string &peer, RunEventKind kind);

    [[nodiscard]] std::size_t size() const;

private:
    struct Entry
    {
        std::string peer;
        u32 attempt = 0;
        std::shared_ptr<RunMailbox> mailbox; // shared with the run's coroutine
    };

    mutable runtime::OrderedMutex<runtime::LockLevel::Runs> m_mutex;
    std::unordered_map<std::string, Entry> m_runs;
};

} // namespace burdock::serving
