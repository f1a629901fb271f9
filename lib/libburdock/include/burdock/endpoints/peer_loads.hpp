#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::endpoints {

/** @brief Work at one endpoint. */
struct Load
{
    u32 running = 0; ///< requests under way
    u64 memory = 0; ///< tokens that they take in the engine's memory
    u64 pending = 0; ///< prompt tokens that the engine has still to read for them

    bool operator==(const Load &other) const = default;
    Load &operator+=(const Load &other);
    Load &operator-=(const Load &other);
};

/** @brief Work at endpoints, by hash of the endpoint's id. */
using LoadsById = std::unordered_map<u64, Load>;

/**
 * @brief Sums what the other entries say of their work at endpoints. Not thread-safe.
 *
 * What an entry said counts for a short time only, so that an entry that died does not hold room for ever.
 */
class PeerLoads
{
public:
    /** @param validFor how long a report counts */
    explicit PeerLoads(Duration validFor);

    /** @brief What one entry said. */
    struct Report
    {
        u64 bootId = 0; ///< differs for each start of the entry
        u64 sequence = 0; ///< rises with each report of one start; older ones are ignored
        LoadsById loads;
        /** Says all. Otherwise work at endpoints that it does not name, and what is loading or unresponsive, is as it was said before. */
        bool isSnapshot = true;
        std::map<std::string, u64, std::less<>> namedWeights; ///< newest that it knows of, by model
        std::unordered_set<u64> loading; ///< endpoints that it told to load weights
        std::unordered_set<u64> unresponsive; ///< endpoints that it gets no sign of life from
        bool hasCurrentKeys = false; ///< it takes requests with keys
    };

    void take(const std::string &peer, Report report, TimePoint now);

    /** @brief Whether all of these entries said lately that they know of weights of a model, or of newer ones. */
    [[nodiscard]] bool allReportVersion(const std::vector<std::string> &entries, std::string_view model, u64 version) const;

    /** @brief Forgets reports that count no longer. */
    void expire(TimePoint now);

    [[nodiscard]] Load at(u64 endpoint) const;

    /** @brief Whether an entry said lately that it told this endpoint to load weights. */
    [[nodiscard]] bool isLoading(u64 endpoint) const;

    /** @brief How many entries said lately that they get no sign of life from this endpoint. */
    [[nodiscard]] std::size_t findUnresponsive(u64 endpoint) const;

    /** @brief Whether an entry said lately that it takes requests with keys. */
    [[nodiscard]] bool anyHasCurrentKeys() const;

    /** @brief Entries whose reports count. */
    [[nodiscard]] std::size_t peers() const;

private:
    struct Held
    {
        Report report;
        TimePoint at{};
    };

    void subtract(const LoadsById &loads);
    void change(u64 endpoint, const Load &from, const Load &to);

    Duration m_validFor;
    std::map<std::string, Held, std::less<>> m_reports;
    LoadsById m_sums;
};

} // namespace burdock::endpoints
