#include <support/caller.hpp>

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <random>

using namespace support;

namespace {

DeploymentOptions engineOptions(u32 engines)
{
    DeploymentOptions options;
    options.engines = engines;
    options.services = 0;
    options.engine.coldRunCapacity = 64;
    options.engine.warmRunCapacity = 200;
    return options;
}

u64 totalRefusals(Deployment &deployment, u32 engines)
{
    u64 count = 0;
    for (u32 i = 0; i < engines; ++i) {
        const auto status = deployment.status("model-" + std::to_string(i));
        for (const auto &[reason, times] : status.at("refused").as_object()) {
            count += times.to_number<u64>();
        }
    }
    return count;
}

PromptCall longPrompt()
{
    PromptCall call;
    call.prompt = "a long prompt";
    call.tokens = 600;
    return call;
}

// Cuts the connection between the engine that runs a prompt and its endpoint process, and returns the number of the engine.
u32 disconnectRunningEngine(Deployment &deployment, const PromptCall &call, const std::vector<u32> &alreadyCut)
{
    u32 found = 0;
    REQUIRE(waitUntil([&] {
        for (u32 number = 0; number < 4; ++number) {
            const bool isCut = std::find(alreadyCut.begin(), alreadyCut.end(), number) != alreadyCut.end();
            if (!isCut && deployment.engine(number).startedContaining(call.prompt) > 0) {
                found = number;
                return true;
            }
        }
        return false;
    }));
    auto &proxy = deployment.backendProxy("model-" + std::to_string(found));
    proxy.setRefusing(true);
    proxy.closeConnections();
    return found;
}

// Disconnects a number of engines one after the other, each as soon as the prompt runs on it.
std::vector<u32> disconnectEnginesOneByOne(Deployment &deployment, const PromptCall &call, u32 engines)
{
    std::vector<u32> cut;
    while (cut.size() < engines) {
        cut.push_back(disconnectRunningEngine(deployment, call, cut));
    }
    return cut;
}

void reconnect(Deployment &deployment, const std::vector<u32> &engines)
{
    for (const u32 number : engines) {
        deployment.backendProxy("model-" + std::to_string(number)).setRefusing(false);
    }
}

} // namespace

// A request crashes each engine that runs it, and its caller keeps sending it. If retries pass it on to the next engine, no engine is
// left within a minute, and the answers of other callers are lost with them.
TEST_CASE("a request that crashes engines is refused after two crashes across all entries, and other requests are served")
{
    Deployment deployment(engineOptions(4));
    deployment.start();
    std::vector<std::future<CallResult>> otherAnswers;
    for (u32 i = 0; i < 16; ++i) {
        PromptCall call;
        call.prompt = "innocent " + std::to_string(i);
        call.tokens = 200;
        otherAnswers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
    }
    PromptCall crashingCall;
    crashingCall.prompt = "POISON";
    const auto first = sendAndWait(deployment, 0, crashingCall);
    CHECK_FALSE(first.isComplete);
    for (u32 i = 0; i < 10; ++i) {
        const auto again = sendAndWait(deployment, i % 2, crashingCall);
        CHECK_FALSE(again.isComplete);
        CHECK(again.total < std::chrono::seconds(2));
    }
    u32 crashes = 0;
    for (u32 i = 0; i < 4; ++i) {
        crashes += deployment.engine(i).crashes();
    }
    MESSAGE("crashes: " << crashes);
    CHECK(crashes <= 3);
    for (u32 i = 0; i < otherAnswers.size(); ++i) {
        const auto answer = otherAnswers[i].get();
        CHECK(answer.text == standins::expectedAnswer("innocent " + std::to_string(i), 200));
    }
}

// Guards against a message of conversations that crashes one engine after the other because no two of the conversations are alike.
TEST_CASE(
    "conversations with a message that crashes engines are refused across all entries, and others with their other messages are served")
{
    auto options = engineOptions(4);
    options.entries = 2;
    Deployment deployment(options);
    deployment.start();
    const auto conversation = [](const std::string &document, u32 number) {
        PromptCall call;
        call.messages = {"common instructions", document, "question " + std::to_string(number)};
        return call;
    };
    const auto crashes = [&deployment] {
        u32 total = 0;
        for (u32 i = 0; i < 4; ++i) {
            total += deployment.engine(i).crashes();
        }
        return total;
    };
    for (u32 i = 0; i < 40; ++i) {
        CHECK_FALSE(sendAndWait(deployment, i % 2, conversation("POISON", i)).isComplete);
    }
    MESSAGE("crashes: " << crashes());
    CHECK(crashes() <= 8); // five, and three that may follow
    u32 served = 0;
    for (u32 i = 0; i < 20; ++i) {
        served += sendAndWait(deployment, i % 2, conversation("sound", i)).isComplete ? 1 : 0;
    }
    CHECK(served == 20);
}

// Half of the endpoints are down and every request is retried on another. Without a retry budget, the other half is overloaded by twice
// its load.
TEST_CASE("while half of the endpoints are down, attempts stay within 1.2 times the requests")
{
    Deployment deployment(engineOptions(4));
    deployment.start();
    deployment.backendProxy("model-0").setRefusing(true);
    deployment.backendProxy("model-1").setRefusing(true);
    deployment.backendProxy("model-0").closeConnections();
    deployment.backendProxy("model-1").closeConnections();
    constexpr u32 Requests = 300;
    u32 complete = 0;
    std::vector<std::future<CallResult>> answers;
    for (u32 i = 0; i < Requests; ++i) {
        PromptCall call;
        call.prompt = "request " + std::to_string(i);
        call.tokens = 5;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
        if (answers.size() == 20) {
            for (auto &answer : answers) {
                const auto got = answer.get();
                complete += got.isComplete ? 1 : 0;
                CHECK((got.isComplete || got.hasRetryAfter));
            }
            answers.clear();
        }
    }
    const u32 runs = deployment.engine(2).started() + deployment.engine(3).started();
    MESSAGE("whole " << complete << " of " << Requests << ", runs " << runs);
    CHECK(runs <= Requests * 12 / 10);
    CHECK(complete >= Requests * 95 / 100);
}

// Guards against a prompt that gets no answer because the connections to two engines were cut while they ran it.
TEST_CASE("a prompt that loses its connections to two engines is answered by a third, and again when it is sent again")
{
    Deployment deployment(engineOptions(4));
    deployment.start();
    const auto call = longPrompt();
    auto answer = deployment.spawn(sendPrompt(deployment.entryAddress(0), call));
    const auto cut = disconnectEnginesOneByOne(deployment, call, 2);
    const bool isCorrect = answer.get().text == standins::expectedAnswer(call.prompt, call.tokens);
    CHECK(isCorrect);
    reconnect(deployment, cut);
    CHECK(sendAndWait(deployment, 1, call).isComplete);
}

// Guards against a prompt that is refused for half an hour although it crashed nothing, because an outage cut the connections to three
// engines that ran it.
TEST_CASE("a prompt that lost its connections to three engines is refused with Retry-After, and answered later")
{
    Deployment deployment(engineOptions(4));
    deployment.start();
    const auto call = longPrompt();
    auto answer = deployment.spawn(sendPrompt(deployment.entryAddress(0), call));
    const auto cut = disconnectEnginesOneByOne(deployment, call, 3);
    CHECK_FALSE(answer.get().isComplete);
    reconnect(deployment, cut);
    const auto refused = sendAndWait(deployment, 0, call);
    CHECK(refused.reason == "quarantined");
    CHECK(refused.verdict == "not_run");
    CHECK(refused.hasRetryAfter);
    CallResult laterAnswer;
    CHECK(waitUntil(
        [&] {
            laterAnswer = sendAndWait(deployment, 0, call);
            return laterAnswer.isComplete || laterAnswer.reason != "quarantined";
        },
        std::chrono::seconds(20)));
    CHECK(laterAnswer.isComplete);
    CHECK(sendAndWait(deployment, 0, call).isComplete);
}

// A pool must not refuse all requests for seconds because each of its endpoints lost a run.
TEST_CASE("requests are served after all endpoints of a pool have lost runs at the same time")
{
    Deployment deployment(engineOptions(2));
    deployment.start();
    std::vector<std::pair<PromptCall, std::future<CallResult>>> answers;
    const auto send = [&](const std::string &prompt, u32 tokens) {
        PromptCall call;
        call.prompt = prompt;
        call.tokens = tokens;
        answers.emplace_back(call, deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    };
    for (u32 i = 0; i < 8; ++i) {
        send("long " + std::to_string(i), 400);
    }
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() > 0 && deployment.engine(1).started() > 0; }));
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() == 8; }));
    deployment.backendProxy("model-0").closeConnections();
    deployment.backendProxy("model-1").closeConnections();
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() > 8; }));
    for (u32 i = 0; i < 12; ++i) {
        send("short " + std::to_string(i), 5);
    }
    for (auto &sent : answers) {
        const PromptCall &call = sent.first;
        const auto answer = sent.second.get();
        const bool isCorrect = answer.text == standins::expectedAnswer(call.prompt, call.tokens);
        CHECK_MESSAGE(isCorrect, call.prompt << ": " << answer.status << " " << answer.reason);
    }
}

// Faulty new weights abort every answer after its first token. Without a retry budget, each request is attempted three times, and the
// engines do three times the work in vain.
TEST_CASE("when every run fails, engines get no more runs than there are requests")
{
    Deployment deployment(engineOptions(4));
    deployment.start();
    for (u32 i = 0; i < 4; ++i) {
        deployment.engine(i).setAbortingRuns(true);
    }
    constexpr u32 Requests = 200;
    std::vector<std::future<CallResult>> answers;
    for (u32 i = 0; i < Requests; ++i) {
        PromptCall call;
        call.prompt = "request " + std::to_string(i);
        call.tokens = 5;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
        if (i % 4 == 3) {
            answers.back().wait();
        }
    }
    for (auto &answer : answers) {
        CHECK_FALSE(answer.get().isComplete);
    }
    u32 runs = 0;
    for (u32 i = 0; i < 4; ++i) {
        runs += deployment.engine(i).started();
    }
    MESSAGE("runs " << runs << " for " << Requests << " requests");
    CHECK(runs <= Requests);
}

// All endpoints of a pool are full. Without a retry budget, each refused request goes on to the next endpoint, and the endpoint
// processes spend on refusals the time that they need for running requests.
TEST_CASE("while all endpoints are full, attempts stay within 1.2 times the requests plus the retry reserve")
{
    constexpr u32 Engines = 4;
    constexpr u32 Requests = 300;
    DeploymentOptions options = engineOptions(Engines);
    options.coldLimit = 1;
    options.warmLimit = 1;
    options.queueLimit = 1;
    Deployment deployment(options);
    deployment.start();
    const u64 refusalsBefore = totalRefusals(deployment, Engines);
    std::vector<std::future<CallResult>> answers;
    for (u32 i = 0; i < Requests; ++i) {
        PromptCall call;
        call.prompt = "request " + std::to_string(i);
        call.tokens = 400;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
    }
    u32 complete = 0;
    for (auto &pending : answers) {
        const auto answer = pending.get();
        complete += answer.isComplete ? 1 : 0;
        CHECK((answer.isComplete || (answer.verdict == "not_run" && answer.hasRetryAfter)));
    }
    const u64 attempts = totalRefusals(deployment, Engines) - refusalsBefore + complete;
    MESSAGE("whole " << complete << ", attempts " << attempts << " for " << Requests << " requests");
    CHECK(complete >= Engines);
    CHECK(attempts >= Requests);
    CHECK(attempts <= Requests * 12 / 10 + 2 * 10);
}

// Requests that are refused only at their deadline keep their callers waiting in vain, and a large customer that fills the queue
// starves small customers.
TEST_CASE("overload is refused immediately with Retry-After, and a small customer gets its share")
{
    DeploymentOptions options = engineOptions(1);
    options.entries = 1;
    options.zones = 1;
    options.coldLimit = 2;
    options.warmLimit = 2;
    options.queueLimit = 8;
    Deployment deployment(options);
    deployment.start();
    std::vector<std::future<CallResult>> largeAnswers;
    for (u32 i = 0; i < 60; ++i) {
        PromptCall call;
        call.prompt = "large " + std::to_string(i);
        call.tokens = 300;
        largeAnswers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    const auto queued = [&] {
        const auto status = deployment.status("model-0");
        return status.contains("queued") ? status.at("queued").to_number<u32>() : 0;
    };
    REQUIRE(waitUntil([&] { return queued() == options.queueLimit; }));
    PromptCall smallCall;
    smallCall.customer = "clerk";
    smallCall.tokens = 5;
    smallCall.prompt = "small";
    CHECK(sendAndWait(deployment, 0, smallCall).isComplete);
    // In order of arrival, it would have run after the two running and the eight queued requests.
    CHECK(deployment.engine(0).started() < 2 + options.queueLimit);
    u32 refused = 0;
    for (auto &pending : largeAnswers) {
        const auto answer = pending.get();
        if (!answer.isComplete) {
            ++refused;
            CHECK(answer.verdict == "not_run");
            CHECK(answer.hasRetryAfter);
        }
    }
    CHECK(refused > 0);
    CHECK(deployment.engine(0).maxRunning() <= 2);
}

// A call that was executed but refused as not run is sent again by its caller, and so executed twice.
TEST_CASE("no call that is refused as not_run has been executed")
{
    DeploymentOptions options;
    options.engines = 0;
    options.services = 2;
    Deployment deployment(options);
    deployment.start();
    std::mt19937 random(20261203);
    const auto injectRandomFault = [&] {
        const std::string endpoint = random() % 2 == 0 ? "print-0" : "print-1";
        switch (random() % 8) {
        case 0:
            deployment.linkProxy(endpoint).closeConnections();
            break;
        case 1:
            deployment.linkProxy(endpoint).stallConnections();
            break;
        case 2:
            deployment.backendProxy(endpoint).closeConnections();
            break;
        case 3:
            deployment.backendProxy(endpoint).setDroppingResponses(random() % 2 == 0);
            break;
        case 4:
            deployment.platform().setMode(random() % 2 == 0 ? standins::PlatformMode::DropWriteResponses : standins::PlatformMode::Up);
            break;
        case 5:
            deployment.platform().setMode(random() % 2 == 0 ? standins::PlatformMode::Down : standins::PlatformMode::Up);
            break;
        case 6:
            deployment.process(endpoint).signal(SIGSTOP);
            break;
        default:
            deployment.process("print-0").signal(SIGCONT);
            deployment.process("print-1").signal(SIGCONT);
            break;
        }
    };
    std::vector<std::pair<std::string, std::future<CallResult>>> orderAnswers;
    for (u32 i = 0; i < 400; ++i) {
        if (i % 10 == 0) {
            injectRandomFault();
        }
        ServiceCall call;
        call.body = "order " + std::to_string(i);
        call.key = "key " + std::to_string(i);
        call.deadlineMs = 3000;
        orderAnswers.emplace_back(call.body, deployment.spawn(sendService(deployment.entryAddress(i % 2), call)));
        if (i % 4 == 3) {
            orderAnswers.back().second.wait_for(std::chrono::milliseconds(20));
        }
    }
    deployment.process("print-0").signal(SIGCONT);
    deployment.process("print-1").signal(SIGCONT);
    u32 notRun = 0;
    u32 complete = 0;
    for (auto &[body, pending] : orderAnswers) {
        const auto answer = pending.get();
        const u32 carriedOut = deployment.service(0).executionCount(body) + deployment.service(1).executionCount(body);
        CHECK(carriedOut <= 1);
        complete += answer.isComplete ? 1 : 0;
        if (answer.verdict == "not_run") {
            ++notRun;
            CHECK(carriedOut == 0);
        }
        CHECK((!answer.isComplete || carriedOut == 1));
    }
    MESSAGE("whole " << complete << ", not run " << notRun << ", may have run " << orderAnswers.size() - complete - notRun);
    CHECK(complete > 0);
    CHECK(notRun > 0);
}
