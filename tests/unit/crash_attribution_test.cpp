#include <burdock/retry/crash_attribution.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace burdock;
using namespace std::chrono_literals;
using retry::CrashAttribution;
using retry::CrashAttributionPolicy;
using retry::RunPermission;
using Features = CrashAttribution::Features;

namespace {

constexpr u64 FirstPart = 1;
constexpr u64 CrashingPart = 2;
constexpr u64 Document = 3;
constexpr u64 CommonPart = 4;

TimePoint at(Duration time)
{
    return TimePoint(1000s) + time;
}

/** @brief Records that many crashes of different endpoints, one each second from the first second on. */
void noteCrashes(CrashAttribution &attribution, u32 count, const Features &features, Duration from = 1s)
{
    for (u32 i = 0; i < count; ++i) {
        attribution.noteCrash(1000 + static_cast<u64>(toMilliseconds(from)) + i, features, std::nullopt, at(from + i * 1s));
    }
}

} // namespace

TEST_CASE("requests with a feature of three crashes are refused, and others with the other features of the crashes are not")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 3; ++i) {
        CHECK(attribution.tryBegin({FirstPart, CrashingPart, 100 + i}, at(i * 1s)) == RunPermission::Free);
        attribution.noteCrash(i, {FirstPart, CrashingPart, 100 + i}, std::nullopt, at(i * 1s));
        attribution.noteSuccess({FirstPart, 200 + i}, at(i * 1s + 100ms), at(i * 1s + 200ms));
    }
    CHECK(attribution.tryBegin({FirstPart, CrashingPart, 110}, at(3s)) == RunPermission::Refused);
    CHECK(attribution.isRefused({FirstPart, CrashingPart, 110}, at(3s)));
    CHECK(attribution.blamed({FirstPart, CrashingPart, 110}, at(3s)) == Features{CrashingPart});
    CHECK(attribution.tryBegin({FirstPart, 210}, at(3s)) == RunPermission::Free);
    CHECK(attribution.timeUntilTrial({CrashingPart}, at(3s)) == 9s);
}

// Guards against innocent features that are refused because all of their requests run at endpoints that crash for another reason.
TEST_CASE("crashes that a feature with more crashes explains are not blamed on other features")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.noteCrash(1, {FirstPart, CrashingPart, 100}, std::nullopt, at(0s));
    for (u32 i = 2; i <= 5; ++i) {
        attribution.noteCrash(i, {FirstPart, CrashingPart, 100 + i}, std::nullopt, at(i * 1s));
        attribution.noteCrash(i, {FirstPart, Document, 200 + i}, std::nullopt, at(i * 1s + 3ms));
    }
    CHECK(attribution.tryBegin({Document, 300}, at(6s)) == RunPermission::Free);
    CHECK(attribution.tryBegin({CrashingPart, 300}, at(6s)) != RunPermission::Free);
}

// Guards against refusing all prompts with a part that the crashing ones had besides, before anything has told the two apart.
TEST_CASE("a feature that was in all crashes besides the cause is tested once and then free")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    noteCrashes(attribution, 3, {CrashingPart, Document});
    CHECK(attribution.tryBegin({CrashingPart, Document, 100}, at(5s)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({Document, 101}, at(5s)) == RunPermission::Test);
    CHECK(attribution.tryBegin({Document, 102}, at(5s)) == RunPermission::Refused);
    SUBCASE("a test that ends without evidence makes room for another")
    {
        attribution.returnPermission({Document, 101}, at(5s));
        CHECK(attribution.tryBegin({Document, 102}, at(5s)) == RunPermission::Test);
    }
    SUBCASE("the tested feature is innocent")
    {
        attribution.noteSuccess({Document, 101}, at(5100ms), at(5200ms));
        CHECK(attribution.tryBegin({Document, 103}, at(6s)) == RunPermission::Free);
        CHECK(attribution.tryBegin({CrashingPart, 104}, at(6s)) == RunPermission::Refused);
    }
    SUBCASE("the tested feature is the cause")
    {
        attribution.noteCrash(50, {Document, 101}, std::nullopt, at(5200ms));
        CHECK(attribution.tryBegin({Document, 103}, at(6s)) == RunPermission::Refused);
        CHECK(attribution.tryBegin({CrashingPart, 104}, at(6s)) == RunPermission::Free);
    }
}

// Guards against a success of the past that keeps a feature from being suspected for good.
TEST_CASE("a feature of requests that succeeded before is refused after five crashes, and not by runs that began before the first")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.noteSuccess({CrashingPart}, at(0s), at(500ms));
    noteCrashes(attribution, 4, {CrashingPart});
    CHECK(attribution.tryBegin({CrashingPart}, at(5s)) == RunPermission::Free);
    attribution.noteSuccess({CrashingPart}, at(900ms), at(5s));
    attribution.noteCrash(50, {CrashingPart}, std::nullopt, at(5s));
    CHECK(attribution.tryBegin({CrashingPart}, at(5s)) == RunPermission::Refused);
}

TEST_CASE("a success of a request that began after the crashes clears its features, also of crashes that are reported later")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    noteCrashes(attribution, 3, {CrashingPart});
    attribution.noteSuccess({CrashingPart}, at(5s), at(6s));
    CHECK(attribution.tryBegin({CrashingPart}, at(6s)) == RunPermission::Free);
    CHECK_FALSE(attribution.merge({CrashingPart, {{70, 2s}, {71, 3s}, {72, 4s}, {73, 5s}, {74, 5s}}, std::nullopt}, at(6s)));
    CHECK(attribution.tryBegin({CrashingPart}, at(6s)) == RunPermission::Free);
}

// Guards against crashes blamed on a part that many prompts have which engines answer for long, when each engine runs some of them.
TEST_CASE("features of requests that endpoints had answered for long are less likely the cause of crashes")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 4; ++i) {
        attribution.noteCrash(i, {CrashingPart, 100 + i}, at(i * 1s - 50ms), at(i * 1s));
        attribution.noteCrash(i, {Document, 200 + i}, i == 0 ? at(0s) : at(i * 1s - 3s), at(i * 1s));
    }
    attribution.noteCrash(9, {Document, 300}, at(0s), at(4s));
    CHECK(attribution.blamed({CrashingPart, Document}, at(5s)) == Features{CrashingPart});
    attribution.noteCrash(10, {Document, 301}, at(0s), at(5s));
    attribution.noteCrash(11, {Document, 302}, at(0s), at(6s));
    CHECK(attribution.blamed({Document}, at(6s)) == Features{Document});
}

// Guards against requests that are refused because connections broke at endpoints that are alive.
TEST_CASE("losses of connections to endpoints that are heard from soon after are no crashes")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 6; ++i) {
        attribution.noteCrash(i, {CrashingPart}, std::nullopt, at(i * 3s));
        attribution.noteAlive(i, at(i * 3s + 400ms));
    }
    CHECK(attribution.tryBegin({CrashingPart}, at(18s)) == RunPermission::Free);
    noteCrashes(attribution, 3, {CrashingPart}, 20s);
    attribution.noteAlive(1000 + 20'000 + 2, at(22s + 10ms)); // received before the crash
    attribution.noteAlive(1000 + 20'000 + 1, at(25s)); // restarted under the same id
    CHECK(attribution.tryBegin({CrashingPart}, at(25s)) == RunPermission::Refused);
}

// Guards against a request that breaks its connection at each endpoint but no other, and is sent on for ever.
TEST_CASE("a request that breaks its own connection at three endpoints that are alive is refused, others with its parts are not")
{
    const u64 request = retry::requestFeature(100);
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 3; ++i) {
        attribution.noteCrash(i, {request, CrashingPart}, std::nullopt, at(i * 1s));
        attribution.noteAlive(i, at(i * 1s + 400ms));
    }
    CHECK(attribution.tryBegin({request, CrashingPart}, at(4s)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({retry::requestFeature(200), CrashingPart}, at(4s)) == RunPermission::Free);
}

// Guards against a request that breaks its connections to the only two endpoints again and again within a short time, and is sent on.
TEST_CASE("a request that is sent to an endpoint after it was lost there and is lost again counts twice, and once at each process")
{
    const u64 request = retry::requestFeature(100);
    const Features features{request, CrashingPart};
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.setMembers("a", {"a", "b"});
    attribution.noteCrash(1, features, std::nullopt, at(10ms), at(0ms));
    attribution.noteCrash(1, features, std::nullopt, at(20ms), at(5ms)); // lost by the same crash
    attribution.noteCrash(2, features, std::nullopt, at(25ms), at(22ms));
    CHECK(attribution.tryBegin(features, at(30ms)) == RunPermission::Free);
    const auto before = attribution.sequence();
    attribution.noteAlive(1, at(300ms));
    attribution.noteCrash(1, features, std::nullopt, at(310ms), at(305ms));
    CHECK(attribution.tryBegin(features, at(310ms)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({CrashingPart}, at(1s)) == RunPermission::Free);

    CrashAttribution other{CrashAttributionPolicy{}};
    other.setMembers("b", {"a", "b"});
    other.noteCrash(1, features, std::nullopt, at(10ms), at(0ms));
    for (u32 i = 0; i < 5; ++i) {
        for (const auto &record : attribution.observations(before, at(320ms + i * 50ms))) {
            other.merge(record, at(600ms + i * 200ms)); // some arrive late
        }
    }
    CHECK(other.tryBegin(features, at(2s)) == RunPermission::Free);
    for (const auto &record : attribution.observations(0, at(2s))) {
        other.merge(record, at(2s));
    }
    CHECK(other.tryBegin(features, at(2s)) == RunPermission::Refused);
}

// Guards against refusing a read of many callers because one endpoint loses all connections.
TEST_CASE("a request that is lost again and again at an endpoint which isn't heard from counts once")
{
    const u64 request = retry::requestFeature(100);
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 10; ++i) {
        attribution.noteCrash(1, {request}, std::nullopt, at(i * 100ms), at(i * 100ms - 2ms));
    }
    CHECK(attribution.tryBegin({request}, at(1s)) == RunPermission::Free);
}

TEST_CASE("several losses of one endpoint within a short time are one crash, a restart that crashes again is another")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 6; ++i) {
        attribution.noteCrash(1, {CrashingPart}, std::nullopt, at(i * 100ms));
    }
    CHECK(attribution.tryBegin({CrashingPart}, at(1s)) == RunPermission::Free);
    attribution.noteCrash(1, {CrashingPart}, std::nullopt, at(5s));
    attribution.noteCrash(1, {CrashingPart}, std::nullopt, at(10s));
    CHECK(attribution.tryBegin({CrashingPart}, at(10s)) == RunPermission::Refused);
}

TEST_CASE("trials of a refused feature become rarer with each failure, and a success ends the refusals")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    noteCrashes(attribution, 3, {CrashingPart});
    CHECK(attribution.tryBegin({CrashingPart}, at(12s)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({CrashingPart}, at(14s)) == RunPermission::Trial);
    CHECK(attribution.tryBegin({CrashingPart}, at(14s)) == RunPermission::Refused);
    attribution.noteCrash(90, {CrashingPart}, std::nullopt, at(15s));
    CHECK(attribution.tryBegin({CrashingPart}, at(44s)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({CrashingPart}, at(45s)) == RunPermission::Trial);
    SUBCASE("a trial that was not run is returned")
    {
        attribution.returnPermission({CrashingPart}, at(96s));
        CHECK(attribution.tryBegin({CrashingPart}, at(96s)) == RunPermission::Trial);
    }
    SUBCASE("the trial succeeds")
    {
        attribution.noteSuccess({CrashingPart}, at(96s), at(97s));
        CHECK(attribution.tryBegin({CrashingPart}, at(97s)) == RunPermission::Free);
    }
}

// Guards against one trial of the same feature at each process.
TEST_CASE("each refused feature is tried by one of the processes that know each other")
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    u32 trials = 0;
    for (const auto &name : names) {
        CrashAttribution attribution{CrashAttributionPolicy{}};
        attribution.setMembers(name, names);
        noteCrashes(attribution, 3, {CrashingPart});
        trials += attribution.tryBegin({CrashingPart}, at(60s)) == RunPermission::Trial ? 1 : 0;
    }
    CHECK(trials == 1);
}

// Guards against a feature that stays refused because the process that may try it gets no requests with it.
TEST_CASE("a refused feature is tried at whatever process gets requests with it, at one of them at a time")
{
    for (const u32 count : {1U, 4U, 29U, 300U}) {
        CAPTURE(count);
        std::vector<std::string> names;
        for (u32 i = 0; i < count; ++i) {
            names.push_back("gateway-" + std::to_string(i));
        }
        std::vector<Duration> waits;
        for (const auto &name : names) {
            CrashAttribution attribution{CrashAttributionPolicy{}};
            attribution.setMembers(name, names);
            noteCrashes(attribution, 3, {CrashingPart});
            const auto wait = attribution.timeUntilTrial({CrashingPart}, at(60s));
            CHECK(wait <= count * 1s);
            if (wait > Duration::zero()) {
                CHECK(attribution.tryBegin({CrashingPart}, at(60s)) == RunPermission::Refused);
            }
            CHECK(attribution.tryBegin({CrashingPart}, at(60s) + wait) == RunPermission::Trial);
            waits.push_back(wait);
        }
        std::sort(waits.begin(), waits.end());
        CHECK(waits.front() == Duration::zero());
        for (std::size_t i = 1; i < waits.size(); ++i) {
            CHECK(waits[i] - waits[i - 1] >= (i == 1 ? Duration(1) : Duration(1s)));
        }
    }
}

// Guards against crashes that several processes see and none of them counts together.
TEST_CASE("crashes that each of several processes observed alone add up, and the same crash counts once")
{
    CrashAttribution own{CrashAttributionPolicy{}};
    own.noteCrash(1, {CrashingPart}, std::nullopt, at(0s));
    for (u64 endpoint = 1; endpoint <= 2; ++endpoint) {
        CrashAttribution other{CrashAttributionPolicy{}};
        other.noteCrash(endpoint, {CrashingPart}, std::nullopt, at(20ms));
        for (const auto &record : other.observationsSince(at(0s), at(300ms))) {
            own.merge(record, at(400ms));
            own.merge(record, at(900ms));
        }
    }
    CHECK(own.tryBegin({CrashingPart}, at(1s)) == RunPermission::Free);
    own.merge({CrashingPart, {{3, 100ms}}, std::nullopt}, at(1s));
    CHECK(own.tryBegin({CrashingPart}, at(1s)) == RunPermission::Refused);
    CHECK(own.observations(0, at(1s)).size() == 1);
    CHECK(own.observations(0, at(1s)).front().crashes.size() == 1);
    CHECK(own.observations(own.sequence(), at(1s)).empty());
    CHECK(own.blamedRecords(at(1s)).front().crashes.size() == 3);
}

TEST_CASE("a process that starts later learns what is refused, and a process that cleared a feature tells the others")
{
    CrashAttribution first{CrashAttributionPolicy{}};
    noteCrashes(first, 10, {CrashingPart});
    CrashAttribution later{CrashAttributionPolicy{}};
    for (const auto &record : first.blamedRecords(at(12s))) {
        CHECK(later.merge(record, at(12s)));
    }
    CHECK(later.tryBegin({CrashingPart}, at(12s)) == RunPermission::Refused);
    later.noteSuccess({CrashingPart}, at(13s), at(14s));
    for (const auto &record : later.observations(0, at(15s))) {
        CHECK(first.merge(record, at(15s)));
    }
    CHECK(first.tryBegin({CrashingPart}, at(15s)) == RunPermission::Free);
}

// Guards against sound requests that other processes refuse because the one that cleared their part had answered one for long.
TEST_CASE("a success of a request that took long is told to the others when it ends")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    noteCrashes(attribution, 3, {CrashingPart});
    attribution.noteSuccess({CrashingPart}, at(4s), at(9s));
    const auto records = attribution.observationsSince(at(8900ms), at(9s));
    REQUIRE(records.size() == 1);
    CHECK(records.front().clearedAge == 5s);
    CHECK(attribution.observationsSince(at(9100ms), at(10s)).empty());
}

// Guards against a cause that is forgotten because many innocent features were at endpoints that were lost at once.
TEST_CASE("features are forgotten after a time, and those with the fewest crashes when there are too many")
{
    CrashAttributionPolicy policy;
    policy.capacity = 100;
    CrashAttribution attribution{policy};
    noteCrashes(attribution, 3, {CrashingPart});
    for (u64 i = 0; i < 1000; ++i) {
        attribution.noteCrash(5000 + i % 10, {100 + i}, std::nullopt, at(5s));
    }
    CHECK(attribution.isRefused({CrashingPart}, at(6s)));
    CHECK_FALSE(attribution.isRefused({CrashingPart}, at(2h)));
    CHECK(attribution.causeCount(at(2h)) == 0);
}

// Guards against parts that many prompts share and that are refused because a rack lost power.
TEST_CASE("crashes of many endpoints at one moment count as one")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 moment = 0; moment < 3; ++moment) {
        CHECK(attribution.tryBegin({CommonPart}, at(moment * 1s)) == RunPermission::Free);
        for (u64 endpoint = 0; endpoint < 20; ++endpoint) {
            attribution.noteCrash(100 * moment + endpoint, {CommonPart}, std::nullopt, at(moment * 1s + endpoint * 2ms));
        }
    }
    CHECK(attribution.tryBegin({CommonPart}, at(2100ms)) == RunPermission::Refused);
}

// Guards against a document that is refused because it was at a few of many endpoints that crashed at once, several times.
TEST_CASE("crashes of many endpoints at one moment aren't blamed on a feature that few of them had")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 moment = 0; moment < 6; ++moment) {
        for (u64 endpoint = 0; endpoint < 20; ++endpoint) {
            const Features features = endpoint < 5 ? Features{CommonPart} : Features{2000 + 2 * (20 * moment + endpoint)};
            attribution.noteCrash(100 * moment + endpoint, features, std::nullopt, at(moment * 1s));
        }
    }
    CHECK(attribution.tryBegin({CommonPart}, at(6s)) == RunPermission::Free);
}

// Guards against sound parts that are refused before requests with them have had time to succeed elsewhere.
TEST_CASE("a feature of requests that succeeded before is refused only if none has succeeded for a time since its first crash")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.noteSuccess({CrashingPart}, at(0s), at(500ms));
    for (u32 i = 0; i < 6; ++i) {
        attribution.noteCrash(i, {CrashingPart}, std::nullopt, at(1s + i * 150ms));
    }
    CHECK(attribution.tryBegin({CrashingPart}, at(2s)) == RunPermission::Free);
    SUBCASE("one succeeds")
    {
        attribution.noteSuccess({CrashingPart}, at(1200ms), at(2s));
        CHECK(attribution.tryBegin({CrashingPart}, at(2600ms)) == RunPermission::Free);
    }
    SUBCASE("none succeeds")
    {
        CHECK(attribution.tryBegin({CrashingPart}, at(2499ms)) == RunPermission::Free);
        CHECK(attribution.tryBegin({CrashingPart}, at(2500ms)) == RunPermission::Refused);
    }
}

// Guards against sound parts that stay refused since no request with them can succeed.
TEST_CASE("a refused feature of requests that succeeded before is tried after one second, and then as rarely as others")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.noteSuccess({CrashingPart}, at(0s), at(500ms));
    noteCrashes(attribution, 5, {CrashingPart});
    CHECK(attribution.tryBegin({CrashingPart}, at(5900ms)) == RunPermission::Refused);
    CHECK(attribution.tryBegin({CrashingPart}, at(6s)) == RunPermission::Trial);
    CHECK(attribution.tryBegin({CrashingPart}, at(6100ms)) == RunPermission::Refused);
    SUBCASE("it succeeds")
    {
        attribution.noteSuccess({CrashingPart}, at(6100ms), at(6200ms));
        CHECK(attribution.tryBegin({CrashingPart}, at(6300ms)) == RunPermission::Free);
    }
    SUBCASE("it crashes an endpoint")
    {
        attribution.noteCrash(50, {CrashingPart}, std::nullopt, at(6200ms));
        CHECK(attribution.tryBegin({CrashingPart}, at(16100ms)) == RunPermission::Refused);
        CHECK(attribution.tryBegin({CrashingPart}, at(16200ms)) == RunPermission::Trial);
    }
}

// Guards against sound parts that are blamed while answers take long, as none ends between the crashes.
TEST_CASE("an answer that goes on clears the parts of its prompt, but not what crashes endpoints late or the request as a whole")
{
    const u64 request = retry::requestFeature(100);
    CrashAttribution attribution{CrashAttributionPolicy{}};
    bool isEarly = false;
    SUBCASE("endpoints crashed early")
    {
        isEarly = true;
    }
    SUBCASE("endpoints crashed late")
    {
    }
    for (u32 i = 0; i < 3; ++i) {
        const auto begun = isEarly ? at(i * 1s) : at(i * 1s - 2s);
        attribution.noteCrash(i, {request, CrashingPart}, begun, at(i * 1s));
    }
    attribution.noteProgress({request, CrashingPart}, at(2100ms), at(2700ms));
    CHECK(attribution.blamed({CrashingPart}, at(3s)).empty() == isEarly);
    CHECK(attribution.blamed({request}, at(3s)) == Features{request});
}

// Guards against crashes that count for a feature though a request with it succeeded before they were reported.
TEST_CASE("a success that is known before the report of an earlier crash clears it, and is told to others")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    attribution.noteSuccess({CrashingPart}, at(5s), at(5500ms));
    CHECK_FALSE(attribution.merge({CrashingPart, {{1, 2s}, {2, 3s}, {3, 4s}, {4, 5s}, {5, 6s}}, std::nullopt}, at(6s)));
    CHECK(attribution.tryBegin({CrashingPart}, at(6s)) == RunPermission::Free);
    const auto records = attribution.observations(0, at(6s));
    REQUIRE(records.size() == 1);
    CHECK(records.front().clearedAge == 1s);
}

// Guards against a moment that counts several times because processes with little processor time notice its crashes late.
TEST_CASE("the earliest report tells when an endpoint crashed")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u64 endpoint = 0; endpoint < 6; ++endpoint) {
        attribution.noteCrash(endpoint, {Document}, std::nullopt, at(0s));
        attribution.noteCrash(endpoint, {CrashingPart}, std::nullopt, at(endpoint * 200ms));
    }
    CHECK(attribution.tryBegin({CrashingPart}, at(1s)) == RunPermission::Free);
}

// Guards against parts that stay blamed for losses of connections to an endpoint that was lost once more before it was heard from.
TEST_CASE("an endpoint that is heard from after its second loss refutes what was lost with it")
{
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u32 i = 0; i < 3; ++i) {
        attribution.noteCrash(i, {FirstPart}, std::nullopt, at(i * 5s));
        attribution.noteCrash(i, {CrashingPart}, std::nullopt, at(i * 5s + 600ms));
        attribution.noteAlive(i, at(i * 5s + 1200ms));
    }
    CHECK(attribution.tryBegin({CrashingPart}, at(12s)) == RunPermission::Free);
}

// Guards against a request that crashes endpoints and is sent on because other endpoints were lost at the same moments.
TEST_CASE("a request that is lost at three endpoints is refused at once, also while many other endpoints are lost")
{
    const u64 request = retry::requestFeature(100);
    CrashAttribution attribution{CrashAttributionPolicy{}};
    for (u64 endpoint = 0; endpoint < 12; ++endpoint) {
        attribution.noteCrash(endpoint, {endpoint < 3 ? request : retry::requestFeature(1000 + 2 * endpoint)}, std::nullopt, at(0s));
    }
    CHECK(attribution.tryBegin({request}, at(1ms)) == RunPermission::Refused);
}
