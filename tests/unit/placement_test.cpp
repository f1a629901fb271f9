#include <burdock/membership/beat_schedule.hpp>
#include <burdock/membership/member_table.hpp>
#include <burdock/placement/policy.hpp>
#include <burdock/placement/recent_placements.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace burdock;
using namespace burdock::placement;

namespace {

std::vector<EndpointView> idle(u32 count)
{
    std::vector<EndpointView> views(count);
    for (u32 i = 0; i < count; ++i) {
        views[i] = {i * 7919ULL + 1, 1.0, 0, 8, false};
    }
    return views;
}

u64 homeOf(const std::vector<EndpointView> &views, u64 home)
{
    PlacementRequest request;
    request.home = home;
    return views[HomePolicy({}).order(request, views, 3).front()].id;
}

} // namespace

// Guards against a pool without endpoints because each of them lost a run, and against one that loses run after run.
TEST_CASE("an endpoint that lost runs at once comes last, and one that loses run after run is left out")
{
    membership::MemberTable table;
    table.setListed({{"one", "z", "p", "", "", false}});
    membership::EligibilityRules rules;
    rules.zones["z"] = {};
    const auto at = [](u32 ms) {
        return TimePoint{std::chrono::milliseconds(ms)};
    };
    for (u32 run = 0; run < 10; ++run) {
        table.noteLoss("one", at(run), at(100 + run));
    }
    const auto after = membership::eligible(table, "p", rules, at(200));
    REQUIRE(after.views.size() == 1);
    CHECK(after.views.front().isLastResort);
    CHECK_FALSE(membership::eligible(table, "p", rules, at(2200)).views.front().isLastResort);
    table.noteLoss("one", at(3000), at(3100));
    CHECK(membership::eligible(table, "p", rules, at(3200)).views.size() == 1);
    table.noteLoss("one", at(3200), at(3300));
    CHECK(membership::eligible(table, "p", rules, at(3400)).views.empty());
    CHECK(membership::eligible(table, "p", rules, at(5400)).views.size() == 1);
    table.noteSuccess("one");
    table.noteLoss("one", at(5500), at(5600));
    CHECK(membership::eligible(table, "p", rules, at(5700)).views.size() == 1);
}

TEST_CASE("homes are spread evenly and by weight")
{
    auto views = idle(4);
    views[3].weight = 0.5;
    std::map<u64, u32> homes;
    constexpr u32 Prompts = 7000;
    for (u64 i = 0; i < Prompts; ++i) {
        ++homes[homeOf(views, i * 0x9e3779b97f4a7c15ULL)];
    }
    CHECK(homes[views[0].id] == doctest::Approx(2000).epsilon(0.1));
    CHECK(homes[views[3].id] == doctest::Approx(1000).epsilon(0.1));
}

TEST_CASE("when an endpoint goes, only its own prompts move")
{
    const auto before = idle(10);
    auto after = before;
    after.erase(after.begin() + 4);
    for (u64 i = 0; i < 1000; ++i) {
        const u64 home = homeOf(before, i * 0x9e3779b97f4a7c15ULL);
        if (home != before[4].id) {
            CHECK(homeOf(after, i * 0x9e3779b97f4a7c15ULL) == home);
        }
    }
}

TEST_CASE("a home over its bound lets requests spill to the next one, and an idle one does not")
{
    auto views = idle(10);
    PlacementRequest request;
    request.home = 12345;
    const HomePolicy policy({});
    const auto order = policy.order(request, views, 3);
    views[order[0]].load = 8;
    CHECK(policy.order(request, views, 3).front() == order[1]);
    views[order[0]].load = 7;
    CHECK(policy.order(request, views, 3).front() == order[0]);
}

TEST_CASE("nothing is placed on endpoints without weight")
{
    auto views = idle(3);
    views[0].weight = 0;
    views[1].weight = 0;
    for (const auto name : policyNames()) {
        const auto order = createPolicy(name, 150)->order({}, views, 3);
        CHECK(order == Order{2});
    }
}

TEST_CASE("the longest known prefix gives the hint, and the oldest is forgotten first")
{
    RecentPlacements recent(2);
    const cache::BlockKey one{1};
    const cache::BlockKey two{2};
    const cache::BlockKey three{3};
    recent.note(one, 11);
    recent.note(two, 22);
    CHECK(recent.find({one, two}) == 22);
    recent.note(one, 11);
    recent.note(three, 33);
    CHECK(recent.find({two}) == 0);
    CHECK(recent.find({one}) == 11);
    CHECK(recent.size() == 2);
}

TEST_CASE("endpoints out of zone, drained, leaving, dead or of another pool get no new work")
{
    using namespace membership;
    MemberTable table;
    const auto vm = [](const std::string &name, const std::string &zone) {
        return ListedVm{name, zone, "p", "1.1.1.1:1", "", false};
    };
    auto leaving = vm("leaving", "in");
    leaving.isLeaving = true;
    auto other = vm("other", "in");
    other.pool = "q";
    table.setListed({vm("good", "in"), vm("away", "out"), vm("nowhere", "unknown"), vm("drained", "in"), vm("dead", "in"), leaving, other});
    table.noteHealth("dead", LinkHealth::Dead);
    EligibilityRules rules;
    rules.zones["in"] = {};
    rules.zones["out"] = {true, 100};
    rules.drained = {"drained"};
    CHECK(eligible(table, "p", rules, TimePoint{}).names == std::vector<std::string>{"good"});
    table.avoid("good", TimePoint{std::chrono::seconds(1)});
    CHECK(eligible(table, "p", rules, TimePoint{}).names.empty());
    CHECK(eligible(table, "p", rules, TimePoint{std::chrono::seconds(2)}).names.size() == 1);
}

// All links of a pool fall silent at once for less than a second, and for two seconds more every new request is refused.
// Cause: silence was held to be a loss of the run, after which an endpoint gets nothing at all.
TEST_CASE("an endpoint that said nothing is asked where nobody else is left, however loaded the others are")
{
    using namespace membership;
    MemberTable table;
    table.setListed({{"a", "z", "p", "", "", false}, {"b", "z", "p", "", "", false}, {"c", "z", "p", "", "", false}});
    EligibilityRules rules;
    rules.zones["z"] = {};
    table.makeLastResort("a", TimePoint{std::chrono::seconds(1)});
    table.noteHealth("b", LinkHealth::Suspect);
    table.noteLoad("c", {100, 100, 4, false, {}});
    const auto firstOf = [&](std::string_view policy, TimePoint now) {
        const auto candidates = eligible(table, "p", rules, now);
        REQUIRE(candidates.names.size() == 3);
        PlacementRequest request;
        request.hint = candidates.views[0].id;
        return candidates.names[createPolicy(policy, 150)->order(request, candidates.views, 3).front()];
    };
    for (const auto name : policyNames()) {
        CHECK(firstOf(name, TimePoint{}) == "c");
    }
    CHECK(firstOf("least-loaded", TimePoint{std::chrono::seconds(1)}) == "a");
}

TEST_CASE("a VM that vanishes from the list while its link lives stays")
{
    using namespace membership;
    MemberTable table;
    table.setListed({{"a", "z", "p", "", "", false}, {"b", "z", "p", "", "", false}});
    table.noteHealth("a", LinkHealth::Alive);
    table.setListed({});
    CHECK(table.find("a") != nullptr);
    CHECK(table.find("b") == nullptr);
}

TEST_CASE("each endpoint is attended by as many entries as wanted, and entries share the work")
{
    std::vector<u64> entries;
    for (u64 i = 1; i <= 40; ++i) {
        entries.push_back(i * 1000003);
    }
    std::map<u64, u32> links;
    for (u64 endpoint = 1; endpoint <= 400; ++endpoint) {
        u32 attending = 0;
        for (const u64 entry : entries) {
            if (membership::attends(entry, endpoint * 7919, entries, 3)) {
                ++attending;
                ++links[entry];
            }
        }
        CHECK(attending == 3);
    }
    const auto most = std::max_element(links.begin(), links.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    CHECK(most->second < 60);
}

TEST_CASE("a link beats fast while it works, slowly while idle, and seldom while answers flow")
{
    using namespace membership;
    constexpr TimePoint Start{std::chrono::hours(1)};
    constexpr Duration Beat = std::chrono::milliseconds(250);
    BeatSchedule schedule({});
    schedule.noteOpened(Start);
    CHECK(schedule.step(Start).sendsBeat);
    CHECK(schedule.step(Start).next == Beat);
    schedule.noteHeard(Start);
    CHECK(schedule.step(Start + Beat).next == 8 * Beat);
    // Work on an idle link: fast beats again, and silence counts from now.
    CHECK(schedule.noteWork(Start + 100 * Beat));
    CHECK_FALSE(schedule.noteWork(Start + 101 * Beat));
    CHECK(schedule.step(Start + 101 * Beat).sendsBeat);
    CHECK_FALSE(schedule.step(Start + 103 * Beat).isSilent);
    CHECK(schedule.step(Start + 104 * Beat).isSilent);
    // Answers flow.
    schedule.noteOpened(Start + 104 * Beat);
    u32 beats = 0;
    for (u32 i = 0; i < 100; ++i) {
        const auto now = Start + 105 * Beat + i * Beat;
        static_cast<void>(schedule.noteWork(now));
        schedule.noteHeard(now);
        const auto step = schedule.step(now + Beat / 2);
        beats += step.sendsBeat ? 1 : 0;
        CHECK_FALSE(step.isSilent);
    }
    CHECK(beats <= 6);
}
