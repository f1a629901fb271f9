#include <support/caller.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/serving/config/config_watcher.hpp>

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::PlatformMode;

namespace {

u64 versionAt(Deployment &deployment, const std::string &name)
{
    const auto status = deployment.status(name);
    return status.contains("config_version") ? status.at("config_version").to_number<u64>() : 0;
}

const std::vector<std::string> &allProcesses()
{
    static const std::vector<std::string> s_names{"entry-0", "entry-1", "model-0", "model-1", "print-0"};
    return s_names;
}

bool allHold(Deployment &deployment, u64 version)
{
    return std::all_of(allProcesses().begin(), allProcesses().end(),
                       [&](const auto &name) { return versionAt(deployment, name) >= version; });
}

void drainNobody(schema::Bundle &bundle)
{
    bundle.add_drained_endpoints("nobody");
}

} // namespace

TEST_CASE("an accepted change is in force everywhere within seconds")
{
    Deployment deployment;
    deployment.start();
    const auto result = deployment.edit(drainNobody);
    REQUIRE(result.code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allHold(deployment, result.version); }, std::chrono::seconds(3)));
}

// Two operators change the bundle at the same moment, and each is told that theirs is in force. Cause: last write wins.
TEST_CASE("of two operators with one version, one wins and the other is told which version won")
{
    Deployment deployment;
    deployment.start();
    auto bundle = deployment.bundle();
    bundle.set_version(2);
    bundle.add_drained_endpoints("one");
    const auto first = schema::sign(ops::toJson(bundle), deployment.signingKey());
    bundle.add_drained_endpoints("two");
    const auto second = schema::sign(ops::toJson(bundle), deployment.signingKey());
    clients::HttpObjectStore store(runtime::http::parseAddress(deployment.platform().address()), std::chrono::seconds(1));
    ops::Rollout rollout(store);
    auto one = deployment.spawn(rollout.apply(*first));
    auto two = deployment.spawn(rollout.apply(*second));
    const auto oneResult = one.get();
    const auto twoResult = two.get();
    const u32 won = (oneResult.code == ops::ExitCode::Ok ? 1 : 0) + (twoResult.code == ops::ExitCode::Ok ? 1 : 0);
    CHECK(won == 1);
    const auto &loser = oneResult.code == ops::ExitCode::Ok ? twoResult : oneResult;
    CHECK(loser.code == ops::ExitCode::Conflict);
    CHECK(loser.winner == 2);
    CHECK(waitUntil([&] { return allHold(deployment, 2); }));
}

// The operator is told that a rollout failed, and it is in force a second later. Cause: the answer to the accepting write was lost.
TEST_CASE("a rollout whose accepting write lost its answer is reported as what it is")
{
    Deployment deployment;
    deployment.start();
    deployment.platform().setMode(PlatformMode::DropWriteResponses);
    const auto result = deployment.edit(drainNobody);
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(result.code == ops::ExitCode::Ok);
    CHECK(result.version == 2);
    CHECK(waitUntil([&] { return allHold(deployment, 2); }));
}

// After an outage the platform comes back from an older copy; zones that were taken out get work again.
// Cause: processes that believe whatever the platform says last.
TEST_CASE("a platform that serves an older version after an outage changes nothing")
{
    Deployment deployment;
    deployment.start();
    const auto old = deployment.platform().value("config/current");
    REQUIRE(deployment.edit(drainNobody).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHold(deployment, 2); }));
    deployment.platform().setMode(PlatformMode::Down);
    deployment.platform().forcePut("config/current", old, 900);
    deployment.platform().setMode(PlatformMode::Up);
    const u64 reads = deployment.platform().requestCount("watch");
    REQUIRE(waitUntil([&] { return deployment.platform().requestCount("watch") > reads + 6; }));
    CHECK(allHold(deployment, 2));
    // Nor did anybody go back in between, to be set right by a peer.
    for (const auto &name : allProcesses()) {
        const auto log = deployment.logOf(name);
        const std::string first = "\"config_in_force\",\"version\":1}";
        CHECK(log.find(first) == log.rfind(first));
    }
    // A process that starts now gets the old version from the platform, and the newer one from its peers.
    deployment.process("entry-1").signal(SIGKILL);
    static_cast<void>(deployment.process("entry-1").waitForEnd(std::chrono::seconds(5)));
    deployment.startProcess("entry-1");
    CHECK(waitUntil([&] { return versionAt(deployment, "entry-1") == 2; }));
}

// The platform is down for a long time, and VMs are replaced meanwhile. Callers find the new entry unable to serve.
// Cause: a start that needs the platform.
TEST_CASE("prompts are served while the platform is down, also by processes that start meanwhile")
{
    Deployment deployment;
    deployment.start();
    deployment.platform().setMode(PlatformMode::Down);
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    for (const auto *name : {"entry-1", "model-0"}) {
        deployment.process(name).signal(SIGKILL);
        static_cast<void>(deployment.process(name).waitForEnd(std::chrono::seconds(5)));
        deployment.startProcess(name);
    }
    CHECK(waitUntil([&] { return versionAt(deployment, "entry-1") == 1 && versionAt(deployment, "model-0") == 1; }));
    CHECK(waitUntil([&] { return ask(deployment, 1, PromptCall{}).isWhole; }));
}

TEST_CASE("a bundle that is unsigned, signed by a stranger or altered is taken by nobody")
{
    Deployment deployment;
    deployment.start();
    auto bundle = deployment.bundle();
    bundle.set_version(2);
    const auto document = ops::toJson(bundle);
    auto forged = *schema::sign(document, schema::makeSigningKey().secretKey);
    SUBCASE("signed by a stranger")
    {
    }
    SUBCASE("altered")
    {
        forged = *schema::sign(document, deployment.signingKey());
        bundle.add_drained_endpoints("model-0");
        forged.set_document(ops::toJson(bundle));
    }
    SUBCASE("unsigned")
    {
        forged.clear_signature();
    }
    clients::HttpObjectStore store(runtime::http::parseAddress(deployment.platform().address()), std::chrono::seconds(1));
    ops::Rollout rollout(store);
    REQUIRE(deployment.spawn(rollout.apply(forged)).get().code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return deployment.logOf("entry-0").find("config_rejected") != std::string::npos; }));
    for (const auto &name : allProcesses()) {
        CHECK(versionAt(deployment, name) == 1);
    }
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
}

// Someone with access to the platform, but without a key of the operators, lays a change of his own on top of the accepted ones.
// If it were believed, zones would go out; if it stopped the processes from going on, so would service.
TEST_CASE("a change signed by a stranger is taken by nobody, and the operators' next whole bundle goes past it")
{
    Deployment deployment;
    deployment.start();
    clients::HttpObjectStore store(runtime::http::parseAddress(deployment.platform().address()), std::chrono::seconds(1));
    ops::Rollout rollout(store);
    const auto takeZoneOut = [](schema::Bundle &bundle) {
        bundle.mutable_zones(0)->set_out(true);
        return true;
    };
    const auto forged = deployment.spawn(rollout.edit(schema::makeSigningKey().secretKey, takeZoneOut)).get();
    REQUIRE(forged.code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return deployment.logOf("entry-0").find("config_rejected") != std::string::npos; }));
    for (const auto &name : allProcesses()) {
        CHECK(versionAt(deployment, name) == 1);
    }
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    auto bundle = deployment.bundle();
    bundle.set_version(forged.version + 1);
    bundle.add_drained_endpoints("model-0");
    const auto genuine = *schema::sign(ops::toJson(bundle), deployment.signingKey());
    REQUIRE(deployment.spawn(rollout.apply(genuine)).get().code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allHold(deployment, forged.version + 1); }));
    const u32 before = deployment.engine(0).started();
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    CHECK(deployment.engine(0).started() == before);
}

// The platform counts every waiting watch, and each change answers all of them; with thousands of entries its rates are used up.
// Once only a few watch, those few may die before the list of VMs says so, and the rest would hear nothing.
TEST_CASE("three entries of a zone watch the platform, and the others hear of changes also when those three are dead")
{
    DeploymentOptions options;
    options.entries = 6;
    options.zones = 1;
    options.engines = 1;
    options.services = 0;
    Deployment deployment(options);
    deployment.start();
    CHECK(waitUntil([&] { return deployment.platform().openWatches("config/current") == 3; }));
    const auto allEntriesHold = [&](const std::vector<std::string> &names, u64 version) {
        return std::all_of(names.begin(), names.end(), [&](const auto &name) { return versionAt(deployment, name) == version; });
    };
    std::vector<std::string> watching;
    std::vector<std::string> others;
    for (u32 i = 0; i < options.entries; ++i) {
        const auto name = "entry-" + std::to_string(i);
        const bool isWatching = deployment.status(name).at("watches_config").as_bool();
        (isWatching ? watching : others).push_back(name);
    }
    CHECK(watching.size() == 3);
    CHECK(deployment.edit(drainNobody).code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allEntriesHold(watching, 2) && allEntriesHold(others, 2); }, std::chrono::seconds(12)));
    for (const auto &name : watching) {
        deployment.process(name).signal(SIGKILL);
    }
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("another"); }).code == ops::ExitCode::Ok);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitUntil([&] { return allEntriesHold(others, 3); }, std::chrono::seconds(12)));
    MESSAGE("in force after " << std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count() << " s");
}

// Guards against a process that misses one of many changes and is left with a configuration that was never accepted.
TEST_CASE("many changes reach all processes, also one that slept and one that started meanwhile")
{
    Deployment deployment;
    deployment.start();
    clients::HttpObjectStore store(runtime::http::parseAddress(deployment.platform().address()), std::chrono::seconds(1));
    ops::Rollout rollout(store, {4, 25});
    const auto change = [&](u32 round) {
        return deployment
            .spawn(rollout.edit(deployment.signingKey(),
                                [round](schema::Bundle &bundle) {
                                    bundle.mutable_customers(1)->set_burst(100 + round);
                                    bundle.add_drained_endpoints("vm-" + std::to_string(round));
                                    return true;
                                }))
            .get();
    };
    deployment.process("entry-0").signal(SIGSTOP);
    for (u32 round = 0; round < 100; ++round) {
        REQUIRE(change(round).code == ops::ExitCode::Ok);
        if (round == 40) {
            deployment.process("entry-1").signal(SIGKILL);
            static_cast<void>(deployment.process("entry-1").waitForEnd(std::chrono::seconds(5)));
            deployment.startProcess("entry-1");
        }
    }
    deployment.process("entry-0").signal(SIGCONT);
    CHECK(waitUntil([&] { return allHold(deployment, 101); }));
    const auto accepted = deployment.spawn(rollout.accepted()).get();
    CHECK(accepted.bundle.version() == 101);
    CHECK(accepted.bundle.drained_endpoints_size() == 100);
    CHECK(accepted.bundle.customers(1).burst() == 199);
    CHECK(accepted.current.base_version() > 1);
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    CHECK(ask(deployment, 1, PromptCall{}).isWhole);
}

// The platform is restored from an older copy and forgets that model-0 was taken out; operators take out model-1 instead.
// Processes that still hold the forgotten change would have both out and serve nobody. Cause: two histories merged.
TEST_CASE("after the platform lost the latest change, all processes come to hold what operators accepted from there on")
{
    Deployment deployment;
    deployment.start();
    const auto old = deployment.platform().value("config/current");
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHold(deployment, 2); }));
    deployment.platform().forcePut("config/current", old, 900);
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-1"); }).code == ops::ExitCode::Ok);
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("nobody"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHold(deployment, 3); }));
    const u32 before = deployment.engine(1).started();
    for (u32 i = 0; i < 10; ++i) {
        PromptCall call;
        call.prompt = "prompt " + std::to_string(i);
        CHECK(ask(deployment, i % 2, call).isWhole);
    }
    CHECK(deployment.engine(1).started() == before);
}

// A bundle with thousands of customers fits no value of the platform, and sent whole with each change it fills the links.
TEST_CASE("a bundle above the platform's largest value takes force, and a change of it costs little")
{
    DeploymentOptions options;
    options.furtherCustomers = 12'000;
    Deployment deployment(options);
    deployment.start();
    PromptCall call;
    call.customer = "customer-11999";
    CHECK(ask(deployment, 0, call).isWhole);
    const auto hashOf = [](const std::string &key) {
        return hash::toHex(hash::asBytes(hash::plainDigest256(key)));
    };
    const u64 calls = deployment.platform().requestCount("write");
    const auto result = deployment.edit([&](schema::Bundle &bundle) {
        auto &customers = *bundle.mutable_customers();
        customers.rbegin()->set_api_key_hash(hashOf("key-renewed"));
    });
    REQUIRE(result.code == ops::ExitCode::Ok);
    CHECK(deployment.platform().requestCount("write") == calls + 1);
    CHECK(deployment.platform().value("config/current").size() < 1000);
    REQUIRE(waitUntil([&] { return allHold(deployment, result.version); }));
    CHECK_FALSE(ask(deployment, 0, call).isWhole);
    call.customer = "renewed";
    CHECK(ask(deployment, 0, call).isWhole);
    CHECK(ask(deployment, 1, call).isWhole);
}

// An entry stops for a while and wakes with the configuration of yesterday; it sends work to a zone that is out.
// Cause: the entry is the last to know, and nobody checks what it proposes.
TEST_CASE("an entry that was frozen during a rollout proposes nothing under the old version")
{
    Deployment deployment;
    deployment.start();
    deployment.process("entry-0").signal(SIGSTOP);
    const auto result = deployment.edit([](schema::Bundle &bundle) { bundle.mutable_zones(0)->set_out(true); });
    REQUIRE(waitUntil([&] { return versionAt(deployment, "entry-1") == 2 && versionAt(deployment, "model-0") == 2; }));
    const u32 before = deployment.engine(0).started();
    std::vector<std::future<Answer>> answers;
    for (u32 i = 0; i < 10; ++i) {
        PromptCall call;
        call.prompt = "prompt " + std::to_string(i);
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    deployment.process("entry-0").signal(SIGCONT);
    for (auto &answer : answers) {
        const auto got = answer.get();
        CHECK((got.isWhole || got.verdict == "not_run"));
    }
    CHECK(deployment.engine(0).started() == before);
    CHECK(waitUntil([&] { return ask(deployment, 0, PromptCall{}).isWhole; }));
}
