#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::endpoints {

/** @brief Load at one endpoint. */
struct Load
{
    u32 running = 0; ///< requests in progress
    u64 memory = 0; ///< tokens that they take in the engine's memory
    u64 pending = 0; ///< prompt tokens of these requests that the engine has yet to process

    bool operator==(const Load &other) const = default;
    Load &operator+=(const Load &other);
    Load &operator-=(const Load &other);
};

/** @brief Loads of endpoints, by hash of the endpoint's id. */
using LoadsById = std::unordered_map<u64, Load>;

/**
 * @brief Sums the loads that the other entries report. Not thread-safe.
 *
 * Reports expire after a short time, so that the load of an entry that died does not block capacity forever.
 */
class PeerLoads
{
public:
    /** @param reportLifetime how long a report is valid */
    explicit PeerLoads(Duration reportLifetime);

    /** @brief The report of one entry. */
    struct Report
    {
        u64 bootId = 0; ///< different for each start of the entry
        u64 sequence = 0; ///< increases with each report of one boot id; older reports are ignored
        LoadsById loads;
        /** The report is complete. Otherwise the loads that it does not list, `loading` and `unresponsive` are unchanged. */
        bool isSnapshot = true;
        std::map<std::string, u64, std::less<>> announcedWeights; ///< newest version known to the entry, by model
        std::map<std::string, u64, std::less<>> lowestVersions; ///< lowest version whose stored parts the entry may use, by model
        std::unordered_set<u64> loading; ///< endpoints that the entry ordered to load weights
        std::unordered_set<u64> unresponsive; ///< endpoints that do not respond to the entry
        bool isOverloaded = false; ///< the entry has more work than it can do
        bool hasCurrentKeys = false; ///< the entry's API keys are up to date, so that it accepts requests with keys
    };

    /** @brief Sets the entries that the platform lists; a few others are heard too, as those that have just started aren't listed yet. */
    void setListed(const std::vector<std::string> &entries);

    /** @brief Replaces or updates the stored report of an entry, unless the new one is out of order, or there are too many unlisted ones.
     */
    void apply(const std::string &peer, Report report, TimePoint now);

    /** @brief Whether valid reports of all these entries name this weight version of a model, or a newer one. */
    [[nodiscard]] bool allReportVersion(const std::vector<std::string> &entries, std::string_view model, u64 version) const;

    /** @brief The lowest version of a model whose stored parts any of these entries may use; zero if one has no valid report. */
    [[nodiscard]] u64 lowestVersionInUse(const std::vector<std::string> &entries, std::string_view model) const;

    /** @brief Changes whenever an entry is heard from for the first time, again after its report expired, or after it restarted. */
    [[nodiscard]] u64 generation() const;

    /** @brief Removes expired reports. */
    void expire(TimePoint now);

    /** @brief Load of an endpoint, summed over the reports. */
    [[nodiscard]] Load at(u64 endpoint) const;

    /** @brief Whether any entry reports that it ordered this endpoint to load weights. */
    [[nodiscard]] bool isLoading(u64 endpoint) const;

    /** @brief Number of entries that report this endpoint as unresponsive. */
    [[nodiscard]] std::size_t unresponsiveReportCount(u64 endpoint) const;

    /** @brief Whether any entry reports that it accepts requests with keys. */
    [[nodiscard]] bool anyHasCurrentKeys() const;

    /** @brief Number of entries that are not overloaded. */
    [[nodiscard]] std::size_t calmPeerCount() const;

    /** @brief Number of entries with a valid report. */
    [[nodiscard]] std::size_t peerCount() const;

private:
    struct ReceivedReport
    {
        Report report;
        TimePoint receivedAt{};
    };

    [[nodiscard]] bool hasRoomFor(const std::string &peer) const;
    void subtract(const LoadsById &loads);
    void adjustSum(u64 endpoint, const Load &from, const Load &to);

    Duration m_reportLifetime;
    std::optional<std::set<std::string, std::less<>>> m_listed; ///< nothing until the list is known, and all are heard
    std::map<std::string, ReceivedReport, std::less<>> m_reports;
    LoadsById m_sums;
    u64 m_generation = 0;
};

} // namespace burdock::endpoints
