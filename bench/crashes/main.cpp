#include "crash_fleet.hpp"

#include <array>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <string_view>

DEFINE_uint32(seeds, 5, "number of seeds to run, starting at 1");
DEFINE_double(seconds, 20, "simulated seconds of each run");
DEFINE_uint32(most_gateways, 68, "leaves out larger deployments, which take minutes");
DEFINE_string(only, "", "runs only scenarios whose names contain this text");

namespace {

using namespace std::chrono_literals;
using burdock::Duration;
using burdock::retry::CrashAttributionPolicy;

struct Scenario
{
    std::string name;
    crashes::FleetParameters parameters;
};

struct NamedPolicy
{
    std::string_view name;
    CrashAttributionPolicy policy;
};

std::vector<NamedPolicy> policies()
{
    CrashAttributionPolicy tests;
    tests.timeToSucceed = tests.timeToHear;
    tests.trialDelayAfterSuccess = 100ms;
    CrashAttributionPolicy noMassCrashes;
    noMassCrashes.massCrashTime = Duration::zero();
    return {{"waits for successes", CrashAttributionPolicy{}}, {"single tests", tests}, {"each crash counts", noMassCrashes}};
}

std::vector<Scenario> scenarios()
{
    struct Size
    {
        burdock::u32 gateways;
        burdock::u32 engines;
        double soundPerSecond;
    };
    constexpr std::array<Size, 4> Sizes{{{4, 24, 300}, {29, 53, 900}, {68, 117, 1000}, {300, 500, 2000}}};
    std::vector<Scenario> list;
    for (const auto &size : Sizes) {
        if (size.gateways > FLAGS_most_gateways) {
            continue;
        }
        for (const bool isSlow : {false, true}) {
            crashes::FleetParameters base;
            base.gateways = size.gateways;
            base.engines = size.engines;
            base.soundPerSecond = size.soundPerSecond;
            base.crashingPerSecond = 0;
            if (isSlow) {
                base.slice = 100ms;
                base.answerDelay = 600ms;
                base.maxMessageDelay = 400ms;
            }
            const auto add = [&list, &size, isSlow](std::string_view what, const crashes::FleetParameters &parameters) {
                list.push_back({std::to_string(size.gateways) + (isSlow ? " slow, " : " quick, ") + std::string(what), parameters});
            };
            auto varied = base;
            varied.massCrashes = {{4s, 0.1}};
            add("10 % at once", varied);
            varied.massCrashes = {{4s, 0.3}, {7500ms, 0.3}, {11s, 0.3}};
            add("30 % three times", varied);
            varied.massCrashes = {{4s, 0.6}, {6s, 0.6}, {8s, 0.6}};
            varied.downtime = 1s;
            add("60 % three times, 1 s down", varied);
            varied = base;
            varied.massCrashes = {{4s, 0, true}, {8s, 0, true}};
            add("a zone, twice", varied);
            varied = base;
            varied.randomCrashesPerSecond = 5;
            varied.downtime = 1s;
            add("5 a second", varied);
            varied.runTime = 6s;
            add("5 a second, long runs", varied);
            varied = base;
            varied.crashingPerSecond = 4;
            add("part", varied);
            varied.massCrashes = {{4s, 0.3}, {7500ms, 0.3}};
            add("part, 30 % twice", varied);
            varied = base;
            varied.crashingPerSecond = 1;
            varied.documentsOfCrashing = 1;
            add("rare part with a document", varied);
        }
    }
    return list;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("compares ways to find what crashes engines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto length = std::chrono::duration_cast<burdock::Duration>(std::chrono::duration<double>(FLAGS_seconds));
    std::cout
        << "gateways, scenario | policy | crashes by the part | its arrivals after the bound (worst seed) | sound prompts refused, %\n";
    for (const auto &scenario : scenarios()) {
        if (scenario.name.find(FLAGS_only) == std::string::npos) {
            continue;
        }
        for (const auto &policy : policies()) {
            crashes::FleetResult sum;
            burdock::u32 worst = 0;
            for (burdock::u64 seed = 1; seed <= FLAGS_seeds; ++seed) {
                const auto result = crashes::Fleet(scenario.parameters, policy.policy, seed).run(length);
                sum.crashes += result.crashes;
                sum.sound += result.sound;
                sum.soundRefused += result.soundRefused;
                worst = std::max(worst, result.laterArrivals);
            }
            constexpr double Percent = 100;
            std::cout << scenario.name << " | " << policy.name << " | " << std::fixed << std::setprecision(1)
                      << static_cast<double>(sum.crashes) / FLAGS_seeds << " | " << worst << " | " << std::setprecision(2)
                      << Percent * sum.soundRefused / std::max<burdock::u32>(1, sum.sound) << std::endl;
        }
    }
    return 0;
}
