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

/** @brief The name that callers see in problem documents, e.g. `not_run`. */
[[nodiscard]] std::string_view toString(Verdict verdict);

/** @brief Why a request gets no answer from a back end. The values are part of the link protocol. */
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
};

/** @brief What follows from a refusal; one row for each reason. */
struct RefusalRule
{
    RefusalReason reason;
    std::string_view name;
    Verdict verdict;
    u16 httpStatus;
    /** True if another endpoint may be asked at once. */
    bool isRetryableElsewhere;
    /** True if the refusal counts as a sign of overload, which bounds further tries. */
    bool isOverload;
};

/** @brief The rule of a reason; the one table of all refusal paths. */
[[nodiscard]] const RefusalRule &refusalRule(RefusalReason reason);

/** @brief The reason with this number in the link protocol, or nothing if the number is not known. */
[[nodiscard]] std::optional<RefusalReason> refusalReasonFrom(u32 value);

/** @brief A refusal on its way to the caller. */
struct Refusal
{
    RefusalReason reason = RefusalReason::None;
    /** When to come back; zero if coming back can't help. */
    Duration retryAfter{};
};

} // namespace burdock
