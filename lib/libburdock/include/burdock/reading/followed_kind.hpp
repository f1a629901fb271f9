#pragma once

#include <burdock/types.hpp>

#include <optional>

/** @brief Decides which entries read the platform's store, and what they may conclude from what others have read. */
namespace burdock::reading {

/** @brief What an entry tells others about its knowledge of the objects of one kind. */
struct Confirmation
{
    u64 since
        = 0; ///< revision of the store after which all changes were followed; what a list contains may have changed at any time before
    u64 lastChange = 0; ///< revision of the last change after that; zero for none
    u64 revision = 0; ///< up to which all changes are known
    Duration age{}; ///< time since the knowledge was complete
};

/** @brief How a set of changes relates to what is known. */
enum class Continuity : u8 {
    New, ///< continues what is known
    Known, ///< contains nothing new
    Gap, ///< changes before it are missing
};

/** @brief Up to which revision of the store, and up to what time, an entry knows the objects of one kind. Not thread-safe. */
class FollowedKind
{
public:
    /** @brief Records a complete list, read from the store; if it is older than what was known, so is all that is known from then on. */
    void noteListed(u64 revision, TimePoint started);

    /**
     * @brief Records changes, read from the store or told by another entry; they must be applied only if the result is New.
     * @param since revision after which they begin
     */
    [[nodiscard]] Continuity noteChanges(u64 since, u64 revision);

    /** @brief Records that a read of the store without further changes confirmed what is known. */
    void noteUnchanged(u64 revision);

    /** @brief Records that all changes before this time are known. */
    void noteComplete(TimePoint asOf);

    /** @brief Records that another entry knows of a change at this revision. */
    void noteToldOf(u64 change);

    /**
     * @brief Applies what another entry told in answer to a question.
     * @param asked when the question was sent; the age counts from then, so that it is never too young
     * @return until when everything is known by this answer; nothing if it says nothing new
     */
    [[nodiscard]] std::optional<TimePoint> noteConfirmation(const Confirmation &confirmation, TimePoint asked);

    /** @brief What this entry may tell others; nothing before the first list. */
    [[nodiscard]] std::optional<Confirmation> confirmation(TimePoint now) const;

    [[nodiscard]] u64 revision() const;
    /** @brief Revision after which no change is known up to revision(). */
    [[nodiscard]] u64 unchangedSince() const;
    /** @brief All changes before this time are known; nothing before the first list. */
    [[nodiscard]] std::optional<TimePoint> asOf() const;
    /** @brief Whether another entry knows of a change that this one doesn't. */
    [[nodiscard]] bool isBehind() const;

private:
    u64 m_revision = 0;
    u64 m_followedSince = 0;
    u64 m_lastChange = 0;
    u64 m_toldChange = 0;
    std::optional<TimePoint> m_asOf;
};

} // namespace burdock::reading
