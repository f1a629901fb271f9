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

/** Time to the first event of a stream; an engine that is much faster than others is known to be gets all prompts. */
constexpr auto PrefillTime = 70ms;

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
            std::this_thread::sleep_for(PrefillTime);
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
                    if (!isServed) {
                        noteRefusal(Clock::now() - begun);
                    }
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

    void noteRefusal(Clock::duration time)
    {
        const std::lock_guard lock(m_mutex);
        m_longestRefusal = std::max(m_longestRefusal, time);
    }

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

// Guards against endpoints of a service that all ask for rest: none may get requests, and callers must not wait for nothing.
TEST_CASE("while some or all endpoints of a service rest, requests go to the others or are refused at once with a time that holds")
{
    for (const std::string path : {"/once", "/prompts"}) {
        for (const u32 soundCount : {0, 1}) {
            CAPTURE(path);
            CAPTURE(soundCount);
            GatewayDeployment gateway;
            NoticingEndpoint first(503, restHeaders("3"));
            NoticingEndpoint second(503, restHeaders("3.0"));
            NoticingEndpoint third(soundCount == 0 ? 503 : 200, soundCount == 0 ? restHeaders("3") : "");
            gateway.setUpService(serviceOf(path), {&first.replica(), &second.replica(), &third.replica()});
            Callers callers(gateway, path);
            callers.start();
            std::this_thread::sleep_for(2s);
            callers.stop();
            for (const auto *endpoint : {&first, &second, &third}) {
                if (soundCount == 0 || endpoint != &third) {
                    const auto all = endpoint->arrivals();
                    CHECK((all.empty() || endpoint->arrivalsIn(all.front() + TimeToReact, all.front() + Rest) <= MaxInRest));
                }
            }
            if (soundCount > 0) {
                CHECK(callers.refused() == 0);
                continue;
            }
            CHECK(callers.longestRefusal() < 500ms);
            const auto refused = callers.send().response;
            REQUIRE(refused.status == 503);
            CHECK(refused.body.find("resting") != std::string::npos);
            const auto comeBack = std::chrono::duration<double>(std::stod(std::string(refused.header("Retry-After"))));
            CHECK(comeBack <= Rest + 1s);
            for (auto *endpoint : {&first, &second, &third}) {
                endpoint->set(200, "");
            }
            std::this_thread::sleep_for(comeBack);
            CHECK(callers.send().response.status == 200);
        }
    }
}

// Guards against an endpoint that is left out for good after its rest, or that gets the load of all gateways in one moment.
TEST_CASE("an endpoint that has rested gets work again, from one gateway after the other")
{
    GatewayDeployment gateway;
    NoticingEndpoint endpoint(503, restHeaders("1.5"));
    gateway.setUpService("plain", {&endpoint.replica()});
    std::vector<const GatewayProcess *> further;
    for (u32 i = 0; i < 3; ++i) {
        further.push_back(&gateway.addGateway());
    }
    Callers callers(gateway, "/once");
    callers.start();
    for (const auto *other : further) {
        callers.start(other);
    }
    REQUIRE(GatewayDeployment::waitFor([&endpoint] { return endpoint.arrivals().size() >= 4; }));
    std::this_thread::sleep_for(TimeToReact);
    // Each gateway was asked a little later than the one before, so all rests end within the same half second.
    const auto before = endpoint.arrivals().size();
    REQUIRE(GatewayDeployment::waitFor([&] { return endpoint.arrivals().size() > before; }));
    const auto all = endpoint.arrivals();
    CHECK(endpoint.arrivalsIn(all[before], all[before] + 10ms) <= 2);
    endpoint.set(200, "");
    callers.stop();
    further.push_back(nullptr);
    for (const auto *each : further) {
        CHECK(GatewayDeployment::waitFor([&] { return callers.send(each).response.status == 200; }));
        for (u32 i = 0; i < 5; ++i) {
            CHECK(callers.send(each).response.status == 200);
        }
    }
}

// Guards against an answer that is lost, or an endpoint that gets no work, because of a value that can't be read or meant.
TEST_CASE("unreadable and absurd notices harm neither callers nor endpoints")
{
    GatewayDeployment gateway;
    NoticingEndpoint endpoint(200, "");
    gateway.setUpService("plain", {&endpoint.replica()});
    Callers callers(gateway, "/once");
    REQUIRE(GatewayDeployment::waitFor([&callers] { return callers.send().response.status == 200; }));
    for (const std::string leaving : {"", "0", "yes", "-1", "1e999", "11"}) {
        CAPTURE(leaving);
        endpoint.set(200, "Server-Leaving: " + leaving + "\r\nRetry-After: 99999\r\n");
        CHECK(callers.send().response.body == "done");
        endpoint.set(200, "");
        CHECK(callers.send().response.body == "done");
    }
    for (const std::string rest : {"", "-1", "0", "nan", "inf", "1e999", "soon", "Fri, 31 Dec 1999 23:59:59 GMT", "3\r\nRetry-After: 3"}) {
        CAPTURE(rest);
        endpoint.set(503, restHeaders(rest));
        CHECK(callers.send().response.status == 503);
        endpoint.set(200, "");
        CHECK(waitUntil([&callers] { return callers.send().response.status == 200; }, 2s));
    }
    endpoint.set(503, restHeaders("1e300"));
    CHECK(callers.send().response.status == 503);
    const auto refused = callers.send().response;
    CHECK(std::stod(std::string(refused.header("Retry-After"))) < 61.0);
}
