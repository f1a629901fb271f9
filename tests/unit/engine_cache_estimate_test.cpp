#include <burdock/cache/engine_cache_estimate.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using cache::EngineCacheEstimate;

namespace {

constexpr u64 Capacity = 100'000;

} // namespace

// Guards against parts without tokens that are kept for ever, until the process exceeds its memory.
TEST_CASE("parts with hardly any tokens are dropped like others")
{
    constexpr u64 Parts = 20'000;
    for (const u64 tokens : {0, 1}) {
        CAPTURE(tokens);
        EngineCacheEstimate estimate;
        u64 held = 0;
        for (u64 part = 0; part < Parts; ++part) {
            estimate.noteSent(part, tokens, Capacity);
        }
        for (u64 part = 0; part < Parts; ++part) {
            held += estimate.contains(part) ? 1 : 0;
        }
        CHECK(held <= Parts / 2);
        CHECK(estimate.contains(Parts - 1));
        CHECK_FALSE(estimate.contains(0));
    }
}
