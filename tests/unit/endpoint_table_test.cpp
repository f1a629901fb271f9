#include <burdock/endpoints/endpoint_table.hpp>

#include <doctest/doctest.h>
#include <map>

using namespace burdock;
using namespace burdock::endpoints;

namespace {

using namespace std::chrono_literals;

constexpr u64 EngineMemory = 170'000;
constexpr u64 PromptPrefill = 12'000;
constexpr u64 PromptMemory = 12'050;
constexpr u64 FirstStartTimeMs = 1;
constexpr double ColdRequestsPerSecond = 18.0;

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
    registration.startTimeMs = FirstStartTimeMs;
    registration.weightVersions["m"] = 1;
    return registration;
}

EndpointTable makeTable(u32 engines)
{
    EndpointTable table(Policy{});
    table.setServiceLimits("engines", EngineMemory, ColdRequestsPerSecond);
    for (u32 i = 0; i < engines; ++i) {
        table.setRegistration(engine(i), at(0ms));
    }
    return table;
}

SelectionRequest promptRequest(u64 home, Duration target = 600ms)
{
    SelectionRequest request;
    request.service = "engines";
    request.affinityHash = home;
    request.random = home;
    request.memory = PromptMemory;
    request.prefill = [](const Endpoint &) {
        return PromptPrefill;
    };
    request.model = "m";
    request.target = target;
    return request;
}

SelectionRequest plainRequest(u64 random)
{
    SelectionRequest request;
    request.service = "engines";
    request.random = random;
    return request;
}

std::vector<std::string> entryNames(u32 count)
{
    std::vector<std::string> names;
    for (u32 i = 0; i < count; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    return names;
}

// Returns how many of a hundred requests are admitted in one second.
u32 countAdmitted(EndpointTable &table, Duration from)
{
    u32 admitted = 0;
    for (u32 ms = 0; ms < 1000; ms += 10) {
        const auto time = from + std::chrono::milliseconds(ms);
        auto request = plainRequest(ms);
        request.timeOfDay = time;
        admitted += table.choose(request, at(time)).reason == SelectionFailure::None ? 1 : 0;
    }
    return admitted;
}

} // namespace

// A burst of long prompts exceeds what the engines can process in the target time several times over. If all were admitted, each would
// queue behind those before it and miss the target, as would the prompts of the next minute. Admitted prompts must start in time, and
// the others must be refused at once.
TEST_CASE("of a burst of long prompts, each engine gets what it can start in time and the rest is refused")
{
    auto table = makeTable(4);
    std::map<std::string, u64> pending;
    u32 refused = 0;
    for (u64 i = 0; i < 100; ++i) {
        const auto selection = table.choose(promptRequest(i), at(0ms));
        if (selection.reason == SelectionFailure::TooSlow) {
            ++refused;
            continue;
        }
        REQUIRE((selection.reason == SelectionFailure::None));
        CHECK(selection.expectedDelay <= 600ms);
        table.noteSent(selection.id, selection.cost, at(0ms));
        pending[selection.id] += selection.cost.prefill;
    }
    CHECK(refused > 50);
    CHECK(pending.size() == 4);
    for (const auto &[id, tokens] : pending) {
        // An engine processes 112 tokens per millisecond. Of the target of 600 ms, 550 ms remain after the base delay of a prompt.
        CHECK(tokens <= 550 * 112);
        CHECK(tokens >= 550 * 112 * 3 / 4);
    }
}

// When long answers start faster than they end, engines that get more than fits into their memory queue prompts internally, or evict
// others and process them again. All of them are late then, and cached parts are lost. All entries together must stay within the memory,
// while a prompt that exceeds it must still get an idle engine.
TEST_CASE("prompts in progress stay within an engine's memory over all entries, and a larger one is admitted alone")
{
    auto table = makeTable(1);
    const auto patientRequest = [] {
        return promptRequest(1, std::chrono::seconds(60));
    };
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads[table.find("engine-0")->hash] = Load{7, 7 * PromptMemory, 0};
    table.peers().apply("other", report, at(0ms));
    u64 placedTokens = 7 * PromptMemory;
    while (true) {
        const auto selection = table.choose(patientRequest(), at(0ms));
        if (selection.reason != SelectionFailure::None) {
            CHECK((selection.reason == SelectionFailure::NoRoom));
            break;
        }
        table.noteSent(selection.id, RequestCost{PromptMemory, 0}, at(0ms));
        placedTokens += PromptMemory;
    }
    CHECK(placedTokens <= EngineMemory);
    CHECK(placedTokens + PromptMemory > EngineMemory);

    auto idle = makeTable(1);
    auto huge = patientRequest();
    huge.memory = EngineMemory + 1;
    CHECK((idle.choose(huge, at(0ms)).reason == SelectionFailure::None));
}

// Prompts with a common prefix store it only once in an engine's memory, so an engine that holds the prefix has room for more of them
// than the sum of their sizes suggests. If they were refused, they would be retried and refused again.
TEST_CASE("parts of a prompt that an engine already holds take no further memory there")
{
    constexpr u64 Shared = 9'000;
    auto table = makeTable(1);
    u32 placed = 0;
    for (; placed < 100; ++placed) {
        auto request = promptRequest(1, std::chrono::seconds(60));
        request.residentTokens = [placed](const Endpoint &) {
            return placed == 0 ? 0 : Shared;
        };
        const auto selection = table.choose(request, at(0ms));
        if (selection.reason != SelectionFailure::None) {
            break;
        }
        table.noteSent(selection.id, selection.cost, at(0ms));
    }
    CHECK(placed == 1 + (EngineMemory - PromptMemory) / (PromptMemory - Shared));
}

// An engine stops responding while it is still registered, and each of twenty gateways in turn sends it a prompt and waits in vain. Reports
// of two gateways must be enough for all that do not hear from the engine themselves.
TEST_CASE("an endpoint that two other entries report as unresponsive gets no requests, unless this entry hears from it")
{
    auto table = makeTable(2);
    const auto silentHash = table.find("engine-0")->hash;
    table.noteHeard("engine-0", at(0ms));
    table.noteHeard("engine-1", at(0ms));
    const auto sendReport = [&](const std::string &peer) {
        PeerLoads::Report report;
        report.bootId = 1;
        report.sequence = 1;
        report.unresponsive.insert(silentHash);
        return table.applyReport(peer, report, at(2s));
    };
    const auto isChosen = [&](const std::string &id, TimePoint now) {
        for (u64 home = 0; home < 50; ++home) {
            if (table.choose(promptRequest(home), now).id == id) {
                return true;
            }
        }
        return false;
    };
    CHECK(sendReport("one").empty());
    CHECK(isChosen("engine-0", at(2s)));
    CHECK(sendReport("two") == std::vector<std::string>{"engine-0"});
    CHECK_FALSE(isChosen("engine-0", at(2s)));
    CHECK(isChosen("engine-1", at(2s)));
    table.noteHeard("engine-0", at(2s));
    CHECK(isChosen("engine-0", at(2100ms)));
    table.noteSent("engine-1", RequestCost{}, at(2s));
    CHECK(table.unresponsive(at(2500ms)).empty());
    CHECK(table.unresponsive(at(3s)) == std::vector<u64>{table.find("engine-1")->hash});
}

// A prompt that fetches its parts from an engine that stopped responding is delayed by some hundred milliseconds.
TEST_CASE("parts are fetched from healthy engines, preferably of the same zone")
{
    auto table = makeTable(5);
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

// Several entries send bursts of prompts to the same engines. Each alone could fill an engine, and all together would overload it several
// times over. Reported load must count like the entry's own, and must expire when the reports stop.
TEST_CASE("load reported by other entries counts until their reports expire")
{
    auto table = makeTable(1);
    const u64 hash = table.find("engine-0")->hash;
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads[hash] = Load{4, 40'000, 48'000};
    table.peers().apply("entry-2", report, at(0ms));
    CHECK((table.choose(promptRequest(1), at(0ms)).reason == SelectionFailure::TooSlow));
    table.peers().expire(at(1400ms));
    CHECK((table.choose(promptRequest(1), at(1400ms)).reason == SelectionFailure::TooSlow));
    table.peers().expire(at(1600ms));
    CHECK((table.choose(promptRequest(1), at(1600ms)).reason == SelectionFailure::None));
}

TEST_CASE("a report of changes leaves the rest of an entry's load unchanged")
{
    PeerLoads loads(1500ms);
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads = {{7, Load{2, 100, 50}}, {8, Load{1, 10, 10}}};
    report.loading = {7};
    report.unresponsive = {8};
    loads.apply("entry-2", report, at(0ms));
    report.loading.clear();
    report.unresponsive.clear();
    report.sequence = 2;
    report.isSnapshot = false;
    report.loads = {{7, Load{1, 60, 0}}, {9, Load{3, 30, 30}}};
    loads.apply("entry-2", report, at(40ms));
    CHECK((loads.at(7) == Load{1, 60, 0}));
    CHECK((loads.at(8) == Load{1, 10, 10}));
    CHECK((loads.at(9) == Load{3, 30, 30}));
    CHECK(loads.isLoading(7));
    CHECK(loads.unresponsiveReportCount(8) == 1);
    report.sequence = 3;
    report.loads = {{7, Load{}}};
    loads.apply("entry-2", report, at(80ms));
    CHECK(loads.at(7).running == 0);
    // The load of an earlier instance of the entry is discarded.
    report.bootId = 2;
    report.loads = {{9, Load{1, 5, 5}}};
    loads.apply("entry-2", report, at(120ms));
    CHECK(loads.at(8).running == 0);
    CHECK_FALSE(loads.isLoading(7));
    CHECK((loads.at(9) == Load{1, 5, 5}));
    loads.expire(at(1700ms));
    CHECK(loads.at(9).running == 0);
}

TEST_CASE("an out-of-order report of another entry does not replace a newer one, but one of a restarted entry does")
{
    PeerLoads loads(1500ms);
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 5;
    report.loads[7] = Load{2, 100, 100};
    loads.apply("entry-2", report, at(0ms));
    report.sequence = 4;
    report.loads[7] = Load{9, 900, 900};
    loads.apply("entry-2", report, at(1ms));
    CHECK(loads.at(7).running == 2);
    report.bootId = 2;
    report.sequence = 1;
    report.loads[7] = Load{1, 10, 10};
    loads.apply("entry-2", report, at(2ms));
    CHECK(loads.at(7).running == 1);
}

// One engine runs at a quarter of the others' speed while its health checks succeed. If only requests were counted, it would get as many
// as the others, and its callers would wait four times as long.
TEST_CASE("an engine that becomes slow gets fewer requests, and is tried again after some time")
{
    auto table = makeTable(2);
    const auto share = [&table](Duration now) {
        std::map<std::string, u32> chosen;
        for (u64 i = 0; i < 100; ++i) {
            ++chosen[table.choose(promptRequest(i), at(now)).id];
        }
        return chosen["engine-0"];
    };
    CHECK(share(0ms) > 30);
    for (u32 i = 0; i < 20; ++i) {
        Selection selection{"engine-0", SelectionFailure::None, {PromptMemory, PromptPrefill}, 194ms, FirstStartTimeMs};
        table.noteSent("engine-0", selection.cost, at(0ms));
        table.noteFirstEvent("engine-0", selection, 776ms, DelaySample::Use, at(0ms));
        table.noteHeard("engine-0", at(0ms));
        table.noteEnd("engine-0", FirstStartTimeMs, {PromptMemory, 0}, Outcome::Answered, at(0ms));
    }
    CHECK(share(0ms) == 0);
    CHECK(share(60s) > 30);
}

// An engine stops responding with its connections still open, so that only its silence shows it. Callers of streams have a single attempt.
TEST_CASE("an engine that is silent while requests are in progress gets no more until it sends data")
{
    auto table = makeTable(1);
    const auto selection = table.choose(promptRequest(1), at(0ms));
    table.noteSent(selection.id, selection.cost, at(0ms));
    CHECK((table.choose(promptRequest(2), at(600ms)).reason == SelectionFailure::None));
    CHECK((table.choose(promptRequest(2), at(800ms)).reason == SelectionFailure::NoEndpoint));
    table.noteHeard(selection.id, at(900ms));
    CHECK((table.choose(promptRequest(2), at(901ms)).reason == SelectionFailure::None));
}

TEST_CASE("a prompt on older weights tells why no endpoint with the newest weights was selected")
{
    auto table = makeTable(2);
    auto request = promptRequest(1);
    const auto newest = [&] {
        return table.choose(request, at(0ms)).newest;
    };
    CHECK((newest() == NewestWeightsResult::Chosen));
    request.wantedVersion = 2;
    CHECK((newest() == NewestWeightsResult::NoneServes));
    table.noteWeights("engine-0", "m", 2);
    CHECK((newest() == NewestWeightsResult::Chosen));
    const RequestCost cost{PromptMemory, PromptPrefill};
    table.noteSent("engine-0", cost, at(0ms));
    table.noteSent("engine-0", cost, at(0ms));
    CHECK((newest() == NewestWeightsResult::Later));
    request.target = 250ms;
    CHECK((newest() == NewestWeightsResult::TooSlow));
    table.noteSent("engine-0", {EngineMemory, 0}, at(0ms));
    CHECK((newest() == NewestWeightsResult::NoRoom));
}

TEST_CASE("an unreachable endpoint is ejected for longer each time, until an answer resets the duration")
{
    auto table = makeTable(1);
    const auto fail = [&table](Duration now) {
        table.noteSent("engine-0", {}, at(now));
        table.noteEnd("engine-0", FirstStartTimeMs, {}, Outcome::Unreachable, at(now));
    };
    fail(0ms);
    CHECK((table.choose(plainRequest(1), at(400ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainRequest(1), at(600ms)).reason == SelectionFailure::None));
    fail(600ms);
    CHECK((table.choose(plainRequest(1), at(1500ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainRequest(1), at(1700ms)).reason == SelectionFailure::None));
    table.noteSent("engine-0", {}, at(1700ms));
    table.noteEnd("engine-0", FirstStartTimeMs, {}, Outcome::Answered, at(1800ms));
    fail(1800ms);
    CHECK((table.choose(plainRequest(1), at(2400ms)).reason == SelectionFailure::None));
}

TEST_CASE("an endpoint that fails most requests is ejected although it is reachable")
{
    auto table = makeTable(1);
    for (u32 i = 0; i < 8; ++i) {
        table.noteSent("engine-0", {}, at(0ms));
        table.noteEnd("engine-0", FirstStartTimeMs, {}, Outcome::Failed, at(0ms));
    }
    CHECK((table.choose(plainRequest(1), at(100ms)).reason == SelectionFailure::NoEndpoint));
}

TEST_CASE("an endpoint is ejected at once if its answer has no end")
{
    auto table = makeTable(1);
    table.noteSent("engine-0", {}, at(0ms));
    CHECK(table.noteEnd("engine-0", FirstStartTimeMs, {}, Outcome::TooLong, at(0ms)) > Duration::zero());
    CHECK((table.choose(plainRequest(1), at(100ms)).reason == SelectionFailure::NoEndpoint));
}

// Guards against requests that wait, or that are refused without a time, because all endpoints have limits.
TEST_CASE("if all endpoints have limits that are used up, callers are told when to come back, one after the other")
{
    auto table = makeTable(2);
    table.permits().coordinators().setEntries({0}, 400ms);
    for (const auto *id : {"engine-0", "engine-1"}) {
        CHECK(table.permits().limits().noteResponse(table.find(id)->hash, FirstStartTimeMs, 2, at(0ms), at(0ms)));
    }
    const auto first = table.choose(plainRequest(1), at(10ms));
    const auto second = table.choose(plainRequest(2), at(10ms));
    CHECK((first.reason == SelectionFailure::Limited));
    // Together they take four requests a second.
    CHECK(first.retryAfter == 250ms);
    CHECK(second.retryAfter == 500ms);
    CHECK((table.choose(plainRequest(3), at(10ms)).permitNeededFor == std::nullopt));
}

TEST_CASE("a request goes to an endpoint without a limit if those with limits are used up")
{
    auto table = makeTable(2);
    table.permits().coordinators().setEntries({0}, 400ms);
    CHECK(table.permits().limits().noteResponse(table.find("engine-0")->hash, FirstStartTimeMs, 0, at(0ms), at(0ms)));
    for (u64 i = 0; i < 20; ++i) {
        const auto selection = table.choose(plainRequest(i), at(10ms));
        CHECK((selection.reason == SelectionFailure::None));
        CHECK(selection.id == "engine-1");
    }
}

// Guards against prompts that queue for an engine in need because it has their parts in memory.
TEST_CASE("parts in the memory of an engine with a limit draw no prompts there")
{
    auto table = makeTable(2);
    auto request = promptRequest(1);
    request.prefill = [](const Endpoint &endpoint) -> u64 {
        return endpoint.registration.id == "engine-0" ? 10 : 10'000;
    };
    CHECK(table.choose(request, at(0ms)).id == "engine-0");
    table.permits().coordinators().setEntries({0, 1}, 400ms);
    table.permits().coordinators().noteHeard(1, at(0ms));
    CHECK(table.permits().limits().noteResponse(table.find("engine-0")->hash, FirstStartTimeMs, 100, at(0ms), at(0ms)));
    u32 atLimited = 0;
    for (u64 i = 0; i < 100; ++i) {
        request.random = i;
        request.mayAskPermit = true;
        const auto selection = table.choose(request, at(0ms));
        atLimited += selection.id == "engine-0" ? 1 : 0;
    }
    CHECK(atLimited >= 30);
    CHECK(atLimited <= 70);
}

// A cold replica crashes under its usual load. It can take only a few requests per second from all entries together.
TEST_CASE("a cold endpoint gets no more from all entries together than it can take")
{
    const auto names = entryNames(6);
    u32 sum = 0;
    for (const auto &name : names) {
        auto table = makeTable(1);
        table.coldAdmission().setLimit(ColdLimit{1.5, 5});
        table.coldAdmission().setEntries(name, names);
        auto cold = engine(0);
        cold.remainingColdTime = 3s;
        table.setRegistration(cold, at(0ms));
        sum += countAdmitted(table, 0ms);
        CHECK((table.choose(plainRequest(1), at(3100ms)).reason == SelectionFailure::None));
    }
    CHECK(sum >= static_cast<u32>(ColdRequestsPerSecond * 4 / 5));
    CHECK(sum <= static_cast<u32>(ColdRequestsPerSecond * 1.5 + 5));
}

// Guards against an entry that starts, takes itself for the only one, and uses that share for as long as the endpoint is cold.
TEST_CASE("a cold endpoint gets the smaller share as soon as more entries are known")
{
    auto table = makeTable(1);
    auto cold = engine(0);
    cold.remainingColdTime = 3s;
    table.setRegistration(cold, at(0ms));
    table.coldAdmission().setEntries("entry-0", {"entry-0"});
    CHECK((table.choose(plainRequest(1), at(0ms)).reason == SelectionFailure::None));
    table.coldAdmission().setEntries("entry-0", entryNames(6));
    CHECK(countAdmitted(table, 1s) <= 3);
}

// Guards against an entry that starts and uses the whole rate limit of a cold endpoint because it does not know the others yet.
TEST_CASE("a cold endpoint gets no requests before the entries are known, but a warm one does")
{
    auto table = makeTable(1);
    CHECK((table.choose(plainRequest(1), at(0ms)).reason == SelectionFailure::None));
    auto cold = engine(0);
    cold.remainingColdTime = 3s;
    table.setRegistration(cold, at(0ms));
    CHECK((table.choose(plainRequest(1), at(0ms)).reason == SelectionFailure::NoRoom));
    table.coldAdmission().setEntries("entry-0", entryNames(2));
    CHECK((table.choose(plainRequest(1), at(10ms)).reason == SelectionFailure::None));
}

TEST_CASE("an endpoint of a returning zone counts as cold until it is known to be warm")
{
    auto table = makeTable(1);
    table.coldAdmission().setEntries("entry-0", entryNames(6));
    table.setReturningZones({"zone-0"});
    CHECK(countAdmitted(table, 0ms) <= 4);
    table.setReturningZones({});
    CHECK(countAdmitted(table, 1s) == 100);
}

TEST_CASE("an endpoint that restarts under the same id starts without the state of the earlier instance")
{
    auto table = makeTable(1);
    table.noteSent("engine-0", {PromptMemory, 60'000}, at(0ms));
    table.noteWeights("engine-0", "m", 5);
    CHECK((table.choose(promptRequest(1), at(10ms)).reason == SelectionFailure::TooSlow));
    auto restarted = engine(0);
    restarted.startTimeMs = 2;
    table.setRegistration(restarted, at(20ms));
    CHECK((table.choose(promptRequest(1), at(20ms)).reason == SelectionFailure::None));
    CHECK(table.find("engine-0")->registration.weightVersions.at("m") == 1);
}

// Requests to an earlier instance of an engine may end late because their connections went silent. If they were subtracted from the load
// of the new instance, it would appear to have room that it does not have.
TEST_CASE("requests that end at an earlier instance of an endpoint do not affect the new one")
{
    auto table = makeTable(1);
    const auto early = table.choose(promptRequest(1), at(0ms));
    table.noteSent(early.id, early.cost, at(0ms));
    auto restarted = engine(0);
    restarted.startTimeMs = 2;
    table.setRegistration(restarted, at(20ms));
    const auto late = table.choose(promptRequest(2), at(30ms));
    table.noteSent(late.id, late.cost, at(30ms));
    table.noteFirstEvent(early.id, early, 40ms, DelaySample::Use, at(40ms));
    CHECK(table.noteEnd(early.id, early.startTimeMs, {PromptMemory, 0}, Outcome::Unreachable, at(40ms)) == Duration::zero());
    const auto *endpoint = table.find("engine-0");
    CHECK(endpoint->ownLoad.running == 1);
    CHECK(endpoint->ownLoad.memory == PromptMemory);
    CHECK(endpoint->ownLoad.pending == PromptPrefill);
    CHECK(endpoint->sampleCount == 0);
    static_cast<void>(table.noteEnd(late.id, late.startTimeMs, {PromptMemory, PromptPrefill}, Outcome::Answered, at(50ms)));
    CHECK(endpoint->ownLoad.running == 0);
}

TEST_CASE("a registration that lags behind an answer does not lower the weight version")
{
    auto table = makeTable(1);
    table.noteWeights("engine-0", "m", 3);
    table.setRegistration(engine(0), at(0ms));
    CHECK(table.find("engine-0")->registration.weightVersions.at("m") == 3);
}

TEST_CASE("engines with older weights come second, and those with expired weights or loading weights get no requests")
{
    auto table = makeTable(2);
    table.noteWeights("engine-1", "m", 2);
    auto request = promptRequest(1);
    request.wantedVersion = 2;
    CHECK(table.choose(request, at(0ms)).id == "engine-1");
    request.tried = {"engine-1"};
    CHECK(table.choose(request, at(0ms)).id == "engine-0");
    request.expiry = [](u64 version) {
        return version < 2 ? std::optional(at(0ms)) : std::nullopt;
    };
    CHECK((table.choose(request, at(0ms)).reason == SelectionFailure::NoEndpoint));
    request.tried.clear();
    table.setLoading({table.find("engine-1")->hash});
    CHECK((table.choose(request, at(0ms)).reason == SelectionFailure::NoEndpoint));
}

// Guards against a prompt that is sent before an engine's weights expire and starts after that, because it waits inside the engine.
TEST_CASE("an engine whose weights expire soon gets only prompts that can start before, also behind queued ones")
{
    auto table = makeTable(1);
    auto request = promptRequest(1);
    request.wantedVersion = 2;
    request.target = 5s;
    request.expiry = [](u64) {
        return std::optional(at(12s));
    };
    CHECK(table.choose(request, at(11000ms)).id == "engine-0");
    CHECK((table.choose(request, at(11600ms)).reason == SelectionFailure::NoRoom));
    // The engine has to process 60,000 tokens first.
    table.noteSent("engine-0", RequestCost{60000, 60000}, at(10s));
    table.noteHeard("engine-0", at(10500ms));
    CHECK(table.choose(request, at(10s)).id == "engine-0");
    CHECK((table.choose(request, at(10600ms)).reason == SelectionFailure::NoRoom));
}

TEST_CASE("endpoints that are draining, removed or in an evacuated zone get no requests")
{
    auto table = makeTable(3);
    auto draining = engine(0);
    draining.isDraining = true;
    table.setRegistration(draining, at(0ms));
    table.remove("engine-2", at(0ms));
    for (u64 i = 0; i < 20; ++i) {
        CHECK(table.choose(plainRequest(i), at(0ms)).id == "engine-1");
    }
    table.setEvacuatedZones({"zone-1"});
    CHECK((table.choose(plainRequest(1), at(0ms)).reason == SelectionFailure::NoEndpoint));
}

TEST_CASE("an endpoint that declined a request is skipped for a short time")
{
    auto table = makeTable(1);
    table.noteSent("engine-0", {}, at(0ms));
    table.noteEnd("engine-0", FirstStartTimeMs, {}, Outcome::Declined, at(0ms));
    CHECK((table.choose(plainRequest(1), at(200ms)).reason == SelectionFailure::NoEndpoint));
    CHECK((table.choose(plainRequest(1), at(260ms)).reason == SelectionFailure::None));
}

// Guards against sending the rest of a stream to an endpoint with other software than the one that began it, the best of all as it may be.
TEST_CASE("a request that needs certain software goes to an endpoint that has it, or to none")
{
    auto table = makeTable(3);
    auto updated = engine(0);
    updated.softwareVersion = "v2";
    table.setRegistration(updated, at(0ms));
    const u64 oldSoftware = table.find("engine-1")->software;
    const u64 newSoftware = table.find("engine-0")->software;
    REQUIRE(oldSoftware != newSoftware);
    CHECK(table.find("engine-2")->software == oldSoftware);
    for (u64 i = 0; i < 20; ++i) {
        auto request = plainRequest(i);
        request.software = newSoftware;
        CHECK(table.choose(request, at(0ms)).id == "engine-0");
        request.software = oldSoftware;
        CHECK(table.choose(request, at(0ms)).id != "engine-0");
    }
    table.remove("engine-0", at(1s));
    auto request = plainRequest(1);
    request.software = newSoftware;
    CHECK((table.choose(request, at(1s)).reason == SelectionFailure::NoEndpoint));
    CHECK(table.softwareHistory().sole(request.service, at(1s)) == std::nullopt);
    CHECK(table.softwareHistory().sole(request.service, at(2s)) == oldSoftware);
}
