#include <crash_guard.hpp>

#include <burdock/hash/digest.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace std::chrono_literals;
using endpoints::Outcome;
using gateway::CrashGuard;
using retry::CrashAttribution;
using retry::CrashAttributionPolicy;

namespace {

const std::vector<cache::PromptPart> Parts{{"document", 100}, {"own", 10}};

TimePoint at(Duration time)
{
    return TimePoint(1000s) + time;
}

/** @brief Blames the document together with another part for three crashes, so that prompts with the document alone are tested. */
void blameDocument(CrashAttribution &crashes)
{
    const u64 document = retry::partFeature(hash::hash64("document"));
    for (u32 i = 0; i < 3; ++i) {
        crashes.noteCrash(i, {document, retry::partFeature(4)}, std::nullopt, at(i * 1s));
    }
}

} // namespace

// Guards against several tests at once of a part that may crash engines.
TEST_CASE("a request that was sent before its part was blamed makes no room for another test when it ends")
{
    CrashAttribution crashes{CrashAttributionPolicy{}};
    CrashGuard earlier(crashes, 100, Parts);
    CHECK(earlier.tryBegin(at(0s)));
    blameDocument(crashes);
    CrashGuard tested(crashes, 102, Parts);
    CHECK(tested.tryBegin(at(3s)));
    SUBCASE("the earlier one ends")
    {
        earlier.noteEnd({"engine", Outcome::Abandoned, false, at(0s), std::nullopt}, at(3100ms));
        CHECK_FALSE(CrashGuard(crashes, 104, Parts).tryBegin(at(3200ms)));
    }
    SUBCASE("the test ends without evidence")
    {
        tested.noteEnd({"engine", Outcome::Abandoned, false, at(3s), std::nullopt}, at(3100ms));
        CHECK(CrashGuard(crashes, 104, Parts).tryBegin(at(3200ms)));
    }
}

// Guards against a crash that goes unnoticed while the gateway stands still, and is taken for progress of the answer.
TEST_CASE("only events without long pauses between them show that an endpoint goes on answering")
{
    CrashAttribution crashes{CrashAttributionPolicy{}};
    blameDocument(crashes);
    CrashGuard guard(crashes, 100, Parts);
    CHECK(guard.tryBegin(at(3s)));
    SUBCASE("a pause")
    {
        guard.noteEvent(at(3s));
        guard.noteEvent(at(5s));
        CHECK_FALSE(guard.blamed(at(5s)).empty());
    }
    SUBCASE("steady events")
    {
        for (Duration time = 3s; time <= 3600ms; time += 50ms) {
            guard.noteEvent(at(time));
        }
        CHECK(guard.blamed(at(4s)).empty());
    }
}
