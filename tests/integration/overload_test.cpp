#include <support/caller.hpp>

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <random>

using namespace support;

namespace {

DeploymentOptions manyEngines(u32 engines)
{
    DeploymentOptions options;
    options.engines = engines;
    options.services = 0;
    options.engine.coldBears = 64;
    options.engine.warmBears = 200;
    return options;
}

u64 refusalsAt(Deployment &deployment, u32 engines)
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

// Cuts the engine that a prompt runs at off from its endpoint process, and returns its number.
u32 cutWhereItRuns(Deployment &deployment, const PromptCall &call, const std::vector<u32> &cutBefore)
{
    u32 found = 0;
    REQUIRE(waitUntil([&] {
        for (u32 number = 0; number < 4; ++number) {
            const bool isCut = std::find(cutBefore.begin(), cutBefore.end(), number) != cutBefore.end();
            if (!isCut && deployment.engine(number).startedWith(call.prompt) > 0) {
                found = number;
                return true;
            }
        }
        return false;
    }));
    auto &proxy = deployment.backendProxy("model-" + std::to_string(found));
    proxy.setRefusing(true);
    proxy.cutAll();
    return found;
}

// Cuts off engines under a prompt, each as soon as it runs there.
std::vector<u32> cutEnginesUnder(Deployment &deployment, const PromptCall &call, u32 engines)
{
    std::vector<u32> cut;
    while (cut.size() < engines) {
        cut.push_back(cutWhereItRuns(deployment, call, cut));
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

// One draft crashes each engine that runs it, and its caller sends it again and again. Within a minute no engine is left, and
// other callers' answers die with it. Cause: a retry hands the poison on.
TEST_CASE("a poisonous request is given up after two crashes over all entries, and its neighbours are served")
{
    Deployment deployment(manyEngines(4));
    deployment.start();
    std::vector<std::future<Answer>> neighbours;
    for (u32 i = 0; i < 16; ++i) {
        PromptCall call;
        call.prompt = "innocent " + std::to_string(i);
        call.tokens = 200;
        neighbours.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
    }
    PromptCall poison;
    poison.prompt = "POISON";
    const auto first = ask(deployment, 0, poison);
    CHECK_FALSE(first.isWhole);
    for (u32 i = 0; i < 10; ++i) {
        const auto again = ask(deployment, i % 2, poison);
        CHECK_FALSE(again.isWhole);
        CHECK(again.total < std::chrono::seconds(2));
    }
    u32 crashes = 0;
    for (u32 i = 0; i < 4; ++i) {
        crashes += deployment.engine(i).crashes();
    }
    MESSAGE("crashes: " << crashes);
    CHECK(crashes <= 3);
    for (u32 i = 0; i < neighbours.size(); ++i) {
        const auto answer = neighbours[i].get();
        CHECK(answer.text == standins::expectedAnswer("innocent " + std::to_string(i), 200));
    }
}

// Half of the endpoints are gone and every request is tried again elsewhere; the other half drowns in twice its load.
// Cause: retries that know no measure.
TEST_CASE("while half of the endpoints are down, attempts stay within 1.2 times the requests")
{
    Deployment deployment(manyEngines(4));
    deployment.start();
    deployment.backendProxy("model-0").setRefusing(true);
    deployment.backendProxy("model-1").setRefusing(true);
    deployment.backendProxy("model-0").cutAll();
    deployment.backendProxy("model-1").cutAll();
    constexpr u32 Requests = 300;
    u32 whole = 0;
    std::vector<std::future<Answer>> answers;
    for (u32 i = 0; i < Requests; ++i) {
        PromptCall call;
        call.prompt = "request " + std::to_string(i);
        call.tokens = 5;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
        if (answers.size() == 20) {
            for (auto &answer : answers) {
                const auto got = answer.get();
                whole += got.isWhole ? 1 : 0;
                CHECK((got.isWhole || got.saysWhen));
            }
            answers.clear();
        }
    }
    const u32 runs = deployment.engine(2).started() + deployment.engine(3).started();
    MESSAGE("whole " << whole << " of " << Requests << ", runs " << runs);
    CHECK(runs <= Requests * 12 / 10);
    CHECK(whole >= Requests * 95 / 100);
}

// Guards against a caller that gets no answer because the connections to two engines were cut under its prompt.
TEST_CASE("a prompt that loses its connections to two engines is answered by a third, and so is its next sending")
{
    Deployment deployment(manyEngines(4));
    deployment.start();
    const auto call = longPrompt();
    auto answer = deployment.spawn(sendPrompt(deployment.entryAddress(0), call));
    const auto cut = cutEnginesUnder(deployment, call, 2);
    const bool isRight = answer.get().text == standins::expectedAnswer(call.prompt, call.tokens);
    CHECK(isRight);
    reconnect(deployment, cut);
    CHECK(ask(deployment, 1, call).isWhole);
}

// Guards against an innocent caller who is refused for half an hour after an outage took three engines' connections under its prompt.
TEST_CASE("a prompt that lost its connections to three engines is told when to come back, and is answered then")
{
    Deployment deployment(manyEngines(4));
    deployment.start();
    const auto call = longPrompt();
    auto answer = deployment.spawn(sendPrompt(deployment.entryAddress(0), call));
    const auto cut = cutEnginesUnder(deployment, call, 3);
    CHECK_FALSE(answer.get().isWhole);
    reconnect(deployment, cut);
    const auto refused = ask(deployment, 0, call);
    CHECK(refused.reason == "quarantined");
    CHECK(refused.verdict == "not_run");
    CHECK(refused.saysWhen);
    Answer later;
    CHECK(waitUntil(
        [&] {
            later = ask(deployment, 0, call);
            return later.isWhole || later.reason != "quarantined";
        },
        std::chrono::seconds(20)));
    CHECK(later.isWhole);
    CHECK(ask(deployment, 0, call).isWhole);
}

// Guards against a pool that refuses everything for seconds because each of its endpoints lost a run.
TEST_CASE("after each endpoint of a pool has lost runs at once, requests are served all the same")
{
    Deployment deployment(manyEngines(2));
    deployment.start();
    std::vector<std::pair<PromptCall, std::future<Answer>>> answers;
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
    deployment.backendProxy("model-0").cutAll();
    deployment.backendProxy("model-1").cutAll();
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() > 8; }));
    for (u32 i = 0; i < 12; ++i) {
        send("short " + std::to_string(i), 5);
    }
    for (auto &sent : answers) {
        const PromptCall &call = sent.first;
        const auto answer = sent.second.get();
        const bool isRight = answer.text == standins::expectedAnswer(call.prompt, call.tokens);
        CHECK_MESSAGE(isRight, call.prompt << ": " << answer.status << " " << answer.reason);
    }
}

// A fault of new weights breaks every answer off after its first token. Each request is tried three times, and the engines do three
// times the work for nothing. Cause: retries that know no measure.
TEST_CASE("where every run breaks, engines get fewer runs than there are requests")
{
    Deployment deployment(manyEngines(4));
    deployment.start();
    for (u32 i = 0; i < 4; ++i) {
        deployment.engine(i).setBreaking(true);
    }
    constexpr u32 Requests = 200;
    std::vector<std::future<Answer>> answers;
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
        CHECK_FALSE(answer.get().isWhole);
    }
    u32 runs = 0;
    for (u32 i = 0; i < 4; ++i) {
        runs += deployment.engine(i).started();
    }
    MESSAGE("runs " << runs << " for " << Requests << " requests");
    CHECK(runs <= Requests);
}

// Every endpoint of a pool is full. Each request that one refuses goes to the next, and endpoint processes spend on refusing what
// they lack for running. Cause: retries that know no measure.
TEST_CASE("where all endpoints are full, attempts stay within 1.2 times the requests and what is saved up")
{
    constexpr u32 Engines = 4;
    constexpr u32 Requests = 300;
    DeploymentOptions options = manyEngines(Engines);
    options.coldLimit = 1;
    options.warmLimit = 1;
    options.queueLimit = 1;
    Deployment deployment(options);
    deployment.start();
    const u64 before = refusalsAt(deployment, Engines);
    std::vector<std::future<Answer>> answers;
    for (u32 i = 0; i < Requests; ++i) {
        PromptCall call;
        call.prompt = "request " + std::to_string(i);
        call.tokens = 400;
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(i % 2), call)));
    }
    u32 whole = 0;
    for (auto &pending : answers) {
        const auto answer = pending.get();
        whole += answer.isWhole ? 1 : 0;
        CHECK((answer.isWhole || (answer.verdict == "not_run" && answer.saysWhen)));
    }
    const u64 attempts = refusalsAt(deployment, Engines) - before + whole;
    MESSAGE("whole " << whole << ", attempts " << attempts << " for " << Requests << " requests");
    CHECK(whole >= Engines);
    CHECK(attempts >= Requests);
    CHECK(attempts <= Requests * 12 / 10 + 2 * 10);
}

// Refused requests that wait for their deadline before they hear of it hold their callers for nothing; and a large customer that
// fills the queue starves the small ones.
TEST_CASE("overload is refused at once with a time to come back, and a small customer gets its share")
{
    DeploymentOptions options = manyEngines(1);
    options.entries = 1;
    options.zones = 1;
    options.coldLimit = 2;
    options.warmLimit = 2;
    options.queueLimit = 8;
    Deployment deployment(options);
    deployment.start();
    std::vector<std::future<Answer>> large;
    for (u32 i = 0; i < 60; ++i) {
        PromptCall call;
        call.prompt = "large " + std::to_string(i);
        call.tokens = 300;
        large.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    const auto queued = [&] {
        const auto status = deployment.status("model-0");
        return status.contains("queued") ? status.at("queued").to_number<u32>() : 0;
    };
    REQUIRE(waitUntil([&] { return queued() == options.queueLimit; }));
    PromptCall small;
    small.customer = "clerk";
    small.tokens = 5;
    small.prompt = "small";
    CHECK(ask(deployment, 0, small).isWhole);
    // In turn it would have come after the two that ran and the eight that waited.
    CHECK(deployment.engine(0).started() < 2 + options.queueLimit);
    u32 refused = 0;
    for (auto &pending : large) {
        const auto answer = pending.get();
        if (!answer.isWhole) {
            ++refused;
            CHECK(answer.verdict == "not_run");
            CHECK(answer.saysWhen);
        }
    }
    CHECK(refused > 0);
    CHECK(deployment.engine(0).maxRunning() <= 2);
}

// Guards against a call that is refused as not run and was carried out, so that its caller sends it again.
TEST_CASE("behind no refusal that says not_run stands a call that was carried out")
{
    DeploymentOptions options;
    options.engines = 0;
    options.services = 2;
    Deployment deployment(options);
    deployment.start();
    std::mt19937 random(20261203);
    const auto stir = [&] {
        const std::string endpoint = random() % 2 == 0 ? "print-0" : "print-1";
        switch (random() % 8) {
        case 0:
            deployment.linkProxy(endpoint).cutAll();
            break;
        case 1:
            deployment.linkProxy(endpoint).freezeOpen();
            break;
        case 2:
            deployment.backendProxy(endpoint).cutAll();
            break;
        case 3:
            deployment.backendProxy(endpoint).setLosingAnswers(random() % 2 == 0);
            break;
        case 4:
            deployment.platform().setMode(random() % 2 == 0 ? standins::PlatformMode::LoseWriteAnswers : standins::PlatformMode::Up);
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
    std::vector<std::pair<std::string, std::future<Answer>>> orders;
    for (u32 i = 0; i < 400; ++i) {
        if (i % 10 == 0) {
            stir();
        }
        ServiceCall call;
        call.body = "order " + std::to_string(i);
        call.key = "key " + std::to_string(i);
        call.deadlineMs = 3000;
        orders.emplace_back(call.body, deployment.spawn(sendService(deployment.entryAddress(i % 2), call)));
        if (i % 4 == 3) {
            orders.back().second.wait_for(std::chrono::milliseconds(20));
        }
    }
    deployment.process("print-0").signal(SIGCONT);
    deployment.process("print-1").signal(SIGCONT);
    u32 notRun = 0;
    u32 whole = 0;
    for (auto &[body, pending] : orders) {
        const auto answer = pending.get();
        const u32 carriedOut = deployment.service(0).carriedOut(body) + deployment.service(1).carriedOut(body);
        CHECK(carriedOut <= 1);
        whole += answer.isWhole ? 1 : 0;
        if (answer.verdict == "not_run") {
            ++notRun;
            CHECK(carriedOut == 0);
        }
        CHECK((!answer.isWhole || carriedOut == 1));
    }
    MESSAGE("whole " << whole << ", not run " << notRun << ", may have run " << orders.size() - whole - notRun);
    CHECK(whole > 0);
    CHECK(notRun > 0);
}
