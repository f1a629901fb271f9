#include <support/gateway_deployment.hpp>
#include <support/throttle.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
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

constexpr auto CallInterval = std::chrono::milliseconds(2);
/** Time within which a caller expects its request to be answered or its connection to be closed. */
constexpr auto CallerPatience = std::chrono::seconds(1);
/** Time after which callers must be served again, and for which that is observed. */
constexpr auto TimeToRecover = std::chrono::seconds(3);
constexpr auto TimeObserved = std::chrono::seconds(4);
constexpr double MinServedShare = 0.75;

/** @brief Callers that each open a connection to one gateway, and send their request to another if it is closed without an answer. */
class NewCallers
{
public:
    NewCallers(const GatewayProcess &first, const GatewayProcess &second)
        : m_first(http::parseAddress(first.callerAddress()))
        , m_second(http::parseAddress(second.callerAddress()))
    {
    }

    struct Counts
    {
        u32 calls = 0;
        u32 served = 0;
        u32 turnedAway = 0; ///< by the first gateway
    };

    /** @brief Makes calls at a fixed rate; returns those that were made after the given time. */
    Counts run(Clock::duration length, Clock::duration countedFrom)
    {
        m_counts = {};
        const auto start = Clock::now();
        boost::asio::co_spawn(m_context, makeCalls(start, length, countedFrom), boost::asio::detached);
        m_context.restart();
        m_context.run();
        return m_counts;
    }

private:
    boost::asio::awaitable<void> makeCalls(Clock::time_point start, Clock::duration length, Clock::duration countedFrom)
    {
        boost::asio::steady_timer timer(m_context);
        for (auto next = start; next < start + length; next += CallInterval) {
            timer.expires_at(next);
            co_await timer.async_wait(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, makeCall(next >= start + countedFrom), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> makeCall(bool isCounted)
    {
        http::Request request;
        request.method = "POST";
        request.target = "/read/1";
        request.body = "{}";
        request.headers = {{"Host", "desk.example"},
                           {"X-Attempt-Id", fmt::format("c{:x}", ++m_lastCall)},
                           {"X-Deadline-Ms", "3000"},
                           {"Authorization", "Token key-desk"}};
        const auto begun = Clock::now();
        auto answer = co_await http::exchange(m_first, request, CallerPatience);
        const bool isClosed = answer.progress != http::Progress::Answered && Clock::now() - begun < CallerPatience;
        if (isClosed) {
            answer = co_await http::exchange(m_second, request, CallerPatience);
        }
        const bool isServed = answer.progress == http::Progress::Answered && answer.response.status == 200;
        m_counts.calls += isCounted ? 1 : 0;
        m_counts.served += isCounted && isServed ? 1 : 0;
        m_counts.turnedAway += isCounted && isClosed ? 1 : 0;
    }

    boost::asio::io_context m_context;
    http::Address m_first;
    http::Address m_second;
    u32 m_lastCall = 0;
    Counts m_counts;
};

ConnectionAction respondDone(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(standins::completeResponse(request, 200, "done"));
    return ConnectionAction::Keep;
}

/** @brief Enough endpoints that callers are never refused for lack of them. */
class PlainService
{
public:
    explicit PlainService(GatewayDeployment &deployment)
    {
        std::vector<const Replica *> replicas;
        for (u32 i = 0; i < ReplicaCount; ++i) {
            replicas.push_back(m_replicas.emplace_back(std::make_unique<Replica>(respondDone)).get());
        }
        deployment.setUpService("plain", replicas);
    }

private:
    static constexpr u32 ReplicaCount = 60;

    std::vector<std::unique_ptr<Replica>> m_replicas;
};

} // namespace

// Guards against callers that wait at a gateway which gets more new connections than it can serve, while others have room.
TEST_CASE("a gateway that gets most of the new connections closes those that it can't serve, and others serve them")
{
    GatewayDeployment deployment;
    const PlainService service(deployment);
    auto &second = deployment.addGateway();
    NewCallers callers(deployment.gateway(), second);
    const auto before = callers.run(std::chrono::seconds(1), std::chrono::seconds(0));
    CHECK(before.served == before.calls);
    CHECK(before.turnedAway == 0);
    const Throttle throttle(deployment.process());
    const auto during = callers.run(TimeToRecover + TimeObserved, TimeToRecover);
    MESSAGE("served " << during.served << " of " << during.calls << ", turned away at the first gateway " << during.turnedAway);
    CHECK(during.served >= MinServedShare * during.calls);
}

// Guards against connections that are closed although no other gateway could serve them sooner.
TEST_CASE("a gateway that is alone closes no connections of callers, however busy it is")
{
    GatewayDeployment deployment;
    const PlainService service(deployment);
    NewCallers callers(deployment.gateway(), deployment.gateway());
    const Throttle throttle(deployment.process());
    const auto during = callers.run(std::chrono::seconds(3), std::chrono::seconds(0));
    CHECK(during.turnedAway == 0);
}
