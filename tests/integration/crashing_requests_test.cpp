#include <support/crashing_endpoints.hpp>
#include <support/gateway_deployment.hpp>
#include <support/throttle.hpp>

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <thread>

using namespace burdock;
using namespace support;
using standins::ReceivedRequest;

namespace {

using Clock = CrashingEndpoints::Clock;

constexpr u32 EndpointCount = 10;
constexpr std::size_t CrashesBeforeBound = 5;
/** Time after which requests must be stopped, and the number of them that may still reach endpoints later. */
constexpr auto TimeToStop = std::chrono::seconds(3);
constexpr std::size_t MaxLaterArrivals = 3;
constexpr auto TimeObserved = std::chrono::milliseconds(2500);
constexpr auto MaxTimeToCrash = std::chrono::seconds(4);
/** Interval between the calls of one kind, over all gateways. */
constexpr auto CallInterval = std::chrono::milliseconds(60);
constexpr u32 DocumentCount = 6;
const std::string CrashingPart = "c0de";

using CallMaker = std::function<GatewayCall(u32 number)>;

GatewayCall streamWith(const std::string &parts, u32 number)
{
    auto call = promptCall(fmt::format("/prompts/{}", number), fmt::format("p{:x}", number));
    call.body = std::to_string(number);
    call.extraHeaders.back().second = parts;
    return call;
}

std::string document(u32 number)
{
    return fmt::format("d{:x}", number % DocumentCount);
}

std::string ownPart(u32 number)
{
    return fmt::format("f{:06x}", number);
}

/** @brief A prompt that shares its customer, its first part and its document with crashing ones. */
GatewayCall soundPrompt(u32 number)
{
    return streamWith(fmt::format("aa:4,{}:3,{}:3", document(number), ownPart(number)), number);
}

GatewayCall crashingPrompt(u32 number)
{
    return streamWith(fmt::format("aa:3,{}:2,{}:3,{}:2", document(number), CrashingPart, ownPart(number)), number);
}

bool hasCrashingPart(const ReceivedRequest &request)
{
    return request.header("X-Prompt-Prefix").find(CrashingPart + ":") != std::string::npos;
}

/** @brief Several gateways, and callers that send calls through all of them in turn. */
class Callers
{
public:
    Callers(GatewayDeployment &deployment, u32 gateways)
        : m_deployment(deployment)
    {
        for (u32 i = 1; i < gateways; ++i) {
            m_further.push_back(&deployment.addGateway());
        }
    }

    ~Callers()
    {
        stop();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** @brief Starts a caller for each gateway; together they make one call each CallInterval, numbered from `first` on. */
    void start(const CallMaker &makeCall, u32 first, std::atomic<u32> &sent, std::atomic<u32> &served)
    {
        for (u32 gateway = 0; gateway <= m_further.size(); ++gateway) {
            m_threads.emplace_back([this, gateway, makeCall, first, &sent, &served] {
                for (u32 i = 0; !m_isStopping; ++i) {
                    const auto call = makeCall(first + i * static_cast<u32>(m_further.size() + 1) + gateway);
                    ++sent;
                    served += isServed(send(call, gateway)) ? 1 : 0;
                    std::this_thread::sleep_for(CallInterval * (m_further.size() + 1));
                }
            });
        }
    }

    /** @brief Number of gateways with a metric that contains the text. */
    [[nodiscard]] u32 gatewaysWithMetric(const std::string &text)
    {
        u32 count = m_deployment.metrics().find(text) == std::string::npos ? 0 : 1;
        for (auto *gateway : m_further) {
            count += m_deployment.metricsOf(*gateway).find(text) == std::string::npos ? 0 : 1;
        }
        return count;
    }

    void stop()
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        m_isStopping = false;
    }

    [[nodiscard]] static bool isServed(const runtime::http::Exchange &exchange)
    {
        return exchange.progress == runtime::http::Progress::Answered && exchange.response.status == 200;
    }

private:
    [[nodiscard]] runtime::http::Exchange send(const GatewayCall &call, u32 gateway)
    {
        return gateway == 0 ? m_deployment.call(call) : m_deployment.call(call, *m_further[gateway - 1]);
    }

    GatewayDeployment &m_deployment;
    std::vector<GatewayProcess *> m_further;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping{false};
};

/** @brief Waits for that many crashes, or until further ones would have come; returns the time of the last of them. */
Clock::time_point awaitCrashes(const CrashingEndpoints &endpoints, std::size_t count)
{
    const auto until = Clock::now() + MaxTimeToCrash;
    while (endpoints.crashTimes().size() < count && Clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const auto times = endpoints.crashTimes();
    REQUIRE_FALSE(times.empty());
    return times[std::min(times.size(), count) - 1];
}

/** @brief Calls of one kind. */
struct Counts
{
    std::atomic<u32> sent{0};
    std::atomic<u32> served{0};
};

struct Scenario
{
    u32 gateways = 1;
    std::string service = "engines";
    CrashingEndpoints::CrashRule crashes = hasCrashingPart;
    CallMaker crashingCall = crashingPrompt;
    CallMaker soundCall = soundPrompt;
    std::size_t crashesBeforeBound = CrashesBeforeBound;
};

/** @brief Sends both kinds of calls; checks that the crashing ones are stopped in time and the sound ones are served from then on. */
void checkThatCrashingCallsAreStopped(const Scenario &scenario)
{
    GatewayDeployment deployment;
    deployment.configure(3);
    CrashingEndpoints endpoints(deployment.store(), scenario.service, EndpointCount, scenario.crashes);
    deployment.awaitReady();
    Callers callers(deployment, scenario.gateways);
    Counts crashing;
    Counts sound;
    callers.start(scenario.crashingCall, 1'000'000, crashing.sent, crashing.served);
    callers.start(scenario.soundCall, 1, sound.sent, sound.served);
    const auto bound = awaitCrashes(endpoints, scenario.crashesBeforeBound) + TimeToStop;
    std::this_thread::sleep_until(bound);
    const u32 sentBefore = sound.sent;
    const u32 servedBefore = sound.served;
    std::this_thread::sleep_for(TimeObserved);
    callers.stop();
    const auto later = endpoints.crashingArrivalsAfter(bound);
    MESSAGE("crashes: " << endpoints.crashTimes().size() << ", arrivals after the bound: " << later << " of " << crashing.sent.load()
                        << " calls, sound calls served: " << sound.served - servedBefore << " of " << sound.sent.load() - sentBefore);
    CHECK(later <= MaxLaterArrivals);
    CHECK(2 * (sound.served - servedBefore) >= sound.sent.load() - sentBefore);
}

} // namespace

// Guards against a part of prompts that crashes one engine after the other because no two of the prompts are alike.
TEST_CASE("prompts with a part that crashes engines are stopped at one gateway, others with their other parts are served")
{
    checkThatCrashingCallsAreStopped({});
}

// Guards against crashes that several gateways see and none of them counts together.
TEST_CASE("prompts with a part that crashes engines are stopped over several gateways, others with their other parts are served")
{
    Scenario scenario;
    SUBCASE("four gateways")
    {
        scenario.gateways = 4;
    }
    SUBCASE("eight gateways")
    {
        scenario.gateways = 8;
    }
    checkThatCrashingCallsAreStopped(scenario);
}

// Guards against sound prompts that are refused because they share a part with all of the crashing ones.
TEST_CASE("prompts with a part that all crashing prompts have besides are served once it is seen without the crashing one")
{
    Scenario scenario;
    scenario.gateways = 2;
    scenario.crashingCall = [](u32 number) {
        return streamWith(fmt::format("aa:3,cafe:2,{}:3,{}:2", CrashingPart, ownPart(number)), number);
    };
    std::atomic<u32> arrivals{0};
    scenario.crashes = [&arrivals](const auto &request) {
        arrivals += hasCrashingPart(request) ? 1 : 0;
        return hasCrashingPart(request);
    };
    scenario.soundCall = [&arrivals](u32 number) {
        return arrivals < 3 ? soundPrompt(number) : streamWith(fmt::format("aa:4,cafe:3,{}:3", ownPart(number)), number);
    };
    checkThatCrashingCallsAreStopped(scenario);
}

// Guards against a success of the past that keeps a part from being suspected for good.
TEST_CASE("prompts with a part that crashes engines are stopped though they were answered before")
{
    std::atomic<bool> isCrashing{false};
    GatewayDeployment deployment;
    deployment.configure(3);
    CrashingEndpoints endpoints(deployment.store(), "engines", EndpointCount,
                                [&isCrashing](const auto &request) { return isCrashing && hasCrashingPart(request); });
    deployment.awaitReady();
    Callers callers(deployment, 2);
    Counts calls;
    callers.start(crashingPrompt, 1, calls.sent, calls.served);
    REQUIRE(GatewayDeployment::waitFor([&calls] { return calls.served >= 10; }));
    isCrashing = true;
    const auto bound = awaitCrashes(endpoints, CrashesBeforeBound) + TimeToStop;
    std::this_thread::sleep_until(bound + TimeObserved);
    callers.stop();
    CHECK(endpoints.crashingArrivalsAfter(bound) <= MaxLaterArrivals);
}

// Guards against a request that crashes endpoints through one gateway after the other, each of which has seen few of the crashes.
TEST_CASE("a request that crashes endpoints and comes to several gateways at once is stopped")
{
    Scenario scenario;
    scenario.gateways = 4;
    scenario.service = "plain";
    scenario.crashesBeforeBound = 3;
    const auto plainCall = [](const std::string &body, u32 number) {
        GatewayCall call;
        call.path = "/once/1";
        call.attempt = fmt::format("p{:x}", number);
        call.body = body;
        return call;
    };
    scenario.crashes = [](const auto &request) {
        return request.body == "crash";
    };
    scenario.crashingCall = [plainCall](u32 number) {
        return plainCall("crash", number);
    };
    scenario.soundCall = [plainCall](u32 number) {
        return plainCall("sound", number);
    };
    checkThatCrashingCallsAreStopped(scenario);
}

// Guards against a gateway that starts after the crashes and learns of them only by crashes of its own.
TEST_CASE("a gateway that starts again after the crashes refuses the prompts that caused them")
{
    GatewayDeployment deployment;
    deployment.configure(3);
    CrashingEndpoints endpoints(deployment.store(), "engines", EndpointCount, hasCrashingPart);
    deployment.awaitReady();
    Callers callers(deployment, 2);
    Counts calls;
    callers.start(crashingPrompt, 1, calls.sent, calls.served);
    const auto bound = awaitCrashes(endpoints, CrashesBeforeBound) + TimeToStop;
    std::this_thread::sleep_until(bound);
    deployment.restart();
    deployment.awaitReady();
    std::this_thread::sleep_for(TimeObserved);
    callers.stop();
    CHECK(endpoints.crashingArrivalsAfter(bound) <= MaxLaterArrivals);
}

// Guards against prompts that are refused because many engines lost power at once while they answered prompts with the same part.
TEST_CASE("no prompt is refused as crashing after most engines crash at the same moment, three times")
{
    constexpr u32 EventsPerAnswer = 50;
    constexpr u32 CallersPerGateway = 10;
    constexpr std::size_t CrashedAtOnce = 7;
    constexpr auto TimeBetween = std::chrono::seconds(2);
    GatewayDeployment deployment;
    deployment.configure(3);
    CrashingEndpoints endpoints(deployment.store(), "engines", EndpointCount, [](const auto & /*request*/) { return false; });
    endpoints.setEventsPerAnswer(EventsPerAnswer);
    deployment.awaitReady();
    std::optional<Throttle> throttle;
    SUBCASE("gateways with processor time")
    {
    }
    SUBCASE("one gateway with little processor time")
    {
        throttle.emplace(deployment.process());
    }
    Callers callers(deployment, 3);
    Counts calls;
    for (u32 i = 0; i < CallersPerGateway; ++i) {
        callers.start(soundPrompt, 1 + i * 1'000'000, calls.sent, calls.served);
    }
    REQUIRE(GatewayDeployment::waitFor([&calls] { return calls.served >= 3 * CallersPerGateway; }));
    for (u32 i = 0; i < 3; ++i) {
        endpoints.crashAtOnce(CrashedAtOnce);
        std::this_thread::sleep_for(TimeBetween);
    }
    callers.stop();
    throttle.reset();
    MESSAGE("served: " << calls.served.load() << " of " << calls.sent.load());
    CHECK(callers.gatewaysWithMetric("outcome=\"crashes_endpoints\"") == 0);
}
