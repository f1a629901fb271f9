#include "faults.hpp"
#include "stall_monitor.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 0, "first seed; 0 selects one at random");
DEFINE_uint32(runs, 1, "number of runs, with consecutive seeds");
DEFINE_uint32(seconds, 12, "time in seconds for which each run injects faults");
DEFINE_uint32(gateways, 4, "gateway processes");
DEFINE_uint32(engines, 4, "engines");
DEFINE_uint32(callers, 12, "concurrent callers");
DEFINE_bool(faults, true, "inject faults; false runs under load only");
DEFINE_bool(story, false, "print each injected fault");

namespace {

using namespace soak;

constexpr Duration ReadyTimeout = std::chrono::seconds(12);
constexpr Duration WeightsTimeout = std::chrono::seconds(20);
/** Longer than the time after which a request that was quarantined by unrelated crashes is tried again. */
constexpr Duration QuarantineExpiry = std::chrono::milliseconds(11'000);
constexpr u32 CallsPerKind = 4;
/** Crashes after which a gateway quarantines a request, and the time until it allows a trial. */
constexpr u64 CrashesUntilQuarantine = 3;
constexpr u64 QuarantineTrialSeconds = 10;

// A started gateway knows of no crashes until it learns of them, and each gateway periodically retries a quarantined request.
u64 maxPoisonRuns(Deployment &deployment)
{
    u64 starts = 0;
    for (const auto &slot : deployment.gateways()) {
        starts += slot->target().incarnation;
    }
    const u64 trials = deployment.gateways().size() * (1 + FLAGS_seconds / QuarantineTrialSeconds);
    return CrashesUntilQuarantine * starts + trials;
}

std::vector<std::string> runOnce(u64 seed)
{
    const StallMonitor stallMonitor;
    Size size;
    size.gateways = FLAGS_gateways;
    size.engines = FLAGS_engines;
    size.callers = FLAGS_callers;
    Deployment deployment(size, seed, Bounds{});
    FaultInjector faults(deployment, seed);
    auto &checker = deployment.checker();
    if (!deployment.start()) {
        checker.reportViolation("gateways become ready after their start", "at least one gateway was not ready before the start timeout");
        return checker.violations();
    }
    deployment.startCallers();
    if (FLAGS_faults) {
        faults.run(std::chrono::seconds(FLAGS_seconds));
        faults.endAllFaults();
    } else {
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    }
    if (!deployment.waitUntilAllReady(ReadyTimeout)) {
        checker.reportViolation("gateways recover after faults", "at least one gateway is not ready after all faults have ended");
    }
    if (!deployment.waitForWeights(faults.latestWeightVersion(), WeightsTimeout)) {
        checker.reportViolation("every engine loads new weights",
                                fmt::format("at least one engine did not load version {}", faults.latestWeightVersion()));
    }
    deployment.stopCallers();
    std::this_thread::sleep_for(QuarantineExpiry);
    for (const auto &[response, calls] : deployment.countUnserved("key-desk", CallsPerKind)) {
        checker.reportViolation("all calls are served after the faults have ended",
                                fmt::format("{} calls were not served: {}", calls, response));
    }
    const auto counted = checker.counts();
    for (const std::string poison : {"poison runs", "poisoned prompt runs"}) {
        const auto runs = counted.find(poison);
        if (runs != counted.end() && runs->second > maxPoisonRuns(deployment)) {
            checker.reportViolation("requests that crash endpoints are stopped", fmt::format("{}: {}", poison, runs->second));
        }
    }
    if (!checker.violations().empty()) {
        for (const auto &path : deployment.keepLogs()) {
            std::cout << "  log " << path << "\n";
        }
    }
    if (FLAGS_story || !checker.violations().empty()) {
        for (const auto &line : faults.faultLog()) {
            std::cout << "  " << line << "\n";
        }
    }
    std::string counts;
    for (const auto &[what, count] : counted) {
        counts += fmt::format(" {}={}", what, count);
    }
    std::cout << "seed " << seed << ": " << faults.faultLog().size() << " faults," << counts << " longest stall "
              << toMilliseconds(stallMonitor.longestStall()) << " ms" << std::endl;
    return checker.violations();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs gateways under random faults and checks their guarantees; example: soak --seed=7 --runs=5");
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
