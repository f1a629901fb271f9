#include <burdock/verdict.hpp>

#include <doctest/doctest.h>

using namespace burdock;

// Guards against a refusal whose status promises more, or less, than its verdict.
TEST_CASE("a refusal with a status that promises that the request hasn't run has the verdict not_run")
{
    for (u32 value = 1; refusalReasonFrom(value); ++value) {
        const auto &rule = refusalRule(*refusalReasonFrom(value));
        CAPTURE(rule.name);
        CHECK((rule.reason == *refusalReasonFrom(value)));
        if (promisesNotRun(rule.httpStatus)) {
            CHECK((rule.verdict == Verdict::NotRun));
        }
        if (rule.verdict == Verdict::MayHaveRun) {
            CHECK_FALSE(promisesNotRun(rule.httpStatus));
        }
    }
}

TEST_CASE("only the statuses on which callers send a request again without risk promise that it hasn't run")
{
    for (const u16 status : {408, 421, 429, 503}) {
        CHECK(promisesNotRun(status));
    }
    for (const u16 status : {200, 400, 404, 409, 413, 425, 500, 501, 502, 504, 529}) {
        CHECK_FALSE(promisesNotRun(status));
    }
}
