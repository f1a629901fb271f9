#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::StoreMode;

namespace {

constexpr u32 BlockTokens = 512;
constexpr u32 BlockBytes = BlockTokens * 4;

DeploymentOptions withStores()
{
    DeploymentOptions options;
    options.stores = 2;
    options.services = 0;
    options.engine.blockTokens = BlockTokens;
    options.engine.prefillTokensPerSecond = 20'000;
    return options;
}

PromptCall draft(const std::string &name, u32 blocks)
{
    PromptCall call;
    call.prompt = name + ": ";
    while (call.prompt.size() < blocks * BlockBytes + 10) {
        call.prompt += "the committee of " + name + " met again; ";
    }
    return call;
}

// Restarts of the engines that both endpoint processes have noticed.
bool haveNoticed(Deployment &deployment, u32 restarts)
{
    for (const auto *name : {"model-0", "model-1"}) {
        const auto log = deployment.logOf(name);
        u32 noticed = 0;
        for (auto at = log.find("endpoint_restarted"); at != std::string::npos; at = log.find("endpoint_restarted", at + 1)) {
            ++noticed;
        }
        if (noticed < restarts) {
            return false;
        }
    }
    return true;
}

std::size_t keptBlocks(Deployment &deployment)
{
    return deployment.store(0).blocks() + deployment.store(1).blocks();
}

} // namespace

// An editor comes back after lunch; the engines have restarted meanwhile and hold nothing. Without kept cache the whole draft is
// computed again. With it, the blocks come back from a store VM.
TEST_CASE("a returning draft is imported from a store when no engine holds it")
{
    Deployment deployment(withStores());
    deployment.start();
    const auto call = draft("bridge", 6);
    const auto first = ask(deployment, 0, call);
    CHECK(first.isWhole);
    CHECK(first.cachedTokens == 0);
    REQUIRE(waitUntil([&] { return keptBlocks(deployment) >= 6; }));
    deployment.engine(0).crash();
    deployment.engine(1).crash();
    Answer second;
    // The restart is noticed within a poll of the engine's state.
    REQUIRE(waitUntil([&] {
        const auto status = deployment.status("model-0");
        return deployment.logOf("model-0").find("endpoint_restarted") != std::string::npos
            && deployment.logOf("model-1").find("endpoint_restarted") != std::string::npos;
    }));
    second = ask(deployment, 1, call);
    CHECK(second.isWhole);
    CHECK(second.text == first.text);
    CHECK(second.cachedTokens == 6 * BlockTokens);
}

// Drafts come back with nonsense in them when a block is read that was half written, altered, or belongs to something else.
// Cause: a store VM that died in the middle of a write, or a disk that lies.
TEST_CASE("a damaged block is never imported, and the draft is computed again")
{
    Deployment deployment(withStores());
    deployment.start();
    const auto call = draft("mayor", 5);
    const auto first = ask(deployment, 0, call);
    REQUIRE(waitUntil([&] { return keptBlocks(deployment) >= 5; }));
    u32 restarts = 0;
    for (const auto mode : {StoreMode::FlipBits, StoreMode::Truncate, StoreMode::WrongBlock, StoreMode::Down}) {
        deployment.store(0).setMode(mode);
        deployment.store(1).setMode(mode);
        deployment.engine(0).crash();
        deployment.engine(1).crash();
        REQUIRE(waitUntil([&] { return haveNoticed(deployment, restarts + 1); }));
        ++restarts;
        const u32 reads = deployment.store(0).reads() + deployment.store(1).reads();
        Answer again;
        REQUIRE(waitUntil([&] {
            again = ask(deployment, 1, call);
            return again.isWhole;
        }));
        CHECK(again.text == first.text);
        CHECK(again.cachedTokens == 0);
        CHECK((mode == StoreMode::Down || deployment.store(0).reads() + deployment.store(1).reads() > reads));
    }
}

TEST_CASE("full and dead stores are passed over, and nothing is lost")
{
    Deployment deployment(withStores());
    deployment.start();
    deployment.store(0).setMode(StoreMode::Full);
    CHECK(ask(deployment, 0, draft("one", 4)).isWhole);
    CHECK(waitUntil([&] { return deployment.store(1).blocks() >= 4; }));
    deployment.store(1).setMode(StoreMode::Down);
    CHECK(ask(deployment, 0, draft("two", 4)).isWhole);
    CHECK(ask(deployment, 1, draft("one", 4)).isWhole);
}

// Two customers send the same prompt. If the second is served from the first one's blocks, its first token comes early and tells
// it what the other has asked. Cause: cache keys made of the text alone.
TEST_CASE("customers never use each other's blocks, whatever they send and are called")
{
    Deployment deployment(withStores());
    deployment.start();
    auto call = draft("same", 5);
    CHECK(ask(deployment, 0, call).isWhole);
    REQUIRE(waitUntil([&] { return keptBlocks(deployment) >= 5; }));
    call.customer = "clerk";
    for (u32 entry = 0; entry < 2; ++entry) {
        const auto other = ask(deployment, entry, call);
        CHECK(other.isWhole);
        CHECK(other.cachedTokens == (entry == 0 ? 0 : 5 * BlockTokens));
    }
    auto held = deployment.engine(0).cachedKeys();
    const auto more = deployment.engine(1).cachedKeys();
    held.insert(more.begin(), more.end());
    CHECK(held.size() == 10);
}

// New weights are rolled out while drafts return. An answer that mixes blocks of two versions reads well and is wrong.
// Cause: blocks found by their text alone.
TEST_CASE("after new weights nothing of the old ones is used, and service goes on during the swap")
{
    Deployment deployment(withStores());
    deployment.start();
    const auto call = draft("swap", 5);
    CHECK(ask(deployment, 0, call).isWhole);
    auto longRun = call;
    longRun.prompt += "a long run under way across the swap";
    longRun.tokens = 300;
    auto underWay = deployment.spawn(sendPrompt(deployment.entryAddress(0), longRun));
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() == 2; }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.mutable_models(0)->set_weight_version("v2"); }).code == ops::ExitCode::Ok);
    u32 served = 0;
    const auto isSwapped = [&] {
        served += ask(deployment, 1, draft("meanwhile", 1)).isWhole ? 1 : 0;
        return deployment.engine(0).loadedModels() == std::vector<std::string>{"m@v2"}
        && deployment.engine(1).loadedModels() == std::vector<std::string>{"m@v2"};
    };
    REQUIRE(waitUntil(isSwapped));
    CHECK(served > 0);
    REQUIRE(waitUntil([&] { return ask(deployment, 0, draft("settled", 1)).isWhole; }));
    const auto after = ask(deployment, 0, call);
    CHECK(after.isWhole);
    CHECK(after.cachedTokens == 0);
    const auto whole = underWay.get();
    CHECK(whole.isWhole);
    CHECK(whole.text == standins::expectedAnswer(longRun.prompt, 300));
}

// An endpoint process stops for a minute, its successor orders new weights, and the old one wakes and orders the old ones again.
// Cause: an order that says nothing about when it was meant. Here the VM's address is held, so the successor starts only once the
// predecessor is gone, and its orders carry a higher number.
TEST_CASE("orders carry a number that rises with each start, and a predecessor keeps its successor out")
{
    Deployment deployment(withStores());
    deployment.start();
    deployment.process("model-0").signal(SIGSTOP);
    ChildProcess successor({BURDOCK_DAEMON, "--settings=" + deployment.settings("model-0")}, deployment.directory() + "/successor.log");
    CHECK(successor.waitForEnd(std::chrono::seconds(10)) == 1);
    deployment.process("model-0").signal(SIGKILL);
    static_cast<void>(deployment.process("model-0").waitForEnd(std::chrono::seconds(5)));
    deployment.startProcess("model-0");
    REQUIRE(waitUntil([&] {
        return deployment.status("model-0").contains("incarnation") && deployment.status("model-0").at("incarnation").to_number<u64>() == 2;
    }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.mutable_models(0)->set_weight_version("v2"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return deployment.engine(0).loadedModels() == std::vector<std::string>{"m@v2"}; }));
    CHECK(deployment.engine(0).fencingTokens() == std::vector<u64>{1, 2});
}
