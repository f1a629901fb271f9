#include <burdock/verdict.hpp>

#include <algorithm>
#include <array>

namespace burdock {

namespace {

constexpr std::array<std::string_view, 3> VerdictNames{"not_run", "may_have_run", "ran"};

constexpr bool RetryableElsewhere = true;
constexpr bool NotRetryable = false;
constexpr bool IsOverload = true;
constexpr bool NotOverload = false;

constexpr std::array<RefusalRule, 23> Rules{{
    {RefusalReason::None, "none", Verdict::NotRun, 500, NotRetryable, NotOverload},
    {RefusalReason::Overloaded, "overloaded", Verdict::NotRun, 503, RetryableElsewhere, IsOverload},
    {RefusalReason::DeadlineTooShort, "deadline_too_short", Verdict::NotRun, 503, RetryableElsewhere, IsOverload},
    {RefusalReason::CustomerLimit, "customer_limit", Verdict::NotRun, 429, NotRetryable, NotOverload},
    {RefusalReason::ZoneOut, "zone_out", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::Drained, "drained", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::Leaving, "leaving", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::StaleConfig, "stale_config", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::NoEndpoint, "no_endpoint", Verdict::NotRun, 503, NotRetryable, NotOverload},
    {RefusalReason::Quarantined, "quarantined", Verdict::NotRun, 422, NotRetryable, NotOverload},
    {RefusalReason::PlatformUnavailable, "platform_unavailable", Verdict::NotRun, 503, NotRetryable, NotOverload},
    {RefusalReason::KeyUnderWay, "key_under_way", Verdict::MayHaveRun, 409, NotRetryable, NotOverload},
    {RefusalReason::KeyReused, "key_reused", Verdict::NotRun, 422, NotRetryable, NotOverload},
    {RefusalReason::BackEndUnreachable, "back_end_unreachable", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::WrongVersion, "wrong_version", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::BackEndLost, "back_end_lost", Verdict::MayHaveRun, 502, NotRetryable, NotOverload},
    {RefusalReason::DeadlinePassed, "deadline_passed", Verdict::MayHaveRun, 504, NotRetryable, NotOverload},
    {RefusalReason::RetryBudgetSpent, "retry_budget_spent", Verdict::NotRun, 503, NotRetryable, IsOverload},
    {RefusalReason::NotConfigured, "not_configured", Verdict::NotRun, 503, RetryableElsewhere, NotOverload},
    {RefusalReason::UnknownCustomer, "unknown_api_key", Verdict::NotRun, 401, NotRetryable, NotOverload},
    {RefusalReason::UnknownModel, "unknown_model", Verdict::NotRun, 404, NotRetryable, NotOverload},
    {RefusalReason::UnknownService, "unknown_service", Verdict::NotRun, 404, NotRetryable, NotOverload},
    {RefusalReason::BackEndFailed, "back_end_failed", Verdict::MayHaveRun, 502, NotRetryable, NotOverload},
}};

/** Request timeout, misdirected request, too many requests, service unavailable. */
constexpr std::array<u16, 4> NotRunStatuses{408, 421, 429, 503};

} // namespace

std::string_view toString(Verdict verdict)
{
    return VerdictNames.at(static_cast<std::size_t>(verdict));
}

const RefusalRule &refusalRule(RefusalReason reason)
{
    return Rules.at(static_cast<std::size_t>(reason));
}

std::optional<RefusalReason> refusalReasonFrom(u32 value)
{
    if (value == 0 || value >= Rules.size()) {
        return std::nullopt;
    }
    return static_cast<RefusalReason>(value);
}

bool promisesNotRun(u16 httpStatus)
{
    return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), httpStatus) != NotRunStatuses.end();
}

} // namespace burdock
