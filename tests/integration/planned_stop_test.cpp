#include <support/gateway_deployment.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

namespace http = runtime::http;
using Clock = std::chrono::steady_clock;

constexpr auto CallTimeout = std::chrono::seconds(20);
constexpr auto CallPause = std::chrono::milliseconds(15);
constexpr auto ExitTimeout = std::chrono::seconds(12);
/** Time by which a process must have exited after its grace period. */
constexpr auto ExitMargin = std::chrono::milliseconds(300);
constexpr u16 BadGateway = 502;

/** @brief Statuses that callers got, by attempt; 0 for a connection that was closed without an answer. */
class Answers
{
public:
    void note(const std::string &attempt, const http::Exchange &answer)
    {
        const std::lock_guard lock(m_mutex);
        m_statuses[attempt] = answer.progress == http::Progress::Answered ? answer.response.status : 0;
    }

    /** @brief Number of the requests that got this status. */
    [[nodiscard]] std::size_t count(const std::set<std::string> &attempts, u16 status) const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto &attempt : attempts) {
            const auto found = m_statuses.find(attempt);
            count += found != m_statuses.end() && found->second == status ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses.size();
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, u16> m_statuses;
};

/** @brief Callers who use their open connections until the gateway's process is gone. */
class KeptConnections
{
public:
    KeptConnections(const std::string &address, const std::string &path, std::size_t count, Answers &answers)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_threads.emplace_back([this, address, path, i, &answers] {
                runtime::WorkerPool pool(1);
                const auto strand = boost::asio::make_strand(pool.context());
                http::KeepAliveClient client(http::parseAddress(address), CallTimeout);
                for (u32 number = 0; !m_isStopping; ++number) {
                    const auto attempt = fmt::format("{}-{}-{}", path, i, number);
                    http::Request request;
                    request.method = "POST";
                    request.target = path;
                    request.headers = {{"Host", "desk.example"},
                                       {"X-Attempt-Id", attempt},
                                       {"X-Deadline-Ms", "9000"},
                                       {"Authorization", "Token key-desk"}};
                    const auto answer = boost::asio::co_spawn(strand, client.exchange(request, CallTimeout), boost::asio::use_future).get();
                    if (answer.progress != http::Progress::NotSent) {
                        answers.note(attempt, answer);
                    }
                    std::this_thread::sleep_for(CallPause);
                }
                pool.stop();
                pool.wait();
            });
        }
    }

    ~KeptConnections()
    {
        stop();
    }

    KeptConnections(const KeptConnections &) = delete;
    KeptConnections &operator=(const KeptConnections &) = delete;

    void stop()
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

private:
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_threads;
};

std::set<std::string> attemptsAt(const Replica &replica)
{
    std::set<std::string> attempts;
    for (const auto &request : replica.received()) {
        attempts.insert(request.header("X-Attempt-Id"));
    }
    return attempts;
}

standins::ReplicaScript respondAfter(std::chrono::milliseconds time)
{
    return [time](const ReceivedRequest &request, ReplicaConnection &connection) {
        std::this_thread::sleep_for(time);
        connection.write(standins::completeResponse(request, 200, "done"));
        return ConnectionAction::Keep;
    };
}

} // namespace

// Guards against requests that are taken late in the grace period and cut at its end, among them some that may not be repeated.
TEST_CASE("a planned stop answers each request that it has passed on, and refuses others truly")
{
    for (const u32 graceSeconds : {2, 3, 6}) {
        for (const std::string path : {"/once/1", "/read/1"}) {
            CAPTURE(graceSeconds);
            CAPTURE(path);
            GatewayDeployment gateway(fmt::format(R"({{"grace_seconds":{}}})", graceSeconds));
            Replica replica(respondAfter(std::chrono::milliseconds(1500)));
            gateway.setUpService("plain", {&replica});
            Answers answers;
            KeptConnections callers(gateway.gateway().callerAddress(), path, 8, answers);
            REQUIRE(GatewayDeployment::waitFor([&] { return answers.size() > 0; }));
            gateway.process().signal(SIGTERM);
            const auto begun = Clock::now();
            CHECK(gateway.process().waitForExit(ExitTimeout) == 0);
            CHECK(Clock::now() - begun < std::chrono::seconds(graceSeconds) + ExitMargin);
            callers.stop();
            const auto passedOn = attemptsAt(replica);
            CHECK(answers.count(passedOn, 200) > 0);
            CHECK(answers.count(passedOn, 0) == 0);
            CHECK(answers.count(passedOn, 503) == 0);
        }
    }
}

// Guards against a caller who learns of the end of its request only from a closed connection, although the process knew it before.
TEST_CASE("a request that is still at work at the end of the grace period is answered then, and not as refused")
{
    GatewayDeployment gateway(R"({"grace_seconds":2})");
    Replica silent([](const ReceivedRequest &, ReplicaConnection &connection) {
        static_cast<void>(connection.waitForClose(std::chrono::seconds(8)));
        return ConnectionAction::Close;
    });
    gateway.registerReplica("e1", "engines", silent.address());
    gateway.setUpService("plain", {&silent});
    std::vector<std::future<http::Exchange>> calls;
    for (const std::string path : {"/once/1", "/read/1", "/prompts/1"}) {
        auto call = path == "/prompts/1" ? promptCall(path, path) : GatewayCall{};
        call.path = path;
        call.attempt = path;
        calls.push_back(std::async(std::launch::async, [&gateway, call] { return gateway.call(call); }));
    }
    REQUIRE(GatewayDeployment::waitFor([&] { return silent.received().size() == calls.size(); }));
    gateway.process().signal(SIGTERM);
    for (auto &call : calls) {
        const auto answer = call.get();
        CHECK(answer.progress == http::Progress::Answered);
        CHECK(answer.response.status == BadGateway);
        CHECK(answer.response.body.find("leaving") != std::string::npos);
    }
    CHECK(gateway.process().waitForExit(ExitTimeout) == 0);
}

// Guards against a stop that takes requests of which it could know that they don't end in time.
TEST_CASE("requests that usually last longer than what is left of the grace period are refused")
{
    GatewayDeployment gateway(R"({"grace_seconds":3})");
    Replica replica(respondAfter(std::chrono::milliseconds(2600)));
    gateway.setUpService("plain", {&replica});
    GatewayCall call;
    CHECK(gateway.call(call).response.status == 200);
    gateway.process().signal(SIGTERM);
    REQUIRE(GatewayDeployment::waitFor([&] { return gateway.readiness() == 503; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    call.attempt = "late";
    const auto late = gateway.call(call);
    CHECK(late.response.status == 503);
    CHECK_FALSE(late.response.header("Retry-After").empty());
    CHECK(replica.received().size() == 1);
}

// Guards against requests that are still read or written when the process ends, and then use what it has freed.
TEST_CASE("a planned stop ends as usual beside callers that don't read their answers or don't finish their requests")
{
    GatewayDeployment gateway(R"({"grace_seconds":2})");
    Replica engine([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::streamHead(request));
        for (u32 id = 1; !connection.waitForClose(Duration::zero()); ++id) {
            connection.write(standins::eventChunk(id, std::string(16 * 1024, 'x')));
        }
        return ConnectionAction::Close;
    });
    gateway.setUpService("engines", {&engine});
    const auto address = http::parseAddress(gateway.gateway().callerAddress());
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
    const std::string headers = "Host: desk.example\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-desk\r\n";
    boost::asio::ip::tcp::socket silent(context);
    silent.connect(endpoint);
    boost::asio::write(silent,
                       boost::asio::buffer("POST /prompts/1 HTTP/1.1\r\nX-Attempt-Id: a1\r\nX-Model-Id: m\r\nX-Token-Usage: 10,1000000\r\n"
                                           "X-Prompt-Prefix: aa:6,bb:4\r\nContent-Length: 0\r\n"
                                           + headers + "\r\n"));
    boost::asio::ip::tcp::socket unfinished(context);
    unfinished.connect(endpoint);
    boost::asio::write(unfinished,
                       boost::asio::buffer("POST /once/1 HTTP/1.1\r\nX-Attempt-Id: a2\r\nContent-Length: 1000\r\n" + headers + "\r\nbody"));
    REQUIRE(GatewayDeployment::waitFor([&] { return engine.received().size() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    gateway.process().signal(SIGTERM);
    const auto begun = Clock::now();
    CHECK(gateway.process().waitForExit(ExitTimeout) == 0);
    CHECK(Clock::now() - begun < std::chrono::seconds(2) + ExitMargin);
}
