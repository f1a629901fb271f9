#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;

namespace {

const std::string LoadSlotsObject = "load-slots/models";

DeploymentOptions slowLoadOptions()
{
    DeploymentOptions options;
    options.services = 0;
    options.engine.loadMs = 1000;
    return options;
}

void rollOut(Deployment &deployment, const std::string &version, u32 concurrentLoads)
{
    const auto result = deployment.edit([&](schema::Bundle &bundle) {
        bundle.mutable_models(0)->set_weight_version(version);
        bundle.mutable_policy()->set_concurrent_weight_loads(concurrentLoads);
    });
    REQUIRE(result.code == ops::ExitCode::Ok);
}

bool hasLoaded(Deployment &deployment, u32 engine, const std::string &version)
{
    return deployment.engine(engine).loadedModels() == std::vector<std::string>{"m@" + version};
}

} // namespace

// Guards against requests that are refused for a moment at each rollout of new weights. Entries know the weights of a replica from its
// last report; if all replicas have loaded the new version since, each refuses the old one. That refusal is not final, as it reports the
// weights that are loaded now.
TEST_CASE("no request is refused while all replicas load new weights at once")
{
    Deployment deployment(slowLoadOptions());
    deployment.start();
    u32 served = 0;
    u32 refused = 0;
    for (const auto *version : {"v2", "v3", "v4"}) {
        rollOut(deployment, version, 2);
        const auto isSwapped = [&] {
            PromptCall call;
            call.tokens = 1;
            const auto answer = sendAndWait(deployment, served % 2, call);
            (answer.isComplete ? served : refused) += 1;
            if (!answer.isComplete) {
                MESSAGE(answer.reason);
            }
            return hasLoaded(deployment, 0, version) && hasLoaded(deployment, 1, version);
        };
        REQUIRE(waitUntil(isSwapped));
        static_cast<void>(isSwapped());
    }
    MESSAGE("served " << served << ", refused " << refused);
    CHECK(refused == 0);
}

// Guards against a replica that keeps old weights for good while it is idle and seems healthy: the platform lost the load slots object
// while the replica held a slot, and the replica never stopped trying to release a slot that no longer existed.
TEST_CASE("a replica keeps loading new weights after the platform lost the load slots")
{
    auto options = slowLoadOptions();
    options.engines = 1; // no other replica recreates the object
    Deployment deployment(options);
    deployment.start();
    rollOut(deployment, "v2", 2);
    REQUIRE(waitUntil([&] { return !deployment.platform().value(LoadSlotsObject).empty(); }));
    deployment.platform().erase(LoadSlotsObject);
    REQUIRE(waitUntil([&] { return hasLoaded(deployment, 0, "v2"); }));
    rollOut(deployment, "v3", 2);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 0, "v3"); }));
}

// Guards against a load slot that only its holder can free: weights are rolled out to one replica at a time, the first process stops
// while it holds the slot, and all others wait for it.
TEST_CASE("a frozen holder of a load slot delays the others until its lease expires, and does no harm when it resumes")
{
    Deployment deployment(slowLoadOptions());
    deployment.start();
    rollOut(deployment, "v2", 1);
    REQUIRE(waitUntil([&] { return !deployment.platform().value(LoadSlotsObject).empty(); }));
    const bool isFirst = deployment.platform().value(LoadSlotsObject).find("model-0") != std::string::npos;
    auto &holder = deployment.process(isFirst ? "model-0" : "model-1");
    const u32 other = isFirst ? 1 : 0;
    holder.signal(SIGSTOP);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitUntil([&] { return hasLoaded(deployment, other, "v2"); }, std::chrono::seconds(30)));
    MESSAGE("delayed for " << std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count() << " s");
    holder.signal(SIGCONT);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 1 - other, "v2"); }));
    rollOut(deployment, "v3", 1);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 0, "v3") && hasLoaded(deployment, 1, "v3"); }));
}
