#include "rejection.hpp"

namespace burdock::gateway {

namespace {

Duration retryAfter(const endpoints::Selection &selection)
{
    switch (selection.reason) {
    case endpoints::SelectionFailure::NoEndpoint:
        return RetryAfterNoEndpoint;
    case endpoints::SelectionFailure::Limited:
    case endpoints::SelectionFailure::Resting:
        return selection.retryAfter;
    default:
        return RetryAfterFull;
    }
}

} // namespace

Rejection rejectionOf(const endpoints::Selection &selection)
{
    return {503, toString(selection.reason), retryAfter(selection)};
}

Rejection rejectionOf(const FailedRequest &failed)
{
    if (failed.isCutOff) {
        return {502, "leaving", {}};
    }
    if (failed.isTimeUp) {
        return {504, "time_up", {}};
    }
    if (failed.isMemoryShort) {
        return {502, "no_answer_memory", {}};
    }
    if (failed.outcome == endpoints::Outcome::TooLong) {
        return {502, "answer_too_long", {}};
    }
    const bool hasExpired = failed.outcome == endpoints::Outcome::Expired;
    return {502, hasExpired ? "weights_expired" : "endpoint_lost", {}};
}

} // namespace burdock::gateway
