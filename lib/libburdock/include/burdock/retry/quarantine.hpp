#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::retry {

/** @brief Confirmed crashes at which a request is considered their cause. */
inline constexpr u32 CrashesToQuarantine = 2;

/** @brief Lost endpoints, crashed or not, at which a request is held until a trial run clears it. */
inline constexpr u32 LossesToHold = 3;

/** @brief Evidence that an endpoint which was lost while a request was running has crashed. */
enum class CrashEvidence : u8 {
    Restart, ///< the endpoint answers again as a different process
    None, ///< the endpoint is unreachable: it crashed, or lost its connections or its power
};

/** @brief Restriction on requests with a given fingerprint. */
enum class SuspectState : u8 {
    Clear, ///< no restriction
    Suspect, ///< never concurrently with another suspect
    Held, ///< only as a trial run
    Quarantined, ///< never
};

/** @brief When a request that crashed endpoints may run again as a trial. */
struct TrialPolicy
{
    u32 crashThreshold = 3; ///< number of crashes from which the request is refused
    /** Time since the last crash until a trial run is allowed; doubles after each failed trial, in this process or another. */
    Duration initialBackoff = std::chrono::seconds(10);
};

/** @brief Crashes that happened while requests with one fingerprint were running. */
struct SuspectRecord
{
    u64 fingerprint = 0;
    u32 crashes = 0;
    /** Time since the last crash or trial; lets a record expire although processes keep exchanging it. */
    Duration age{};
    u32 unproven = 0; ///< number of the crashes that have no evidence
};

/**
 * @brief Detects requests that crash the endpoints that run them.
 *
 * A caller may send a request that crashes its endpoint again and again. When an endpoint restarts, all requests that it was running become
 * suspects, and no two suspects run concurrently. A suspect that succeeds is cleared; one that is running at a second crash is quarantined.
 * A loss without evidence of a crash weighs less, as cut connections also end innocent requests: a request is held only at the third, and
 * trial runs can clear it. Processes merge each other's records by maximum, so lost or repeated messages do no harm. Not thread-safe.
 */
class Quarantine
{
public:
    /**
     * @param retentionTime time without a crash or trial after which a record expires
     * @param capacity      maximum number of records; the oldest is evicted first
     */
    Quarantine(Duration retentionTime, std::size_t capacity);

    [[nodiscard]] SuspectState state(u64 fingerprint, TimePoint now) const;

    /** @brief Number of crashes recorded for a fingerprint, with or without evidence. */
    [[nodiscard]] u32 crashes(u64 fingerprint, TimePoint now) const;

    /** @brief The record of a fingerprint; without crashes if there is none. */
    [[nodiscard]] SuspectRecord record(u64 fingerprint, TimePoint now) const;

    /**
     * @brief True if a request may run: it has few recorded crashes, or is due for a trial run.
     *
     * Trials keep a request from being refused for minutes while all endpoints are healthy, because earlier endpoints were lost for other
     * reasons. They become less frequent with each failure, and a success clears the request. The call starts the trial, so that
     * concurrent callers don't all get one.
     */
    [[nodiscard]] bool tryBegin(u64 fingerprint, const TrialPolicy &policy, TimePoint now);

    /** @brief Makes a trial that tryBegin() started available again if its end was inconclusive; does nothing if none is running. */
    void returnTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now);

    /** @brief Time until tryBegin() returns true for a request; zero if it does so now. */
    [[nodiscard]] Duration timeUntilTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now) const;

    /** @brief Counts the loss of an endpoint that was running the request; ignored if the request has been cleared. */
    void noteCrash(u64 fingerprint, TimePoint now, CrashEvidence evidence = CrashEvidence::Restart);

    /**
     * @brief Clears a request that succeeded, of earlier and of later crashes.
     *
     * Without this, a request that many callers send would be refused after a few connection resets that it did not cause. A request that
     * crashes endpoints does so in every run, so one success clears it. The most recent successes are kept, up to the capacity for records.
     */
    void noteSuccess(u64 fingerprint);

    /**
     * @brief Merges a record from another process.
     * @return true if it contained new information
     */
    bool merge(const SuspectRecord &record, TimePoint now);

    /** @brief Sequence number of the last change of a record. */
    [[nodiscard]] u64 sequence() const;

    /**
     * @brief The records to send to another process.
     * @param after   only records changed after this sequence number
     * @param crashes only records with at least this many crashes
     */
    [[nodiscard]] std::vector<SuspectRecord> records(TimePoint now, u64 after = 0, u32 crashes = 1) const;

private:
    struct Entry
    {
        u32 crashes = 0;
        u32 proven = 0; ///< number of the crashes that have evidence
        u32 failedTrials = 0;
        bool isTrialRunning = false;
        TimePoint lastEventAt{}; ///< last crash or start of a trial
        TimePoint lastCrashAt{};
        u64 sequence = 0; ///< of the last change
    };

    [[nodiscard]] const Entry *find(u64 fingerprint, TimePoint now) const;
    [[nodiscard]] static Duration backoffOf(const Entry &entry, const TrialPolicy &policy);
    static void noteCrashes(Entry &entry, u32 crashes, TimePoint at);
    void evictOldest();

    Duration m_retentionTime;
    std::size_t m_capacity;
    std::unordered_map<u64, Entry> m_entries;
    std::unordered_set<u64> m_cleared;
    std::deque<u64> m_clearedInOrder; ///< oldest first
    u64 m_sequence = 0;
};

} // namespace burdock::retry
