#pragma once

#include <burdock/limits/token_bucket.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdock::limits {

/** @brief Request rate limit of a customer over the whole deployment. */
struct CustomerLimit
{
    double requestsPerSecond = 0; ///< zero: unlimited
    u32 burst = 0; ///< zero: the requests of one second
};

/**
 * @brief Enforces the request rate limits of customers at one entry.
 *
 * Each entry enforces an equal share, the limit divided by the number of live entries, so the total limit holds without communication
 * among entries. State is kept only for recently active customers. Not thread-safe.
 */
class CustomerLimits
{
public:
    /** @param idleTimeout time without requests after which a customer's state is removed; long enough for its bucket to refill */
    explicit CustomerLimits(Duration idleTimeout);

    /** @brief Sets the number of entries that share the limits; zero counts as one. */
    void setEntryCount(u32 entries);

    /** @brief Admits one request, or returns a refusal with the time until the next one is possible. */
    [[nodiscard]] std::optional<Refusal> tryAdmit(std::string_view customer, const CustomerLimit &limit, TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    struct State
    {
        TokenBucket bucket;
        TimePoint lastSeen;
    };

    void removeIdle(TimePoint now);

    Duration m_idleTimeout;
    u32 m_entries = 1;
    TimePoint m_nextSweep{};
    std::unordered_map<std::string, State> m_states;
};

} // namespace burdock::limits
