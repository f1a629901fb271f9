#pragma once

#include <burdock/reading/followed_kind.hpp>

#include <string>
#include <vector>

namespace burdock::reading {

/** @brief Parameters of shared reading. */
struct ReadingPolicy
{
    /** Fewer entries than this all read for themselves. */
    std::size_t minEntries = 8;
    std::size_t minReaders = 2;
    std::size_t entriesPerReader = 16;
    /** Interval between two questions of an entry to others. */
    Duration questionPeriod = std::chrono::milliseconds(300);
    /** Time for a question, its answer and a read, and for one further question if the first is lost. */
    Duration answerTime = std::chrono::milliseconds(600);
    /** Delay between the first reads of two entries that stand in when the readers confirm nothing, and the most that these add up to. */
    Duration standInDelay = std::chrono::milliseconds(40);
    Duration maxStandInDelay = std::chrono::milliseconds(400);
    /** Entries that are asked at once, besides a reader, if the readers confirm nothing. */
    std::size_t furtherQuestions = 2;
};

/**
 * @brief Decides which entries read the platform's store for all of them, and when another one has to read for itself.
 *
 * All entries compute the same readers from the list of entries, without a message. Not thread-safe.
 */
class ReadingDuty
{
public:
    /** @param own name of this entry */
    ReadingDuty(const ReadingPolicy &policy, std::string own);

    void setEntries(const std::vector<std::string> &names);

    /**
     * @brief As above, where some of the listed entries aren't there.
     * @param listed number of all entries
     */
    void setEntries(const std::vector<std::string> &present, std::size_t listed);

    /** @brief Whether others read for this entry, or this entry for others. */
    [[nodiscard]] bool isShared() const;
    /** @brief Whether this entry reads for others. */
    [[nodiscard]] bool isReader() const;
    [[nodiscard]] std::size_t readerCount() const;

    /**
     * @brief From when this entry has to read a kind of objects by itself, as far as is known now.
     * @param readerWait how long a reader's watch of that kind waits
     */
    [[nodiscard]] TimePoint nextRead(const FollowedKind &kind, Duration readerWait, TimePoint now) const;

    /** @brief Whether what is known of a kind is so old that any entry is worth asking for something younger. */
    [[nodiscard]] bool isOverdue(const FollowedKind &kind, Duration readerWait, TimePoint now) const;

    /** @brief Names the entries to ask next: a reader in turn, and others in turn besides if the readers confirm nothing. */
    [[nodiscard]] std::vector<std::string> nextToAsk(bool isAnyOverdue);

private:
    [[nodiscard]] Duration maxAge(Duration readerWait) const;
    [[nodiscard]] const std::string &nextOf(std::size_t count, std::size_t &turn) const;

    ReadingPolicy m_policy;
    std::string m_own;
    std::vector<std::string> m_ranked; ///< the entries that are there, the readers first
    std::size_t m_listed = 0;
    std::size_t m_ownRank = 0;
    std::size_t m_readerTurn = 0;
    std::size_t m_entryTurn = 0;
};

} // namespace burdock::reading
