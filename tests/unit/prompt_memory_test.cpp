#include <burdock/endpoints/prompt_memory.hpp>

#include <doctest/doctest.h>
#include <limits>

using namespace burdock;
using burdock::endpoints::promptMemory;

TEST_CASE("an answer counts as twice the size that the caller expects, but no more than its maximum size")
{
    CHECK(promptMemory({1000, 900, {}}) == 1900);
    CHECK(promptMemory({1000, 900, 60}) == 1120);
    CHECK(promptMemory({1000, 900, 800}) == 1900);
}

// Guards against sizes that callers declare to get more than their share, or to make sums overflow.
TEST_CASE("implausible sizes count as not declared, or as larger than any engine")
{
    constexpr u64 Most = std::numeric_limits<u64>::max();
    CHECK(promptMemory({1000, 900, 0}) == 1900);
    CHECK(promptMemory({1000, 900, 1'000'000'000}) == 1900);
    CHECK(promptMemory({1000, 900, Most}) == 1900);
    CHECK(promptMemory({0, 0, {}}) == 1);
    const u64 huge = promptMemory({Most, Most, Most});
    CHECK(huge > 1'000'000'000'000);
    CHECK(huge < Most / 1000);
}
