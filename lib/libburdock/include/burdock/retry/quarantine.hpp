#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::retry {

/** @brief Crashes at which a request counts as their cause. */
inline constexpr u32 CrashesToQuarantine = 2;

/** @brief Lost endpoints, crashed or not, at which a request is held back until a trial clears it. */
inline constexpr u32 LossesToHold = 3;

/** @brief What speaks for a crash of an endpoint that was lost while a request was under way. */
enum class CrashEvidence : u8 {
    Restart, ///< it answers again, as another process
    None, ///< it can't be reached: it crashed, or lost its connections or its power
};

/** @brief How a request with a given fingerprint may run. */
enum class SuspectState : u8 {
    Clear, ///< as any other
    Suspect, ///< never beside another suspect
    Held, ///< only as a trial
    Quarantined, ///< not at all
};

/** @brief When a request that crashed endpoints may run once more. */
struct TrialPolicy
{
    u32 crashThreshold = 3; ///< from which it is refused
    /** Time without a further crash until one run is tried again; doubles with each trial that failed, here or elsewhere. */
    Duration firstPause = std::chrono::seconds(10);
};

/** @brief Crashes that happened while requests with one fingerprint were under way. */
struct SuspectRecord
{
    u64 fingerprint = 0;
    u32 crashes = 0;
    /** Time since the last crash; keeps a record from living for ever by being passed round. */
    Duration age{};
    u32 unproven = 0; ///< those among the crashes without evidence
};

/**
 * @brief Finds requests that crash the endpoints that run them.
 *
 * Guards against a poisonous request that its caller sends again and again: it shows as an endpoint that restarts while the
 * request is under way. All requests under way become suspects, and no two suspects run beside each other; a suspect that ends
 * well is cleared, and one that is under way at a second crash is quarantined. A loss without evidence of a crash weighs less, as cut
 * connections take innocent requests with them: only the third holds a request back, and trials let it in again. Records are exchanged
 * among processes as maxima, so a lost or repeated message does no harm. Not thread-safe.
 */
class Quarantine
{
public:
    /**
     * @param forgetAfter a record not touched for this long is dropped
     * @param capacity    records held at most; the oldest goes first
     */
    Quarantine(Duration forgetAfter, std::size_t capacity);

    [[nodiscard]] SuspectState state(u64 fingerprint, TimePoint now) const;

    /** @brief Crashes counted for a fingerprint, with or without evidence. */
    [[nodiscard]] u32 crashes(u64 fingerprint, TimePoint now) const;

    /** @brief What is known of a fingerprint; a record without crashes if nothing is. */
    [[nodiscard]] SuspectRecord record(u64 fingerprint, TimePoint now) const;

    /**
     * @brief Whether a request may run: it was under way at few crashes, or at none for long enough to be tried once.
     *
     * Guards against a request that is refused for minutes because endpoints broke off under it for other reasons: it shows as
     * refusals while all endpoints are sound. Trials hold because they come ever more seldom, and a success clears the request; asking
     * takes the trial, so that callers at the same moment don't all get it.
     */
    [[nodiscard]] bool tryBegin(u64 fingerprint, const TrialPolicy &policy, TimePoint now);

    /** @brief Gives back a trial that tryBegin() let through and whose end tells nothing; changes nothing where none was taken. */
    void returnTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now);

    /** @brief Time until tryBegin() lets a request through that it refuses now. */
    [[nodiscard]] Duration timeUntilTrial(u64 fingerprint, const TrialPolicy &policy, TimePoint now) const;

    void noteCrash(u64 fingerprint, TimePoint now, CrashEvidence evidence = CrashEvidence::Restart);

    /**
     * @brief Clears a request that ended well, of crashes before and after.
     *
     * Guards against a popular request that is refused because endpoints crashed under it for other reasons: it shows as refusals of
     * one request that many callers send, after a few connections were reset. Clearing holds because a request that crashes
     * endpoints does so at each run; the latest successes are remembered, as many as there may be records.
     */
    void noteSuccess(u64 fingerprint);

    /**
     * @brief Takes over a record of another process.
     * @return true if it told more than was known
     */
    bool merge(const SuspectRecord &record, TimePoint now);

    /** @brief Grows with each change of a record. */
    [[nodiscard]] u64 sequence() const;

    /**
     * @brief The records to tell another process of.
     * @param after   only those changed after this sequence number
     * @param crashes only those with so many crashes
     */
    [[nodiscard]] std::vector<SuspectRecord> records(TimePoint now, u64 after = 0, u32 crashes = 1) const;

private:
    struct Entry
    {
        u32 crashes = 0;
        u32 proven = 0; ///< those among the crashes with evidence
        u32 failedTrials = 0;
        bool isTrialUnderWay = false;
        TimePoint touched{}; ///< by a crash or a trial
        TimePoint crashedAt{};
        u64 sequence = 0; ///< of the last change
    };

    [[nodiscard]] const Entry *find(u64 fingerprint, TimePoint now) const;
    [[nodiscard]] static Duration pauseOf(const Entry &entry, const TrialPolicy &policy);
    static void noteCrashes(Entry &entry, u32 crashes, TimePoint at);
    void dropOldest();

    Duration m_forgetAfter;
    std::size_t m_capacity;
    std::unordered_map<u64, Entry> m_entries;
    std::unordered_set<u64> m_innocent;
    std::deque<u64> m_innocentInOrder; ///< oldest first
    u64 m_sequence = 0;
};

} // namespace burdock::retry
