#pragma once

#include <burdock/limits/token_bucket.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdock::limits {

/** @brief A customer's limit over the whole deployment. */
struct CustomerLimit
{
    double requestsPerSecond = 0; ///< zero means no limit
    u32 burst = 0; ///< zero means one second's worth
};

/**
 * @brief Holds the request rate of customers at one entry.
 *
 * Each entry enforces its share, the limit divided by the number of live entries, so the limits hold in sum without any
 * exchange among entries. State exists only for customers seen lately. Not thread-safe.
 */
class CustomerLimits
{
public:
    /** @param idle a customer not seen for this long is forgotten; its bucket is full again by then */
    explicit CustomerLimits(Duration idle);

    /** @brief Sets by how many entries the limits are divided, at least one. */
    void setEntryCount(u32 entries);

    /** @brief Takes room for one request, or says when to come back. */
    [[nodiscard]] std::optional<Refusal> tryAdmit(std::string_view customer, const CustomerLimit &limit, TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    struct State
    {
        TokenBucket bucket;
        TimePoint lastSeen;
    };

    void forgetIdle(TimePoint now);

    Duration m_idle;
    u32 m_entries = 1;
    TimePoint m_nextSweep{};
    std::unordered_map<std::string, State> m_states;
};

} // namespace burdock::limits
