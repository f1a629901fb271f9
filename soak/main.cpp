#include "faults.hpp"
#include "stall_monitor.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 0, "first seed; 0 draws one");
DEFINE_uint32(runs, 1, "how many runs, with seeds that follow the first");
DEFINE_uint32(seconds, 12, "how long faults are injected in a run");
DEFINE_uint32(gateways, 4, "gateway processes");
DEFINE_uint32(engines, 4, "engines");
DEFINE_uint32(callers, 12, "callers at once");
DEFINE_bool(faults, true, "inject faults; without them the run shows what load alone does");
DEFINE_bool(story, false, "print each fault");

namespace {

using namespace soak;

constexpr Duration ReadyAgain = std::chrono::seconds(12);
constexpr Duration WeightsInPlace = std::chrono::seconds(20);
/** Time after which a request that was under way at crashes by chance is tried again, and some more. */
constexpr Duration Calm = std::chrono::milliseconds(11'000);
constexpr u32 CallsEach = 4;
/** Crashes of one request at which a gateway stops it, and the time after which it tries it once more. */
constexpr u64 PoisonCrashes = 3;
constexpr u64 PoisonTrialSeconds = 10;

// Each start of a gateway knows nothing until it is told, and each may try once in a while whether a request crashes endpoints still.
u64 mostPoisonRuns(Deployment &deployment)
{
    u64 starts = 0;
    for (const auto &slot : deployment.gateways()) {
        starts += slot->face().incarnation;
    }
    const u64 trials = deployment.gateways().size() * (1 + FLAGS_seconds / PoisonTrialSeconds);
    return PoisonCrashes * starts + trials;
}

std::vector<std::string> runOnce(u64 seed)
{
    const Stillness stillness;
    Size size;
    size.gateways = FLAGS_gateways;
    size.engines = FLAGS_engines;
    size.callers = FLAGS_callers;
    Deployment deployment(size, seed, Bounds{});
    FaultInjector faults(deployment, seed);
    auto &ledger = deployment.ledger();
    if (!deployment.start()) {
        ledger.broken("gateways become ready", "not within the time for the start");
        return ledger.violations();
    }
    deployment.startCallers();
    if (FLAGS_faults) {
        faults.run(std::chrono::seconds(FLAGS_seconds));
        faults.heal();
    } else {
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    }
    if (!deployment.awaitAllReady(ReadyAgain)) {
        ledger.broken("gateways recover", "one is not ready after all faults have ended");
    }
    if (!deployment.awaitWeights(faults.weights(), WeightsInPlace)) {
        ledger.broken("new weights reach every engine", fmt::format("version {} is missing somewhere", faults.weights()));
    }
    deployment.stopCallers();
    std::this_thread::sleep_for(Calm);
    for (const auto &[answer, calls] : deployment.countUnserved("key-desk", CallsEach)) {
        ledger.broken("all is served once faults are over", fmt::format("{} calls were not: {}", calls, answer));
    }
    const auto counted = ledger.counts();
    const auto poison = counted.find("poison runs");
    if (poison != counted.end() && poison->second > mostPoisonRuns(deployment)) {
        ledger.broken("a poisonous request is stopped", fmt::format("it ran {} times", poison->second));
    }
    if (!ledger.violations().empty()) {
        for (const auto &path : deployment.keepLogs()) {
            std::cout << "  log " << path << "\n";
        }
    }
    if (FLAGS_story || !ledger.violations().empty()) {
        for (const auto &line : faults.story()) {
            std::cout << "  " << line << "\n";
        }
    }
    std::string counts;
    for (const auto &[what, count] : counted) {
        counts += fmt::format(" {}={}", what, count);
    }
    std::cout << "seed " << seed << ": " << faults.story().size() << " faults," << counts << " stood still "
              << toMilliseconds(stillness.longest()) << " ms at most" << std::endl;
    return ledger.violations();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs gateways under random faults and checks the promises; example: soak --seed=7 --runs=5");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const u64 first = FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
    u32 failed = 0;
    for (u64 seed = first; seed < first + FLAGS_runs; ++seed) {
        const auto violations = runOnce(seed);
        for (const auto &violation : violations) {
            std::cout << "BROKEN seed " << seed << ": " << violation << "\n";
        }
        failed += violations.empty() ? 0 : 1;
    }
    std::cout << FLAGS_runs - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
