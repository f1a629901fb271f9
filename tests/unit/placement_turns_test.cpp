#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/endpoints/placement_turns.hpp>
#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>

using namespace burdock;
using namespace burdock::endpoints;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr Duration Tolerance = 30ms;
constexpr Duration Target = 300ms;
constexpr Duration PrefillTime = 40ms;
constexpr double PromptsPerSecondAndEntry = 13;

Duration reportPeriod(u32 entries)
{
    return std::max<Duration>(40ms, 1500us * static_cast<i64>(entries - 1));
}

// An entry that has received prompts at its usual rate for some seconds.
PlacementTurns makeTurns(u32 number, u32 entries, TimePoint until)
{
    PlacementTurns turns(hash::hash64("entry-" + std::to_string(number)));
    turns.setEntries(entries, reportPeriod(entries));
    const auto pause = Duration(static_cast<i64>(1e6 / PromptsPerSecondAndEntry));
    for (auto time = until - 10s; time < until; time += pause) {
        turns.noteArrival(PrefillTime, time);
    }
    return turns;
}

EngineRoom idleEngine(u64 number)
{
    return {hash::hash64(std::to_string(number)), 50ms, 12, Target - 50ms};
}

EngineRoom busyEngine(u64 number)
{
    return {hash::hash64(std::to_string(number)), 170ms, 4, Target - 170ms};
}

Registration engine(u32 number)
{
    Registration registration;
    registration.id = "engine-" + std::to_string(number);
    registration.service = "engines";
    registration.slots = 12;
    return registration;
}

SelectionRequest promptRequest(u64 random)
{
    SelectionRequest request;
    request.service = "engines";
    request.affinityHash = hash::hash64(std::to_string(random));
    request.memory = 1;
    request.prefill = [](const Endpoint &) {
        return u64{2000};
    };
    request.target = Target;
    return request;
}

} // namespace

// Guards against engines that have just loaded weights and get the next prompts of all entries at once, as all know them to be idle.
TEST_CASE("an engine that is known to be idle gets no more between two reports than it can begin")
{
    constexpr u64 Idle = 4;
    for (const u32 entries : {68U, 300U, 1000U}) {
        CAPTURE(entries);
        const u64 engines = entries * 117 / 68;
        std::vector<EngineRoom> rooms;
        for (u64 i = 0; i < engines; ++i) {
            rooms.push_back(i < Idle ? idleEngine(i) : busyEngine(i));
        }
        std::map<u64, double> arrivals;
        for (u32 i = 0; i < entries; ++i) {
            const auto turns = makeTurns(i, entries, Start);
            const auto open = turns.openEngines(rooms, Tolerance, Start);
            // Each entry prefers the first idle engine that is open to it; its prompts arrive until the next report.
            const auto chosen
                = std::find_if(rooms.begin(), rooms.begin() + Idle, [&](const EngineRoom &room) { return open.count(room.engine) > 0; });
            if (chosen != rooms.begin() + Idle) {
                arrivals[chosen->engine] += PromptsPerSecondAndEntry * toMilliseconds(reportPeriod(entries)) / 1000;
            }
        }
        for (const auto &[id, prompts] : arrivals) {
            CHECK(prompts <= 12);
        }
    }
}

TEST_CASE("while most engines are about as fast, or entries are few, each engine is open to all entries")
{
    std::vector<EngineRoom> equal;
    for (u64 i = 0; i < 117; ++i) {
        equal.push_back(idleEngine(i));
    }
    for (u32 i = 0; i < 68; ++i) {
        CHECK(makeTurns(i, 68, Start).openEngines(equal, Tolerance, Start).size() == equal.size());
    }
    std::vector<EngineRoom> few{idleEngine(0)};
    for (u64 i = 1; i < 9; ++i) {
        few.push_back(busyEngine(i));
    }
    for (u32 i = 0; i < 4; ++i) {
        CHECK(makeTurns(i, 4, Start).openEngines(few, Tolerance, Start).size() == few.size());
    }
}

// Guards against prompts that are refused because all engines with room happen to be closed to an entry.
TEST_CASE("a prompt for which all engines are closed goes to one of them")
{
    EndpointTable table(Policy{}, 1);
    table.turns().setEntries(1000, reportPeriod(1000));
    table.setRegistration(engine(0), Start);
    for (u32 i = 0; i < 100; ++i) {
        const auto now = Start + i * 77ms;
        const auto selection = table.choose(promptRequest(i), now);
        CHECK((selection.reason == SelectionFailure::None));
    }
}

// Guards against prompts that wait for a slot where their parts are, while engines with free slots stand idle.
TEST_CASE("a prompt prefers an engine with a free slot, and is refused where the wait for a slot exceeds its target")
{
    EndpointTable table(Policy{});
    table.setRegistration(engine(0), Start);
    table.setRegistration(engine(1), Start);
    for (u32 i = 0; i < 200; ++i) {
        table.noteRunTime("engines", 1200ms);
    }
    const auto fill = [&table](const std::string &id, u32 count) {
        for (u32 i = 0; i < count; ++i) {
            table.noteSent(id, {1, 0}, Start);
            table.noteHeard(id, Start);
        }
    };
    fill("engine-0", 12);
    for (u64 i = 0; i < 50; ++i) {
        auto request = promptRequest(i);
        request.prefill = [](const Endpoint &endpoint) {
            return endpoint.registration.id == "engine-0" ? u64{100} : u64{5000};
        };
        CHECK(table.choose(request, Start).id == "engine-1");
    }
    fill("engine-1", 12);
    // One of twelve prompts ends each 100 ms.
    const auto selection = table.choose(promptRequest(1), Start);
    REQUIRE((selection.reason == SelectionFailure::None));
    CHECK(selection.expectedDelay >= 150ms);
    CHECK(selection.expectedDelay <= 200ms);
    fill("engine-0", 3);
    fill("engine-1", 3);
    CHECK((table.choose(promptRequest(1), Start).reason == SelectionFailure::TooSlow));
}
