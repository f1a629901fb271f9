#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace support;
using standins::PlatformMode;
using standins::ServiceMode;

namespace {

ServiceCall order(const std::string &body, const std::string &key)
{
    ServiceCall call;
    call.body = body;
    call.key = key;
    return call;
}

DeploymentOptions printersOnly()
{
    DeploymentOptions options;
    options.engines = 0;
    options.services = 2;
    return options;
}

u32 carriedOut(Deployment &deployment, const std::string &body)
{
    return deployment.service(0).executionCount(body) + deployment.service(1).executionCount(body);
}

// Sends an order that the service has carried out, and answers only after releaseOrders().
std::future<Answer> orderUnderWay(Deployment &deployment)
{
    deployment.service(0).setMode(ServiceMode::ExecuteAndWait);
    deployment.service(1).setMode(ServiceMode::ExecuteAndWait);
    auto pending = deployment.spawn(sendService(deployment.entryAddress(0), order("badge", "k")));
    REQUIRE(waitUntil([&] { return carriedOut(deployment, "badge") == 1; }));
    return pending;
}

void releaseOrders(Deployment &deployment)
{
    deployment.service(0).release();
    deployment.service(1).release();
}

} // namespace

TEST_CASE("one key runs once, whoever sends it and however often")
{
    Deployment deployment(printersOnly());
    deployment.start();
    const auto first = ask(deployment, 0, order("badge 1", "k1"));
    REQUIRE(first.isWhole);

    SUBCASE("sent again later, through the other entry, it returns the recorded outcome")
    {
        Answer second;
        REQUIRE(waitUntil([&] {
            second = ask(deployment, 1, order("badge 1", "k1"));
            return second.status == 200;
        }));
        CHECK(second.text == first.text);
        CHECK(carriedOut(deployment, "badge 1") == 1);
    }
    SUBCASE("with another body it is refused, and does not run")
    {
        const auto other = ask(deployment, 1, order("badge 2", "k1"));
        CHECK(other.status == 422);
        CHECK(other.reason == "key_reused");
        CHECK(carriedOut(deployment, "badge 2") == 0);
    }
    SUBCASE("of another customer it is another key")
    {
        auto call = order("badge 1", "k1");
        call.customer = "desk";
        CHECK(ask(deployment, 1, call).isWhole);
        CHECK(carriedOut(deployment, "badge 1") == 2);
    }
    SUBCASE("sent by twenty callers at the same moment it runs once")
    {
        std::vector<std::future<Answer>> answers;
        for (u32 i = 0; i < 20; ++i) {
            answers.push_back(deployment.spawn(sendService(deployment.entryAddress(i % 2), order("badge 3", "k3"))));
        }
        u32 served = 0;
        for (auto &answer : answers) {
            const auto got = answer.get();
            served += got.status == 200 ? 1 : 0;
            CHECK((got.status == 200 || got.verdict == "may_have_run"));
        }
        CHECK(served >= 1);
        CHECK(carriedOut(deployment, "badge 3") == 1);
    }
}

// A clerk sees one print order charged twice. The service carries the order out and its connection breaks before the answer; the
// clerk presses "print" again and reaches another entry, and another printer. Cause: nobody knew that the order may have run.
TEST_CASE("an order whose answer was lost at the back end is not run again")
{
    Deployment deployment(printersOnly());
    deployment.start();
    deployment.service(0).setMode(ServiceMode::ExecuteAndClose);
    deployment.service(1).setMode(ServiceMode::ExecuteAndClose);
    const auto first = ask(deployment, 0, order("badge", "k"));
    CHECK(first.verdict == "may_have_run");
    deployment.service(0).setMode(ServiceMode::Respond);
    deployment.service(1).setMode(ServiceMode::Respond);
    for (u32 i = 0; i < 4; ++i) {
        const auto again = ask(deployment, i % 2, order("badge", "k"));
        CHECK(again.verdict == "may_have_run");
        CHECK(again.saysWhen);
    }
    CHECK(carriedOut(deployment, "badge") == 1);
}

// The back end refuses connections for a moment. The caller is told "not run" and sends again; the order must then run, or a
// vendor arrives with no badge. Cause: a claim that nobody takes back.
TEST_CASE("an order that provably did not run is free to be sent again")
{
    Deployment deployment(printersOnly());
    deployment.start();
    deployment.backendProxy("print-0").setRefusing(true);
    deployment.backendProxy("print-1").setRefusing(true);
    const auto first = ask(deployment, 0, order("badge", "k"));
    // The proxy accepts and closes at once, after which the request may have been sent.
    CHECK((first.verdict == "not_run" || first.verdict == "may_have_run"));
    CHECK(carriedOut(deployment, "badge") == 0);
    deployment.backendProxy("print-0").setRefusing(false);
    deployment.backendProxy("print-1").setRefusing(false);
    if (first.verdict == "not_run") {
        CHECK(waitUntil([&] { return ask(deployment, 1, order("badge", "k")).status == 200; }));
        CHECK(carriedOut(deployment, "badge") == 1);
    }
}

// The clerk presses "print" while the platform has an outage, and again after it. Without a record nobody could tell a second
// order from the first. Cause: running an order whose claim is not known to be written.
TEST_CASE("while the platform is down an order is refused at once, truly not run")
{
    Deployment deployment(printersOnly());
    deployment.start();
    for (const auto mode : {PlatformMode::Down, PlatformMode::RejectWrites}) {
        deployment.platform().setMode(mode);
        const auto answer = ask(deployment, 0, order("badge", "k"));
        CHECK(answer.reason == "platform_unavailable");
        CHECK(answer.verdict == "not_run");
        CHECK(answer.saysWhen);
        CHECK(answer.total < std::chrono::seconds(5));
        CHECK(carriedOut(deployment, "badge") == 0);
    }
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(waitUntil([&] { return ask(deployment, 1, order("badge", "k")).status == 200; }));
    CHECK(carriedOut(deployment, "badge") == 1);
}

// The platform takes the claim and its answer is lost on the way. Seen by the clerk: an order that never prints, if the claim
// counts as failed, or prints twice, if a second claim is made under another name. Cause: a write with an unknown outcome.
TEST_CASE("a claim whose answer was lost is read back, and the order runs once")
{
    Deployment deployment(printersOnly());
    deployment.start();
    deployment.platform().setMode(PlatformMode::DropWriteResponses);
    const auto answer = ask(deployment, 0, order("badge", "k"));
    CHECK(answer.isWhole);
    CHECK(carriedOut(deployment, "badge") == 1);
    deployment.platform().setMode(PlatformMode::Up);
    CHECK(waitUntil([&] { return ask(deployment, 1, order("badge", "k")).status == 200; }));
    CHECK(carriedOut(deployment, "badge") == 1);
}

// The entry that took the order dies while the printer works; the clerk sends again through the other entry.
// Seen as two badges if the second entry starts over. Cause: the first entry took its knowledge with it.
TEST_CASE("an order whose entry was killed runs once")
{
    Deployment deployment(printersOnly());
    deployment.start();
    auto lost = orderUnderWay(deployment);
    deployment.process("entry-0").signal(SIGKILL);
    CHECK(lost.get().status != 200);
    CHECK(ask(deployment, 1, order("badge", "k")).verdict == "may_have_run");
    releaseOrders(deployment);
    CHECK(waitUntil([&] { return ask(deployment, 1, order("badge", "k")).status == 200; }));
    CHECK(carriedOut(deployment, "badge") == 1);
}

// The endpoint process stops for longer than any timeout while it holds an order, is given up, and wakes. Seen as a second badge
// minutes later if it, or a successor, runs the order anew. Cause: a lease that lapsed while its holder was paused.
TEST_CASE("an order runs once though its endpoint process is frozen or killed on the way")
{
    Deployment deployment(printersOnly());
    deployment.start();
    auto pending = orderUnderWay(deployment);
    const std::string holder = deployment.service(0).totalExecutions() == 1 ? "print-0" : "print-1";

    SUBCASE("frozen")
    {
        deployment.process(holder).signal(SIGSTOP);
        CHECK(pending.get().verdict == "may_have_run");
        CHECK(ask(deployment, 1, order("badge", "k")).verdict == "may_have_run");
        releaseOrders(deployment);
        deployment.process(holder).signal(SIGCONT);
        CHECK(waitUntil([&] { return ask(deployment, 1, order("badge", "k")).status == 200; }));
    }
    SUBCASE("killed and started again")
    {
        deployment.process(holder).signal(SIGKILL);
        CHECK(pending.get().verdict == "may_have_run");
        releaseOrders(deployment);
        deployment.startProcess(holder);
        REQUIRE(waitUntil([&] { return deployment.status(holder).contains("config_version"); }));
        CHECK(ask(deployment, 1, order("badge", "k")).verdict == "may_have_run");
    }
    CHECK(carriedOut(deployment, "badge") == 1);
}

// The link between entry and endpoint process goes silent for good while the order is under way. The caller waits for nothing,
// or the order is sent once more on a new link. Cause: something between the two ends forgot the connection.
TEST_CASE("an order under way is picked up again on a new link")
{
    Deployment deployment(printersOnly());
    deployment.start();
    auto pending = orderUnderWay(deployment);
    deployment.linkProxy("print-0").stallConnections();
    deployment.linkProxy("print-1").stallConnections();
    REQUIRE(waitUntil([&] { return deployment.logOf("entry-0").find("link_replaced") != std::string::npos; }));
    releaseOrders(deployment);
    CHECK(pending.get().isWhole);
    CHECK(carriedOut(deployment, "badge") == 1);
}
