#include <burdock/verdict.hpp>

#include <array>

namespace burdock {

namespace {

constexpr std::array<std::string_view, 3> VerdictNames{"not_run", "may_have_run", "ran"};

constexpr bool Elsewhere = true;
constexpr bool Final = false;
constexpr bool Overload = true;
constexpr bool Other = false;

constexpr std::array<RefusalRule, 22> Rules{{
    {RefusalReason::None, "none", Verdict::NotRun, 500, Final, Other},
    {RefusalReason::Overloaded, "overloaded", Verdict::NotRun, 503, Elsewhere, Overload},
    {RefusalReason::DeadlineTooShort, "deadline_too_short", Verdict::NotRun, 503, Elsewhere, Overload},
    {RefusalReason::CustomerLimit, "customer_limit", Verdict::NotRun, 429, Final, Other},
    {RefusalReason::ZoneOut, "zone_out", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::Drained, "drained", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::Leaving, "leaving", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::StaleConfig, "stale_config", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::NoEndpoint, "no_endpoint", Verdict::NotRun, 503, Final, Other},
    {RefusalReason::Quarantined, "quarantined", Verdict::NotRun, 422, Final, Other},
    {RefusalReason::PlatformUnavailable, "platform_unavailable", Verdict::NotRun, 503, Final, Other},
    {RefusalReason::KeyUnderWay, "key_under_way", Verdict::MayHaveRun, 409, Final, Other},
    {RefusalReason::KeyReused, "key_reused", Verdict::NotRun, 422, Final, Other},
    {RefusalReason::BackEndUnreachable, "back_end_unreachable", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::WrongVersion, "wrong_version", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::BackEndLost, "back_end_lost", Verdict::MayHaveRun, 502, Final, Other},
    {RefusalReason::DeadlinePassed, "deadline_passed", Verdict::MayHaveRun, 504, Final, Other},
    {RefusalReason::RetryBudgetSpent, "retry_budget_spent", Verdict::NotRun, 503, Final, Overload},
    {RefusalReason::NotConfigured, "not_configured", Verdict::NotRun, 503, Elsewhere, Other},
    {RefusalReason::UnknownCustomer, "unknown_api_key", Verdict::NotRun, 401, Final, Other},
    {RefusalReason::UnknownModel, "unknown_model", Verdict::NotRun, 404, Final, Other},
    {RefusalReason::UnknownService, "unknown_service", Verdict::NotRun, 404, Final, Other},
}};

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

} // namespace burdock
