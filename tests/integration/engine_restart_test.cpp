#include <support/caller.hpp>

#include <algorithm>
#include <doctest/doctest.h>

using namespace support;

namespace {

constexpr u32 ColdLimit = 3;
constexpr u32 WarmLimit = 24;
constexpr u32 BurstPrompts = 40;
constexpr u32 BlockTokens = 512;
constexpr u32 BlockBytes = BlockTokens * 4;
constexpr u32 SharedBlocks = 6;
constexpr const char *StateQuery = "GET /v1/state";
constexpr const char *Run = "POST /v1/generate";
constexpr const char *Import = "PUT /v1/cache/";
/** Shorter than the three seconds after which an endpoint process gives up a silent engine. */
constexpr Duration HoldTime = std::chrono::seconds(1);

/** @brief Prompts that are sent at the same time. */
class Burst
{
public:
    Burst(Deployment &deployment, const std::string &name, u32 prompts, u32 tokens, u32 deadlineMs = 0)
    {
        for (u32 i = 0; i < prompts; ++i) {
            PromptCall call;
            call.prompt = name + " " + std::to_string(i);
            call.tokens = tokens;
            call.deadlineMs = deadlineMs;
            m_answers.emplace_back(call, deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
        }
    }

    /** @brief Waits for all answers; returns the number of prompts that were not answered completely and correctly. */
    [[nodiscard]] u32 failed()
    {
        u32 count = 0;
        for (auto &[call, pending] : m_answers) {
            const auto answer = pending.get();
            const bool isCorrect = answer.isComplete && answer.text == standins::expectedAnswer(call.prompt, call.tokens);
            if (!isCorrect) {
                ++count;
                MESSAGE(call.prompt.substr(call.prompt.rfind(": ") + 1) << ": " << answer.status << " " << answer.reason);
            }
        }
        return count;
    }

private:
    std::vector<std::pair<PromptCall, std::future<CallResult>>> m_answers;
};

DeploymentOptions restartOptions()
{
    DeploymentOptions options;
    options.entries = 1;
    options.services = 0;
    options.coldLimit = ColdLimit;
    options.warmLimit = WarmLimit;
    options.engine.coldRunCapacity = ColdLimit;
    options.engine.warmRunCapacity = WarmLimit;
    options.engine.warmAfterRuns = ColdLimit;
    options.engine.blockTokens = BlockTokens;
    options.engine.prefillTokensPerSecond = 20'000;
    return options;
}

std::string endpointName(u32 engine)
{
    return "model-" + std::to_string(engine);
}

u64 statusNumber(Deployment &deployment, u32 engine, const char *field)
{
    const auto status = deployment.status(endpointName(engine));
    return status.contains(field) ? status.at(field).to_number<u64>() : 0;
}

bool isIdleAndWarm(Deployment &deployment, u32 engine)
{
    const auto status = deployment.status(endpointName(engine));
    return status.contains("limit") && status.at("limit").to_number<u32>() == WarmLimit && status.at("running").to_number<u32>() == 0;
}

void warmUp(Deployment &deployment)
{
    REQUIRE(waitUntil([&] {
        Burst burst(deployment, "warm-up", BurstPrompts, 2);
        static_cast<void>(burst.failed());
        return isIdleAndWarm(deployment, 0) && isIdleAndWarm(deployment, 1);
    }));
}

bool isServing(Deployment &deployment, u32 engine)
{
    runtime::http::Request request;
    request.target = "/v1/state";
    const auto address = runtime::http::parseAddress(deployment.engine(engine).address());
    const auto exchange = deployment.spawn(runtime::http::exchange(address, request, HoldTime)).get();
    return exchange.progress == runtime::http::Progress::Answered && exchange.response.status == 200;
}

// Stops the endpoint process from learning of a restart by its regular poll of the engine.
void holdPoll(standins::FaultProxy &proxy)
{
    proxy.holdRequests(StateQuery, 1);
    REQUIRE(waitUntil([&] { return proxy.heldRequests(StateQuery) > 0; }));
}

// Lets the runs that are sent to the engine reach it together, then gives them the time to overload it.
void releaseRuns(Deployment &deployment, u32 engine, u32 crashes)
{
    auto &proxy = deployment.backendProxy(endpointName(engine));
    static_cast<void>(waitUntil([&] { return proxy.heldRequests(Run) > ColdLimit; }, HoldTime));
    proxy.releaseRequests(Run);
    static_cast<void>(waitUntil([&] { return deployment.engine(engine).crashes() > crashes; }, HoldTime));
    MESSAGE("prompts started in the cold engine: " << deployment.engine(engine).startedContaining("burst"));
}

} // namespace

// Guards against overload of an idle engine that has restarted between two polls, when no connection shows the restart.
TEST_CASE("an engine that restarts while idle gets no more than it bears while cold")
{
    Deployment deployment(restartOptions());
    deployment.start();
    warmUp(deployment);
    auto &proxy = deployment.backendProxy(endpointName(0));
    holdPoll(proxy);
    deployment.engine(0).crash();
    REQUIRE(isServing(deployment, 0));
    proxy.holdRequests(Run);
    Burst burst(deployment, "burst", BurstPrompts, 100);
    REQUIRE(waitUntil([&] { return proxy.heldRequests(Run) > 0; }));
    releaseRuns(deployment, 0, 1);
    proxy.releaseRequests(StateQuery);
    CHECK(burst.failed() == 0);
    CHECK(deployment.engine(0).crashes() == 1);
    CHECK(deployment.engine(1).crashes() == 0);
}

// Guards against overload of an engine that serves again before its endpoint process has seen the end of any earlier connection.
TEST_CASE("an engine that restarts under load gets no more than it bears while the ends of its connections are under way")
{
    Deployment deployment(restartOptions());
    deployment.start();
    warmUp(deployment);
    auto &proxy = deployment.backendProxy(endpointName(0));
    Burst running(deployment, "running", 8, 600);
    REQUIRE(waitUntil(
        [&] { return deployment.engine(0).startedContaining("running") + deployment.engine(1).startedContaining("running") == 8; }));
    REQUIRE(deployment.engine(0).startedContaining("running") > 0);
    holdPoll(proxy);
    proxy.holdResponses();
    deployment.engine(0).crash();
    REQUIRE(waitUntil([&] { return isServing(deployment, 0); }));
    proxy.holdRequests(Run);
    Burst burst(deployment, "burst", BurstPrompts, 100);
    releaseRuns(deployment, 0, 1);
    proxy.releaseResponses();
    proxy.releaseRequests(StateQuery);
    CHECK(burst.failed() == 0);
    CHECK(running.failed() == 0);
    CHECK(deployment.engine(0).crashes() == 1);
    CHECK(deployment.engine(1).crashes() == 0);
}

// Guards against overload by runs whose requests were sent under the warm limit and arrive after the restart is known.
TEST_CASE("requests that reach an engine only after its restart are no more than it bears while cold")
{
    Deployment deployment(restartOptions());
    deployment.start();
    warmUp(deployment);
    auto &proxy = deployment.backendProxy(endpointName(0));
    proxy.holdRequests(Run);
    Burst burst(deployment, "burst", BurstPrompts, 100);
    REQUIRE(waitUntil([&] { return proxy.heldRequests(Run) > ColdLimit; }));
    deployment.engine(0).crash();
    REQUIRE(waitUntil([&] { return statusNumber(deployment, 0, "limit") == ColdLimit; }));
    MESSAGE("held requests: " << proxy.heldRequests(Run));
    proxy.releaseRequests(Run);
    CHECK(burst.failed() == 0);
    CHECK(deployment.engine(0).crashes() == 1);
    CHECK(deployment.engine(1).crashes() == 0);
}

// Guards against overload by runs that were admitted under the warm limit and import cache blocks while the engine restarts.
TEST_CASE("runs that import cache blocks during a restart are no more than the engine bears while cold")
{
    auto options = restartOptions();
    options.stores = 2;
    Deployment deployment(options);
    deployment.start();
    std::string prefix = "shared: ";
    while (prefix.size() < SharedBlocks * BlockBytes + 10) {
        prefix += "the committee met again; ";
    }
    Burst first(deployment, prefix, 1, 5);
    REQUIRE(first.failed() == 0);
    REQUIRE(waitUntil([&] { return deployment.store(0).blocks() + deployment.store(1).blocks() >= SharedBlocks; }));
    for (u32 i = 0; i < 2; ++i) {
        deployment.engine(i).crash();
        REQUIRE(waitUntil([&] { return deployment.logOf(endpointName(i)).find("endpoint_restarted") != std::string::npos; }));
    }
    warmUp(deployment);
    for (u32 i = 0; i < 2; ++i) {
        deployment.backendProxy(endpointName(i)).holdRequests(Import);
    }
    Burst burst(deployment, prefix, BurstPrompts, 100);
    REQUIRE(waitUntil([&] {
        return deployment.backendProxy(endpointName(0)).heldRequests(Import) > ColdLimit
            || deployment.backendProxy(endpointName(1)).heldRequests(Import) > ColdLimit;
    }));
    const u32 target = deployment.backendProxy(endpointName(0)).heldRequests(Import) > ColdLimit ? 0 : 1;
    deployment.engine(target).crash();
    REQUIRE(waitUntil([&] { return statusNumber(deployment, target, "limit") == ColdLimit; }));
    MESSAGE("held imports: " << deployment.backendProxy(endpointName(target)).heldRequests(Import));
    for (u32 i = 0; i < 2; ++i) {
        deployment.backendProxy(endpointName(i)).releaseRequests(Import);
    }
    CHECK(burst.failed() == 0);
    CHECK(deployment.engine(target).crashes() == 2);
    CHECK(deployment.engine(1 - target).crashes() == 1);
}

// Guards against overload by runs that take the slots of runs past their deadline while the engine still works on these.
TEST_CASE("runs past their deadline and their successors are together no more than the engine bears")
{
    auto options = restartOptions();
    options.engines = 1;
    options.zones = 1;
    options.warmLimit = ColdLimit;
    options.engine.warmRunCapacity = ColdLimit;
    options.engine.tokenMs = 50;
    Deployment deployment(options);
    deployment.start();
    constexpr u32 DeadlineMs = 2000;
    Burst first(deployment, "first", ColdLimit, 600, DeadlineMs);
    REQUIRE(waitUntil([&] { return deployment.engine(0).startedContaining("first") == ColdLimit; }));
    Burst second(deployment, "second", 2 * ColdLimit, 10);
    CHECK(first.failed() == ColdLimit);
    CHECK(second.failed() == 0);
    CHECK(deployment.engine(0).maxRunning() <= ColdLimit);
    CHECK(deployment.engine(0).crashes() == 0);
}
