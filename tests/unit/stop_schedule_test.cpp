#include <burdock/admission/answer_times.hpp>
#include <burdock/admission/stop_schedule.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace burdock::admission;

namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

} // namespace

// Guards against a grace period so short that requests are taken up to its end and cut.
TEST_CASE("requests are taken for a part of the grace period, however short it is")
{
    for (const Duration grace : {1s, 2s, 3s, 6s, 8s, 30s, 300s}) {
        CAPTURE(grace.count());
        const StopSchedule schedule(Start, grace);
        CHECK(schedule.mayTake(Start, 0s));
        CHECK(schedule.takeUntil() <= Start + 2800ms);
        CHECK(schedule.takeUntil() - Start <= grace * 35 / 100);
        CHECK(schedule.cutAt() > schedule.takeUntil());
        CHECK(schedule.cutAt() < Start + grace);
        CHECK_FALSE(schedule.mayTake(schedule.takeUntil() + 1ms, 0s));
    }
    CHECK(StopSchedule(Start, 8s).takeUntil() == Start + 2800ms);
}

TEST_CASE("a request that usually doesn't end within the rest of the grace period is not taken")
{
    const StopSchedule schedule(Start, 8s);
    CHECK(schedule.mayTake(Start + 1s, 6s));
    CHECK_FALSE(schedule.mayTake(Start + 1s, 7s));
    CHECK_FALSE(schedule.mayTake(Start + 2s, 6s));
}

TEST_CASE("the usual time of requests covers most of them, and follows changes")
{
    AnswerTimes times;
    CHECK(times.usual("read") == 0s);
    for (u32 i = 0; i < 100; ++i) {
        times.note("read", i % 4 == 0 ? 300ms : 100ms);
        times.note("order", 2s);
    }
    CHECK(times.usual("read") >= 300ms);
    CHECK(times.usual("read") < 500ms);
    CHECK(times.usual("order") == 2s);
    for (u32 i = 0; i < 50; ++i) {
        times.note("order", 100ms);
    }
    CHECK(times.usual("order") < 200ms);
    times.keepOnly([](std::string_view kind) { return kind == "read"; });
    CHECK(times.usual("order") == 0s);
    CHECK(times.usual("read") > 0s);
}
