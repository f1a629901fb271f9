#include <burdock/cache/fetch_cost_estimator.hpp>
#include <burdock/cache/fetch_time.hpp>
#include <burdock/endpoints/endpoint_table.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace burdock;
using namespace burdock::cache;

namespace {

using namespace std::chrono_literals;

constexpr u32 Zones = 6;
constexpr u32 EnginesPerZone = 20;
constexpr u64 PartTokens = 8600;
constexpr Duration PrefillTime = 80ms;
constexpr Duration Target = 500ms;

std::string zoneName(u32 number)
{
    return "zone-" + std::to_string(number);
}

PartStore store(u32 zone)
{
    return {"10.0.9." + std::to_string(zone) + ":80", zoneName(zone), 2'400'000, 460, 6ms};
}

endpoints::EndpointTable makeTable()
{
    endpoints::EndpointTable table(endpoints::Policy{});
    for (u32 i = 0; i < Zones * EnginesPerZone; ++i) {
        endpoints::Registration engine;
        engine.id = "engine-" + std::to_string(i);
        engine.service = "engines";
        engine.zone = zoneName(i % Zones);
        engine.slots = 12;
        table.setRegistration(engine, TimePoint(1h));
    }
    return table;
}

} // namespace

TEST_CASE("a fetch takes the constant part of its store, and twice the transfer to another zone")
{
    const auto kept = store(1);
    CHECK(linkTime(kept, 4600, "zone-1") == 10ms);
    CHECK(linkTime(kept, 4600, "zone-2") == 20ms);
    CHECK(fetchTime(kept, 4600, "zone-1", PrefillTime) == 16ms);
    CHECK(fetchTime(kept, 4600, "zone-2", PrefillTime) == 26ms);
    auto unknown = kept;
    unknown.tokensPerMs = 0;
    CHECK(linkTime(unknown, 4600, "zone-2") == 0ms);
    CHECK(fetchTime(unknown, 4600, "zone-2", PrefillTime) == 6ms + PrefillTime / 4);
}

// Guards against prompts that wait for a store whose link became slow until they miss their target, although engines have room to
// process the parts.
TEST_CASE("a prompt that gives up its fetch still reaches its target")
{
    for (const auto readDelay : {60ms, 165ms, 300ms, 420ms}) {
        CAPTURE(readDelay.count());
        const FetchWait wait{Target, readDelay, 20ms, 3500ms};
        CHECK(fetchTimeLimit(wait) + readDelay <= Target);
    }
    // Nothing is gained by giving up a fetch in time for a target that processing misses too.
    CHECK(fetchTimeLimit({Target, 600ms, 100ms, 3500ms}) == 200ms);
    // The fetch may not outlive the time for which the store keeps superseded parts.
    CHECK(fetchTimeLimit({10s, 100ms, 100ms, 3500ms}) == 3500ms);
}

// Guards against links of stores that fill up while many prompts return, because most transfers go to another zone and take twice as long.
TEST_CASE("prompts whose parts are stored go to engines in the zone of the store while these have room")
{
    auto table = makeTable();
    std::map<std::string, Duration> busy;
    u32 sameZone = 0;
    constexpr u32 Prompts = 300;
    for (u32 i = 0; i < Prompts; ++i) {
        const auto kept = store(i % Zones);
        endpoints::SelectionRequest request;
        request.service = "engines";
        request.affinityHash = i;
        request.memory = PartTokens;
        request.target = Target;
        request.prefill = [&kept](const endpoints::Endpoint &endpoint) {
            return static_cast<u64>(fetchTime(kept, PartTokens, endpoint.registration.zone, PrefillTime) / 9500ns);
        };
        request.sharedLinkTime = [&kept](const endpoints::Endpoint &endpoint) {
            return linkTime(kept, PartTokens, endpoint.registration.zone);
        };
        const auto selection = table.choose(request, TimePoint(1h));
        REQUIRE((selection.reason == endpoints::SelectionFailure::None));
        const auto &zone = table.find(selection.id)->registration.zone;
        busy[kept.address] += linkTime(kept, PartTokens, zone);
        sameZone += zone == kept.zone ? 1 : 0;
        table.noteSent(selection.id, selection.cost, TimePoint(1h));
        table.noteFirstEvent(selection.id, selection, 100ms, endpoints::DelaySample::Ignore, TimePoint(1h));
    }
    CHECK(sameZone == Prompts);
    for (const auto &[address, time] : busy) {
        CHECK(time <= Prompts / Zones * 19ms);
    }
}

// Guards against many entries that each wait for a slow store until they have observed enough fetches of their own.
TEST_CASE("a store that becomes slow is avoided by all entries as soon as they together have observed it")
{
    constexpr u32 Entries = 68;
    constexpr Duration MessagePeriod = 100ms;
    // All entries together observe some 37 fetches a second from each store, one entry one in two seconds.
    constexpr Duration FetchPeriod = 27ms;
    const FetchCostPolicy policy;
    std::vector<FetchCostEstimator> entries(Entries, FetchCostEstimator(policy));
    TimePoint now(1h);
    u32 next = 0;
    Duration sinceMessage{};
    const auto started = now;
    const auto isAvoidedByAll = [&] {
        return std::none_of(entries.begin(), entries.end(), [&](const auto &entry) { return entry.isWorthFetching("slow", now); });
    };
    while (!isAvoidedByAll()) {
        REQUIRE(now - started < 1s);
        entries[next++ % Entries].noteFetch("slow", 80ms, 500ms, now);
        now += FetchPeriod;
        sinceMessage += FetchPeriod;
        if (sinceMessage < MessagePeriod) {
            continue;
        }
        sinceMessage = {};
        for (auto &sender : entries) {
            for (const auto &samples : sender.takeSamples()) {
                for (auto &receiver : entries) {
                    if (&receiver != &sender) {
                        receiver.applySamples(samples, now);
                    }
                }
            }
        }
    }
}

// Guards against all entries that return to a store at the same moment and fill its link again.
TEST_CASE("the share of fetches from a store rises gradually after it was slow")
{
    const FetchCostPolicy policy;
    FetchCostEstimator costs(policy);
    TimePoint now(1h);
    for (u32 i = 0; i < 30; ++i) {
        costs.noteFetch("slow", 80ms, 500ms, now);
    }
    double before = 0;
    u32 steps = 0;
    for (; before < 1; ++steps, now += 100ms) {
        REQUIRE(steps < 100);
        u32 fetched = 0;
        for (u64 random = 0; random < 1000; ++random) {
            fetched += costs.mayFetch("slow", random, now) ? 1 : 0;
        }
        const double share = fetched / 1000.0;
        CHECK(share - before <= 0.1);
        before = share;
    }
    CHECK(steps >= 20);
}

TEST_CASE("samples of another entry that no entry can have observed are ignored")
{
    const FetchCostPolicy policy;
    FetchCostEstimator costs(policy);
    const TimePoint now(1h);
    costs.applySamples({"store", 0, 900}, now);
    costs.applySamples({"store", 5, -1}, now);
    costs.applySamples({"store", 5, policy.maxSamplePercent + 1}, now);
    CHECK(costs.percentOfPrefill("store", now) == policy.defaultPercent);
    costs.applySamples({"store", 1e9, 500}, now);
    CHECK(costs.percentOfPrefill("store", now) < 500);
}
