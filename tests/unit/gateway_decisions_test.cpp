#include <burdock/cache/engine_cache_estimate.hpp>
#include <burdock/cache/fetch_cost_estimator.hpp>
#include <burdock/cache/part_index.hpp>
#include <burdock/cache/store_freshness.hpp>
#include <burdock/retry/attempt_rule.hpp>
#include <burdock/routing/route_table.hpp>
#include <burdock/run/event_stream.hpp>

#include <doctest/doctest.h>
#include <set>

using namespace burdock;

namespace {

using namespace std::chrono_literals;
using cache::PartIndex;
using endpoints::Outcome;
using retry::AttemptHistory;
using retry::NextStep;
using routing::CallKind;

bool always(std::string_view /*name*/)
{
    return true;
}

bool nowhere(std::size_t /*place*/)
{
    return false;
}

std::string noEngine(std::size_t /*place*/)
{
    return {};
}

const PartIndex::PlanRules AllAllowed{always, always, always, nowhere, noEngine};

routing::Route routeOf(const std::string &host, const std::string &prefix)
{
    routing::Route route;
    route.name = prefix;
    route.host = host;
    route.prefix = prefix;
    return route;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes wins")
{
    routing::Configuration configuration;
    configuration.routes = {routeOf("a.example", "/x/"), routeOf("a.example", "/x/y/"), routeOf("b.example", "/")};
    const routing::RouteTable table(configuration);
    CHECK(table.find("a.example", "/x/y/1")->name == "/x/y/");
    CHECK(table.find("A.example:8080", "/x/z")->name == "/x/");
    CHECK(table.find("a.example", "/z/") == nullptr);
    CHECK(table.find("b.example", "/z/")->name == "/");
    CHECK(table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("a route's requests are split by weight, and a destination without weight gets none")
{
    auto route = routeOf("a", "/");
    route.destinations = {{"old", 90}, {"new", 10}, {"none", 0}};
    u32 toNew = 0;
    for (u64 selector = 0; selector < 1000; ++selector) {
        const auto *service = routing::chooseDestination(route, selector);
        CHECK(*service != "none");
        toNew += *service == "new" ? 1 : 0;
    }
    CHECK(toNew == 100);
    route.destinations = {{"none", 0}};
    CHECK(routing::chooseDestination(route, 1) == nullptr);
}

TEST_CASE("only what provably did not run, or may be repeated, goes elsewhere")
{
    AttemptHistory once{CallKind::OnceOnly, false, 2, 1, 0, true};
    CHECK((retry::nextStep(once, Outcome::Broken) == NextStep::Fail));
    CHECK((retry::nextStep(once, Outcome::Failed) == NextStep::Deliver));
    once = {CallKind::OnceOnly, false, 1, 0, 1, true};
    CHECK((retry::nextStep(once, Outcome::Declined) == NextStep::TryElsewhere));
    CHECK((retry::nextStep(once, Outcome::Unreachable) == NextStep::TryElsewhere));
    const AttemptHistory read{CallKind::Idempotent, false, 2, 1, 0, true};
    CHECK((retry::nextStep(read, Outcome::Broken) == NextStep::TryElsewhere));
    CHECK((retry::nextStep(read, Outcome::Failed) == NextStep::TryElsewhere));
    const AttemptHistory stream{CallKind::Stream, false, 2, 1, 0, true};
    CHECK((retry::nextStep(stream, Outcome::Broken) == NextStep::Fail));
    CHECK((retry::nextStep(stream, Outcome::Expired) == NextStep::Fail));
    const AttemptHistory resumable{CallKind::Stream, true, 2, 1, 0, true};
    CHECK((retry::nextStep(resumable, Outcome::Broken) == NextStep::TryElsewhere));
    CHECK((retry::nextStep(resumable, Outcome::Expired) == NextStep::TryElsewhere));
}

// A refusal says that a request was not run, and its caller sends it again: it must be true in every case.
TEST_CASE("a request that may have begun is never refused")
{
    for (const auto kind : {CallKind::Idempotent, CallKind::OnceOnly, CallKind::Stream}) {
        for (const auto outcome :
             {Outcome::Answered, Outcome::Declined, Outcome::Failed, Outcome::Broken, Outcome::Unreachable, Outcome::Abandoned}) {
            for (u32 declined = 0; declined < 5; ++declined) {
                for (const bool isInTime : {true, false}) {
                    const AttemptHistory history{kind, true, 2, 1, declined, isInTime};
                    CHECK((retry::nextStep(history, outcome) != NextStep::Refuse));
                    CHECK((retry::lastStep(history, outcome) != NextStep::Refuse));
                }
            }
        }
    }
}

TEST_CASE("attempts end with the route's bound, the time, or too many that decline")
{
    CHECK((retry::nextStep({CallKind::Idempotent, false, 2, 2, 0, true}, Outcome::Broken) == NextStep::Fail));
    CHECK((retry::nextStep({CallKind::Idempotent, false, 2, 1, 0, false}, Outcome::Broken) == NextStep::Fail));
    CHECK((retry::nextStep({CallKind::Idempotent, false, 2, 0, 3, true}, Outcome::Declined) == NextStep::Refuse));
    CHECK((retry::nextStep({CallKind::Idempotent, false, 2, 0, 1, false}, Outcome::Declined) == NextStep::Refuse));
}

TEST_CASE("a shared part is saved once, fetched where it lies, and the request's own part never")
{
    PartIndex index(4s);
    index.setStores({{"s1", "zone-a", 100'000}, {"s2", "zone-b", 100'000}});
    const std::vector<cache::PromptPart> parts{{"sys", 500}, {"subject", 8000}, {"own", 3000}};
    const TimePoint now{};
    const auto first = index.plan("m~1~", parts, AllAllowed, now);
    CHECK_FALSE(first.hasFetches());
    CHECK_FALSE(first.saveTo[0].empty());
    CHECK_FALSE(first.saveTo[1].empty());
    CHECK(first.saveTo[2].empty());
    CHECK_FALSE(index.plan("m~1~", parts, AllAllowed, now + 1s).hasSaves());
    CHECK(index.plan("m~1~", parts, AllAllowed, now + 5s).hasSaves());
    index.noteStored(first.saveTo[0], "m~1~", "sys", 500);
    index.noteStored(first.saveTo[1], "m~1~", "subject", 8000);
    const auto second = index.plan("m~1~", parts, AllAllowed, now + 5s);
    CHECK(second.fetchFrom[0] == first.saveTo[0]);
    CHECK(second.fetchFrom[1] == first.saveTo[1]);
    CHECK(second.fetchFrom[2].empty());
    CHECK_FALSE(index.plan("m~2~", parts, AllAllowed, now + 5s).hasFetches());
    CHECK_FALSE(index.plan("m~1~walled", parts, AllAllowed, now + 5s).hasFetches());
}

TEST_CASE("nothing is fetched behind a part that is missing, from a store that restarted, or before it is whole")
{
    PartIndex index(4s);
    index.setStores({{"s1", "zone-a", 100'000}});
    const std::vector<cache::PromptPart> parts{{"sys", 500}, {"subject", 8000}, {"own", 3000}};
    index.noteStored("s1", "m~1~", "subject", 8000);
    CHECK_FALSE(index.plan("m~1~", parts, AllAllowed, {}).hasFetches());
    index.noteStored("s1", "m~1~", "sys", 100);
    CHECK_FALSE(index.plan("m~1~", parts, AllAllowed, {}).hasFetches());
    index.noteStored("s1", "m~1~", "sys", 500);
    CHECK(index.plan("m~1~", parts, AllAllowed, {}).fetchFrom[1] == "s1");
    index.forgetStore("s1");
    CHECK_FALSE(index.plan("m~1~", parts, AllAllowed, {}).hasFetches());
    CHECK(index.storedTokens("s1") == 0);
}

// A prompt runs on a part that is just being written. The store restarts empty; the entry that follows it hears so, and one that is
// told by others does not: it has the part fetched as before, while the first one has it saved again.
TEST_CASE("nobody has parts fetched from a store's earlier start when others save there again")
{
    const cache::StoreFreshnessPolicy policy;
    cache::StoreFreshness follower(policy);
    cache::StoreFreshness listener(policy);
    const TimePoint start{};
    follower.noteListed(7, 10, start);
    listener.noteListed(7, 10, start);
    CHECK_FALSE(follower.maySave(start + 2s));
    const auto crash = start + 10s;
    CHECK((follower.noteEvents(7, 10, 12, crash) == cache::EventBatchResult::Applied));
    CHECK((listener.noteEvents(7, 10, 12, crash) == cache::EventBatchResult::Applied));
    CHECK(follower.maySave(crash));
    follower.markOutdated();
    CHECK_FALSE(follower.isCurrent(crash));
    const auto back = crash + 100ms;
    follower.noteListed(8, 0, back);
    for (auto now = back; now < back + 10s; now += 50ms) {
        CHECK_FALSE((follower.maySave(now) && listener.isCurrent(now)));
        static_cast<void>(follower.noteEvents(8, 0, 0, now));
    }
    CHECK(follower.maySave(back + 4s));
    CHECK((listener.noteEvents(8, 0, 1, back + 1s) == cache::EventBatchResult::Gap));
    CHECK_FALSE(listener.isCurrent(back + 1s));
}

TEST_CASE("a stretch of events counts once, and one that does not follow asks for the list")
{
    cache::StoreFreshness news{cache::StoreFreshnessPolicy{}};
    const TimePoint now{};
    CHECK((news.noteEvents(7, 0, 5, now) == cache::EventBatchResult::Gap));
    news.noteListed(7, 5, now);
    CHECK((news.noteEvents(7, 5, 9, now) == cache::EventBatchResult::Applied));
    CHECK((news.noteEvents(7, 5, 9, now) == cache::EventBatchResult::Duplicate));
    CHECK((news.noteEvents(7, 8, 12, now) == cache::EventBatchResult::Applied));
    CHECK((news.noteEvents(7, 13, 14, now) == cache::EventBatchResult::Gap));
    CHECK_FALSE(news.isCurrent(now));
}

TEST_CASE("a full store takes nothing more, and parts of older weights are named for freeing")
{
    PartIndex index(4s);
    index.setStores({{"s1", "zone-a", 10'000}});
    index.noteStored("s1", "m~1~", "old", 9500);
    const std::vector<cache::PromptPart> parts{{"new", 500}, {"own", 1}};
    CHECK_FALSE(index.plan("m~2~", parts, AllAllowed, {}).hasSaves());
    const auto free = index.partsToFree(
        "s1", "m", [](u64 version, std::string_view) { return version < 2; }, 10);
    REQUIRE(free.parts.size() == 1);
    CHECK(free.parts[0] == std::pair<std::string, std::string>("m~1~", "old"));
    index.noteDropped("s1", "m~1~", "old");
    CHECK(index.plan("m~2~", parts, AllAllowed, {}).hasSaves());
}

TEST_CASE("salts hold models, versions and customers apart, and read back")
{
    const cache::Salt salt{"m", 7, "desk"};
    const auto read = cache::parseSalt(salt.text());
    REQUIRE(read);
    CHECK(read->model == "m");
    CHECK(read->version == 7);
    CHECK(read->customer == "desk");
    CHECK_FALSE(cache::parseSalt("somebody's"));
    CHECK_FALSE(cache::parseSalt("m~x~"));
}

// Load pattern: prompts of one subject spill from the engine that has their parts to others, as it is full. The stores are full too,
// or don't have the part yet. Read again, it would cost a hundred times what the engines' links take.
TEST_CASE("a part that no store has is fetched from an engine that has it, and parts behind it go on being fetched")
{
    PartIndex index(4s);
    index.setStores({{"s1", "zone-a", 10'000}});
    index.noteStored("s1", "m~1~", "behind", 500);
    const std::vector<cache::PromptPart> parts{{"common", 100}, {"subject", 500}, {"behind", 500}, {"own", 1}};
    auto rules = AllAllowed;
    CHECK_FALSE(index.plan("m~1~", parts, rules, {}).hasFetches());
    rules.isResident = [](std::size_t place) {
        return place == 0;
    };
    rules.findEngine = [](std::size_t place) {
        return place == 1 ? std::string("engine") : std::string();
    };
    const auto plan = index.plan("m~1~", parts, rules, {});
    CHECK(plan.fetchFrom == std::vector<std::string>{"", "engine", "s1", ""});
}

TEST_CASE("a plan says what becomes of each shared part, and why one is read")
{
    using Fates = std::vector<cache::PartDisposition>;
    using enum cache::PartDisposition;
    PartIndex index(4s);
    index.setStores({{"s1", "zone-a", 10'000}});
    const std::vector<cache::PromptPart> parts{{"common", 100}, {"subject", 500}, {"own", 1}};
    auto rules = AllAllowed;
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{NotStored, PrefixMissing}));
    index.noteStored("s1", "m~1~", "common", 100);
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{FromStore, NotStored}));
    rules.findEngine = [](std::size_t place) {
        return place == 1 ? std::string("engine") : std::string();
    };
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{FromStore, FromEngine}));
    rules.isResident = [](std::size_t place) {
        return place == 0;
    };
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{Resident, FromEngine}));
    rules = AllAllowed;
    rules.mayFetch = [](std::string_view) {
        return false;
    };
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{Retired, PrefixMissing}));
    rules.mayFetchFrom = rules.mayFetch;
    CHECK((index.plan("m~1~", parts, rules, {}).dispositions == Fates{StoreAvoided, PrefixMissing}));
}

// Load pattern: the link of one store turns eight times as slow for some seconds. Drafts that fetch from it come a second late, and those
// behind them too, while engines could read the same in a tenth of that. Fetches must stop, the other store go on, and the slow one be
// tried again after its time.
TEST_CASE("parts are read in place of being fetched while a store is slow, and fetched again later")
{
    const cache::FetchCostPolicy policy;
    cache::FetchCostEstimator pace(policy);
    TimePoint now{};
    CHECK(pace.percentOfPrefill("slow", now) == policy.defaultPercent);
    u32 fetches = 0;
    while (pace.isWorthFetching("slow", now)) {
        pace.noteFetch("slow", 80ms, 900ms, now);
        pace.noteFetch("sound", 80ms, 20ms, now);
        now += 20ms;
        REQUIRE(++fetches < 10);
    }
    CHECK(pace.isWorthFetching("sound", now));
    CHECK(pace.percentOfPrefill("sound", now) == doctest::Approx(policy.defaultPercent));
    CHECK_FALSE(pace.isWorthFetching("slow", now + 50ms));
    CHECK(pace.isWorthFetching("slow", now + 4s));
    // What one stalled fetch took is bounded, so that it alone stops nothing.
    cache::FetchCostEstimator other(policy);
    other.noteFetch("slow", 80ms, 60s, now);
    CHECK(other.isWorthFetching("slow", now));
}

TEST_CASE("a memory guess forgets what was used least recently")
{
    cache::EngineCacheEstimate guess;
    constexpr u64 A = 1;
    constexpr u64 B = 2;
    constexpr u64 C = 3;
    guess.noteSent(A, 40, 100);
    guess.noteSent(B, 40, 100);
    guess.noteSent(A, 40, 100);
    guess.noteSent(C, 40, 100);
    CHECK(guess.contains(A));
    CHECK_FALSE(guess.contains(B));
    CHECK(guess.contains(C));
}

TEST_CASE("events are passed on whole, however they are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: torn";
    for (std::size_t step = 1; step < stream.size(); ++step) {
        run::EventStream events;
        std::string passed;
        for (std::size_t i = 0; i < stream.size(); i += step) {
            passed += events.take(stream.substr(i, step));
        }
        CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
        CHECK(events.lastId() == "2");
        CHECK(events.takeRest() == "id: 3\ndata: torn");
    }
}
