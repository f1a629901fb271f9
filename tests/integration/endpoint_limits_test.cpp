#include <support/gateway_deployment.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto RunTime = std::chrono::milliseconds(20);
/** Time after which all gateways must keep a limit that was named, and the time over which the requests are counted. */
constexpr auto TimeToReact = std::chrono::seconds(3);
constexpr auto Window = std::chrono::seconds(4);
constexpr double MinUsedShare = 0.8;

/** @brief An endpoint that names a limit in each answer, and records when requests arrive. */
class LimitedEndpoint
{
public:
    explicit LimitedEndpoint(std::string limit)
        : m_limit(std::move(limit))
        , m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return serve(request, connection); })
    {
    }

    [[nodiscard]] const Replica &replica() const
    {
        return m_replica;
    }

    /** @brief Sets the limit that further answers name; an empty text names none. */
    void setLimit(const std::string &limit)
    {
        const std::lock_guard lock(m_mutex);
        m_limit = limit;
    }

    [[nodiscard]] std::size_t arrivalsIn(Clock::time_point from, Clock::time_point until) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const auto arrival) { return arrival >= from && arrival < until; }));
    }

    /** @brief The highest number of arrivals in any time span of that length after the given time. */
    [[nodiscard]] std::size_t mostArrivals(Clock::time_point after, Clock::duration span) const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t most = 0;
        for (const auto end : m_arrivals) {
            if (end - span >= after) {
                most = std::max(most, static_cast<std::size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const auto arrival) {
                                    return arrival > end - span && arrival <= end;
                                })));
            }
        }
        return most;
    }

private:
    ConnectionAction serve(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        std::string limit;
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(Clock::now());
            limit = m_limit;
        }
        std::this_thread::sleep_for(RunTime);
        const bool isStream = request.target.rfind("/prompts", 0) == 0;
        const auto header = limit.empty() ? std::string() : fmt::format("Server-Limit: {}\r\n", limit);
        if (isStream) {
            auto head = standins::streamHead(request);
            head.insert(head.size() - 2, header);
            connection.write(head + standins::eventChunk(1, "x") + standins::StreamEnd);
        } else {
            connection.write(standins::completeResponse(request, 200, "done", header));
        }
        return ConnectionAction::Keep;
    }

    mutable std::mutex m_mutex; ///< guards the two members below
    std::string m_limit;
    std::vector<Clock::time_point> m_arrivals;
    Replica m_replica;
};

/** @brief Several gateways, and callers that call all of them all the time. */
class Load
{
public:
    explicit Load(u32 gateways)
    {
        m_deployment.configure(3);
        for (u32 i = 1; i < gateways; ++i) {
            m_further.push_back(&m_deployment.addGateway());
        }
    }

    ~Load()
    {
        stop();
    }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    [[nodiscard]] GatewayDeployment &deployment()
    {
        return m_deployment;
    }

    void addEndpoint(const std::string &id, const std::string &service, const LimitedEndpoint &endpoint)
    {
        m_deployment.registerReplica(id, service, endpoint.replica().address());
    }

    /** @brief Waits until all gateways know the endpoints of a path. */
    void awaitServing(const std::string &path)
    {
        for (u32 gateway = 0; gateway <= m_further.size(); ++gateway) {
            REQUIRE(GatewayDeployment::waitFor([&] { return isServed(send(gateway, path)); }));
        }
    }

    /** @brief Starts a caller at each gateway; `interval` is that between two of its calls. */
    void start(const std::string &path, Clock::duration interval)
    {
        for (u32 gateway = 0; gateway <= m_further.size(); ++gateway) {
            startAt(gateway, path, interval);
        }
    }

    void startAt(u32 gateway, const std::string &path, Clock::duration interval)
    {
        m_threads.emplace_back([this, gateway, path, interval] {
            while (!m_isStopping) {
                const auto answer = send(gateway, path);
                m_served += isServed(answer) ? 1 : 0;
                m_refused += answer.response.status == 503 ? 1 : 0;
                std::this_thread::sleep_for(interval);
            }
        });
    }

    void stop()
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    [[nodiscard]] runtime::http::Exchange send(u32 gateway, const std::string &path)
    {
        const auto number = ++m_calls;
        const auto attempt = fmt::format("c{}", number);
        auto call = path == "/prompts" ? promptCall(fmt::format("{}/{}", path, number), attempt) : GatewayCall{};
        call.attempt = attempt;
        call.path = fmt::format("{}/{}", path, number);
        call.body = attempt;
        return gateway == 0 ? m_deployment.call(call) : m_deployment.call(call, *m_further[gateway - 1]);
    }

    [[nodiscard]] GatewayProcess &further(u32 gateway)
    {
        return *m_further[gateway - 1];
    }

    [[nodiscard]] u32 served() const
    {
        return m_served;
    }

    [[nodiscard]] u32 refused() const
    {
        return m_refused;
    }

    [[nodiscard]] static bool isServed(const runtime::http::Exchange &exchange)
    {
        return exchange.progress == runtime::http::Progress::Answered && exchange.response.status == 200;
    }

private:
    GatewayDeployment m_deployment;
    std::vector<GatewayProcess *> m_further;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping{false};
    std::atomic<u32> m_calls{0};
    std::atomic<u32> m_served{0};
    std::atomic<u32> m_refused{0};
};

/** @brief Requests that an endpoint with this limit may get in the window. */
std::size_t allowed(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * std::chrono::duration<double>(Window).count() + 5);
}

} // namespace

// Guards against an endpoint in need that gets its usual load, or its limit from each gateway.
TEST_CASE("requests of all gateways together keep to the limit that an endpoint names, and use it")
{
    u32 gateways = 1;
    SUBCASE("one gateway")
    {
    }
    SUBCASE("four gateways")
    {
        gateways = 4;
    }
    for (const std::string path : {"/once", "/prompts"}) {
        CAPTURE(path);
        constexpr double Limit = 3;
        Load load(gateways);
        LimitedEndpoint endpoint("3");
        load.addEndpoint("r1", path == "/once" ? "plain" : "engines", endpoint);
        load.awaitServing(path);
        const auto begun = Clock::now();
        load.start(path, std::chrono::milliseconds(30));
        std::this_thread::sleep_for(TimeToReact + 2 * Window);
        load.stop();
        const auto most = endpoint.mostArrivals(begun + TimeToReact, Window);
        const auto used = endpoint.arrivalsIn(begun + TimeToReact, begun + TimeToReact + 2 * Window);
        MESSAGE(path << " at " << gateways << " gateways: " << most << " requests in 4 s, " << used << " in 8 s");
        CHECK(most <= allowed(Limit));
        CHECK(static_cast<double>(used) >= MinUsedShare * Limit * std::chrono::duration<double>(2 * Window).count());
    }
}

// Guards against requests that are refused, or that wait, although another endpoint has room.
TEST_CASE("requests beyond the limit of one endpoint go to another one")
{
    Load load(2);
    LimitedEndpoint limited("2");
    LimitedEndpoint other("");
    load.addEndpoint("r1", "plain", limited);
    load.addEndpoint("r2", "plain", other);
    load.awaitServing("/once");
    const auto begun = Clock::now();
    load.start("/once", std::chrono::milliseconds(30));
    std::this_thread::sleep_for(TimeToReact + 2 * Window);
    load.stop();
    const auto most = limited.mostArrivals(begun + TimeToReact, Window);
    MESSAGE("requests in 4 s: " << most << ", served: " << load.served() << ", refused: " << load.refused());
    CHECK(most <= allowed(2));
    CHECK(load.refused() == 0);
    CHECK(load.served() > 0);
}

// Guards against permits of a gateway that was killed or stood still, and of those that take its place.
TEST_CASE("the limit of an endpoint holds while gateways are killed and stand still")
{
    constexpr double Limit = 3;
    Load load(3);
    LimitedEndpoint endpoint("3");
    load.addEndpoint("r1", "plain", endpoint);
    load.awaitServing("/once");
    const auto begun = Clock::now();
    load.start("/once", std::chrono::milliseconds(30));
    std::this_thread::sleep_for(TimeToReact);
    load.further(1).process().signal(SIGSTOP);
    std::this_thread::sleep_for(Window);
    load.further(1).process().signal(SIGCONT);
    std::this_thread::sleep_for(TimeToReact);
    load.deployment().restart();
    std::this_thread::sleep_for(Window);
    load.stop();
    const auto most = endpoint.mostArrivals(begun + TimeToReact, Window);
    MESSAGE("requests in 4 s: " << most);
    CHECK(most <= allowed(Limit));
}

// Guards against an answer that is lost because its limit can't be read, and a caller who isn't told when to come back.
TEST_CASE("an answer with an unreadable limit is delivered, and a request beyond a limit is refused at once with a time")
{
    Load load(1);
    LimitedEndpoint endpoint("many");
    load.addEndpoint("r1", "plain", endpoint);
    load.awaitServing("/once");
    for (const std::string limit : {"", "-1", "nan", "inf", "1e999", "3\r\nServer-Limit: 3"}) {
        CAPTURE(limit);
        endpoint.setLimit(limit);
        CHECK(load.send(0, "/once").response.body == "done");
    }
    CHECK(load.deployment().metrics().find("burdock_limited_endpoints 0\n") != std::string::npos);
    endpoint.setLimit("0");
    CHECK(Load::isServed(load.send(0, "/once")));
    const auto before = Clock::now();
    const auto refused = load.send(0, "/once").response;
    CHECK(Clock::now() - before < std::chrono::milliseconds(500));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("limited") != std::string::npos);
    CHECK(std::stod(std::string(refused.header("Retry-After"))) >= 1);
    endpoint.setLimit("");
    CHECK(support::waitUntil([&] { return Load::isServed(load.send(0, "/once")); }, std::chrono::seconds(30)));
    CHECK(Load::isServed(load.send(0, "/once")));
}
