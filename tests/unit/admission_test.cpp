#include <burdock/admission/admission_controller.hpp>
#include <burdock/run/idle_detector.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace burdock::admission;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

AdmissionRequest requestFrom(const std::string &customer, Ticket ticket, double cost = 1)
{
    AdmissionRequest request;
    request.ticket = ticket;
    request.customer = customer;
    request.cost = cost;
    request.deadline = Start + std::chrono::minutes(10);
    return request;
}

AdmissionController controllerWith(u32 cold, u32 warm, u32 queue)
{
    AdmissionPolicy policy;
    policy.warmUp = {cold, warm, true};
    policy.queueLimit = queue;
    return AdmissionController(policy);
}

constexpr FinishedRun Success{RunOutcome::Success, std::chrono::milliseconds(100), false};
constexpr FinishedRun Abandoned{RunOutcome::Abandoned, std::chrono::milliseconds(100), false, {}, 0, true};
constexpr FinishedRun Restarted{RunOutcome::EndpointRestarted, std::chrono::milliseconds(100), false};

} // namespace

TEST_CASE("the limit doubles after each successful round and falls back at a restart")
{
    WarmUpLimit limit({2, 10, true});
    CHECK(limit.limit() == 2);
    for (u32 i = 0; i < 2; ++i) {
        limit.noteSuccess();
    }
    CHECK(limit.limit() == 4);
    for (u32 i = 0; i < 4 + 8; ++i) {
        limit.noteSuccess();
    }
    CHECK(limit.limit() == 10);
    CHECK_FALSE(limit.isCold());
    limit.noteRestart();
    CHECK(limit.limit() == 2);
}

// The limits before the first configuration are equal (1 and 1), which must not count as a warm endpoint. Otherwise the first
// configuration would admit the full load to a cold engine.
TEST_CASE("the first policy does not make an endpoint warm")
{
    WarmUpLimit limit({1, 1, true});
    limit.setPolicy({4, 64, true});
    CHECK(limit.limit() == 4);
}

TEST_CASE("a raised limit leaves a warm endpoint warm")
{
    WarmUpLimit limit({1, 2, true});
    limit.noteSuccess();
    REQUIRE(limit.limit() == 2);
    limit.setPolicy({1, 8, true});
    CHECK(limit.limit() == 8);
}

TEST_CASE("requests over the limit are queued and start when a slot is free")
{
    auto controller = controllerWith(1, 1, 2);
    CHECK(controller.request(requestFrom("a", 1), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.request(requestFrom("a", 2), Start).status == AdmissionStatus::Queued);
    CHECK(controller.request(requestFrom("a", 3), Start).status == AdmissionStatus::Queued);
    const auto refused = controller.request(requestFrom("a", 4), Start);
    CHECK(refused.status == AdmissionStatus::Refused);
    CHECK(refused.refusal.reason == RefusalReason::Overloaded);
    CHECK(refused.refusal.retryAfter > Duration::zero());
    CHECK(controller.finishRun(Success, Start).admitted == std::vector<Ticket>{2});
}

TEST_CASE("a request that cannot meet its deadline is refused immediately")
{
    auto controller = controllerWith(1, 1, 100);
    CHECK(controller.request(requestFrom("a", 1), Start).status == AdmissionStatus::Admitted);
    static_cast<void>(controller.finishRun(Success, Start)); // sets the mean service time to 100 ms
    CHECK(controller.request(requestFrom("a", 2), Start).status == AdmissionStatus::Admitted);
    auto hurried = requestFrom("a", 3);
    hurried.deadline = Start + std::chrono::milliseconds(50);
    CHECK(controller.request(hurried, Start).refusal.reason == RefusalReason::DeadlineTooShort);
}

TEST_CASE("a customer with few requests passes the backlog of a large one and displaces its requests in a full queue")
{
    auto controller = controllerWith(1, 1, 4);
    Ticket next = 1;
    for (u32 i = 0; i < 5; ++i) {
        static_cast<void>(controller.request(requestFrom("large", next++, 10), Start));
    }
    const auto small = controller.request(requestFrom("small", 100), Start);
    CHECK(small.status == AdmissionStatus::Queued);
    CHECK(small.evicted == std::optional<Ticket>(5));
    CHECK(controller.finishRun(Success, Start).admitted == std::vector<Ticket>{2});
    CHECK(controller.finishRun(Success, Start).admitted == std::vector<Ticket>{100});
}

TEST_CASE("service is shared by cost, not by number of requests")
{
    FairQueue queue;
    for (Ticket i = 0; i < 30; ++i) {
        queue.push(requestFrom("long", 100 + i, 10));
        queue.push(requestFrom("short", 200 + i, 1));
    }
    u32 shortServed = 0;
    for (u32 i = 0; i < 22; ++i) {
        shortServed += queue.pop()->customer == "short" ? 1 : 0;
    }
    CHECK(shortServed == 20);
}

TEST_CASE("requests with higher priority are served first")
{
    FairQueue queue;
    queue.push(requestFrom("a", 1));
    auto urgent = requestFrom("b", 2);
    urgent.priority = 5;
    queue.push(urgent);
    CHECK(queue.pop()->ticket == 2);
}

// Two requests were running when an engine crashed, and one of them is the cause. If both ran concurrently again, the innocent one would
// also be running at the second crash and would be quarantined too.
TEST_CASE("two suspects never run concurrently, while other requests continue")
{
    auto controller = controllerWith(4, 4, 10);
    auto first = requestFrom("a", 1);
    first.isSuspect = true;
    auto second = requestFrom("a", 2);
    second.isSuspect = true;
    CHECK(controller.request(first, Start).status == AdmissionStatus::Admitted);
    CHECK(controller.request(second, Start).status == AdmissionStatus::Queued);
    CHECK(controller.request(requestFrom("a", 3), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.finishRun(Success, Start).admitted.empty());
    CHECK(controller.finishRun({RunOutcome::Success, Duration(1), true}, Start).admitted == std::vector<Ticket>{2});
}

TEST_CASE("after a restart queued requests start only up to the cold limit")
{
    auto controller = controllerWith(1, 8, 100);
    Ticket next = 1;
    u32 running = 0;
    const auto count = [&running](const AdmissionChanges &changes) {
        running += static_cast<u32>(changes.admitted.size());
    };
    for (u32 round = 0; round < 40; ++round) {
        running += controller.request(requestFrom("a", next++), Start).status == AdmissionStatus::Admitted ? 1 : 0;
        running += controller.request(requestFrom("a", next++), Start).status == AdmissionStatus::Admitted ? 1 : 0;
        if (running > 0) {
            --running;
            count(controller.finishRun(Success, Start));
        }
    }
    REQUIRE(controller.limit() == 8);
    REQUIRE(controller.running() == 8);
    for (u32 i = 0; i < 8; ++i) {
        const auto changes = controller.finishRun(Restarted, Start);
        CHECK(controller.running() <= std::max<u32>(1, 7 - i));
        static_cast<void>(changes);
    }
    CHECK(controller.limit() == 1);
}

// Guards against a process that stops with work in progress, because a single idle sample was counted more than once.
TEST_CASE("a planned stop ends only after consecutive idle samples")
{
    run::IdleDetector idleDetector(3);
    CHECK_FALSE(idleDetector.addSample(false));
    CHECK_FALSE(idleDetector.addSample(false));
    CHECK_FALSE(idleDetector.addSample(true));
    CHECK_FALSE(idleDetector.addSample(false));
    CHECK_FALSE(idleDetector.addSample(false));
    CHECK(idleDetector.addSample(false));
}

// Guards against an engine that crashes again because runs were admitted between the first sign of its restart and the confirmation.
TEST_CASE("nothing starts while a restart is unconfirmed, and afterwards only up to the cold limit")
{
    auto controller = controllerWith(2, 8, 10);
    for (u32 i = 0; i < 2; ++i) {
        CHECK(controller.request(requestFrom("a", i), Start).status == AdmissionStatus::Admitted);
        static_cast<void>(controller.finishRun(Success, Start));
    }
    REQUIRE(controller.limit() == 4);
    CHECK(controller.request(requestFrom("a", 10), Start).status == AdmissionStatus::Admitted);
    controller.hold();
    controller.hold();
    CHECK(controller.request(requestFrom("a", 11), Start).status == AdmissionStatus::Queued);
    CHECK(controller.request(requestFrom("a", 12), Start).status == AdmissionStatus::Queued);
    CHECK(controller.finishRun(Restarted, Start).admitted.empty());
    CHECK(controller.request(requestFrom("a", 13), Start).status == AdmissionStatus::Queued);
    CHECK(controller.release(Start).admitted.empty());
    CHECK(controller.release(Start).admitted.size() == 2);
    CHECK(controller.queued() == 1);
}

// Guards against an engine that crashes again right after a crash, because successes from before the crash are reported after it.
TEST_CASE("runs that started before a restart do not warm up an endpoint")
{
    auto controller = controllerWith(3, 24, 100);
    const TimePoint restart = Start + std::chrono::seconds(1);
    for (Ticket ticket = 1; ticket <= 12; ++ticket) {
        static_cast<void>(controller.request(requestFrom("a", ticket), Start));
    }
    controller.noteRestart(restart);
    FinishedRun run = Success;
    run.startedAt = Start;
    for (u32 i = 0; i < 12; ++i) {
        static_cast<void>(controller.finishRun(run, restart + std::chrono::milliseconds(1)));
        CHECK(controller.limit() == 3);
    }
    run.startedAt = restart + std::chrono::milliseconds(1);
    for (u32 i = 0; i < 3; ++i) {
        static_cast<void>(controller.finishRun(run, restart + std::chrono::milliseconds(2)));
    }
    CHECK(controller.limit() == 6);
}

TEST_CASE("runs that started before a restart do not warm up an endpoint if a failed run revealed the restart")
{
    auto controller = controllerWith(3, 24, 100);
    const TimePoint restart = Start + std::chrono::seconds(1);
    FinishedRun run = Success;
    run.startedAt = Start;
    static_cast<void>(controller.finishRun(Restarted, restart));
    for (u32 i = 0; i < 12; ++i) {
        static_cast<void>(controller.finishRun(run, restart + std::chrono::milliseconds(1)));
    }
    CHECK(controller.limit() == 3);
}

// Guards against a cold engine that gets the runs which were admitted under the warm limit but had not been sent at its restart.
TEST_CASE("a run admitted before a restart may not start after it, whichever sign showed the restart")
{
    auto controller = controllerWith(2, 8, 10);
    CHECK_FALSE(controller.noteBootId("first", Start));
    const Epoch admittedIn = controller.epoch();
    CHECK(controller.mayStart(admittedIn, "first"));
    CHECK_FALSE(controller.mayStart(admittedIn, "second"));
    SUBCASE("a boot id")
    {
        CHECK(controller.noteBootId("second", Start));
        CHECK_FALSE(controller.mayStart(admittedIn, "second"));
        CHECK(controller.mayStart(controller.epoch(), "second"));
    }
    SUBCASE("a broken run")
    {
        static_cast<void>(controller.finishRun(Restarted, Start));
    }
    SUBCASE("an unreachable endpoint")
    {
        controller.noteRestart(Start);
    }
    CHECK_FALSE(controller.mayStart(admittedIn, "first"));
}

// Guards against runs that count twice, or not at all, while they wait to be admitted again.
TEST_CASE("a run that has to be admitted again gives back its slot and waits for the cold limit")
{
    auto controller = controllerWith(1, 8, 10);
    static_cast<void>(controller.noteBootId("first", Start));
    CHECK(controller.request(requestFrom("a", 1), Start).status == AdmissionStatus::Admitted);
    static_cast<void>(controller.finishRun(Success, Start));
    REQUIRE(controller.limit() == 2);
    CHECK(controller.request(requestFrom("a", 2), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.request(requestFrom("a", 3), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.noteBootId("second", Start));
    constexpr FinishedRun NotStarted{RunOutcome::NotStarted, Duration::zero(), false};
    CHECK(controller.finishRun(NotStarted, Start).admitted.empty());
    CHECK(controller.request(requestFrom("a", 4), Start).status == AdmissionStatus::Queued);
    CHECK(controller.finishRun(NotStarted, Start).admitted == std::vector<Ticket>{4});
    CHECK(controller.request(requestFrom("a", 5), Start).status == AdmissionStatus::Queued);
    CHECK(controller.limit() == 1);
    CHECK(controller.running() == 1);
}

// Guards against overload by runs that take the slots of runs which were given up while their endpoint still works on these.
TEST_CASE("the slot of an abandoned run is free only once its endpoint reports fewer runs")
{
    auto controller = controllerWith(2, 2, 10);
    CHECK(controller.request(requestFrom("a", 1), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.request(requestFrom("a", 2), Start).status == AdmissionStatus::Admitted);
    CHECK(controller.request(requestFrom("a", 3), Start).status == AdmissionStatus::Queued);
    controller.noteBegun(controller.epoch());
    controller.noteBegun(controller.epoch());
    const auto early = controller.runningQuery();
    CHECK(controller.finishRun(Abandoned, Start).admitted.empty());
    CHECK(controller.running() == 2);

    SUBCASE("a report that was asked for before the run was given up frees nothing")
    {
        CHECK(controller.noteReportedRunning(early, 0, Start).admitted.empty());
    }
    SUBCASE("the other run is not mistaken for it")
    {
        CHECK(controller.noteReportedRunning(controller.runningQuery(), 2, Start).admitted.empty());
        const auto admitted = controller.noteReportedRunning(controller.runningQuery(), 1, Start).admitted;
        CHECK(admitted == std::vector<Ticket>{3});
    }
    SUBCASE("a run that ended between question and report is not taken off the report")
    {
        const auto query = controller.runningQuery();
        auto ended = Success;
        ended.hasBegun = true;
        CHECK(controller.finishRun(ended, Start).admitted.size() == 1);
        CHECK(controller.noteReportedRunning(query, 1, Start).admitted.empty());
        CHECK(controller.running() == 2);
        static_cast<void>(controller.noteReportedRunning(controller.runningQuery(), 0, Start));
        CHECK(controller.running() == 1);
    }
    SUBCASE("a restart ends it")
    {
        static_cast<void>(controller.noteBootId("first", Start));
        CHECK(controller.running() == 2);
        CHECK(controller.noteBootId("second", Start));
        CHECK(controller.running() == 1);
    }
    SUBCASE("an endpoint that reports runs of others doesn't hold it for ever")
    {
        CHECK(controller.noteReportedRunning(controller.runningQuery(), 9, Start + std::chrono::minutes(2)).admitted.size() == 1);
    }
}
