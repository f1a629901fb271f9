#pragma once

#include <burdock/retry/crash_attribution.hpp>
#include <burdock/retry/quarantine.hpp>

#include <vector>

namespace burdock::retry {

/** @brief Changed records of suspects, and of features that crashing requests have in common, that one process sends to another. */
struct SuspectUpdate
{
    std::vector<SuspectRecord> records;
    std::vector<FeatureRecord> features;
    /** Sequence numbers of the sender's quarantine and of its attribution that this update covers. */
    u64 lastSequence = 0;
    u64 lastFeatureSequence = 0;
    /** The last such numbers that the sender received from the receiver, and the receiver process that sent them. */
    u64 acknowledgedSequence = 0;
    u64 acknowledgedFeatureSequence = 0;
    u64 acknowledgedProcess = 0;
};

/**
 * @brief Exchanges suspect records with one peer; each update contains only what the peer has not acknowledged.
 *
 * If heartbeats carried all records, a hundred suspects would multiply control traffic by ten. Updates start at the acknowledged sequence
 * number and so tolerate lost and duplicate messages: what was not acknowledged is sent again. An acknowledgement names the process that it
 * is meant for, so that a restarted process ignores those for its predecessor. Not thread-safe.
 */
class SuspectExchange
{
public:
    /** @param ownProcess identifies this process to the peer */
    explicit SuspectExchange(u64 ownProcess);

    /**
     * @brief Creates the update for the peer.
     * @param crashes records with fewer crashes are left out
     */
    [[nodiscard]] SuspectUpdate makeUpdate(const Quarantine &quarantine, const CrashAttribution &attribution, u32 crashes,
                                           TimePoint now) const;

    /**
     * @brief Applies an update from the peer.
     * @param peerProcess identifies the peer's process
     * @return true if it contained new information
     */
    bool applyUpdate(Quarantine &quarantine, CrashAttribution &attribution, const SuspectUpdate &update, u64 peerProcess, TimePoint now);

private:
    u64 m_ownProcess;
    u64 m_acknowledgedByPeer = 0;
    u64 m_featuresAcknowledgedByPeer = 0;
    u64 m_lastPeerSequence = 0;
    u64 m_lastPeerFeatureSequence = 0;
    u64 m_peerProcess = 0;
};

} // namespace burdock::retry
