#pragma once

#include <burdock/weights/announcement_history.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdock::weights {

/** @brief The lease of a leader task (a "duty" in records and logs) as stored in the platform's store. */
struct LeaseRecord
{
    std::string vm; ///< VM of the holder
    u64 bootId = 0; ///< boot id of the holding process
    u64 token = 0; ///< fencing token, increased with each change of the holder
    u64 renewals = 0; ///< number of renewals
    std::set<std::string> subjects; ///< subjects that the holder acts on or recently acted on
    std::set<std::string> inherited; ///< subjects that holders on other VMs may have acted on within the handover pause
    std::map<std::string, AnnouncementHistory>
        announced; ///< by model, for processes that start later; in wall-clock time, which can be off by seconds
};

/**
 * @brief Decides when a process may acquire, renew and act under the lease of a leader task. Not thread-safe.
 *
 * Does not need synchronized clocks. A holder acts only for a short time after the start of its last acknowledged write, and only on
 * the subjects listed in that write. Another process acquires the lease once the record has been unchanged for longer than that on its
 * own clock, and does not act on the subjects listed in the record before the handover pause has passed. It stores them with the record,
 * so that they stay known if the write isn't acknowledged or the process restarts. A holder that was suspended or whose write is executed
 * late therefore never acts concurrently with its successor, and the loss of a holder causes little delay. The clock must include the time
 * in which the VM was suspended.
 */
class LeaderLease
{
public:
    /** @param handoverPause minimum time between the actions of two holders on the same subject */
    LeaderLease(std::string vm, u64 bootId, Duration handoverPause);

    /** @brief Records the current content of the lease record; nothing if it does not exist. */
    void observe(const std::optional<LeaseRecord> &record, u64 revision, TimePoint now);

    /** @brief A conditional write of the lease record. */
    struct Write
    {
        LeaseRecord record;
        std::optional<u64> revision; ///< expected revision of the record; nothing if the record must not exist
    };

    /**
     * @brief Returns the write that acquires or renews the lease, if one is due.
     * @param subjects subjects that this process will act on next
     */
    [[nodiscard]] std::optional<Write> nextWrite(const std::vector<std::string> &subjects, TimePoint now) const;

    /** @brief Records that a write that started at the given time was acknowledged. */
    void noteWritten(const LeaseRecord &record, u64 revision, TimePoint startedAt, TimePoint now);

    /** @brief Returns whether this process holds the lease and may act under it. */
    [[nodiscard]] bool mayAct(TimePoint now) const;

    /** @brief Returns whether this process may act on a subject. */
    [[nodiscard]] bool mayActOn(const std::string &subject, TimePoint now) const;

    /** @brief Returns whether a previous holder may have acted on a subject within the handover pause. */
    [[nodiscard]] bool isBlocked(const std::string &subject, TimePoint now) const;

    /** @brief Records that this process acted on a subject. */
    void noteAct(const std::string &subject, TimePoint now);

    [[nodiscard]] u64 token() const;

    /** @brief Sets the announced weights to store with the next write, with bounds in wall-clock time. */
    void setAnnounced(const std::string &model, const AnnouncementHistory &announced);

    /** @brief Returns the last observed record, or null if there is none. */
    [[nodiscard]] const LeaseRecord *record() const;

private:
    [[nodiscard]] bool isHeldByThisProcess() const;
    void blockInherited(TimePoint now);
    [[nodiscard]] std::set<std::string> blockedSubjects(TimePoint now) const;
    [[nodiscard]] std::set<std::string> recentSubjects(TimePoint now) const;

    std::string m_vm;
    u64 m_bootId;
    Duration m_handoverPause;
    std::optional<LeaseRecord> m_record;
    u64 m_revision = 0;
    bool m_isObserved = false;
    TimePoint m_changedAt{};
    std::optional<TimePoint> m_renewedAt; ///< start of the last acknowledged write of this process
    std::map<std::string, AnnouncementHistory> m_announced; ///< by model
    std::map<std::string, TimePoint> m_ownActions; ///< last action of this process, by subject
    std::map<std::string, TimePoint> m_blockedUntil; ///< by subject of a previous holder
    std::optional<u64> m_blockedToken; ///< token of the record whose inherited subjects were blocked last
};

} // namespace burdock::weights
