#include <burdock/limits/named_limits.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace burdock::limits;

namespace {

using namespace std::chrono_literals;

constexpr u64 Endpoint = 7;
constexpr u64 FirstStart = 1000;
constexpr u64 SecondStart = 2000;

TimePoint at(Duration time)
{
    return TimePoint(1h + time);
}

NamedLimits limitsWith(double perSecond, TimePoint now)
{
    NamedLimits limits{NamedLimitPolicy{}};
    CHECK(limits.noteResponse(Endpoint, FirstStart, perSecond, now - 10ms, now));
    return limits;
}

} // namespace

TEST_CASE("a limit follows each value that is named, and a response without it lifts it")
{
    auto limits = limitsWith(3, at(0s));
    CHECK(limits.noteResponse(Endpoint, FirstStart, 5, at(1s), at(1010ms)));
    CHECK(limits.allowedPerSecond(Endpoint, at(2s)) == 5);
    CHECK(limits.noteResponse(Endpoint, FirstStart, 0.5, at(2s), at(2010ms)));
    CHECK(limits.allowedPerSecond(Endpoint, at(3s)) == 0.5);
    CHECK(limits.noteResponse(Endpoint, FirstStart, std::nullopt, at(3s), at(3010ms)));
    CHECK_FALSE(limits.allowedPerSecond(Endpoint, at(4s)));
    CHECK(limits.inForceCount() == 0);
}

// Guards against a slow response from before an endpoint was in need that lifts or raises its limit.
TEST_CASE("a response to a request that was sent before the limit was named neither lifts nor raises it")
{
    auto limits = limitsWith(3, at(0s));
    CHECK_FALSE(limits.noteResponse(Endpoint, FirstStart, std::nullopt, at(-1s), at(1s)));
    CHECK_FALSE(limits.noteResponse(Endpoint, FirstStart, 100, at(-1s), at(1s)));
    CHECK(limits.noteResponse(Endpoint, FirstStart, 2, at(-1s), at(1s)));
    CHECK(limits.allowedPerSecond(Endpoint, at(1s)) == 2);
}

// Guards against a message that was held up or sent twice and brings back a limit that was lifted since.
TEST_CASE("an outdated record of another entry doesn't bring back a limit")
{
    auto limits = limitsWith(3, at(0s));
    const auto outdated = *limits.find(Endpoint);
    CHECK(limits.noteResponse(Endpoint, FirstStart, std::nullopt, at(1s), at(1010ms)));
    CHECK_FALSE(limits.merge(outdated, at(2s)));
    CHECK_FALSE(limits.allowedPerSecond(Endpoint, at(2s)));
}

TEST_CASE("a limit that another entry heard of applies with its age, and so does its end")
{
    NamedLimits told{NamedLimitPolicy{}};
    auto limits = limitsWith(3, at(0s));
    auto record = *limits.find(Endpoint);
    record.confirmedAt = at(-8s);
    CHECK(told.merge(record, at(0s)));
    CHECK(told.allowedPerSecond(Endpoint, at(1s)) == 3);
    CHECK(told.allowedPerSecond(Endpoint, at(3s)) == 1);
    CHECK(limits.noteResponse(Endpoint, FirstStart, std::nullopt, at(1s), at(1010ms)));
    CHECK(told.merge(limits.inForceOrChangedSince(at(1s)).front(), at(2s)));
    CHECK_FALSE(told.allowedPerSecond(Endpoint, at(2s)));
    CHECK(limits.inForceOrChangedSince(at(2s)).empty());
}

// Guards against two entries that changed a limit at the same time and keep different ones.
TEST_CASE("of two changes at the same time the lower limit applies, in either order")
{
    auto left = limitsWith(3, at(0s));
    auto right = limitsWith(3, at(0s));
    CHECK(left.noteResponse(Endpoint, FirstStart, std::nullopt, at(1s), at(1010ms)));
    CHECK(right.noteResponse(Endpoint, FirstStart, 2, at(1s), at(1010ms)));
    const auto lifted = *left.find(Endpoint);
    CHECK(left.merge(*right.find(Endpoint), at(2s)));
    CHECK_FALSE(right.merge(lifted, at(2s)));
    CHECK(left.allowedPerSecond(Endpoint, at(2s)) == 2);
    CHECK(right.allowedPerSecond(Endpoint, at(2s)) == 2);
}

TEST_CASE("a new instance of an endpoint begins without a limit, whatever is said of the one before")
{
    auto limits = limitsWith(3, at(0s));
    const auto outdated = *limits.find(Endpoint);
    limits.noteInstance(Endpoint, SecondStart);
    CHECK_FALSE(limits.allowedPerSecond(Endpoint, at(1s)));
    CHECK(limits.noteResponse(Endpoint, SecondStart, 4, at(1s), at(1010ms)));
    CHECK_FALSE(limits.noteResponse(Endpoint, FirstStart, 1, at(1s), at(1020ms)));
    CHECK_FALSE(limits.merge(outdated, at(2s)));
    CHECK(limits.allowedPerSecond(Endpoint, at(2s)) == 4);
}

// Guards against an endpoint that is never asked again, or that gets its full load at once, after nothing was heard of its limit.
TEST_CASE("an endpoint whose limit is zero or wasn't confirmed for long is tried now and then")
{
    auto limits = limitsWith(0, at(0s));
    CHECK(limits.allowedPerSecond(Endpoint, at(1s)) == 0.1);
    CHECK(limits.noteResponse(Endpoint, FirstStart, 200, at(1s), at(1010ms)));
    CHECK(limits.allowedPerSecond(Endpoint, at(10s)) == 200);
    CHECK(limits.allowedPerSecond(Endpoint, at(12s)) == 1);
    CHECK(limits.noteResponse(Endpoint, FirstStart, 0.5, at(20s), at(20010ms)));
    CHECK(limits.allowedPerSecond(Endpoint, at(40s)) == 0.5);
}

TEST_CASE("records of endpoints that aren't known are dropped after some time")
{
    auto limits = limitsWith(3, at(0s));
    limits.expire([](u64) { return true; }, at(1h));
    CHECK(limits.find(Endpoint) != nullptr);
    limits.expire([](u64) { return false; }, at(30s));
    CHECK(limits.find(Endpoint) != nullptr);
    limits.expire([](u64) { return false; }, at(61s));
    CHECK(limits.find(Endpoint) == nullptr);
}
