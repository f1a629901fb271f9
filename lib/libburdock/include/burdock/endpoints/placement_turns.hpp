#pragma once

#include <burdock/types.hpp>

#include <unordered_set>
#include <vector>

namespace burdock::endpoints {

/** @brief What an engine can take before the next reports of the other entries tell of what they have sent to it. */
struct EngineRoom
{
    u64 engine = 0; ///< hash of its id
    Duration delay{}; ///< by which all entries compare it with the others, whatever the prompt
    u64 freeSlots = 0;
    Duration slack{}; ///< by which its delay is below the target of a prompt
};

/**
 * @brief Limits how many entries send prompts to the same engine between two reports of their loads. Not thread-safe.
 *
 * Answers the load of many entries that all know of an idle engine, such as one that has just loaded weights: each one sends its next
 * prompts there until the reports of the others arrive, and the engine gets more than it can begin in time. So the engines that are the
 * fastest are open to as many entries as fill their room in the meantime, the next ones to as many of the rest, and so on. A hash of
 * entry, engine and period decides. While most engines are about as fast, each of them is open to all entries.
 */
class PlacementTurns
{
public:
    /** @param own distinguishes this entry from the others */
    explicit PlacementTurns(u64 own);

    /** @brief Sets how many entries there are, and how old a report of their loads may become. */
    void setEntries(std::size_t entries, Duration reportPeriod);

    /** @brief Records a prompt that arrived at this entry. */
    void noteArrival(Duration prefillTime, TimePoint now);

    /**
     * @brief Returns the engines to which this entry should send prompts now.
     * @param tolerance delays that differ by less count as equal
     */
    [[nodiscard]] std::unordered_set<u64> openEngines(std::vector<EngineRoom> rooms, Duration tolerance, TimePoint now) const;

private:
    [[nodiscard]] bool isOpen(u64 engine, double share, TimePoint now) const;
    [[nodiscard]] double promptsBorne(const EngineRoom &room) const;
    [[nodiscard]] double arrivalsPerSecond(TimePoint now) const;

    u64 m_own;
    std::size_t m_entries = 1;
    Duration m_reportPeriod{};
    double m_recentArrivals = 0; ///< at this entry, decayed to the time of the last one
    TimePoint m_lastArrival{};
    Duration m_meanPrefillTime{};
};

} // namespace burdock::endpoints
