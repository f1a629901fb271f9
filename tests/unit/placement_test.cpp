#include <burdock/membership/heartbeat_schedule.hpp>
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
    request.homeHash = home;
    return views[HomePolicy({}).order(request, views, 3).front()].id;
}

} // namespace

// Guards against a pool without endpoints because each of them lost a run, and against an endpoint that loses run after run.
TEST_CASE("an endpoint that lost concurrent runs is a last resort, and one that loses run after run is excluded")
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
    const auto after = membership::eligibleEndpoints(table, "p", rules, at(200));
    REQUIRE(after.views.size() == 1);
    CHECK(after.views.front().isLastResort);
    CHECK_FALSE(membership::eligibleEndpoints(table, "p", rules, at(2200)).views.front().isLastResort);
    table.noteLoss("one", at(3000), at(3100));
    CHECK(membership::eligibleEndpoints(table, "p", rules, at(3200)).views.size() == 1);
    table.noteLoss("one", at(3200), at(3300));
    CHECK(membership::eligibleEndpoints(table, "p", rules, at(3400)).views.empty());
    CHECK(membership::eligibleEndpoints(table, "p", rules, at(5400)).views.size() == 1);
    table.noteSuccess("one");
    table.noteLoss("one", at(5500), at(5600));
    CHECK(membership::eligibleEndpoints(table, "p", rules, at(5700)).views.size() == 1);
}

TEST_CASE("homes are distributed evenly and in proportion to the weights")
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

TEST_CASE("when an endpoint is removed, only its own prompts move")
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

TEST_CASE("requests spill over to the next home if the first exceeds its load bound, but not if it has a free slot")
{
    auto views = idle(10);
    PlacementRequest request;
    request.homeHash = 12345;
    const HomePolicy policy({});
    const auto order = policy.order(request, views, 3);
    views[order[0]].load = 8;
    CHECK(policy.order(request, views, 3).front() == order[1]);
    views[order[0]].load = 7;
    CHECK(policy.order(request, views, 3).front() == order[0]);
}

TEST_CASE("endpoints with zero weight get no requests")
{
    auto views = idle(3);
    views[0].weight = 0;
    views[1].weight = 0;
    for (const auto name : policyNames()) {
        const auto order = createPolicy(name, 150)->order({}, views, 3);
        CHECK(order == Order{2});
    }
}

TEST_CASE("the longest known prefix determines the hint, and the least recently used one is evicted first")
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

TEST_CASE("endpoints in an evacuated or unknown zone, drained, leaving, dead or of another pool get no new runs")
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
    CHECK(eligibleEndpoints(table, "p", rules, TimePoint{}).names == std::vector<std::string>{"good"});
    table.avoid("good", TimePoint{std::chrono::seconds(1)});
    CHECK(eligibleEndpoints(table, "p", rules, TimePoint{}).names.empty());
    CHECK(eligibleEndpoints(table, "p", rules, TimePoint{std::chrono::seconds(2)}).names.size() == 1);
}

// When all links of a pool are silent at once for less than a second, every new request would be refused for two more seconds if silence
// counted as the loss of a run, after which an endpoint gets no requests at all.
TEST_CASE("a silent endpoint is only a last resort, however loaded the others are")
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
        const auto candidates = eligibleEndpoints(table, "p", rules, now);
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

TEST_CASE("a VM that disappears from the list is kept while its link is alive")
{
    using namespace membership;
    MemberTable table;
    table.setListed({{"a", "z", "p", "", "", false}, {"b", "z", "p", "", "", false}});
    table.noteHealth("a", LinkHealth::Alive);
    table.setListed({});
    CHECK(table.find("a") != nullptr);
    CHECK(table.find("b") == nullptr);
}

TEST_CASE("each endpoint is assigned the wanted number of entries, and the links are spread over the entries")
{
    std::vector<u64> entries;
    for (u64 i = 1; i <= 40; ++i) {
        entries.push_back(i * 1000003);
    }
    std::map<u64, u32> links;
    for (u64 endpoint = 1; endpoint <= 400; ++endpoint) {
        u32 attending = 0;
        for (const u64 entry : entries) {
            if (membership::isAssigned(entry, endpoint * 7919, entries, 3)) {
                ++attending;
                ++links[entry];
            }
        }
        CHECK(attending == 3);
    }
    const auto most = std::max_element(links.begin(), links.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    CHECK(most->second < 60);
}

TEST_CASE("a link sends frequent heartbeats while it has work, few while idle, and fewer while answers arrive")
{
    using namespace membership;
    constexpr TimePoint Start{std::chrono::hours(1)};
    constexpr Duration Beat = std::chrono::milliseconds(250);
    HeartbeatSchedule schedule({});
    schedule.noteOpened(Start);
    CHECK(schedule.step(Start).sendsHeartbeat);
    CHECK(schedule.step(Start).next == Beat);
    schedule.noteHeard(Start);
    CHECK(schedule.step(Start + Beat).next == 8 * Beat);
    // New work on an idle link resumes frequent heartbeats, and silence is measured from then on.
    CHECK(schedule.noteWork(Start + 100 * Beat));
    CHECK_FALSE(schedule.noteWork(Start + 101 * Beat));
    CHECK(schedule.step(Start + 101 * Beat).sendsHeartbeat);
    CHECK_FALSE(schedule.step(Start + 103 * Beat).isSilent);
    CHECK(schedule.step(Start + 104 * Beat).isSilent);
    // Answers arrive continuously.
    schedule.noteOpened(Start + 104 * Beat);
    u32 beats = 0;
    for (u32 i = 0; i < 100; ++i) {
        const auto now = Start + 105 * Beat + i * Beat;
        static_cast<void>(schedule.noteWork(now));
        schedule.noteHeard(now);
        const auto step = schedule.step(now + Beat / 2);
        beats += step.sendsHeartbeat ? 1 : 0;
        CHECK_FALSE(step.isSilent);
    }
    CHECK(beats <= 6);
}
