#include <burdock/retry/attempt_rule.hpp>

#include <array>

namespace burdock::retry {

namespace {

using endpoints::Outcome;

constexpr std::array<std::string_view, 4> StepNames{"deliver", "try_elsewhere", "refuse", "fail"};

/** Endpoints that may decline a request before no further one is tried. */
constexpr u32 MaxDeclines = 3;

bool isRepeatable(const AttemptHistory &history)
{
    return history.kind == routing::CallKind::Idempotent || (history.kind == routing::CallKind::Stream && history.isResumable);
}

bool isProvablyNotRun(Outcome outcome)
{
    return outcome == Outcome::Declined || outcome == Outcome::Unreachable;
}

} // namespace

std::string_view toString(NextStep step)
{
    return StepNames.at(static_cast<std::size_t>(step));
}

NextStep nextStep(const AttemptHistory &history, Outcome outcome)
{
    if (outcome == Outcome::Answered) {
        return NextStep::Deliver;
    }
    if (outcome == Outcome::Abandoned || !history.hasTimeLeft || history.mustEnd) {
        return finalStep(history, outcome);
    }
    if (isProvablyNotRun(outcome)) {
        const bool isAllowed = history.begun == 0 || (isRepeatable(history) && history.begun < history.maxAttempts);
        return isAllowed && history.declined < MaxDeclines ? NextStep::TryElsewhere : finalStep(history, outcome);
    }
    const bool isAllowed = isRepeatable(history) && history.begun < history.maxAttempts;
    return isAllowed ? NextStep::TryElsewhere : finalStep(history, outcome);
}

NextStep finalStep(const AttemptHistory &history, Outcome outcome)
{
    if (outcome == Outcome::Answered || outcome == Outcome::Failed) {
        return NextStep::Deliver;
    }
    return history.begun == 0 ? NextStep::Refuse : NextStep::Fail;
}

} // namespace burdock::retry
