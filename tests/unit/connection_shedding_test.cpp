#include <burdock/admission/connection_shedding.hpp>

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <vector>

using namespace burdock;
using namespace std::chrono_literals;
using admission::ConnectionShedding;
using admission::ConnectionSheddingPolicy;

namespace {

u32 closedOf(ConnectionShedding &shedding, u32 connections)
{
    u32 closed = 0;
    for (u32 i = 0; i < connections; ++i) {
        closed += shedding.mustClose() ? 1 : 0;
    }
    return closed;
}

/** @brief A process that takes turns at all of its requests, each of which needs several turns. */
class QueueingProcess
{
public:
    explicit QueueingProcess(double capacityPerSecond)
        : m_stepSeconds(1 / capacityPerSecond / TurnsPerRequest)
    {
    }

    /** @brief Advances by a number of seconds; the last argument is in requests per second. */
    void advance(double seconds, double arrivalsPerSecond)
    {
        const double until = m_now + seconds;
        while (m_now < until) {
            const double steps = acceptConnections() + advanceRequests();
            const double length = std::max(MinTurnSeconds, steps * m_stepSeconds);
            m_now += length;
            for (m_fraction += length * arrivalsPerSecond; m_fraction >= 1; --m_fraction) {
                ++m_arrived;
                m_backlog.push_back({m_now, TurnsPerRequest});
            }
            measure();
        }
    }

    void resetCounts()
    {
        m_arrived = m_accepted = m_ended = m_late = 0;
    }

    /** @brief Share of the accepted requests whose callers had left. */
    [[nodiscard]] double lateShare() const
    {
        return m_late / std::max(1.0, m_ended);
    }

    [[nodiscard]] double acceptedPerArrival() const
    {
        return m_accepted / m_arrived;
    }

private:
    static constexpr double TurnsPerRequest = 6;
    static constexpr double StepsPerClosed = 0.1;
    static constexpr u32 AcceptedPerTurn = 64;
    static constexpr double MinTurnSeconds = 0.001;
    static constexpr double MeasurementSeconds = 0.1;
    static constexpr double PatienceSeconds = 1;

    struct Request
    {
        double arrivedAt;
        double turnsLeft;
    };

    /** @brief Returns the steps of work that it took. */
    double acceptConnections()
    {
        double steps = 0;
        for (u32 i = 0; i < AcceptedPerTurn && !m_backlog.empty(); ++i) {
            if (m_shedding.mustClose()) {
                steps += StepsPerClosed;
            } else {
                ++m_accepted;
                m_requests.push_back(m_backlog.front());
            }
            m_backlog.pop_front();
        }
        return steps;
    }

    double advanceRequests()
    {
        const auto steps = static_cast<double>(m_requests.size());
        const auto hasEnded = [this](Request &request) {
            const bool hasCallerLeft = m_now - request.arrivedAt > PatienceSeconds;
            const bool isEnd = --request.turnsLeft <= 0 || hasCallerLeft;
            m_ended += isEnd ? 1 : 0;
            m_late += hasCallerLeft ? 1 : 0;
            return isEnd;
        };
        m_requests.erase(std::remove_if(m_requests.begin(), m_requests.end(), hasEnded), m_requests.end());
        return steps;
    }

    void measure()
    {
        if (m_now < m_measurementDue) {
            return;
        }
        m_shedding.setPeers(3, 3);
        m_shedding.noteLateness(fromMilliseconds((m_now - m_measurementDue) * MillisecondsPerSecond));
        m_measurementDue = m_now + MeasurementSeconds;
    }

    static constexpr double MillisecondsPerSecond = 1000;

    ConnectionShedding m_shedding{ConnectionSheddingPolicy{}};
    double m_stepSeconds;
    double m_now = 0;
    double m_measurementDue = MeasurementSeconds;
    double m_fraction = 0; ///< of a request that has arrived
    std::deque<Request> m_backlog;
    std::vector<Request> m_requests;
    double m_arrived = 0;
    double m_accepted = 0;
    double m_ended = 0;
    double m_late = 0;
};

} // namespace

TEST_CASE("connections are closed only while a process is late all the time and others are not")
{
    ConnectionShedding shedding{ConnectionSheddingPolicy{}};
    shedding.setPeers(3, 3);
    shedding.noteLateness(3s); // was suspended
    shedding.noteLateness(1ms);
    CHECK(closedOf(shedding, 100) == 0);
    CHECK_FALSE(shedding.isOverloaded());
    for (u32 i = 0; i < 20; ++i) {
        shedding.noteLateness(400ms);
    }
    CHECK(shedding.isOverloaded());
    const u32 closed = closedOf(shedding, 1000);
    CHECK(closed >= 900);
    CHECK(closed < 1000);
    SUBCASE("the others are overloaded too")
    {
        shedding.setPeers(3, 1);
        CHECK(closedOf(shedding, 100) == 0);
    }
    SUBCASE("there are no others")
    {
        shedding.setPeers(0, 0);
        CHECK(closedOf(shedding, 100) == 0);
    }
    SUBCASE("the overload ends")
    {
        for (u32 i = 0; i < 50; ++i) {
            shedding.noteLateness(5ms);
        }
        CHECK(closedOf(shedding, 100) == 0);
    }
}

// Guards against callers that wait at a process which gets more new connections than it can serve.
TEST_CASE("a process that gets more than it can serve accepts what it can serve in time")
{
    for (const double overload : {1.2, 1.5, 2.0, 5.0, 9.0}) {
        CAPTURE(overload);
        QueueingProcess process(100);
        process.advance(3, 100 * overload);
        process.resetCounts();
        process.advance(10, 100 * overload);
        CHECK(process.lateShare() <= 0.25);
        CHECK(process.acceptedPerArrival() * overload >= 0.75);
    }
}

// Guards against a process that closes connections too late where its load grows slowly beyond what it can serve.
TEST_CASE("a process whose load grows slowly beyond what it can serve keeps its requests in time")
{
    for (const double growthPerSecond : {0.05, 0.2, 0.5}) {
        CAPTURE(growthPerSecond);
        QueueingProcess process(250);
        process.advance(3, 200);
        process.resetCounts();
        for (double overload = 0.9; overload < 2; overload += growthPerSecond / 10) {
            process.advance(0.1, 250 * overload);
        }
        CHECK(process.lateShare() <= 0.25);
    }
}
