#include <burdock/rollout/evidence_collector.hpp>
#include <burdock/rollout/rollout_verdict.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <limits>
#include <optional>
#include <random>
#include <vector>

using namespace burdock;
using namespace burdock::rollout;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr Duration Step = 100ms;
constexpr double TargetShare = 0.09;

/** @brief What goes on at one time on one route at one side. */
struct Conditions
{
    double failing = 0.01;
    double slowdown = 1;
};

/** @brief A roll-out to replay. */
struct Replay
{
    u32 gateways = 4;
    u32 replicas = 4; ///< of the target
    u32 routes = 3; ///< the last one has the least traffic
    double requestsPerSecond = 300;
    Duration time = 20s;
    double spread = 0.3; ///< of the logarithm of an answer's time
    Duration usualTime = 100ms;
    std::function<Conditions(Duration, u32, Side)> conditions = [](Duration, u32, Side) {
        return Conditions{};
    };
    std::optional<Duration> crashAt; ///< of a replica of the target, with all requests under way there
};

struct Outcome
{
    std::optional<Duration> badAfter;
    Finding finding;
    Judgement atEnd = Judgement::Undecided;
    u64 badAnswers = 0; ///< until the verdict
};

u32 drawRoute(const Replay &replay, std::mt19937 &random)
{
    // Each route has a third of what is left, so that the last ones carry little.
    for (u32 route = 0; route + 1 < replay.routes; ++route) {
        if (random() % 3 != 0) {
            return route;
        }
    }
    return replay.routes - 1;
}

Observation drawRequest(const Replay &replay, std::mt19937 &random, Duration time, u64 &badAnswers)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> noise(0, replay.spread);
    Observation observation;
    const u32 route = drawRoute(replay, random);
    observation.route = route + 1;
    observation.side = uniform(random) < TargetShare ? Side::Target : Side::Others;
    observation.replica = observation.side == Side::Target ? 1 + random() % replay.replicas : 1000 + random() % 50;
    observation.sentAt = Start + time;
    const auto conditions = replay.conditions(time, route, observation.side);
    observation.end = uniform(random) < conditions.failing ? End::Failed : End::Answered;
    observation.firstEvent = fromMilliseconds(toMilliseconds(replay.usualTime) * conditions.slowdown * noise(random));
    if (observation.side == Side::Target && (observation.end == End::Failed || conditions.slowdown > 1.4)) {
        ++badAnswers;
    }
    return observation;
}

Outcome play(const Replay &replay, u32 seed)
{
    std::mt19937 random(seed);
    std::vector<EvidenceCollector> collectors(replay.gateways);
    EvidenceTotals totals;
    RolloutVerdict verdict;
    Outcome outcome;
    for (Duration time{}; time < replay.time; time += Step) {
        const bool isCrash = replay.crashAt && time >= *replay.crashAt && time < *replay.crashAt + Step;
        for (int i = 0; isCrash && i < 30; ++i) {
            Observation lost{1 + random() % replay.routes, Side::Target, 1, End::Lost, false, {}, {}, Start + time - 1s};
            collectors.at(random() % replay.gateways).note(lost, Start + time);
        }
        const auto requests = std::poisson_distribution<u32>(replay.requestsPerSecond * toMilliseconds(Step) / 1000.0)(random);
        for (u32 i = 0; i < requests; ++i) {
            auto observation = drawRequest(replay, random, time, outcome.badAnswers);
            if (replay.crashAt && time >= *replay.crashAt && observation.replica == 1) {
                observation.replica = 2;
            }
            collectors.at(random() % replay.gateways).note(observation, Start + time);
        }
        for (u32 i = 0; i < replay.gateways; ++i) {
            REQUIRE(totals.take(std::to_string(i), 1, collectors.at(i).evidence()));
        }
        if (verdict.update(totals.totals(), Start + time) == Judgement::Bad) {
            outcome.badAfter = time;
            break;
        }
    }
    outcome.finding = verdict.finding();
    outcome.atEnd = verdict.conclude();
    return outcome;
}

u32 countReverted(const Replay &replay, u32 seeds)
{
    u32 reverted = 0;
    for (u32 seed = 0; seed < seeds; ++seed) {
        reverted += play(replay, seed).badAfter ? 1 : 0;
    }
    return reverted;
}

Replay replayWith(const std::function<Conditions(Duration, u32, Side)> &conditions)
{
    Replay replay;
    replay.conditions = conditions;
    return replay;
}

VersionCounts counts(u64 answers, u64 failures)
{
    return {answers, failures, 0, 0, {}};
}

} // namespace

// Guards against sound versions that are reverted for what happens to any version.
TEST_CASE("a sound version is found good")
{
    Replay replay;
    CHECK(countReverted(replay, 60) == 0);
    CHECK((play(replay, 1).atEnd == Judgement::Good));
}

// Guards against a baseline that lags behind: the beginning of trouble that all versions have is taken for the target's fault.
TEST_CASE("trouble that both versions have at once isn't held against the target")
{
    const auto replay = replayWith([](Duration time, u32, Side) {
        const bool isTrouble = (time >= 5s && time < 7s) || (time >= 11s && time < 12s);
        return Conditions{isTrouble ? 0.4 : 0.01, isTrouble ? 3.0 : 1.0};
    });
    CHECK(countReverted(replay, 60) == 0);
}

// Guards against the requests under way at one replica that are taken for as many faults of its version.
TEST_CASE("a crash of one replica isn't held against the target")
{
    for (const u32 gateways : {1U, 4U, 29U}) {
        CAPTURE(gateways);
        Replay replay;
        replay.gateways = gateways;
        replay.crashAt = 6s;
        CHECK(countReverted(replay, 20) == 0);
    }
}

TEST_CASE("a version that fails from the beginning is found before its fiftieth bad answer")
{
    for (const double failing : {0.2, 0.5, 1.0}) {
        CAPTURE(failing);
        const auto replay = replayWith([failing](Duration, u32, Side side) {
            return Conditions{side == Side::Target ? failing : 0.01, 1};
        });
        for (u32 seed = 0; seed < 20; ++seed) {
            const auto outcome = play(replay, seed);
            REQUIRE(outcome.badAfter.has_value());
            CHECK(outcome.badAnswers < 50);
            CHECK((outcome.finding.fault == Fault::Failures));
        }
    }
}

// Guards against a long good time that outweighs what comes later.
TEST_CASE("a version that turns bad after a long good time is found before its fiftieth bad answer")
{
    auto replay = replayWith([](Duration time, u32, Side side) {
        if (side == Side::Others) {
            return Conditions{0.01, 1};
        }
        return Conditions{time >= 20s ? 0.3 : 0, 1};
    });
    replay.requestsPerSecond = 2000;
    replay.time = 30s;
    for (u32 seed = 0; seed < 5; ++seed) {
        const auto outcome = play(replay, seed);
        REQUIRE(outcome.badAfter.has_value());
        CHECK(*outcome.badAfter >= 20s);
        CHECK(outcome.badAnswers < 50);
    }
}

// Guards against a fault that the other routes' good answers hide.
TEST_CASE("a version that fails on a route with little traffic only is found at its first answers there")
{
    auto replay = replayWith([](Duration, u32 route, Side side) { return Conditions{side == Side::Target && route == 3 ? 1.0 : 0.02, 1}; });
    replay.routes = 4;
    replay.time = 30s;
    for (u32 seed = 0; seed < 20; ++seed) {
        const auto outcome = play(replay, seed);
        REQUIRE(outcome.badAfter.has_value());
        CHECK(outcome.finding.route == 4);
        CHECK(outcome.badAnswers < 40);
    }
}

TEST_CASE("a version that is twice as slow is found")
{
    const auto replay = replayWith([](Duration, u32, Side side) { return Conditions{0.01, side == Side::Target ? 2.0 : 1.0}; });
    for (u32 seed = 0; seed < 20; ++seed) {
        const auto outcome = play(replay, seed);
        REQUIRE(outcome.badAfter.has_value());
        CHECK((outcome.finding.fault == Fault::Slowness));
    }
}

// Guards against replicas that are reverted for a difference that no caller notices.
TEST_CASE("a version whose replicas are a few per cent slower is found good")
{
    const auto replay = replayWith([](Duration, u32, Side side) { return Conditions{0.01, side == Side::Target ? 1.04 : 1.0}; });
    CHECK(countReverted(replay, 40) == 0);
}

// Guards against the same where answers take nearly equal times, so that a small difference shifts most of them beyond the quartile; a
// new connection to a replica that gets few requests makes such a difference.
TEST_CASE("a version that is little slower where all answers take the same time is found good")
{
    for (const auto usualTime : {1ms, 15ms, 100ms}) {
        CAPTURE(usualTime.count());
        auto replay = replayWith([usualTime](Duration, u32, Side side) {
            const double connection = 1.0 / static_cast<double>(usualTime.count());
            return Conditions{0.01, side == Side::Target ? 1.06 + connection : 1.0};
        });
        replay.spread = 0.02;
        replay.usualTime = usualTime;
        CHECK(countReverted(replay, 20) == 0);
    }
}

// Guards against cold engines whose first answers are taken for slowness of the version.
TEST_CASE("times of cold replicas aren't compared")
{
    EvidenceCollector collector;
    Observation observation{1, Side::Others, 7, End::Answered, false, Duration(100ms), {}, Start};
    for (int i = 0; i < 40; ++i) {
        collector.note(observation, Start);
    }
    observation.side = Side::Target;
    observation.firstEvent = 900ms;
    observation.isCold = true;
    collector.note(observation, Start);
    CHECK(collector.evidence().at({1, Side::Target}).answers == 1);
    CHECK(collector.evidence().at({1, Side::Target}).slow == 0);
    observation.isCold = false;
    collector.note(observation, Start);
    CHECK(collector.evidence().at({1, Side::Target}).timed == 1);
    CHECK(collector.evidence().at({1, Side::Target}).slow == 1);
}

TEST_CASE("a version that is slow only between events is slow")
{
    EvidenceCollector collector;
    Observation observation{1, Side::Others, 7, End::Answered, false, Duration(100ms), Duration(20ms), Start};
    for (int i = 0; i < 40; ++i) {
        collector.note(observation, Start);
    }
    observation.side = Side::Target;
    observation.longestPause = 200ms;
    collector.note(observation, Start);
    CHECK(collector.evidence().at({1, Side::Target}).slow == 1);
}

// Guards against a version that breaks off answers and isn't found, as each of its replicas counts as crashed once.
TEST_CASE("lost requests of a replica that lives on count as failures")
{
    EvidenceCollector collector;
    Observation lost{1, Side::Target, 7, End::Lost, false, {}, {}, Start};
    for (int i = 0; i < 5; ++i) {
        collector.note(lost, Start + 100ms);
    }
    const auto cell = std::pair(u64{1}, Side::Target);
    CHECK(collector.evidence().at(cell).failed() == 1);
    Observation answered{1, Side::Target, 7, End::Answered, false, {}, {}, Start + 50ms};
    collector.note(answered, Start + 150ms);
    CHECK(collector.evidence().at(cell).failed() == 1);
    answered.sentAt = Start + 200ms;
    collector.note(answered, Start + 300ms);
    CHECK(collector.evidence().at(cell).failed() == 5);
    CHECK(collector.evidence().at(cell).observed() == 7);
}

// Guards against observations that count again when messages are repeated, relayed or late.
TEST_CASE("each observation counts once whatever is repeated, relayed or late")
{
    EvidenceTotals totals;
    const auto cell = std::pair(u64{1}, Side::Target);
    CHECK(totals.take("a", 1, {{cell, counts(10, 1)}}));
    CHECK(totals.take("a", 1, {{cell, counts(10, 1)}}));
    CHECK(totals.take("a", 1, {{cell, counts(25, 4)}}));
    CHECK(totals.take("a", 1, {{cell, counts(10, 1)}}));
    CHECK(totals.take("b", 1, {{cell, counts(7, 0)}}));
    CHECK((totals.totals().at(cell) == counts(32, 4)));
    // The gateway has started again.
    CHECK(totals.take("a", 2, {{cell, counts(3, 1)}}));
    CHECK(totals.take("a", 1, {{cell, counts(20, 2)}}));
    CHECK((totals.totals().at(cell) == counts(35, 5)));
}

// Guards against a message with senseless numbers that decides about a version.
TEST_CASE("evidence that contradicts itself or is too much is refused")
{
    EvidenceTotals totals;
    const auto cell = std::pair(u64{1}, Side::Target);
    CHECK_FALSE(totals.take("a", 1, {{cell, counts(10, 11)}}));
    CHECK_FALSE(totals.take("a", 1, {{cell, {10, 0, 11, 0, {}}}}));
    CHECK_FALSE(totals.take("a", 1, {{cell, {10, 0, 5, 6, {}}}}));
    CHECK_FALSE(totals.take("a", 1, {{cell, counts(std::numeric_limits<u64>::max(), 0)}}));
    Evidence large;
    for (u64 route = 0; route < 100; ++route) {
        large[{route, Side::Target}] = counts(1, 0);
    }
    CHECK_FALSE(totals.take("a", 1, large));
    CHECK(totals.totals().empty());
}

// Guards against a verdict where there is nothing to compare with, which would take the only version away.
TEST_CASE("a version isn't found bad while the others have no answers")
{
    RolloutVerdict verdict;
    Evidence evidence;
    for (int i = 1; i <= 50; ++i) {
        evidence[{1, Side::Target}] = counts(static_cast<u64>(i) * 10, static_cast<u64>(i) * 3);
        CHECK((verdict.update(evidence, Start + i * Step) == Judgement::Undecided));
    }
    CHECK((verdict.conclude() == Judgement::Good));
}

// Guards against gateways whose counts come in bursts, as many of them tell theirs seldom.
TEST_CASE("a bad version is found at each number of gateways")
{
    for (const u32 gateways : {1U, 4U, 29U, 68U, 300U}) {
        CAPTURE(gateways);
        auto replay = replayWith([](Duration, u32, Side side) { return Conditions{side == Side::Target ? 0.3 : 0.01, 1}; });
        replay.gateways = gateways;
        const auto outcome = play(replay, gateways);
        REQUIRE(outcome.badAfter.has_value());
        CHECK(outcome.badAnswers < 50);
    }
}

// Guards against slowness that no gateway sees, as each of many has few answers to compare with.
TEST_CASE("a slow version is found at each number of gateways")
{
    for (const u32 gateways : {1U, 4U, 29U, 68U}) {
        CAPTURE(gateways);
        auto replay = replayWith([](Duration, u32, Side side) { return Conditions{0.01, side == Side::Target ? 3.0 : 1.0}; });
        replay.gateways = gateways;
        replay.requestsPerSecond = 150;
        for (u32 seed = 0; seed < 5; ++seed) {
            CHECK(play(replay, seed).badAfter.has_value());
        }
    }
}
