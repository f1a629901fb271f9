#pragma once

#include <burdock/weights/announcement_history.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdock::weights {

/** @brief The lease of a duty as it stands in the platform's store. */
struct LeaseRecord
{
    std::string vm; ///< that holds it
    u64 bootId = 0; ///< of the holding process
    u64 token = 0; ///< fencing number, rises with each holder
    u64 renewals = 0; ///< rises with each renewal
    std::set<std::string> subjects; ///< on which its holder acts or acted a short while ago
    std::map<std::string, AnnouncementHistory>
        announced; ///< by model, on the time of day, which may be seconds off; for processes that start later
};

/**
 * @brief Decides when one process may take, renew and act under the lease of a duty. Not thread-safe.
 *
 * Needs no synchronized clocks. A holder acts only for a short time after the start of its last acknowledged write, and only on
 * subjects that this write named. Others take the lease once the record stood still for longer than that on their own clock; the
 * subjects that it named they leave alone for the pause that must lie between the acts of two holders. So a holder that was
 * paused, or whose write is carried out late, never acts beside its successor, and its loss holds up little.
 * The clock must count the time in which the VM was suspended.
 */
class LeaderLease
{
public:
    /** @param pause shortest time between the acts of two holders */
    LeaderLease(std::string vm, u64 boot, Duration pause);

    /** @brief Takes note of the record's present content; nothing if there is none. */
    void observe(const std::optional<LeaseRecord> &record, u64 revision, TimePoint now);

    /** @brief A write to try now. */
    struct Write
    {
        LeaseRecord record;
        std::optional<u64> revision; ///< that the record must still have; none if it must not exist
    };

    /**
     * @brief The write that takes or renews the lease, if it is time for one.
     * @param subjects on which this process means to act next
     */
    [[nodiscard]] std::optional<Write> nextWrite(const std::vector<std::string> &subjects, TimePoint now) const;

    /** @brief Takes note that a write started at the given time was acknowledged. */
    void noteWritten(const LeaseRecord &record, u64 revision, TimePoint startedAt, TimePoint now);

    /** @brief True if this process holds the lease and may act under it. */
    [[nodiscard]] bool mayAct(TimePoint now) const;

    /** @brief True if this process may act on one subject. */
    [[nodiscard]] bool mayActOn(const std::string &subject, TimePoint now) const;

    /** @brief True while a predecessor may have acted on a subject a short while ago. */
    [[nodiscard]] bool isBlocked(const std::string &subject, TimePoint now) const;

    /** @brief Takes note that this process acted on a subject. */
    void noteAct(const std::string &subject, TimePoint now);

    [[nodiscard]] u64 token() const;

    /** @brief Sets what is told of named weights from the next write on, with bounds on the time of day. */
    void setAnnounced(const std::string &model, const AnnouncementHistory &named);

    /** @brief The record as it was seen last; null if there is none. */
    [[nodiscard]] const LeaseRecord *record() const;

private:
    [[nodiscard]] bool isOwn() const;
    [[nodiscard]] std::set<std::string> recentSubjects(TimePoint now) const;

    std::string m_vm;
    u64 m_boot;
    Duration m_pause;
    std::optional<LeaseRecord> m_record;
    u64 m_revision = 0;
    bool m_isObserved = false;
    TimePoint m_changedAt{};
    std::optional<TimePoint> m_renewedAt; ///< start of the last acknowledged write of this process
    std::map<std::string, AnnouncementHistory> m_named;
    std::map<std::string, TimePoint> m_acts; ///< of this process
    std::map<std::string, TimePoint> m_blockedUntil; ///< by subject of a predecessor
};

} // namespace burdock::weights
