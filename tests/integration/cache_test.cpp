#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::StoreMode;

namespace {

constexpr u32 BlockTokens = 512;
constexpr u32 BlockBytes = BlockTokens * 4;

DeploymentOptions storeOptions()
{
    DeploymentOptions options;
    options.stores = 2;
    options.services = 0;
    options.engine.blockTokens = BlockTokens;
    options.engine.prefillTokensPerSecond = 20'000;
    return options;
}

PromptCall makePrompt(const std::string &name, u32 blocks)
{
    PromptCall call;
    call.prompt = name + ": ";
    while (call.prompt.size() < blocks * BlockBytes + 10) {
        call.prompt += "the committee of " + name + " met again; ";
    }
    return call;
}

// True once both endpoint processes have logged at least so many engine restarts.
bool haveLoggedRestarts(Deployment &deployment, u32 restarts)
{
    for (const auto *name : {"model-0", "model-1"}) {
        const auto log = deployment.logOf(name);
        u32 logged = 0;
        for (auto at = log.find("endpoint_restarted"); at != std::string::npos; at = log.find("endpoint_restarted", at + 1)) {
            ++logged;
        }
        if (logged < restarts) {
            return false;
        }
    }
    return true;
}

std::size_t storedBlocks(Deployment &deployment)
{
    return deployment.store(0).blocks() + deployment.store(1).blocks();
}

} // namespace

// A prompt is sent again after the engines have restarted and lost their caches. Instead of recomputing the whole prompt, its blocks
// are imported from a store VM.
TEST_CASE("a repeated prompt is imported from a store when no engine holds it")
{
    Deployment deployment(storeOptions());
    deployment.start();
    const auto call = makePrompt("bridge", 6);
    const auto first = sendAndWait(deployment, 0, call);
    CHECK(first.isComplete);
    CHECK(first.cachedTokens == 0);
    REQUIRE(waitUntil([&] { return storedBlocks(deployment) >= 6; }));
    deployment.engine(0).crash();
    deployment.engine(1).crash();
    CallResult second;
    // Endpoint processes notice the restart when they next poll the engine's state.
    REQUIRE(waitUntil([&] {
        const auto status = deployment.status("model-0");
        return deployment.logOf("model-0").find("endpoint_restarted") != std::string::npos
            && deployment.logOf("model-1").find("endpoint_restarted") != std::string::npos;
    }));
    second = sendAndWait(deployment, 1, call);
    CHECK(second.isComplete);
    CHECK(second.text == first.text);
    CHECK(second.cachedTokens == 6 * BlockTokens);
}

// Guards against nonsense in responses from a block that is partly written, altered, or of another prompt, after a store VM died in
// the middle of a write or a disk returned wrong data.
TEST_CASE("a damaged block is never imported, and the prompt is recomputed")
{
    Deployment deployment(storeOptions());
    deployment.start();
    const auto call = makePrompt("mayor", 5);
    const auto first = sendAndWait(deployment, 0, call);
    REQUIRE(waitUntil([&] { return storedBlocks(deployment) >= 5; }));
    u32 restarts = 0;
    for (const auto mode : {StoreMode::FlipBits, StoreMode::Truncate, StoreMode::WrongBlock, StoreMode::Down}) {
        deployment.store(0).setMode(mode);
        deployment.store(1).setMode(mode);
        deployment.engine(0).crash();
        deployment.engine(1).crash();
        REQUIRE(waitUntil([&] { return haveLoggedRestarts(deployment, restarts + 1); }));
        ++restarts;
        const u32 reads = deployment.store(0).reads() + deployment.store(1).reads();
        CallResult again;
        REQUIRE(waitUntil([&] {
            again = sendAndWait(deployment, 1, call);
            return again.isComplete;
        }));
        CHECK(again.text == first.text);
        CHECK(again.cachedTokens == 0);
        CHECK((mode == StoreMode::Down || deployment.store(0).reads() + deployment.store(1).reads() > reads));
    }
}

TEST_CASE("full and dead stores are skipped, and no response is lost")
{
    Deployment deployment(storeOptions());
    deployment.start();
    deployment.store(0).setMode(StoreMode::Full);
    CHECK(sendAndWait(deployment, 0, makePrompt("one", 4)).isComplete);
    CHECK(waitUntil([&] { return deployment.store(1).blocks() >= 4; }));
    deployment.store(1).setMode(StoreMode::Down);
    CHECK(sendAndWait(deployment, 0, makePrompt("two", 4)).isComplete);
    CHECK(sendAndWait(deployment, 1, makePrompt("one", 4)).isComplete);
}

// Guards against cache keys made of the text alone: if two customers send the same prompt and the second is served from the first
// one's blocks, its first token comes early and reveals what the other has asked.
TEST_CASE("customers never use each other's blocks, whatever their prompts and names are")
{
    Deployment deployment(storeOptions());
    deployment.start();
    auto call = makePrompt("same", 5);
    CHECK(sendAndWait(deployment, 0, call).isComplete);
    REQUIRE(waitUntil([&] { return storedBlocks(deployment) >= 5; }));
    call.customer = "clerk";
    for (u32 entry = 0; entry < 2; ++entry) {
        const auto other = sendAndWait(deployment, entry, call);
        CHECK(other.isComplete);
        CHECK(other.cachedTokens == (entry == 0 ? 0 : 5 * BlockTokens));
    }
    auto held = deployment.engine(0).cachedKeys();
    const auto more = deployment.engine(1).cachedKeys();
    held.insert(more.begin(), more.end());
    CHECK(held.size() == 10);
}

// Guards against blocks that are found by their text alone: if prompts are sent again during a rollout of new weights, a response that
// mixes blocks of two versions reads well and is wrong.
TEST_CASE("after a rollout of new weights no old blocks are used, and prompts are served during the swap")
{
    Deployment deployment(storeOptions());
    deployment.start();
    const auto call = makePrompt("swap", 5);
    CHECK(sendAndWait(deployment, 0, call).isComplete);
    auto longRun = call;
    longRun.prompt += "a long run under way across the swap";
    longRun.tokens = 300;
    auto underWay = deployment.spawn(sendPrompt(deployment.entryAddress(0), longRun));
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() == 2; }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.mutable_models(0)->set_weight_version("v2"); }).code == ops::ExitCode::Ok);
    u32 served = 0;
    const auto isSwapped = [&] {
        served += sendAndWait(deployment, 1, makePrompt("meanwhile", 1)).isComplete ? 1 : 0;
        return deployment.engine(0).loadedModels() == std::vector<std::string>{"m@v2"}
        && deployment.engine(1).loadedModels() == std::vector<std::string>{"m@v2"};
    };
    REQUIRE(waitUntil(isSwapped));
    CHECK(served > 0);
    REQUIRE(waitUntil([&] { return sendAndWait(deployment, 0, makePrompt("settled", 1)).isComplete; }));
    const auto after = sendAndWait(deployment, 0, call);
    CHECK(after.isComplete);
    CHECK(after.cachedTokens == 0);
    const auto whole = underWay.get();
    CHECK(whole.isComplete);
    CHECK(whole.text == standins::expectedAnswer(longRun.prompt, 300));
}

// Guards against load orders without a fencing token: an endpoint process stops for a minute, its successor orders new weights, and the
// old process resumes and orders the old weights again. Here the VM's address is in use, so the successor starts only once the
// predecessor is gone, and its orders carry a higher token.
TEST_CASE("load orders carry a fencing token that rises with each start, and a predecessor keeps its successor from starting")
{
    Deployment deployment(storeOptions());
    deployment.start();
    deployment.process("model-0").signal(SIGSTOP);
    ChildProcess successor({BURDOCK_DAEMON, "--settings=" + deployment.settings("model-0")}, deployment.directory() + "/successor.log");
    CHECK(successor.waitForExit(std::chrono::seconds(10)) == 1);
    deployment.process("model-0").signal(SIGKILL);
    static_cast<void>(deployment.process("model-0").waitForExit(std::chrono::seconds(5)));
    deployment.startProcess("model-0");
    REQUIRE(waitUntil([&] {
        return deployment.status("model-0").contains("incarnation") && deployment.status("model-0").at("incarnation").to_number<u64>() == 2;
    }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.mutable_models(0)->set_weight_version("v2"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return deployment.engine(0).loadedModels() == std::vector<std::string>{"m@v2"}; }));
    CHECK(deployment.engine(0).fencingTokens() == std::vector<u64>{1, 2});
}
