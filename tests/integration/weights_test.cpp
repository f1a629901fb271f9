#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;

namespace {

const std::string LoadSlots = "load-slots/models";

DeploymentOptions slowToLoad()
{
    DeploymentOptions options;
    options.services = 0;
    options.engine.loadMs = 1000;
    return options;
}

void rollOut(Deployment &deployment, const std::string &version, u32 loadsAtOnce)
{
    const auto result = deployment.edit([&](schema::Bundle &bundle) {
        bundle.mutable_models(0)->set_weight_version(version);
        bundle.mutable_policy()->set_concurrent_weight_loads(loadsAtOnce);
    });
    REQUIRE(result.code == ops::ExitCode::Ok);
}

bool hasLoaded(Deployment &deployment, u32 engine, const std::string &version)
{
    return deployment.engine(engine).loadedModels() == std::vector<std::string>{"m@" + version};
}

} // namespace

// Callers are refused for a moment at each rollout of new weights. Entries know what a replica has loaded from its last report, and
// where all replicas took the new version since, each refuses the old one. Cause: a refusal taken as final that brought what was lacking.
TEST_CASE("no request is refused while all replicas take new weights at once")
{
    Deployment deployment(slowToLoad());
    deployment.start();
    u32 served = 0;
    u32 refused = 0;
    for (const auto *version : {"v2", "v3", "v4"}) {
        rollOut(deployment, version, 2);
        const auto isSwapped = [&] {
            PromptCall call;
            call.tokens = 1;
            const auto answer = ask(deployment, served % 2, call);
            (answer.isWhole ? served : refused) += 1;
            if (!answer.isWhole) {
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

// New weights are rolled out and a replica stays on the old ones for good, idle and healthy by all signs. The platform had lost the
// object of load slots while that replica held one, and it never stopped trying to give back what was no longer there.
TEST_CASE("a replica goes on taking new weights after the platform lost the load slots")
{
    auto options = slowToLoad();
    options.engines = 1; // no other replica makes the object anew
    Deployment deployment(options);
    deployment.start();
    rollOut(deployment, "v2", 2);
    REQUIRE(waitUntil([&] { return !deployment.platform().value(LoadSlots).empty(); }));
    deployment.platform().erase(LoadSlots);
    REQUIRE(waitUntil([&] { return hasLoaded(deployment, 0, "v2"); }));
    rollOut(deployment, "v3", 2);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 0, "v3"); }));
}

// New weights are rolled out one replica at a time, and the first process stops while it holds the turn. All others wait behind it.
// Cause: a turn that only its holder can end.
TEST_CASE("a frozen holder of a load slot holds up the others for its lease only, and does no harm when it wakes")
{
    Deployment deployment(slowToLoad());
    deployment.start();
    rollOut(deployment, "v2", 1);
    REQUIRE(waitUntil([&] { return !deployment.platform().value(LoadSlots).empty(); }));
    const bool isFirst = deployment.platform().value(LoadSlots).find("model-0") != std::string::npos;
    auto &holder = deployment.process(isFirst ? "model-0" : "model-1");
    const u32 other = isFirst ? 1 : 0;
    holder.signal(SIGSTOP);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitUntil([&] { return hasLoaded(deployment, other, "v2"); }, std::chrono::seconds(30)));
    MESSAGE("held up for " << std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count() << " s");
    holder.signal(SIGCONT);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 1 - other, "v2"); }));
    rollOut(deployment, "v3", 1);
    CHECK(waitUntil([&] { return hasLoaded(deployment, 0, "v3") && hasLoaded(deployment, 1, "v3"); }));
}
