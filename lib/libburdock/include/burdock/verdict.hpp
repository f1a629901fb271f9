#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <string_view>

namespace burdock {

/** @brief Whether a request may have taken effect at its back end. */
enum class Verdict : u8 {
    NotRun, ///< provably never reached the back end
    MayHaveRun, ///< may have reached the back end; its outcome is unknown
    Ran, ///< reached the back end, and its outcome is known
};

/** @brief Name in problem documents, e.g. `not_run`. */
[[nodiscard]] std::string_view toString(Verdict verdict);

/** @brief Why a request was refused or failed without an answer from a back end. The values are part of the link protocol. */
enum class RefusalReason : u8 {
    None = 0,
    Overloaded = 1,
    DeadlineTooShort = 2,
    CustomerLimit = 3,
    ZoneOut = 4,
    Drained = 5,
    Leaving = 6,
    StaleConfig = 7,
    NoEndpoint = 8,
    Quarantined = 9,
    PlatformUnavailable = 10,
    KeyUnderWay = 11,
    KeyReused = 12,
    BackEndUnreachable = 13,
    WrongVersion = 14,
    BackEndLost = 15,
    DeadlinePassed = 16,
    RetryBudgetSpent = 17,
    NotConfigured = 18,
    UnknownCustomer = 19,
    UnknownModel = 20,
    UnknownService = 21,
    BackEndFailed = 22,
};

/** @brief Properties of a refusal reason. */
struct RefusalRule
{
    RefusalReason reason;
    std::string_view name;
    Verdict verdict;
    u16 httpStatus;
    /** True if another endpoint may be tried immediately. */
    bool isRetryableElsewhere;
    /** True if the refusal counts as overload, which limits further attempts. */
    bool isOverload;
};

/** @brief Returns the rule of a reason, from the single table that all refusal paths use. */
[[nodiscard]] const RefusalRule &refusalRule(RefusalReason reason);

/** @brief Converts a link protocol value to a reason; nothing for None and for unknown values. */
[[nodiscard]] std::optional<RefusalReason> refusalReasonFrom(u32 value);

/**
 * @brief Whether callers take a response with this HTTP status as the promise that their request has not run and never will.
 *
 * A back end may use such a status for a request that it has run, so it must not be passed on without proof.
 */
[[nodiscard]] bool promisesNotRun(u16 httpStatus);

/** @brief Refusal to be sent to the caller. */
struct Refusal
{
    RefusalReason reason = RefusalReason::None;
    /** Time after which to retry; zero if a retry can't succeed. */
    Duration retryAfter{};
    /** The back end had begun the request before it was refused, so the verdict of the reason doesn't hold for it. */
    bool mayHaveRun = false;
};

} // namespace burdock
