#pragma once

#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/types.hpp>

#include <string_view>

namespace burdock::gateway {

/** @brief An error response by the gateway itself. */
struct Rejection
{
    u16 status = 0;
    std::string_view reason;
    Duration retryAfter{};
};

/** Retry-after times: endpoints are full, no endpoint is available, or this gateway hasn't received enough from the platform yet. */
inline constexpr Duration RetryAfterFull = std::chrono::milliseconds(500);
inline constexpr Duration RetryAfterNoEndpoint = std::chrono::milliseconds(1000);
inline constexpr Duration RetryAfterNotSynced = std::chrono::milliseconds(700);
/** By then, connections whose clients make no progress may be closed for others. */
inline constexpr Duration RetryAfterNoMemory = std::chrono::milliseconds(1000);
/** Retry-after time if another gateway can serve the request immediately. */
inline constexpr Duration RetryAfterElsewhere = std::chrono::milliseconds(20);

/** @brief The rejection of a request for which no endpoint was selected; states that it has not run. */
[[nodiscard]] Rejection rejectionOf(const endpoints::Selection &selection);

/** @brief How a request ended that an endpoint may have run. */
struct FailedRequest
{
    bool isCutOff = false; ///< at the end of a planned stop
    bool isTimeUp = false;
    bool isMemoryShort = false; ///< for the answer
    endpoints::Outcome outcome = endpoints::Outcome::Broken; ///< of the last attempt
};

/** @brief The rejection of a request that may have run; promises nothing. */
[[nodiscard]] Rejection rejectionOf(const FailedRequest &failed);

} // namespace burdock::gateway
