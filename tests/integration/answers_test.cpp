#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace support;

namespace {

std::vector<std::future<CallResult>> sendMany(Deployment &deployment, u32 count, u32 tokens,
                                              const std::shared_ptr<std::atomic<u32>> &begun = nullptr)
{
    std::vector<std::future<CallResult>> answers;
    for (u32 i = 0; i < count; ++i) {
        PromptCall call;
        call.prompt = "draft number " + std::to_string(i);
        call.tokens = tokens;
        call.firstTokenCount = begun;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
    }
    return answers;
}

void checkAllComplete(std::vector<std::future<CallResult>> &answers, u32 tokens)
{
    u32 wrongAnswers = 0;
    for (u32 i = 0; i < answers.size(); ++i) {
        const auto answer = answers[i].get();
        const bool isCorrect = answer.isComplete && answer.text == standins::expectedAnswer("draft number " + std::to_string(i), tokens);
        wrongAnswers += isCorrect ? 0 : 1;
        if (!isCorrect) {
            MESSAGE(i << ": status " << answer.status << ", " << answer.reason << ", " << answer.verdict << ", " << answer.text.size()
                      << " bytes");
        }
    }
    CHECK(wrongAnswers == 0);
}

u32 startedRuns(Deployment &deployment)
{
    return deployment.engine(0).started() + deployment.engine(1).started();
}

void freezeLinks(Deployment &deployment)
{
    deployment.linkProxy("model-0").stallConnections();
    deployment.linkProxy("model-1").stallConnections();
}

DeploymentOptions ampleCapacity()
{
    DeploymentOptions options;
    options.coldLimit = 16;
    options.warmLimit = 64;
    options.engine.coldRunCapacity = 64;
    options.engine.warmRunCapacity = 200;
    options.queueLimit = 4000;
    return options;
}

} // namespace

TEST_CASE("each of thousands of concurrent answers arrives complete at its own caller")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 2000, 30);
    checkAllComplete(answers, 30);
}

// A stream must not stall when a network device between entry and endpoint process drops its state of the open connections. Both ends
// still see them as established, and TCP reports no error for many minutes.
TEST_CASE("streams continue over new links when the open links go silent")
{
    auto options = ampleCapacity();
    options.coldLimit = 40;
    Deployment deployment(options);
    deployment.start();
    const auto begun = std::make_shared<std::atomic<u32>>(0);
    auto answers = sendMany(deployment, 40, 400, begun);
    REQUIRE(waitUntil([&] { return *begun == 40; }));
    for (u32 round = 0; round < 2; ++round) {
        const u64 connectionsBefore = deployment.linkProxy("model-0").connections();
        freezeLinks(deployment);
        REQUIRE(waitUntil([&] { return deployment.linkProxy("model-0").connections() >= connectionsBefore + 2; }));
    }
    checkAllComplete(answers, 400);
    CHECK(startedRuns(deployment) == 40);
}

// Requests in transit when the links go silent must not be refused, as the pool serves again a second later, nor run twice. Both
// happen if a silent link is treated as a lost endpoint.
TEST_CASE("requests in transit when all links go silent run exactly once")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 40, 400);
    REQUIRE(waitUntil([&] { return startedRuns(deployment) >= 20; }));
    freezeLinks(deployment);
    checkAllComplete(answers, 400);
    CHECK(startedRuns(deployment) == 40);
}

// As above, but the new links go silent too, before the peers have reported which requests they have. Failing over then takes retries
// from the budget: one for every five requests, plus a reserve of ten at each entry.
TEST_CASE("requests in transit when all links go silent twice are answered within the retry budget")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 40, 400);
    REQUIRE(waitUntil([&] { return startedRuns(deployment) >= 20; }));
    for (u32 round = 0; round < 2; ++round) {
        const u64 connectionsBefore = deployment.linkProxy("model-0").connections();
        freezeLinks(deployment);
        REQUIRE(waitUntil([&] { return deployment.linkProxy("model-0").connections() >= connectionsBefore + 2; }));
    }
    checkAllComplete(answers, 400);
    CHECK(startedRuns(deployment) >= 40);
    CHECK(startedRuns(deployment) <= 40 * 12 / 10 + 2 * 10);
}

TEST_CASE("streams continue when links are cut repeatedly")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 40, 300);
    for (u32 round = 0; round < 5; ++round) {
        const u64 connectionsBefore = deployment.linkProxy("model-0").connections();
        deployment.linkProxy("model-0").closeConnections();
        deployment.linkProxy("model-1").closeConnections();
        REQUIRE(waitUntil([&] { return deployment.linkProxy("model-0").connections() >= connectionsBefore + 1; }));
    }
    checkAllComplete(answers, 300);
}

// A stream must not stop in the middle when the engine crashes or the endpoint process is killed with its VM. The rest of the answer
// is lost then, so another endpoint has to generate it from the part that was delivered.
TEST_CASE("an answer is completed by another endpoint when its endpoint fails in the middle")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 8, 400);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() >= 1 && deployment.engine(1).started() >= 1; }));

    SUBCASE("the engine crashes")
    {
        deployment.engine(0).crash();
    }
    SUBCASE("the endpoint process is killed")
    {
        deployment.process("model-0").signal(SIGKILL);
    }
    SUBCASE("the endpoint process is frozen")
    {
        deployment.process("model-0").signal(SIGSTOP);
    }
    checkAllComplete(answers, 400);
}

TEST_CASE("an entry that was frozen for seconds continues its streams")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    auto answers = sendMany(deployment, 10, 600);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() == 10; }));
    deployment.process("entry-0").signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(2)); // the duration of the freeze is part of the test
    deployment.process("entry-0").signal(SIGCONT);
    checkAllComplete(answers, 600);
}

TEST_CASE("a slow reader gets its complete answer without delaying other callers")
{
    Deployment deployment(ampleCapacity());
    deployment.start();
    PromptCall slow;
    slow.prompt = "slow";
    slow.tokens = 600;
    slow.readPause = std::chrono::milliseconds(5);
    auto slowAnswer = deployment.spawn(sendPrompt(deployment.entryAddress(0), slow));
    auto answers = sendMany(deployment, 10, 30);
    checkAllComplete(answers, 30);
    const auto answer = slowAnswer.get();
    CHECK(answer.isComplete);
    CHECK(answer.text == standins::expectedAnswer("slow", 600));
}

// A stream that merely stops looks like a short answer. If no endpoint is left to complete it, the caller must get an error event and
// an aborted connection instead of a regular end.
TEST_CASE("an answer that cannot be completed ends with an error")
{
    DeploymentOptions options = ampleCapacity();
    options.engines = 1;
    Deployment deployment(options);
    deployment.start();
    PromptCall call;
    call.tokens = 2000;
    auto pendingAnswer = deployment.spawn(sendPrompt(deployment.entryAddress(0), call));
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // lets part of the answer through
    deployment.process("model-0").signal(SIGKILL);
    const auto answer = pendingAnswer.get();
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.verdict == "may_have_run");
    CHECK_FALSE(answer.text.empty());
}
