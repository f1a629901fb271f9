#include <support/caller.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace support;

namespace {

/** @brief Callers that ask one prompt after another until told to stop. */
class SteadyLoad
{
public:
    SteadyLoad(Deployment &deployment, u32 callers, u32 tokens = 10)
        : m_deployment(deployment)
        , m_rounds(callers)
    {
        for (u32 i = 0; i < callers; ++i) {
            m_callers.push_back(deployment.spawn(call(i, tokens)));
        }
    }

    ~SteadyLoad()
    {
        stop();
    }

    SteadyLoad(const SteadyLoad &) = delete;
    SteadyLoad &operator=(const SteadyLoad &) = delete;

    void stop()
    {
        m_isStopping = true;
        for (auto &caller : m_callers) {
            if (caller.valid()) {
                static_cast<void>(caller.get());
            }
        }
    }

    /** @brief Requests that the slowest caller has had answered. */
    [[nodiscard]] u32 slowestCaller() const
    {
        return *std::min_element(m_rounds.begin(), m_rounds.end());
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
            // A connection that is refused never reached the system: the balancer sends it to another entry.
            if (answer.progress == runtime::http::Progress::NotSent) {
                answer = co_await sendPrompt(m_deployment.entryAddress((number + round + 1) % 2), prompt);
            }
            const bool isRight = answer.isWhole && answer.text == standins::expectedAnswer(prompt.prompt, tokens);
            ++(isRight ? served : failed);
            ++m_rounds[number];
            if (!isRight) {
                MESSAGE(prompt.prompt << ": status " << answer.status << " " << answer.reason << " " << answer.verdict);
            }
        }
        co_return number;
    }

    Deployment &m_deployment;
    std::vector<std::atomic<u32>> m_rounds;
    std::atomic<bool> m_isStopping{false};
    std::vector<std::future<u32>> m_callers;
};

struct KeptCallerCounts
{
    u32 answered = 0;
    u32 cutOff = 0;
};

/** @brief Asks without pause on kept connections until the entry refuses new ones. */
boost::asio::awaitable<KeptCallerCounts> keepAsking(std::string entry, u32 number)
{
    constexpr Duration Patience = std::chrono::seconds(20);
    runtime::http::KeptClient client(runtime::http::parseAddress(entry), Patience);
    KeptCallerCounts counts;
    for (u32 round = 0;; ++round) {
        runtime::http::Request request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.emplace_back("Authorization", "Bearer key-desk");
        request.headers.emplace_back("Content-Type", "application/json");
        request.body
            = R"({"model":"m","max_tokens":3,"prompt":"caller )" + std::to_string(number) + " round " + std::to_string(round) + R"("})";
        const auto exchange = co_await client.exchange(request, Patience);
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

void setOut(schema::Bundle &bundle, bool isOut)
{
    bundle.mutable_zones(0)->set_out(isOut);
}

bool hasQuieted(Deployment &deployment, const std::vector<u32> &engines, Duration quiet)
{
    std::vector<u32> before;
    for (const u32 number : engines) {
        before.push_back(deployment.engine(number).started());
    }
    std::this_thread::sleep_for(quiet); // no new run during this time is what is tested
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (deployment.engine(engines[i]).started() != before[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against an entry that missed the change and goes on sending prompts to a zone whose machines lose power soon.
TEST_CASE("a zone that is out gets no new work, under load, and serves again when it is back")
{
    Deployment deployment(fourEngines());
    deployment.start();
    SteadyLoad load(deployment, 12);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() > 0 && deployment.engine(2).started() > 0; }));

    SUBCASE("every process hears of it")
    {
    }
    SUBCASE("no process reaches the platform but one entry")
    {
        // Entry 0 and the endpoint processes share the cut; entry 1 is started anew with a line of its own.
        deployment.platformProxy().setRefusing(true);
        deployment.platformProxy().closeConnections();
        deployment.platformProxy().setRefusing(false);
    }
    const auto accepted = std::chrono::steady_clock::now();
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { setOut(bundle, true); }).code == ops::ExitCode::Ok);
    REQUIRE(waitUntil([&] { return hasQuieted(deployment, {0, 2}, std::chrono::milliseconds(300)); }, std::chrono::seconds(8)));
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - accepted).count() - 0.3;
    MESSAGE("no new work " << seconds << " s after acceptance");
    CHECK(seconds < 5.0);
    CHECK(hasQuieted(deployment, {0, 2}, std::chrono::seconds(1)));
    const u32 servedWhileOut = load.served;
    REQUIRE(waitUntil([&] { return load.served > servedWhileOut + 20; }));
    REQUIRE(deployment.edit([](schema::Bundle &bundle) { setOut(bundle, false); }).code == ops::ExitCode::Ok);
    const u32 before = deployment.engine(0).started();
    CHECK(waitUntil([&] { return deployment.engine(0).started() > before; }));
    load.stop();
    CHECK(load.failed == 0);
}

// Guards against requests cut off at a VM that goes, as some processes hear late of the sign that it leaves.
TEST_CASE("a leaving endpoint gets no new work, whichever sign comes, and no request is cut off")
{
    Deployment deployment(fourEngines());
    deployment.start();
    SteadyLoad load(deployment, 12, 20);
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() > 0; }));
    SUBCASE("listed as leaving")
    {
        deployment.setListedLeaving("model-0", true);
    }
    SUBCASE("drained by an operator")
    {
        REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    }
    SUBCASE("SIGTERM while the list lags")
    {
        deployment.process("model-0").signal(SIGTERM);
        CHECK(deployment.process("model-0").waitForEnd(std::chrono::seconds(20)) == 0);
    }
    SUBCASE("all at once")
    {
        deployment.process("model-0").signal(SIGTERM);
        deployment.setListedLeaving("model-0", true);
        REQUIRE(deployment.edit([](schema::Bundle &bundle) { bundle.add_drained_endpoints("model-0"); }).code == ops::ExitCode::Ok);
    }
    CHECK(waitUntil([&] { return hasQuieted(deployment, {0}, std::chrono::milliseconds(500)); }, std::chrono::seconds(5)));
    load.stop();
    CHECK(load.failed == 0);
    CHECK(load.served > 0);
}

TEST_CASE("a rolling restart of all processes under load fails no request")
{
    Deployment deployment(fourEngines());
    deployment.start();
    SteadyLoad load(deployment, 8, 30);
    for (const auto *name : {"entry-0", "model-0", "model-1", "entry-1", "model-2", "model-3"}) {
        deployment.process(name).signal(SIGTERM);
        CHECK(deployment.process(name).waitForEnd(std::chrono::seconds(20)) == 0);
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

// Guards against requests that are cut off on connections which their callers keep while an entry stops.
TEST_CASE("callers that keep their connections get an answer to each request though their entry stops")
{
    DeploymentOptions options = fourEngines();
    options.entries = 1;
    Deployment deployment(options);
    deployment.start();
    std::vector<std::future<KeptCallerCounts>> callers;
    for (u32 i = 0; i < 24; ++i) {
        callers.push_back(deployment.spawn(keepAsking(deployment.entryAddress(0), i)));
    }
    REQUIRE(waitUntil([&] { return deployment.engine(0).started() + deployment.engine(1).started() > 200; }));
    deployment.process("entry-0").signal(SIGTERM);
    CHECK(deployment.process("entry-0").waitForEnd(std::chrono::seconds(20)) == 0);
    KeptCallerCounts sum;
    for (auto &caller : callers) {
        const auto counts = caller.get();
        sum.answered += counts.answered;
        sum.cutOff += counts.cutOff;
    }
    MESSAGE("answered " << sum.answered << ", cut off " << sum.cutOff);
    CHECK(sum.cutOff == 0);
}

// Guards against streams that are cut off because their entry stood still for a moment of its planned stop.
TEST_CASE("streams end whole though their entry stands still while it stops")
{
    Deployment deployment(fourEngines());
    deployment.start();
    std::vector<std::pair<PromptCall, std::future<Answer>>> answers;
    for (u32 i = 0; i < 8; ++i) {
        PromptCall call;
        call.prompt = "stream " + std::to_string(i);
        call.tokens = 2000;
        call.begun = std::make_shared<std::atomic<u32>>(0);
        answers.emplace_back(call, deployment.spawn(sendPrompt(deployment.entryAddress(0), call)));
    }
    REQUIRE(
        waitUntil([&] { return std::all_of(answers.begin(), answers.end(), [](const auto &answer) { return *answer.first.begun > 0; }); }));
    auto &entry = deployment.process("entry-0");
    entry.signal(SIGTERM);
    REQUIRE(waitUntil([&] { return ask(deployment, 0, PromptCall{}).progress == runtime::http::Progress::NotSent; }));
    entry.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    entry.signal(SIGCONT);
    for (auto &[call, pending] : answers) {
        CHECK(pending.get().isWhole);
    }
    CHECK(entry.waitForEnd(std::chrono::seconds(20)) == 0);
}

// Guards against streams that break off because all processes stood still for longer than a silent engine is waited for.
TEST_CASE("streams go on after all processes stood still for four seconds")
{
    Deployment deployment(fourEngines());
    deployment.start();
    SteadyLoad load(deployment, 8, 200);
    REQUIRE(waitUntil([&] { return load.served > 8; }));
    const auto signalAll = [&](int signal) {
        for (const auto *name : {"entry-0", "entry-1", "model-0", "model-1", "model-2", "model-3"}) {
            deployment.process(name).signal(signal);
        }
    };
    signalAll(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(4)); // longer than the three seconds of an engine's silence
    signalAll(SIGCONT);
    const u32 before = load.served;
    CHECK(waitUntil([&] { return load.served > before + 20; }));
    load.stop();
    CHECK(load.failed == 0);
}

// Guards against an engine that restarts and falls over again and again, as load reports lag behind its restart.
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
    SteadyLoad load(deployment, 30, 15);
    REQUIRE(waitUntil([&] { return deployment.engine(0).maxRunning() >= 10; }));
    for (u32 round = 1; round <= 3; ++round) {
        deployment.engine(0).crash();
        // A request that was under way at two crashes is given up on purpose, so none may live through two of them here.
        const u32 rounds = load.slowestCaller();
        REQUIRE(waitUntil([&] { return load.slowestCaller() >= rounds + 4; }));
        CHECK(deployment.engine(0).crashes() == round);
    }
    load.stop();
    CHECK(deployment.engine(1).crashes() == 0);
    MESSAGE("served " << load.served.load() << ", failed " << load.failed.load());
    CHECK(load.failed == 0);
}
