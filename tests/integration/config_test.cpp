#include <support/caller.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/serving/config/config_watcher.hpp>

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::PlatformMode;

namespace {

u64 configVersionOf(Deployment &deployment, const std::string &name)
{
    const auto status = deployment.status(name);
    return status.contains("config_version") ? status.at("config_version").to_number<u64>() : 0;
}

const std::vector<std::string> &allProcesses()
{
    static const std::vector<std::string> s_names{"entry-0", "entry-1", "model-0", "model-1", "print-0"};
    return s_names;
}

bool allHaveVersion(Deployment &deployment, u64 version)
{
    return std::all_of(allProcesses().begin(), allProcesses().end(),
                       [&](const auto &name) { return configVersionOf(deployment, name) >= version; });
}

void drainUnknownEndpoint(schema::Bundle &bundle)
{
    bundle.add_drained_endpoints("nobody");
}

} // namespace

TEST_CASE("an accepted change is in force everywhere within seconds")
{
    Deployment deployment;
    deployment.start();
    const auto result = deployment.edit(drainUnknownEndpoint);
    REQUIRE(result.code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allHaveVersion(deployment, result.version); }, std::chrono::seconds(3)));
}

// Guards against two operators who change the bundle concurrently and are both told that their change is in force, because the last
// write wins.
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
    const u32 successes = (oneResult.code == ops::ExitCode::Ok ? 1 : 0) + (twoResult.code == ops::ExitCode::Ok ? 1 : 0);
    CHECK(successes == 1);
    const auto &loser = oneResult.code == ops::ExitCode::Ok ? twoResult : oneResult;
    CHECK(loser.code == ops::ExitCode::Conflict);
    CHECK(loser.conflictingVersion == 2);
    CHECK(waitUntil([&] { return allHaveVersion(deployment, 2); }));
}

// Guards against reporting a rollout as failed that takes effect a second later, because the response to the accepting write was lost.
TEST_CASE("a rollout is reported correctly when the response to its accepting write is lost")
{
    Deployment deployment;
    deployment.start();
    deployment.platform().setMode(PlatformMode::DropWriteResponses);
    const auto result = deployment.edit(drainUnknownEndpoint);
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(result.code == ops::ExitCode::Ok);
    CHECK(result.version == 2);
    CHECK(waitUntil([&] { return allHaveVersion(deployment, 2); }));
}

// Guards against sending work to evacuated zones after an outage from which the platform is restored from an older copy, because processes
// trust the latest response of the platform.
TEST_CASE("a platform that serves an older version after an outage changes nothing")
{
    Deployment deployment;
    deployment.start();
    const auto oldValue = deployment.platform().value("config/current");
    REQUIRE(deployment.edit(drainUnknownEndpoint).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHaveVersion(deployment, 2); }));
    deployment.platform().setMode(PlatformMode::Down);
    deployment.platform().forcePut("config/current", oldValue, 900);
    deployment.platform().setMode(PlatformMode::Up);
    const u64 reads = deployment.platform().requestCount("watch");
    REQUIRE(waitUntil([&] { return deployment.platform().requestCount("watch") > reads + 6; }));
    CHECK(allHaveVersion(deployment, 2));
    // Nor did any process revert to the old version for a while until a peer corrected it.
    for (const auto &name : allProcesses()) {
        const auto log = deployment.logOf(name);
        const std::string first = "\"config_in_force\",\"version\":1}";
        CHECK(log.find(first) == log.rfind(first));
    }
    // A process that starts now receives the old version from the platform and the newer one from its peers.
    deployment.process("entry-1").signal(SIGKILL);
    static_cast<void>(deployment.process("entry-1").waitForExit(std::chrono::seconds(5)));
    deployment.startProcess("entry-1");
    CHECK(waitUntil([&] { return configVersionOf(deployment, "entry-1") == 2; }));
}

// Guards against new entries that cannot serve when VMs are replaced during a long platform outage, because startup depends on the
// platform.
TEST_CASE("prompts are served while the platform is down, also by processes that start meanwhile")
{
    Deployment deployment;
    deployment.start();
    deployment.platform().setMode(PlatformMode::Down);
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    for (const auto *name : {"entry-1", "model-0"}) {
        deployment.process(name).signal(SIGKILL);
        static_cast<void>(deployment.process(name).waitForExit(std::chrono::seconds(5)));
        deployment.startProcess(name);
    }
    CHECK(waitUntil([&] { return configVersionOf(deployment, "entry-1") == 1 && configVersionOf(deployment, "model-0") == 1; }));
    CHECK(waitUntil([&] { return sendAndWait(deployment, 1, PromptCall{}).isComplete; }));
}

TEST_CASE("a bundle that is unsigned, signed with an untrusted key or altered is rejected by every process")
{
    Deployment deployment;
    deployment.start();
    auto bundle = deployment.bundle();
    bundle.set_version(2);
    const auto document = ops::toJson(bundle);
    auto forged = *schema::sign(document, schema::generateSigningKey().secretKey);
    SUBCASE("signed with an untrusted key")
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
        CHECK(configVersionOf(deployment, name) == 1);
    }
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
}

// Guards against someone who can write to the platform but has no operator key and appends a change to the accepted ones. If it were
// accepted, zones would be evacuated; if it blocked later configurations, service would stop.
TEST_CASE("a change signed with an untrusted key is rejected by every process, and the operators' next full bundle supersedes it")
{
    Deployment deployment;
    deployment.start();
    clients::HttpObjectStore store(runtime::http::parseAddress(deployment.platform().address()), std::chrono::seconds(1));
    ops::Rollout rollout(store);
    const auto evacuateZone = [](schema::Bundle &bundle) {
        bundle.mutable_zones(0)->set_out(true);
        return true;
    };
    const auto forged = deployment.spawn(rollout.edit(schema::generateSigningKey().secretKey, evacuateZone)).get();
    REQUIRE(forged.code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return deployment.logOf("entry-0").find("config_rejected") != std::string::npos; }));
    for (const auto &name : allProcesses()) {
        CHECK(configVersionOf(deployment, name) == 1);
    }
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    auto bundle = deployment.bundle();
    bundle.set_version(forged.version + 1);
    bundle.add_drained_endpoints("model-0");
    const auto genuine = *schema::sign(ops::toJson(bundle), deployment.signingKey());
    REQUIRE(deployment.spawn(rollout.apply(genuine)).get().code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allHaveVersion(deployment, forged.version + 1); }));
    const u32 before = deployment.engine(0).started();
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    CHECK(deployment.engine(0).started() == before);
}

// The platform counts every pending watch against its rate limits, and each change completes all of them, so thousands of watching entries
// would exhaust the limits. If only a few entries watch, they may die before the VM list shows it, and the others would get no updates.
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
    const auto allEntriesHaveVersion = [&](const std::vector<std::string> &names, u64 version) {
        return std::all_of(names.begin(), names.end(), [&](const auto &name) { return configVersionOf(deployment, name) == version; });
    };
    std::vector<std::string> watching;
    std::vector<std::string> others;
    for (u32 i = 0; i < options.entries; ++i) {
        const auto name = "entry-" + std::to_string(i);
        const bool isWatching = deployment.status(name).at("watches_config").as_bool();
        (isWatching ? watching : others).push_back(name);
    }
    CHECK(watching.size() == 3);
    CHECK(deployment.edit(drainUnknownEndpoint).code == ops::ExitCode::Ok);
    CHECK(waitUntil([&] { return allEntriesHaveVersion(watching, 2) && allEntriesHaveVersion(others, 2); }, std::chrono::seconds(12)));
    for (const auto &name : watching) {
        deployment.process(name).signal(SIGKILL);
    }
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("another"); }).code == ops::ExitCode::Ok);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitUntil([&] { return allEntriesHaveVersion(others, 3); }, std::chrono::seconds(12)));
    MESSAGE("configuration in force after " << std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count() << " s");
}

// Guards against a process that misses one of many changes and ends up with a configuration that was never accepted.
TEST_CASE("many changes reach all processes, also one that was suspended and one that started meanwhile")
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
            static_cast<void>(deployment.process("entry-1").waitForExit(std::chrono::seconds(5)));
            deployment.startProcess("entry-1");
        }
    }
    deployment.process("entry-0").signal(SIGCONT);
    CHECK(waitUntil([&] { return allHaveVersion(deployment, 101); }));
    const auto accepted = deployment.spawn(rollout.accepted()).get();
    CHECK(accepted.bundle.version() == 101);
    CHECK(accepted.bundle.drained_endpoints_size() == 100);
    CHECK(accepted.bundle.customers(1).burst() == 199);
    CHECK(accepted.current.base_version() > 1);
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    CHECK(sendAndWait(deployment, 1, PromptCall{}).isComplete);
}

// Guards against merging two histories. The platform is restored from an older copy without the change that drained model-0, and operators
// drain model-1 instead. Processes that still hold the lost change would have both drained and serve no request.
TEST_CASE("after the platform lost the latest change, all processes come to hold what operators accepted from there on")
{
    Deployment deployment;
    deployment.start();
    const auto oldValue = deployment.platform().value("config/current");
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHaveVersion(deployment, 2); }));
    deployment.platform().forcePut("config/current", oldValue, 900);
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-1"); }).code == ops::ExitCode::Ok);
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("nobody"); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return allHaveVersion(deployment, 3); }));
    const u32 before = deployment.engine(1).started();
    for (u32 i = 0; i < 10; ++i) {
        PromptCall call;
        call.prompt = "prompt " + std::to_string(i);
        CHECK(sendAndWait(deployment, i % 2, call).isComplete);
    }
    CHECK(deployment.engine(1).started() == before);
}

// A bundle with thousands of customers exceeds the platform's maximum value size, and sending all of it with each change saturates the
// links.
TEST_CASE("a bundle above the platform's largest value takes force, and a change of it costs little")
{
    DeploymentOptions options;
    options.extraCustomers = 12'000;
    Deployment deployment(options);
    deployment.start();
    PromptCall call;
    call.customer = "customer-11999";
    CHECK(sendAndWait(deployment, 0, call).isComplete);
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
    REQUIRE(waitUntil([&] { return allHaveVersion(deployment, result.version); }));
    CHECK_FALSE(sendAndWait(deployment, 0, call).isComplete);
    call.customer = "renewed";
    CHECK(sendAndWait(deployment, 0, call).isComplete);
    CHECK(sendAndWait(deployment, 1, call).isComplete);
}

// Guards against an entry that is suspended for a while, resumes with an outdated configuration and sends work to an evacuated zone,
// because it is the last to receive the change and no other process checks its requests.
TEST_CASE("an entry that was frozen during a rollout proposes nothing under the old version")
{
    Deployment deployment;
    deployment.start();
    deployment.process("entry-0").signal(SIGSTOP);
    const auto result = deployment.edit([](schema::Bundle &bundle) { bundle.mutable_zones(0)->set_out(true); });
    REQUIRE(waitUntil([&] { return configVersionOf(deployment, "entry-1") == 2 && configVersionOf(deployment, "model-0") == 2; }));
    const u32 before = deployment.engine(0).started();
    std::vector<std::future<CallResult>> answers;
    for (u32 i = 0; i < 10; ++i) {
        PromptCall call;
        call.prompt = "prompt " + std::to_string(i);
        answers.push_back(deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    deployment.process("entry-0").signal(SIGCONT);
    for (auto &answer : answers) {
        const auto response = answer.get();
        CHECK((response.isComplete || response.verdict == "not_run"));
    }
    CHECK(deployment.engine(0).started() == before);
    CHECK(waitUntil([&] { return sendAndWait(deployment, 0, PromptCall{}).isComplete; }));
}
