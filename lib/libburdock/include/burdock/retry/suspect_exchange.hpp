#pragma once

#include <burdock/retry/quarantine.hpp>

#include <vector>

namespace burdock::retry {

/** @brief What one process tells another about suspects. */
struct SuspectUpdate
{
    std::vector<SuspectRecord> records;
    /** Sequence number of the sender's quarantine up to which it has now told. */
    u64 lastSequence = 0;
    /** The last `upTo` that the sender has had from the receiver, and from which process of it. */
    u64 acknowledgedSequence = 0;
    u64 acknowledgedProcess = 0;
};

/**
 * @brief Exchanges suspects with one peer, so that each message carries only what the peer has not confirmed.
 *
 * Guards against heartbeats that grow with every crash: it shows as control traffic that a hundred suspects multiply by ten. Telling
 * from the confirmed sequence number holds when messages are lost or come twice: what was not confirmed is told again. A
 * confirmation names the process that it is meant for, so neither end takes one meant for a predecessor. Not thread-safe.
 */
class SuspectExchange
{
public:
    /** @param ownProcess identifies this process, as the peer hears it */
    explicit SuspectExchange(u64 ownProcess);

    /**
     * @brief What to tell the peer now.
     * @param crashes records with fewer crashes are left out
     */
    [[nodiscard]] SuspectUpdate makeUpdate(const Quarantine &quarantine, u32 crashes, TimePoint now) const;

    /**
     * @brief Takes what the peer's process told.
     * @param process identifies the peer's process
     * @return true if something was new
     */
    bool applyUpdate(Quarantine &quarantine, const SuspectUpdate &news, u64 process, TimePoint now);

private:
    u64 m_ownProcess;
    u64 m_confirmed = 0;
    u64 m_heard = 0;
    u64 m_heardProcess = 0;
};

} // namespace burdock::retry
