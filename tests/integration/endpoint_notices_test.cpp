#include <support/gateway_deployment.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
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
using namespace std::chrono_literals;

constexpr auto Rest = 3s;
/** Time within which an answer with a notice must have taken effect. */
constexpr auto TimeToReact = 500ms;
/** Requests that an endpoint may get from one gateway in its rest after that. */
constexpr std::size_t MaxInRest = 2;
/** Time within which a stopped endpoint may still be sent requests after its answer with the notice. */
constexpr auto DrainTime = 2s;

/** @brief An endpoint whose answers carry these header lines and which records when requests arrive. */
class NoticingEndpoint
{
public:
    NoticingEndpoint(u16 status, std::string headers)
        : m_status(status)
        , m_headers(std::move(headers))
        , m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return serve(request, connection); })
    {
    }

    [[nodiscard]] const Replica &replica() const
    {
        return m_replica;
    }

    /** @brief Sets the status and the header lines of further answers. */
    void set(u16 status, const std::string &headers)
    {
        const std::lock_guard lock(m_mutex);
        m_status = status;
        m_headers = headers;
    }

    [[nodiscard]] std::vector<Clock::time_point> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    [[nodiscard]] std::size_t arrivalsIn(Clock::time_point from, Clock::time_point until) const
    {
        const auto all = arrivals();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const auto arrival) { return arrival >= from && arrival < until; }));
    }

private:
    ConnectionAction serve(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        u16 status = 0;
        std::string headers;
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(Clock::now());
            status = m_status;
            headers = m_headers;
        }
        const bool isStream = status == 200 && request.target.rfind("/prompts", 0) == 0;
        if (isStream) {
            auto head = standins::streamHead(request);
            head.insert(head.size() - 2, headers);
            connection.write(head + standins::eventChunk(1, "x") + standins::StreamEnd);
        } else {
            connection.write(standins::completeResponse(request, status, "done", headers));
        }
        return ConnectionAction::Keep;
    }

    mutable std::mutex m_mutex; ///< guards the members below, except for the replica
    u16 m_status;
    std::string m_headers;
    std::vector<Clock::time_point> m_arrivals;
    Replica m_replica;
};

std::string restHeaders(const std::string &retryAfter)
{
    return "X-Not-Executed: shed\r\nRetry-After: " + retryAfter + "\r\n";
}

/** @brief Callers that call each of some gateways all the time. */
class Callers
{
public:
    Callers(GatewayDeployment &deployment, std::string path)
        : m_deployment(deployment)
        , m_path(std::move(path))
    {
    }

    ~Callers()
    {
        stop();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** @brief Starts callers at the first gateway, or at a further one. */
    void start(const GatewayProcess *further = nullptr)
    {
        for (u32 i = 0; i < CallersPerGateway; ++i) {
            m_threads.emplace_back([this, further] {
                while (!m_isStopping) {
                    const auto begun = Clock::now();
                    const auto answer = send(further);
                    const bool isServed = answer.response.status == 200;
                    m_served += isServed ? 1 : 0;
                    m_refused += isServed ? 0 : 1;
                    const std::lock_guard lock(m_mutex);
                    m_longestRefusal = isServed ? m_longestRefusal : std::max(m_longestRefusal, Clock::now() - begun);
                    std::this_thread::sleep_for(CallPause);
                }
            });
        }
    }

    void stop()
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    [[nodiscard]] runtime::http::Exchange send(const GatewayProcess *further = nullptr)
    {
        const auto number = ++m_calls;
        const auto attempt = fmt::format("c{}", number);
        auto call = m_path == "/prompts" ? promptCall(m_path, attempt) : GatewayCall{};
        if (!call.extraHeaders.empty()) {
            call.extraHeaders.back().second
                = fmt::format("{0:x}a:6,{0:x}b:4", number); // as prompts with the same parts go to the same endpoint
        }
        call.attempt = attempt;
        call.path = fmt::format("{}/{}", m_path, number);
        call.body = attempt;
        return further == nullptr ? m_deployment.call(call) : m_deployment.call(call, *further);
    }

    [[nodiscard]] u32 served() const
    {
        return m_served;
    }

    [[nodiscard]] u32 refused() const
    {
        return m_refused;
    }

    [[nodiscard]] Clock::duration longestRefusal() const
    {
        const std::lock_guard lock(m_mutex);
        return m_longestRefusal;
    }

private:
    static constexpr u32 CallersPerGateway = 4;
    static constexpr auto CallPause = 20ms;

    GatewayDeployment &m_deployment;
    std::string m_path;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping{false};
    std::atomic<u32> m_calls{0};
    std::atomic<u32> m_served{0};
    std::atomic<u32> m_refused{0};
    mutable std::mutex m_mutex; ///< guards the member below
    Clock::duration m_longestRefusal{};
};

std::string serviceOf(const std::string &path)
{
    return path == "/prompts" ? "engines" : "plain";
}

} // namespace

// Guards against an endpoint that asks for rest with its refusals and gets requests all the same.
TEST_CASE("an endpoint that has asked a gateway for rest gets next to nothing from it in that time")
{
    for (const std::string path : {"/once", "/prompts"}) {
        CAPTURE(path);
        GatewayDeployment gateway;
        NoticingEndpoint resting(503, restHeaders("3"));
        const NoticingEndpoint sound(200, "");
        gateway.setUpService(serviceOf(path), {&resting.replica(), &sound.replica()});
        Callers callers(gateway, path);
        callers.start();
        REQUIRE(GatewayDeployment::waitFor([&resting] { return !resting.arrivals().empty(); }));
        const auto asked = resting.arrivals().front();
        std::this_thread::sleep_until(asked + Rest);
        callers.stop();
        const auto inRest = resting.arrivalsIn(asked + TimeToReact, asked + Rest);
        MESSAGE(path << ": " << inRest << " requests in the rest, served " << callers.served() << ", refused " << callers.refused());
        CHECK(inRest <= MaxInRest);
        CHECK(callers.served() > 0);
    }
}

// Guards against an endpoint that says in its answers that it leaves and still gets requests when it no longer serves them.
TEST_CASE("an endpoint that has told a gateway that it leaves gets no later requests from it")
{
    for (const std::string path : {"/once", "/prompts"}) {
        CAPTURE(path);
        GatewayDeployment gateway;
        NoticingEndpoint leaving(200, "Server-Leaving: 1\r\n");
        const NoticingEndpoint sound(200, "");
        gateway.setUpService(serviceOf(path), {&leaving.replica(), &sound.replica()});
        Callers callers(gateway, path);
        callers.start();
        REQUIRE(GatewayDeployment::waitFor([&leaving] { return !leaving.arrivals().empty(); }));
        const auto told = leaving.arrivals().front();
        std::this_thread::sleep_until(told + 2 * DrainTime);
        callers.stop();
        const auto late = leaving.arrivalsIn(told + DrainTime, Clock::now());
        MESSAGE(path << ": " << late << " late requests, served " << callers.served() << ", refused " << callers.refused());
        CHECK(late == 0);
        CHECK(callers.refused() == 0);
    }
}
