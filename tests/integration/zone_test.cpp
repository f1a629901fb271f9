#include <support/caller.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace support;

namespace {

/** @brief Callers that send one prompt after another until stopped. */
class ContinuousLoad
{
public:
    ContinuousLoad(Deployment &deployment, u32 callers, u32 tokens = 10)
        : m_deployment(deployment)
        , m_completedRequests(callers)
    {
        for (u32 i = 0; i < callers; ++i) {
            m_callers.push_back(deployment.spawn(call(i, tokens)));
        }
    }

    ~ContinuousLoad()
    {
        stop();
    }

    ContinuousLoad(const ContinuousLoad &) = delete;
    ContinuousLoad &operator=(const ContinuousLoad &) = delete;

    void stop()
    {
        m_isStopping = true;
        for (auto &caller : m_callers) {
            if (caller.valid()) {
                static_cast<void>(caller.get());
            }
        }
    }

    /** @brief Number of requests completed by the slowest caller. */
    [[nodiscard]] u32 minCompletedRequests() const
    {
        return *std::min_element(m_completedRequests.begin(), m_completedRequests.end());
    }

    std::atomic<u32> served{0};
    std::atomic<u32> failed{0};

private:
    boost::asio::awaitable<u32> call(u32 number, u32 tokens)
    {
        PromptCall prompt;
        prompt.tokens = tokens;
        for (u32 round = 0; !m_isStopping; ++round) {
            prompt.prompt = "caller " + std::to_string(number) + " round " + std::to_string(round);
            auto answer = co_await sendPrompt(m_deployment.entryAddress((number + round) % 2), prompt);
            // A refused connection never reached the system; the load balancer would try another entry.
            if (answer.progress == runtime::http::Progress::NotSent) {
                answer = co_await sendPrompt(m_deployment.entryAddress((number + round + 1) % 2), prompt);
            }
            const bool isCorrect = answer.isComplete && answer.text == standins::expectedAnswer(prompt.prompt, tokens);
            ++(isCorrect ? served : failed);
            ++m_completedRequests[number];
            if (!isCorrect) {
                MESSAGE(prompt.prompt << ": status " << answer.status << " " << answer.reason << " " << answer.verdict);
            }
        }
        co_return number;
    }

    Deployment &m_deployment;
    std::vector<std::atomic<u32>> m_completedRequests;
    std::atomic<bool> m_isStopping{false};
    std::vector<std::future<u32>> m_callers;
};

struct KeepAliveCounts
{
    u32 answered = 0;
    u32 cutOff = 0;
};

/** @brief Sends requests without pause on keep-alive connections until the entry refuses new connections. */
boost::asio::awaitable<KeepAliveCounts> sendUntilRefused(std::string entry, u32 number)
{
    constexpr Duration Timeout = std::chrono::seconds(20);
    runtime::http::KeepAliveClient client(runtime::http::parseAddress(entry), Timeout);
    KeepAliveCounts counts;
    for (u32 round = 0;; ++round) {
        runtime::http::Request request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.emplace_back("Authorization", "Bearer key-desk");
        request.headers.emplace_back("Content-Type", "application/json");
        request.body
            = R"({"model":"m","max_tokens":3,"prompt":"caller )" + std::to_string(number) + " round " + std::to_string(round) + R"("})";
        const auto exchange = co_await client.exchange(request, Timeout);
        if (exchange.progress == runtime::http::Progress::NotSent) {
            co_return counts;
        }
        ++(exchange.progress == runtime::http::Progress::Answered ? counts.answered : counts.cutOff);
    }
}

DeploymentOptions fourEngines()
{
    DeploymentOptions options;
    options.engines = 4;
    options.services = 0;
    options.coldLimit = 16;
    options.warmLimit = 64;
    options.engine.coldRunCapacity = 64;
    options.engine.warmRunCapacity = 200;
    return options;
}

void setZoneOut(schema::Bundle &bundle, bool isOut)
{
    bundle.mutable_zones(0)->set_out(isOut);
}

bool hasNoNewRuns(Deployment &deployment, const std::vector<u32> &engines, Duration period)
{
    std::vector<u32> before;
    for (const u32 number : engines) {
        before.push_back(deployment.engine(number).started());
    }
    std::this_thread::sleep_for(period); // no new run may start during this period
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (deployment.engine(engines[i]).started() != before[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against an entry that missed the change and keeps sending prompts to a zone whose machines will soon lose power.
TEST_CASE("a zone that is out gets no new work, under load, and serves again when it is back")
{
    Deployment deployment(fourEngines());
    deployment.start();
    ContinuousLoad load(deployment, 12);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() > 0 && deployment.engine(2).started() > 0; }));

    SUBCASE("every process receives the change")
    {
    }
    SUBCASE("no process except one entry reaches the platform")
    {
        // Entry 0 and the endpoint processes share the cut connection; entry 1 is restarted with a connection of its own.
        deployment.platformProxy().setRefusing(true);
        deployment.platformProxy().closeConnections();
        deployment.platformProxy().setRefusing(false);
    }
    const auto acceptTime = std::chrono::steady_clock::now();
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { setZoneOut(bundle, true); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return hasNoNewRuns(deployment, {0, 2}, std::chrono::milliseconds(300)); }, std::chrono::seconds(8)));
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - acceptTime).count() - 0.3;
    MESSAGE("no new work " << seconds << " s after acceptance");
    CHECK(seconds < 5.0);
    CHECK(hasNoNewRuns(deployment, {0, 2}, std::chrono::seconds(1)));
    const u32 servedWhileOut = load.served;
    REQUIRE(waitUntil([&] { return load.served > servedWhileOut + 20; }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { setZoneOut(bundle, false); }).code == ops::ExitCode::Ok);
    const u32 before = deployment.engine(0).started();
    CHECK(waitUntil([&] { return deployment.engine(0).started() > before; }));
    load.stop();
    CHECK(load.failed == 0);
}

// Guards against aborting requests on a VM that shuts down because some processes learn late that it is leaving.
TEST_CASE("a leaving endpoint gets no new work, whichever signal announces it, and no request is cut off")
{
    Deployment deployment(fourEngines());
    deployment.start();
    ContinuousLoad load(deployment, 12, 20);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() > 0; }));
    SUBCASE("listed as leaving")
    {
        deployment.setListedLeaving("model-0", true);
    }
    SUBCASE("drained by an operator")
    {
        REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    }
    SUBCASE("SIGTERM before the VM list is updated")
    {
        deployment.process("model-0").signal(SIGTERM);
        CHECK(deployment.process("model-0").waitForExit(std::chrono::seconds(20)) == 0);
    }
    SUBCASE("all at once")
    {
        deployment.process("model-0").signal(SIGTERM);
        deployment.setListedLeaving("model-0", true);
        REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    }
    CHECK(waitUntil([&] { return hasNoNewRuns(deployment, {0}, std::chrono::milliseconds(500)); }, std::chrono::seconds(5)));
    load.stop();
    CHECK(load.failed == 0);
    CHECK(load.served > 0);
}

TEST_CASE("a rolling restart of all processes under load fails no request")
{
    Deployment deployment(fourEngines());
    deployment.start();
    ContinuousLoad load(deployment, 8, 30);
    for (const auto *name : {"entry-0", "model-0", "model-1", "entry-1", "model-2", "model-3"}) {
        deployment.process(name).signal(SIGTERM);
        CHECK(deployment.process(name).waitForExit(std::chrono::seconds(20)) == 0);
        deployment.startProcess(name);
        CHECK(waitUntil([&] {
            const auto status = deployment.status(name);
            return status.contains("config_version") && status.at("config_version").to_number<u64>() > 0;
        }));
        const u32 before = load.served;
        CHECK(waitUntil([&] { return load.served > before + 5; }));
    }
    load.stop();
    CHECK(load.failed == 0);
    MESSAGE("served " << load.served.load() << " requests during the restarts");
}

// Guards against aborting requests on keep-alive connections while an entry stops.
TEST_CASE("callers with keep-alive connections get a response to each request while their entry stops")
{
    DeploymentOptions options = fourEngines();
    options.entries = 1;
    Deployment deployment(options);
    deployment.start();
    std::vector<std::future<KeepAliveCounts>> callers;
    for (u32 i = 0; i < 24; ++i) {
        callers.push_back(deployment.spawn(sendUntilRefused(deployment.entryAddress(0), i)));
    }
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() > 200; }));
    deployment.process("entry-0").signal(SIGTERM);
    CHECK(deployment.process("entry-0").waitForExit(std::chrono::seconds(20)) == 0);
    KeepAliveCounts total;
    for (auto &caller : callers) {
        const auto counts = caller.get();
        total.answered += counts.answered;
        total.cutOff += counts.cutOff;
    }
    MESSAGE("answered " << total.answered << ", cut off " << total.cutOff);
    CHECK(total.cutOff == 0);
}

// Guards against aborting streams because their entry was suspended for a moment during its planned stop.
TEST_CASE("streams complete although their entry is suspended while it stops")
{
    Deployment deployment(fourEngines());
    deployment.start();
    std::vector<std::pair<PromptCall, std::future<CallResult>>> answers;
    for (u32 i = 0; i < 8; ++i) {
        PromptCall call;
        call.prompt = "stream " + std::to_string(i);
        call.tokens = 2000;
        call.firstTokenCount = std::make_shared<std::atomic<u32>>(0);
        answers.emplace_back(call, deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    REQUIRE(waitUntil(
        [&] { return std::all_of(answers.begin(), answers.end(), [](const auto &answer) { return *answer.first.firstTokenCount > 0; }); }));
    auto &entry = deployment.process("entry-0");
    entry.signal(SIGTERM);
    REQUIRE(waitUntil([&] { return sendAndWait(deployment, 0, PromptCall{}).progress == runtime::http::Progress::NotSent; }));
    entry.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    entry.signal(SIGCONT);
    for (auto &[call, pending] : answers) {
        CHECK(pending.get().isComplete);
    }
    CHECK(entry.waitForExit(std::chrono::seconds(20)) == 0);
}

// Guards against aborting streams because all processes were suspended for longer than the timeout for a silent engine.
TEST_CASE("streams continue after all processes were suspended for four seconds")
{
    Deployment deployment(fourEngines());
    deployment.start();
    ContinuousLoad load(deployment, 8, 200);
    REQUIRE(waitUntil([&] { return load.served > 8; }));
    const auto signalAll = [&](int signal) {
        for (const auto *name : {"entry-0", "entry-1", "model-0", "model-1", "model-2", "model-3"}) {
            deployment.process(name).signal(signal);
        }
    };
    signalAll(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(4)); // exceeds the three seconds after which a silent engine is given up
    signalAll(SIGCONT);
    const u32 before = load.served;
    CHECK(waitUntil([&] { return load.served > before + 20; }));
    load.stop();
    CHECK(load.failed == 0);
}

// Guards against an engine that crashes again after every restart because load reports lag behind the restart.
TEST_CASE("an engine that restarts under load gets no more than it bears while cold")
{
    DeploymentOptions options = fourEngines();
    options.engines = 2;
    options.coldLimit = 3;
    options.warmLimit = 24;
    options.engine.coldRunCapacity = 3;
    options.engine.warmRunCapacity = 24;
    options.engine.warmAfterRuns = 3;
    Deployment deployment(options);
    deployment.start();
    ContinuousLoad load(deployment, 30, 15);
    REQUIRE(waitUntil([&] { return deployment.engine(0).maxRunning() >= 10; }));
    for (u32 round = 1; round <= 3; ++round) {
        deployment.engine(0).crash();
        // A request that was in progress during two crashes is given up on purpose, so no request here may span two crashes.
        const u32 completedRequests = load.minCompletedRequests();
        REQUIRE(waitUntil([&] { return load.minCompletedRequests() >= completedRequests + 4; }));
        CHECK(deployment.engine(0).crashes() == round);
    }
    load.stop();
    CHECK(deployment.engine(1).crashes() == 0);
    MESSAGE("served " << load.served.load() << ", failed " << load.failed.load());
    CHECK(load.failed == 0);
}
