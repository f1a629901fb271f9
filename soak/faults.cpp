#include "faults.hpp"

#include <support/users_objects.hpp>

#include <array>
#include <boost/json.hpp>
#include <csignal>
#include <fmt/format.h>

namespace soak {

namespace {

using standins::ObjectStoreMode;

constexpr std::array<std::string_view, 24> FaultNames{
    "gateway_kill",      "gateway_freeze",    "gateway_stop",      "gateway_reload",
    "all_gateways_kill", "store_down",        "store_turns_away",  "store_loses_answers",
    "store_forgets",     "store_slow",        "store_cut_for_one", "store_silent_for_one",
    "endpoint_cut",      "endpoint_silent",   "endpoint_delayed",  "endpoint_loses_answers",
    "endpoint_fails",    "endpoint_declines", "endpoint_slow",     "endpoint_breaks_off",
    "endpoint_replaced", "keys_change",       "weights_named",     "zone_out"};

constexpr u32 ShortestGapMs = 60;
constexpr u32 LongestGapMs = 700;
constexpr u32 SeriesOneOf = 3;
constexpr u32 ShortestFaultMs = 200;
constexpr u32 LongestFaultMs = 2500;
constexpr u32 LongestCutMs = 7000;
constexpr u32 ShortestZoneOutMs = 6000;
constexpr u32 LongestZoneOutMs = 9000;
constexpr std::size_t FewestKinds = 5;
constexpr auto Tick = std::chrono::milliseconds(20);
constexpr Duration Grace = std::chrono::seconds(6);
constexpr Duration ProxyDelay = std::chrono::milliseconds(60);
constexpr Duration StoreDelay = std::chrono::milliseconds(250);
/** Time for which a leaving endpoint goes on serving, and until its entry goes. */
constexpr Duration Linger = std::chrono::milliseconds(2500);
constexpr u32 FewestEndpointsOfKind = 2;
constexpr u32 MostFurtherWeights = 3;
constexpr u32 ShortestNamingGapMs = 300;
constexpr u32 LongestNamingGapMs = 2200;
constexpr u32 SoonestRestartMs = 4500;
constexpr u32 LatestRestartMs = 7000;
constexpr u32 RestartsAfterNaming = 2;
constexpr u32 ShortestRefusalMs = 4000;
constexpr u32 LongestRefusalMs = 10000;
constexpr u32 LongestOrderDelayMs = 1000;
constexpr u32 LongestLoadMs = 2000;
constexpr u32 LongestWaitMs = 600;

} // namespace

std::string_view toString(Fault fault)
{
    return FaultNames.at(static_cast<std::size_t>(fault));
}

FaultInjector::FaultInjector(Deployment &deployment, u64 seed)
    : m_deployment(deployment)
    , m_random(seed)
{
    while (m_kinds.size() < FewestKinds) {
        m_kinds.clear();
        for (u32 kind = 0; kind < FaultNames.size(); ++kind) {
            if (random(2) == 0) {
                m_kinds.push_back(static_cast<Fault>(kind));
            }
        }
    }
    m_beginsWithWeights = random(2) == 0;
    if (m_beginsWithWeights) {
        std::erase_if(m_kinds, [](Fault fault) { return fault >= Fault::StoreDown && fault <= Fault::StoreSilentForOne; });
        m_kinds.push_back(Fault::WeightsNamed);
    }
}

void FaultInjector::run(Duration time)
{
    m_started = now();
    auto next = m_started;
    auto fault = m_kinds.front();
    if (m_beginsWithWeights) {
        inject(Fault::WeightsNamed);
    }
    while (now() < m_started + time) {
        endDue(false);
        restartStopped();
        m_deployment.refreshEntries();
        if (now() >= next) {
            const bool isSeries = random(SeriesOneOf) == 0;
            fault = isSeries ? fault : m_kinds[random(static_cast<u32>(m_kinds.size()))];
            inject(fault);
            next = now() + randomTime(ShortestGapMs, LongestGapMs);
        }
        std::this_thread::sleep_for(Tick);
    }
}

void FaultInjector::heal()
{
    endDue(true);
    while (!m_stopping.empty()) {
        restartStopped();
        std::this_thread::sleep_for(Tick);
    }
    endDue(true);
    for (u32 i = 0; i < m_deployment.gateways().size(); ++i) {
        const int code = m_deployment.gateways()[i]->process().waitForEnd(Duration::zero());
        if (code != -1) {
            m_deployment.ledger().broken("no process ends by itself", fmt::format("gateway {} ended with {}", i, code));
        }
    }
}

u64 FaultInjector::weights() const
{
    return m_weights;
}

const std::vector<std::string> &FaultInjector::story() const
{
    return m_story;
}

void FaultInjector::inject(Fault fault)
{
    m_story.push_back(fmt::format("{:7.3f} {}", toMilliseconds(now() - m_started) / 1000.0, toString(fault)));
    if (fault <= Fault::AllGatewaysKill) {
        injectAtGateway(fault);
    } else if (fault <= Fault::StoreSilentForOne) {
        injectAtStore(fault);
    } else if (fault <= Fault::EndpointBreaksOff) {
        injectAtEndpoint(fault);
    } else if (fault == Fault::EndpointReplaced) {
        replaceEndpoint();
    } else if (fault == Fault::KeysChange) {
        changeKeys();
    } else if (fault == Fault::WeightsNamed) {
        nameSeveralWeights();
    } else {
        takeZoneOut();
    }
}

void FaultInjector::injectAtGateway(Fault fault)
{
    const u32 gateway = random(static_cast<u32>(m_deployment.gateways().size()));
    const auto time = randomTime(ShortestFaultMs, LongestFaultMs);
    if (fault == Fault::AllGatewaysKill) {
        for (u32 i = 0; i < m_deployment.gateways().size(); ++i) {
            kill(i, time / 4);
        }
        return;
    }
    if (m_away.count(gateway) > 0) {
        return;
    }
    m_story.back() += fmt::format(" of {}", gateway);
    auto &process = m_deployment.gateways()[gateway]->process();
    if (fault == Fault::GatewayKill) {
        kill(gateway, time);
    } else if (fault == Fault::GatewayStop) {
        stop(gateway);
    } else if (fault == Fault::GatewayReload) {
        m_deployment.disturbances().begin(gatewaySubject(gateway), Plan::Planned, now());
        process.signal(SIGHUP);
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
    } else {
        m_deployment.disturbances().begin(gatewaySubject(gateway), Plan::Unplanned, now());
        disturbHearing(gateway);
        m_away.insert(gateway);
        process.signal(SIGSTOP);
        later(time, [this, gateway] {
            m_deployment.gateways()[gateway]->process().signal(SIGCONT);
            m_deployment.disturbances().end(gatewaySubject(gateway), now());
            endHearing(gateway);
            m_away.erase(gateway);
        });
    }
}

void FaultInjector::disturbHearing(u32 gateway)
{
    m_deployment.disturbances().begin(hearingSubject(gateway), Plan::Unplanned, now());
}

void FaultInjector::endHearing(u32 gateway)
{
    m_deployment.disturbances().end(hearingSubject(gateway), now());
}

void FaultInjector::kill(u32 gateway, Duration down)
{
    if (!m_away.insert(gateway).second) {
        return;
    }
    m_deployment.disturbances().begin(gatewaySubject(gateway), Plan::Unplanned, now());
    auto &process = m_deployment.gateways()[gateway]->process();
    process.signal(SIGKILL);
    static_cast<void>(process.waitForEnd(Grace));
    later(down, [this, gateway] {
        m_deployment.gateways()[gateway]->start();
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
        m_away.erase(gateway);
    });
}

void FaultInjector::stop(u32 gateway)
{
    m_away.insert(gateway);
    m_deployment.disturbances().begin(gatewaySubject(gateway), Plan::Planned, now());
    m_deployment.gateways()[gateway]->process().signal(SIGTERM);
    m_stopping[gateway] = now();
}

void FaultInjector::restartStopped()
{
    for (auto stopping = m_stopping.begin(); stopping != m_stopping.end();) {
        const auto [gateway, since] = *stopping;
        auto &slot = *m_deployment.gateways()[gateway];
        const int code = slot.process().waitForEnd(Duration::zero());
        const bool isOverdue = now() > since + Grace;
        if (code == -1 && !isOverdue) {
            ++stopping;
            continue;
        }
        if (code != 0) {
            m_deployment.ledger().broken("a planned stop ends within its grace time", fmt::format("gateway {}: code {}", gateway, code));
            slot.process().signal(SIGKILL);
            static_cast<void>(slot.process().waitForEnd(Grace));
        }
        slot.start();
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
        m_away.erase(gateway);
        stopping = m_stopping.erase(stopping);
    }
}

void FaultInjector::injectAtStore(Fault fault)
{
    const auto time = randomTime(ShortestFaultMs, LongestFaultMs);
    if (fault == Fault::StoreDown) {
        setStoreMode(ObjectStoreMode::Down, time);
    } else if (fault == Fault::StoreTurnsAway) {
        setStoreMode(ObjectStoreMode::Unavailable, time);
    } else if (fault == Fault::StoreLosesWriteAnswers) {
        setStoreMode(ObjectStoreMode::DropsWriteResponses, time);
    } else if (fault == Fault::StoreForgetsHistory) {
        setStoreMode(ObjectStoreMode::HistoryExpired, time / 4);
    } else if (fault == Fault::StoreSlow) {
        m_deployment.disturbances().begin(StoreSubject, Plan::Unplanned, now());
        for (const auto &slot : m_deployment.gateways()) {
            slot->storeProxy().setDelay(StoreDelay);
        }
        later(time, [this] {
            for (const auto &slot : m_deployment.gateways()) {
                slot->storeProxy().setDelay(Duration::zero());
            }
            m_deployment.disturbances().end(StoreSubject, now());
        });
    } else {
        const u32 gateway = random(static_cast<u32>(m_deployment.gateways().size()));
        m_story.back() += fmt::format(" for {}", gateway);
        auto &proxy = m_deployment.gateways()[gateway]->storeProxy();
        m_deployment.disturbances().begin(gatewaySubject(gateway), Plan::Unplanned, now());
        disturbHearing(gateway);
        if (fault == Fault::StoreCutForOne) {
            proxy.setRefusing(true);
            proxy.closeConnections();
        } else {
            proxy.stallConnections();
        }
        later(randomTime(ShortestFaultMs, LongestCutMs), [this, gateway] {
            m_deployment.gateways()[gateway]->storeProxy().setRefusing(false);
            m_deployment.disturbances().end(gatewaySubject(gateway), now());
            endHearing(gateway);
        });
    }
}

void FaultInjector::setStoreMode(ObjectStoreMode mode, Duration time)
{
    m_deployment.disturbances().begin(StoreSubject, Plan::Unplanned, now());
    m_deployment.store().setMode(mode);
    later(time, [this] {
        m_deployment.store().setMode(ObjectStoreMode::Up);
        m_deployment.disturbances().end(StoreSubject, now());
    });
}

void FaultInjector::injectAtEndpoint(Fault fault)
{
    auto &endpoint = anyEndpoint();
    m_story.back() += " at " + endpoint.id();
    m_deployment.disturbances().begin(endpoint.id(), Plan::Unplanned, now());
    auto &proxy = endpoint.proxy();
    switch (fault) {
    case Fault::EndpointCut:
        proxy.setRefusing(true);
        proxy.closeConnections();
        break;
    case Fault::EndpointSilent:
        m_deployment.disturbances().begin(linkSubject(endpoint.id()), Plan::Unplanned, now());
        proxy.stallConnections();
        break;
    case Fault::EndpointDelayed:
        proxy.setDelay(ProxyDelay);
        break;
    case Fault::EndpointLosesAnswers:
        proxy.setDroppingResponses(true);
        break;
    case Fault::EndpointFails:
        endpoint.setMode(EndpointMode::Failing);
        break;
    case Fault::EndpointDeclines:
        endpoint.setMode(EndpointMode::Declining);
        break;
    case Fault::EndpointSlow:
        endpoint.setMode(EndpointMode::Slow);
        break;
    default:
        endpoint.setMode(EndpointMode::BreakingOff);
        break;
    }
    later(randomTime(ShortestFaultMs, LongestFaultMs), [this, fault, &endpoint] {
        endpoint.proxy().setRefusing(false);
        endpoint.proxy().setDroppingResponses(false);
        endpoint.proxy().setDelay(Duration::zero());
        endpoint.setMode(EndpointMode::Sound);
        m_deployment.disturbances().end(endpoint.id(), now());
        if (fault == Fault::EndpointSilent) {
            m_deployment.disturbances().end(linkSubject(endpoint.id()), now());
        }
    });
}

void FaultInjector::replaceEndpoint()
{
    auto &leaving = anyEndpoint();
    const auto stays = std::count_if(m_deployment.endpoints().begin(), m_deployment.endpoints().end(), [&](const auto &endpoint) {
        return endpoint->isEngine() == leaving.isEngine() && m_replaced.count(endpoint->id()) == 0;
    });
    if (static_cast<u32>(stays) <= FewestEndpointsOfKind || !m_replaced.insert(leaving.id()).second) {
        return;
    }
    m_story.back() += " " + leaving.id();
    const auto zone = random(2) == 0 ? "zone-a" : "zone-b";
    m_deployment.addEndpoint(leaving.isEngine(), zone);
    leaving.announceDraining();
    later(Linger, [&leaving] { leaving.removeEntry(); });
}

// One key holds all the time; another is taken away with each change, and a new one comes in its place.
void FaultInjector::changeKeys()
{
    ++m_configuration;
    const auto old = m_key;
    m_key = fmt::format("key-{}", m_configuration);
    m_deployment.store().put("config", "main", support::configurationObject(m_configuration, {"key-desk", m_key}));
    m_deployment.ledger().noteKeyAdded(m_key, m_configuration, now());
    if (!old.empty()) {
        m_deployment.ledger().noteKeyRemoved(old, m_configuration, now());
    }
    m_deployment.keys().addChanging(m_key);
}

void FaultInjector::nameWeights()
{
    ++m_weights;
    m_deployment.store().put("versions", "m", {{"model", "m"}, {"version", m_weights}});
    m_deployment.ledger().noteWeightsNamed(m_weights, now());
}

// Several versions within seconds, and gateways that start after one was superseded and before its predecessor has expired.
void FaultInjector::nameSeveralWeights()
{
    nameWeights();
    if (m_isNaming) {
        return;
    }
    m_isNaming = true;
    Duration at{};
    for (u32 further = 1 + random(MostFurtherWeights); further > 0; --further) {
        at += randomTime(ShortestNamingGapMs, LongestNamingGapMs);
        later(at, [this] { nameWeights(); });
    }
    m_story.back() += fmt::format(", further until {} ms later", toMilliseconds(at));
    slowEnginesDown();
    for (u32 i = 0; i < RestartsAfterNaming; ++i) {
        later(randomTime(SoonestRestartMs, LatestRestartMs), [this] { killOneOrAll(); });
    }
}

void FaultInjector::slowEnginesDown()
{
    const bool isTogether = random(2) == 0;
    for (const auto &endpoint : m_deployment.endpoints()) {
        EnginePace pace;
        pace.refusesUntil
            = now() + (isTogether ? std::chrono::milliseconds(LongestRefusalMs) : randomTime(ShortestRefusalMs, LongestRefusalMs));
        pace.orderDelay = randomTime(0, LongestOrderDelayMs);
        pace.loadTime = randomTime(ShortestFaultMs, LongestLoadMs);
        pace.longestWait = randomTime(0, LongestWaitMs);
        if (endpoint->isEngine()) {
            endpoint->setPace(pace);
        }
    }
    later(std::chrono::milliseconds(LongestRefusalMs), [this] {
        for (const auto &endpoint : m_deployment.endpoints()) {
            endpoint->setPace({});
        }
        m_isNaming = false;
    });
}

void FaultInjector::killOneOrAll()
{
    inject(random(2) == 0 ? Fault::AllGatewaysKill : Fault::GatewayKill);
}

void FaultInjector::takeZoneOut()
{
    if (m_isZoneOut) {
        return;
    }
    m_isZoneOut = true;
    const std::string zone = random(2) == 0 ? "zone-a" : "zone-b";
    m_story.back() += " " + zone;
    m_deployment.store().put("evacuations", zone, boost::json::object());
    m_deployment.ledger().noteZoneOut(zone, now());
    later(randomTime(ShortestZoneOutMs, LongestZoneOutMs), [this, zone] {
        m_deployment.store().erase("evacuations", zone);
        m_deployment.ledger().noteZoneBack(zone);
        m_isZoneOut = false;
    });
}

void FaultInjector::endDue(bool all)
{
    std::vector<Ending> due;
    std::erase_if(m_endings, [&](Ending &ending) {
        const bool isDue = all || now() >= ending.at;
        if (isDue) {
            due.push_back(std::move(ending));
        }
        return isDue;
    });
    for (const auto &ending : due) {
        ending.end();
    }
}

void FaultInjector::later(Duration time, std::function<void()> end)
{
    m_endings.push_back({now() + time, std::move(end)});
}

u32 FaultInjector::random(u32 below)
{
    return m_random(below);
}

Duration FaultInjector::randomTime(u32 leastMs, u32 mostMs)
{
    return std::chrono::milliseconds(leastMs + random(mostMs - leastMs + 1));
}

BackEnd &FaultInjector::anyEndpoint()
{
    auto &endpoints = m_deployment.endpoints();
    return *endpoints[random(static_cast<u32>(endpoints.size()))];
}

} // namespace soak
