#include <burdock/endpoints/endpoint_table.hpp>

#include <doctest/doctest.h>
#include <map>

using namespace burdock;
using namespace burdock::endpoints;

namespace {

using namespace std::chrono_literals;

constexpr u64 EngineMemory = 170'000;
constexpr u64 DraftPrefill = 12'000;
constexpr u64 DraftMemory = 12'050;
constexpr u64 FirstBorn = 1;

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::hours(1)) + since;
}

Registration engine(u32 number)
{
    Registration registration;
    registration.id = "engine-" + std::to_string(number);
    registration.service = "engines";
    registration.address = "10.0.0.1:80";
    registration.zone = "zone-" + std::to_string(number % 2);
    registration.slots = 128;
    registration.startTimeMs = FirstBorn;
    registration.weightVersions["m"] = 1;
    return registration;
}

EndpointTable tableOf(u32 engines)
{
    EndpointTable table(Policy{});
    table.setServiceLimits("engines", EngineMemory, 18.0);
    for (u32 i = 0; i < engines; ++i) {
        table.setRegistration(engine(i), at(0ms));
    }
    return table;
}

SelectionRequest draft(u64 home, Duration target = 600ms)
{
    SelectionRequest need;
    need.service = "engines";
    need.home = home;
    need.random = home;
    need.memory = DraftMemory;
    need.prefill = [](const Endpoint &) {
        return DraftPrefill;
    };
    need.model = "m";
    need.target = target;
    return need;
}

SelectionRequest plainCall(u64 random)
{
    SelectionRequest need;
    need.service = "engines";
    need.random = random;
    return need;
}

} // namespace

// Load pattern: a flood of long prompts at once, several times what the engines read in the callers' time. Were all let in, each
// would wait behind all before it and come too late, as would the next minute's. Those that are let in must begin in time,
// and the others must be refused at once.
TEST_CASE("a flood of long prompts fills each engine with what it can begin in time, and the rest is refused")
{
    auto table = tableOf(4);
    std::map<std::string, u64> pending;
    u32 refused = 0;
    for (u64 i = 0; i < 100; ++i) {
        const auto choice = table.choose(draft(i), at(0ms));
        if (choice.reason == SelectionFailure::TooSlow) {
            ++refused;
            continue;
        }
        REQUIRE((choice.reason == SelectionFailure::None));
        CHECK(choice.expectedDelay <= 600ms);
        table.noteSent(choice.id, choice.cost, at(0ms));
        pending[choice.id] += choice.cost.prefill;
    }
    CHECK(refused > 50);
    CHECK(pending.size() == 4);
    for (const auto &[id, tokens] : pending) {
        // An engine reads 112 tokens a millisecond, and 550 ms are left of the callers' 600 after what each prompt takes.
        CHECK(tokens <= 550 * 112);
        CHECK(tokens >= 550 * 112 * 3 / 4);
    }
}

// Load pattern: several entries flood the same engines. Each alone would fill an engine to the brim, and all together several times
// over. What the others tell must count like the entry's own work, and stop counting when they fall silent.
// Load pattern: long answers pile up faster than they end. Engines that are given more than their memory let prompts wait inside, put
// others out and read them again; all are late, and what was kept is gone. All entries together must stay within the memory, while
// a prompt above it still gets an engine for itself.
TEST_CASE("prompts under way stay within an engine's memory over all entries, and a larger one is let in alone")
{
    auto table = tableOf(1);
    const auto patient = [] {
        return draft(1, std::chrono::seconds(60));
    };
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads[table.find("engine-0")->hash] = Load{7, 7 * DraftMemory, 0};
    table.peers().take("other", report, at(0ms));
    u64 given = 7 * DraftMemory;
    while (true) {
        const auto choice = table.choose(patient(), at(0ms));
        if (choice.reason != SelectionFailure::None) {
            CHECK((choice.reason == SelectionFailure::NoRoom));
            break;
        }
        table.noteSent(choice.id, RequestCost{DraftMemory, 0}, at(0ms));
        given += DraftMemory;
    }
    CHECK(given <= EngineMemory);
    CHECK(given + DraftMemory > EngineMemory);

    auto idle = tableOf(1);
    auto huge = patient();
    huge.memory = EngineMemory + 1;
    CHECK((idle.choose(huge, at(0ms)).reason == SelectionFailure::None));
}

// Load pattern: many long prompts that begin alike, at engines with memory for a few. What they share lies in an engine's memory once,
// so an engine that holds it has room for more of them than their sizes add up to; refused they would come back, and be refused again.
TEST_CASE("what an engine holds of a prompt already takes no further memory there")
{
    constexpr u64 Shared = 9'000;
    auto table = tableOf(1);
    u32 given = 0;
    for (; given < 100; ++given) {
        auto need = draft(1, std::chrono::seconds(60));
        need.residentTokens = [given](const Endpoint &) {
            return given == 0 ? 0 : Shared;
        };
        const auto choice = table.choose(need, at(0ms));
        if (choice.reason != SelectionFailure::None) {
            break;
        }
        table.noteSent(choice.id, choice.cost, at(0ms));
    }
    CHECK(given == 1 + (EngineMemory - DraftMemory) / (DraftMemory - Shared));
}

// An engine goes dark while its entry in the list still stands. Each gateway sends it a prompt and waits in vain, twenty of them one after
// the other. Two that found out must do for all that hear nothing of the engine themselves.
TEST_CASE("an endpoint that two other entries find silent gets nothing, unless this entry hears from it")
{
    auto table = tableOf(2);
    const auto dark = table.find("engine-0")->hash;
    table.noteHeard("engine-0", at(0ms));
    table.noteHeard("engine-1", at(0ms));
    const auto tell = [&](const std::string &peer) {
        PeerLoads::Report report;
        report.bootId = 1;
        report.sequence = 1;
        report.unresponsive.insert(dark);
        return table.applyReport(peer, report, at(2s));
    };
    const auto isChosen = [&](const std::string &id, TimePoint now) {
        for (u64 home = 0; home < 50; ++home) {
            if (table.choose(draft(home), now).id == id) {
                return true;
            }
        }
        return false;
    };
    CHECK(tell("one").empty());
    CHECK(isChosen("engine-0", at(2s)));
    CHECK(tell("two") == std::vector<std::string>{"engine-0"});
    CHECK_FALSE(isChosen("engine-0", at(2s)));
    CHECK(isChosen("engine-1", at(2s)));
    table.noteHeard("engine-0", at(2s));
    CHECK(isChosen("engine-0", at(2100ms)));
    table.noteSent("engine-1", RequestCost{}, at(2s));
    CHECK(table.unresponsive(at(2500ms)).empty());
    CHECK(table.unresponsive(at(3s)) == std::vector<u64>{table.find("engine-1")->hash});
}

// A prompt is told to fetch its parts from an engine that went dark, and stands still for some hundred milliseconds.
TEST_CASE("parts are fetched from engines that are sound, one of the same zone first")
{
    auto table = tableOf(5);
    constexpr u64 Part = 77;
    const auto &fetching = *table.find("engine-1");
    CHECK(table.fetchSourceFor(Part, fetching, at(0ms)) == nullptr);
    table.notePart(fetching.hash, Part, 500);
    CHECK(table.fetchSourceFor(Part, fetching, at(0ms)) == nullptr);
    table.notePart(table.find("engine-0")->hash, Part, 500);
    CHECK(table.fetchSourceFor(Part, fetching, at(0ms))->registration.id == "engine-0");
    table.notePart(table.find("engine-3")->hash, Part, 500);
    CHECK(table.fetchSourceFor(Part, fetching, at(0ms))->registration.id == "engine-3");
    table.noteSent("engine-3", RequestCost{}, at(0ms));
    CHECK(table.fetchSourceFor(Part, fetching, at(2s))->registration.id == "engine-0");
    table.setLoading({table.find("engine-0")->hash});
    CHECK(table.fetchSourceFor(Part, fetching, at(2s)) == nullptr);
}

TEST_CASE("what the other entries have under way counts, and no longer when they are silent")
{
    auto table = tableOf(1);
    const u64 hash = table.find("engine-0")->hash;
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads[hash] = Load{4, 40'000, 48'000};
    table.peers().take("entry-2", report, at(0ms));
    CHECK((table.choose(draft(1), at(0ms)).reason == SelectionFailure::TooSlow));
    table.peers().expire(at(1400ms));
    CHECK((table.choose(draft(1), at(1400ms)).reason == SelectionFailure::TooSlow));
    table.peers().expire(at(1600ms));
    CHECK((table.choose(draft(1), at(1600ms)).reason == SelectionFailure::None));
}

TEST_CASE("a message that tells just what changed leaves the rest of an entry's work as it was")
{
    PeerLoads loads(1500ms);
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads = {{7, Load{2, 100, 50}}, {8, Load{1, 10, 10}}};
    report.loading = {7};
    report.unresponsive = {8};
    loads.take("entry-2", report, at(0ms));
    report.loading.clear();
    report.unresponsive.clear();
    report.sequence = 2;
    report.isSnapshot = false;
    report.loads = {{7, Load{1, 60, 0}}, {9, Load{3, 30, 30}}};
    loads.take("entry-2", report, at(40ms));
    CHECK((loads.at(7) == Load{1, 60, 0}));
    CHECK((loads.at(8) == Load{1, 10, 10}));
    CHECK((loads.at(9) == Load{3, 30, 30}));
    CHECK(loads.isLoading(7));
    CHECK(loads.findUnresponsive(8) == 1);
    report.sequence = 3;
    report.loads = {{7, Load{}}};
    loads.take("entry-2", report, at(80ms));
    CHECK(loads.at(7).running == 0);
    // What an earlier start had under way is gone with it.
    report.bootId = 2;
    report.loads = {{9, Load{1, 5, 5}}};
    loads.take("entry-2", report, at(120ms));
    CHECK(loads.at(8).running == 0);
    CHECK_FALSE(loads.isLoading(7));
    CHECK((loads.at(9) == Load{1, 5, 5}));
    loads.expire(at(1700ms));
    CHECK(loads.at(9).running == 0);
}

TEST_CASE("a late message of another entry doesn't replace a newer one, a restarted entry's does")
{
    PeerLoads loads(1500ms);
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 5;
    report.loads[7] = Load{2, 100, 100};
    loads.take("entry-2", report, at(0ms));
    report.sequence = 4;
    report.loads[7] = Load{9, 900, 900};
    loads.take("entry-2", report, at(1ms));
    CHECK(loads.at(7).running == 2);
    report.bootId = 2;
    report.sequence = 1;
    report.loads[7] = Load{1, 10, 10};
    loads.take("entry-2", report, at(2ms));
    CHECK(loads.at(7).running == 1);
}

// Load pattern: one engine works at a quarter of the others' pace, its health good. Counting requests alone, it gets as many as
// the others and its callers wait four times as long.
TEST_CASE("an engine that turns slow gets less, and is tried again after some time")
{
    auto table = tableOf(2);
    const auto share = [&table](Duration now) {
        std::map<std::string, u32> chosen;
        for (u64 i = 0; i < 100; ++i) {
            ++chosen[table.choose(draft(i), at(now)).id];
        }
        return chosen["engine-0"];
    };
    CHECK(share(0ms) > 30);
    for (u32 i = 0; i < 20; ++i) {
        Selection choice{"engine-0", SelectionFailure::None, {DraftMemory, DraftPrefill}, 194ms, FirstBorn};
        table.noteSent("engine-0", choice.cost, at(0ms));
        table.noteFirstEvent("engine-0", choice, 776ms, DelaySample::Use, at(0ms));
        table.noteHeard("engine-0", at(0ms));
        table.noteEnd("engine-0", FirstBorn, {DraftMemory, 0}, Outcome::Answered, at(0ms));
    }
    CHECK(share(0ms) == 0);
    CHECK(share(60s) > 30);
}

// Callers of streams have one try. An engine went dark with its connections open: nothing says so but its silence.
TEST_CASE("an engine that says nothing while requests are under way gets no more, until it is heard")
{
    auto table = tableOf(1);
    const auto choice = table.choose(draft(1), at(0ms));
    table.noteSent(choice.id, choice.cost, at(0ms));
    CHECK((table.choose(draft(2), at(600ms)).reason == SelectionFailure::None));
    CHECK((table.choose(draft(2), at(800ms)).reason == SelectionFailure::NoEndpoint));
    table.noteHeard(choice.id, at(900ms));
    CHECK((table.choose(draft(2), at(901ms)).reason == SelectionFailure::None));
}

TEST_CASE("a prompt on older weights says how it stood to the endpoints with the newest ones")
{
    auto table = tableOf(2);
    auto need = draft(1);
    const auto newest = [&] {
        return table.choose(need, at(0ms)).newest;
    };
    CHECK((newest() == NewestWeights::Chosen));
    need.wantedVersion = 2;
    CHECK((newest() == NewestWeights::NoneServes));
    table.noteWeights("engine-0", "m", 2);
    CHECK((newest() == NewestWeights::Chosen));
    const RequestCost work{DraftMemory, DraftPrefill};
    table.noteSent("engine-0", work, at(0ms));
    table.noteSent("engine-0", work, at(0ms));
    CHECK((newest() == NewestWeights::Later));
    need.target = 250ms;
    CHECK((newest() == NewestWeights::TooSlow));
    table.noteSent("engine-0", {EngineMemory, 0}, at(0ms));
    CHECK((newest() == NewestWeights::NoRoom));
}

TEST_CASE("an endpoint that can't be reached is left out for longer each time, and an answer forgives it")
{
    auto table = tableOf(1);
    const auto fail = [&table](Duration now) {
        table.noteSent("engine-0", {}, at(now));
        table.noteEnd("engine-0", FirstBorn, {}, Outcome::Unreachable, at(now));
    };
    fail(0ms);
    CHECK((table.choose(plainCall(1), at(400ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainCall(1), at(600ms)).reason == SelectionFailure::None));
    fail(600ms);
    CHECK((table.choose(plainCall(1), at(1500ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainCall(1), at(1700ms)).reason == SelectionFailure::None));
    table.noteSent("engine-0", {}, at(1700ms));
    table.noteEnd("engine-0", FirstBorn, {}, Outcome::Answered, at(1800ms));
    fail(1800ms);
    CHECK((table.choose(plainCall(1), at(2400ms)).reason == SelectionFailure::None));
}

TEST_CASE("an endpoint that fails most requests is left out, though it can be reached")
{
    auto table = tableOf(1);
    for (u32 i = 0; i < 8; ++i) {
        table.noteSent("engine-0", {}, at(0ms));
        table.noteEnd("engine-0", FirstBorn, {}, Outcome::Failed, at(0ms));
    }
    CHECK((table.choose(plainCall(1), at(100ms)).reason == SelectionFailure::NoEndpoint));
}

// A cold replica falls over under its usual share. It bears a few requests a second from all entries together.
TEST_CASE("a cold endpoint gets this entry's share of what it bears")
{
    auto table = tableOf(1);
    table.setEntryCount(6);
    auto cold = engine(0);
    cold.coldLeft = 3s;
    table.setRegistration(cold, at(0ms));
    u32 let = 0;
    for (u32 ms = 0; ms < 1000; ms += 10) {
        let += table.choose(plainCall(ms), at(std::chrono::milliseconds(ms))).reason == SelectionFailure::None ? 1 : 0;
    }
    CHECK(let >= 3);
    CHECK(let <= 4);
    CHECK((table.choose(plainCall(1), at(3100ms)).reason == SelectionFailure::None));
}

// Guards against an entry that starts, takes itself for the only one, and keeps the share of that time for as long as the endpoint
// is cold.
TEST_CASE("a cold endpoint gets the smaller share as soon as more entries are known")
{
    auto table = tableOf(1);
    auto cold = engine(0);
    cold.coldLeft = 3s;
    table.setRegistration(cold, at(0ms));
    table.setEntryCount(1);
    CHECK((table.choose(plainCall(1), at(0ms)).reason == SelectionFailure::None));
    table.setEntryCount(6);
    u32 let = 0;
    for (u32 ms = 10; ms <= 1000; ms += 10) {
        let += table.choose(plainCall(ms), at(std::chrono::milliseconds(ms))).reason == SelectionFailure::None ? 1 : 0;
    }
    CHECK(let >= 2);
    CHECK(let <= 3);
}

// Guards against an entry that starts and takes all that a cold endpoint bears, as it hasn't heard yet of the others.
TEST_CASE("a cold endpoint gets nothing before this entry knows among how many it shares, a warm one does")
{
    auto table = tableOf(1);
    CHECK((table.choose(plainCall(1), at(0ms)).reason == SelectionFailure::None));
    auto cold = engine(0);
    cold.coldLeft = 3s;
    table.setRegistration(cold, at(0ms));
    CHECK((table.choose(plainCall(1), at(0ms)).reason == SelectionFailure::NoRoom));
    table.setEntryCount(2);
    CHECK((table.choose(plainCall(1), at(10ms)).reason == SelectionFailure::None));
}

TEST_CASE("an endpoint of a zone that comes back counts as cold until it is known not to be")
{
    auto table = tableOf(1);
    table.setEntryCount(6);
    table.setReturningZones({"zone-0"});
    const auto countLet = [&table](Duration from) {
        u32 let = 0;
        for (u32 ms = 0; ms < 1000; ms += 10) {
            let += table.choose(plainCall(ms), at(from + std::chrono::milliseconds(ms))).reason == SelectionFailure::None ? 1 : 0;
        }
        return let;
    };
    CHECK(countLet(0ms) <= 4);
    table.setReturningZones({});
    CHECK(countLet(1s) == 100);
}

TEST_CASE("an endpoint that starts again under its id is new: nothing of before counts")
{
    auto table = tableOf(1);
    table.noteSent("engine-0", {DraftMemory, 60'000}, at(0ms));
    table.noteWeights("engine-0", "m", 5);
    CHECK((table.choose(draft(1), at(10ms)).reason == SelectionFailure::TooSlow));
    auto reborn = engine(0);
    reborn.startTimeMs = 2;
    table.setRegistration(reborn, at(20ms));
    CHECK((table.choose(draft(1), at(20ms)).reason == SelectionFailure::None));
    CHECK(table.find("engine-0")->registration.weightVersions.at("m") == 1);
}

// Guards against requests to an engine's earlier start that end late, as their connections went silent: taken off the work of the
// new start, they would make room that is not there.
TEST_CASE("what ends at an endpoint's earlier start changes nothing of the new one")
{
    auto table = tableOf(1);
    const auto early = table.choose(draft(1), at(0ms));
    table.noteSent(early.id, early.cost, at(0ms));
    auto reborn = engine(0);
    reborn.startTimeMs = 2;
    table.setRegistration(reborn, at(20ms));
    const auto late = table.choose(draft(2), at(30ms));
    table.noteSent(late.id, late.cost, at(30ms));
    table.noteFirstEvent(early.id, early, 40ms, DelaySample::Use, at(40ms));
    CHECK(table.noteEnd(early.id, early.startTimeMs, {DraftMemory, 0}, Outcome::Unreachable, at(40ms)) == Duration::zero());
    const auto *endpoint = table.find("engine-0");
    CHECK(endpoint->own.running == 1);
    CHECK(endpoint->own.memory == DraftMemory);
    CHECK(endpoint->own.pending == DraftPrefill);
    CHECK(endpoint->samples == 0);
    static_cast<void>(table.noteEnd(late.id, late.startTimeMs, {DraftMemory, DraftPrefill}, Outcome::Answered, at(50ms)));
    CHECK(endpoint->own.running == 0);
}

TEST_CASE("weights don't go back with a registration that lags behind an answer")
{
    auto table = tableOf(1);
    table.noteWeights("engine-0", "m", 3);
    table.setRegistration(engine(0), at(0ms));
    CHECK(table.find("engine-0")->registration.weightVersions.at("m") == 3);
}

TEST_CASE("older weights come second, too old ones and engines that load get nothing")
{
    auto table = tableOf(2);
    table.noteWeights("engine-1", "m", 2);
    auto need = draft(1);
    need.wantedVersion = 2;
    CHECK(table.choose(need, at(0ms)).id == "engine-1");
    need.tried = {"engine-1"};
    CHECK(table.choose(need, at(0ms)).id == "engine-0");
    need.expiry = [](u64 version) {
        return version < 2 ? std::optional(at(0ms)) : std::nullopt;
    };
    CHECK((table.choose(need, at(0ms)).reason == SelectionFailure::NoEndpoint));
    need.tried.clear();
    table.setLoading({table.find("engine-1")->hash});
    CHECK((table.choose(need, at(0ms)).reason == SelectionFailure::NoEndpoint));
}

// Guards against a prompt that is sent before an engine's weights expire, and begins after that as it waits inside the engine.
TEST_CASE("an engine whose weights expire soon gets only what can begin before, whatever waits there")
{
    auto table = tableOf(1);
    auto need = draft(1);
    need.wantedVersion = 2;
    need.target = 5s;
    need.expiry = [](u64) {
        return std::optional(at(12s));
    };
    CHECK(table.choose(need, at(11000ms)).id == "engine-0");
    CHECK((table.choose(need, at(11600ms)).reason == SelectionFailure::NoRoom));
    // 60,000 tokens that the engine has to read first.
    table.noteSent("engine-0", RequestCost{60000, 60000}, at(10s));
    table.noteHeard("engine-0", at(10500ms));
    CHECK(table.choose(need, at(10s)).id == "engine-0");
    CHECK((table.choose(need, at(10600ms)).reason == SelectionFailure::NoRoom));
}

TEST_CASE("draining endpoints, those that left and those in a zone that is out get nothing")
{
    auto table = tableOf(3);
    auto draining = engine(0);
    draining.isDraining = true;
    table.setRegistration(draining, at(0ms));
    table.remove("engine-2");
    for (u64 i = 0; i < 20; ++i) {
        CHECK(table.choose(plainCall(i), at(0ms)).id == "engine-1");
    }
    table.setEvacuatedZones({"zone-1"});
    CHECK((table.choose(plainCall(1), at(0ms)).reason == SelectionFailure::NoEndpoint));
}

TEST_CASE("an endpoint that declined is left out for a moment")
{
    auto table = tableOf(1);
    table.noteSent("engine-0", {}, at(0ms));
    table.noteEnd("engine-0", FirstBorn, {}, Outcome::Declined, at(0ms));
    CHECK((table.choose(plainCall(1), at(200ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainCall(1), at(260ms)).reason == SelectionFailure::None));
}
