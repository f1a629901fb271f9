#include "faults.hpp"

#include <support/platform_objects.hpp>

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

constexpr u32 MinGapMs = 60;
constexpr u32 MaxGapMs = 700;
constexpr u32 RepeatOneIn = 3;
constexpr u32 MinFaultMs = 200;
constexpr u32 MaxFaultMs = 2500;
constexpr u32 MaxStoreOutageMs = 7000;
constexpr u32 MinEvacuationMs = 6000;
constexpr u32 MaxEvacuationMs = 9000;
constexpr std::size_t MinFaultKinds = 5;
constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr Duration StopTimeout = std::chrono::seconds(6);
constexpr int EndedBySigterm = 128 + SIGTERM;
constexpr Duration ProxyDelay = std::chrono::milliseconds(60);
constexpr Duration StoreDelay = std::chrono::milliseconds(250);
/** Time for which a draining endpoint still serves before its registration is removed. */
constexpr Duration DrainTime = std::chrono::milliseconds(2500);
constexpr u32 MinEndpointsPerKind = 2;
constexpr u32 MaxFurtherVersions = 3;
constexpr u32 MinAnnouncementGapMs = 300;
constexpr u32 MaxAnnouncementGapMs = 2200;
constexpr u32 MinRestartDelayMs = 4500;
constexpr u32 MaxRestartDelayMs = 7000;
constexpr u32 RestartsAfterAnnouncement = 2;
constexpr u32 MinOrderRejectionMs = 4000;
constexpr u32 MaxOrderRejectionMs = 10000;
constexpr u32 MaxOrderDelayMs = 1000;
constexpr u32 MaxLoadTimeMs = 2000;
constexpr u32 MaxQueueTimeMs = 600;

} // namespace

std::string_view toString(Fault fault)
{
    return FaultNames.at(static_cast<std::size_t>(fault));
}

FaultInjector::FaultInjector(Deployment &deployment, u64 seed)
    : m_deployment(deployment)
    , m_random(seed)
{
    while (m_faultKinds.size() < MinFaultKinds) {
        m_faultKinds.clear();
        for (u32 kind = 0; kind < FaultNames.size(); ++kind) {
            if (randomBelow(2) == 0) {
                m_faultKinds.push_back(static_cast<Fault>(kind));
            }
        }
    }
    m_startsWithWeights = randomBelow(2) == 0;
    if (m_startsWithWeights) {
        std::erase_if(m_faultKinds, [](Fault fault) { return fault >= Fault::StoreDown && fault <= Fault::StoreSilentForOne; });
        m_faultKinds.push_back(Fault::WeightsAnnounced);
    }
}

void FaultInjector::run(Duration duration)
{
    m_startTime = now();
    auto next = m_startTime;
    auto fault = m_faultKinds.front();
    if (m_startsWithWeights) {
        inject(Fault::WeightsAnnounced);
    }
    while (now() < m_startTime + duration) {
        runDueActions(false);
        restartStopped();
        m_deployment.refreshRegistrations();
        if (now() >= next) {
            const bool repeatsFault = randomBelow(RepeatOneIn) == 0;
            fault = repeatsFault ? fault : m_faultKinds[randomBelow(static_cast<u32>(m_faultKinds.size()))];
            inject(fault);
            next = now() + randomDuration(MinGapMs, MaxGapMs);
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void FaultInjector::endAllFaults()
{
    runDueActions(true);
    while (!m_stoppingGateways.empty()) {
        restartStopped();
        std::this_thread::sleep_for(PollInterval);
    }
    runDueActions(true);
    for (u32 i = 0; i < m_deployment.gateways().size(); ++i) {
        const int code = m_deployment.gateways()[i]->process().waitForExit(Duration::zero());
        if (code != -1) {
            m_deployment.checker().reportViolation("no process exits on its own", fmt::format("gateway {} exited with {}", i, code));
        }
    }
}

u64 FaultInjector::latestWeightVersion() const
{
    return m_latestWeightVersion;
}

const std::vector<std::string> &FaultInjector::faultLog() const
{
    return m_faultLog;
}

void FaultInjector::inject(Fault fault)
{
    m_faultLog.push_back(fmt::format("{:7.3f} {}", toMilliseconds(now() - m_startTime) / 1000.0, toString(fault)));
    if (fault <= Fault::AllGatewaysKill) {
        injectAtGateway(fault);
    } else if (fault <= Fault::StoreSilentForOne) {
        injectAtStore(fault);
    } else if (fault <= Fault::EndpointTruncates) {
        injectAtEndpoint(fault);
    } else if (fault == Fault::EndpointReplaced) {
        replaceEndpoint();
    } else if (fault == Fault::KeysChange) {
        changeKeys();
    } else if (fault == Fault::WeightsAnnounced) {
        announceSeveralWeights();
    } else {
        evacuateZone();
    }
}

void FaultInjector::injectAtGateway(Fault fault)
{
    const u32 gateway = randomBelow(static_cast<u32>(m_deployment.gateways().size()));
    const auto duration = randomDuration(MinFaultMs, MaxFaultMs);
    if (fault == Fault::AllGatewaysKill) {
        for (u32 i = 0; i < m_deployment.gateways().size(); ++i) {
            killGateway(i, duration / 4);
        }
        return;
    }
    if (m_unavailableGateways.count(gateway) > 0) {
        return;
    }
    m_faultLog.back() += fmt::format(" of {}", gateway);
    auto &process = m_deployment.gateways()[gateway]->process();
    if (fault == Fault::GatewayKill) {
        killGateway(gateway, duration);
    } else if (fault == Fault::GatewayStop) {
        stopGracefully(gateway);
    } else if (fault == Fault::GatewayReload) {
        m_deployment.disturbances().begin(gatewaySubject(gateway), DisturbanceKind::Planned, now());
        process.signal(SIGHUP);
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
    } else {
        m_deployment.disturbances().begin(gatewaySubject(gateway), DisturbanceKind::Unplanned, now());
        beginPlatformUpdateOutage(gateway);
        m_unavailableGateways.insert(gateway);
        process.signal(SIGSTOP);
        schedule(duration, [this, gateway] {
            m_deployment.gateways()[gateway]->process().signal(SIGCONT);
            m_deployment.disturbances().end(gatewaySubject(gateway), now());
            endPlatformUpdateOutage(gateway);
            m_unavailableGateways.erase(gateway);
        });
    }
}

void FaultInjector::beginPlatformUpdateOutage(u32 gateway)
{
    m_deployment.disturbances().begin(platformUpdateSubject(gateway), DisturbanceKind::Unplanned, now());
}

void FaultInjector::endPlatformUpdateOutage(u32 gateway)
{
    m_deployment.disturbances().end(platformUpdateSubject(gateway), now());
}

void FaultInjector::killGateway(u32 gateway, Duration downtime)
{
    if (!m_unavailableGateways.insert(gateway).second) {
        return;
    }
    m_deployment.disturbances().begin(gatewaySubject(gateway), DisturbanceKind::Unplanned, now());
    auto &process = m_deployment.gateways()[gateway]->process();
    process.signal(SIGKILL);
    static_cast<void>(process.waitForExit(StopTimeout));
    schedule(downtime, [this, gateway] {
        m_deployment.gateways()[gateway]->start();
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
        m_unavailableGateways.erase(gateway);
    });
}

void FaultInjector::stopGracefully(u32 gateway)
{
    m_unavailableGateways.insert(gateway);
    m_deployment.disturbances().begin(gatewaySubject(gateway), DisturbanceKind::Planned, now());
    const auto &process = m_deployment.gateways()[gateway]->process();
    const bool isHandled = process.handles(SIGTERM);
    process.signal(SIGTERM);
    m_stoppingGateways[gateway] = {now(), isHandled};
}

void FaultInjector::restartStopped()
{
    for (auto stopping = m_stoppingGateways.begin(); stopping != m_stoppingGateways.end();) {
        const auto &[gateway, stop] = *stopping;
        auto &slot = *m_deployment.gateways()[gateway];
        const int code = slot.process().waitForExit(Duration::zero());
        const bool isOverdue = now() > stop.since + StopTimeout;
        if (code == -1 && !isOverdue) {
            ++stopping;
            continue;
        }
        const bool wasNotRunning = !stop.wasHandled && code == EndedBySigterm;
        if (code != 0 && !wasNotRunning) {
            m_deployment.checker().reportViolation("a graceful stop completes within its grace period",
                                                   fmt::format("gateway {}: exit code {}", gateway, code));
            slot.process().signal(SIGKILL);
            static_cast<void>(slot.process().waitForExit(StopTimeout));
        }
        slot.start();
        m_deployment.disturbances().end(gatewaySubject(gateway), now());
        m_unavailableGateways.erase(gateway);
        stopping = m_stoppingGateways.erase(stopping);
    }
}

void FaultInjector::injectAtStore(Fault fault)
{
    const auto duration = randomDuration(MinFaultMs, MaxFaultMs);
    if (fault == Fault::StoreDown) {
        setStoreMode(ObjectStoreMode::Down, duration);
    } else if (fault == Fault::StoreUnavailable) {
        setStoreMode(ObjectStoreMode::Unavailable, duration);
    } else if (fault == Fault::StoreDropsWriteResponses) {
        setStoreMode(ObjectStoreMode::DropsWriteResponses, duration);
    } else if (fault == Fault::StoreHistoryExpired) {
        setStoreMode(ObjectStoreMode::HistoryExpired, duration / 4);
    } else if (fault == Fault::StoreSlow) {
        m_deployment.disturbances().begin(StoreSubject, DisturbanceKind::Unplanned, now());
        for (const auto &slot : m_deployment.gateways()) {
            slot->storeProxy().setDelay(StoreDelay);
        }
        schedule(duration, [this] {
            for (const auto &slot : m_deployment.gateways()) {
                slot->storeProxy().setDelay(Duration::zero());
            }
            m_deployment.disturbances().end(StoreSubject, now());
        });
    } else {
        const u32 gateway = randomBelow(static_cast<u32>(m_deployment.gateways().size()));
        m_faultLog.back() += fmt::format(" for {}", gateway);
        auto &proxy = m_deployment.gateways()[gateway]->storeProxy();
        m_deployment.disturbances().begin(gatewaySubject(gateway), DisturbanceKind::Unplanned, now());
        beginPlatformUpdateOutage(gateway);
        if (fault == Fault::StoreDisconnectedForOne) {
            proxy.setRefusing(true);
            proxy.closeConnections();
        } else {
            proxy.stallConnections();
        }
        schedule(randomDuration(MinFaultMs, MaxStoreOutageMs), [this, gateway] {
            m_deployment.gateways()[gateway]->storeProxy().setRefusing(false);
            m_deployment.disturbances().end(gatewaySubject(gateway), now());
            endPlatformUpdateOutage(gateway);
        });
    }
}

void FaultInjector::setStoreMode(ObjectStoreMode mode, Duration duration)
{
    m_deployment.disturbances().begin(StoreSubject, DisturbanceKind::Unplanned, now());
    m_deployment.store().setMode(mode);
    schedule(duration, [this] {
        m_deployment.store().setMode(ObjectStoreMode::Up);
        m_deployment.disturbances().end(StoreSubject, now());
    });
}

void FaultInjector::injectAtEndpoint(Fault fault)
{
    auto &endpoint = randomEndpoint();
    m_faultLog.back() += " at " + endpoint.id();
    m_deployment.disturbances().begin(endpoint.id(), DisturbanceKind::Unplanned, now());
    auto &proxy = endpoint.proxy();
    switch (fault) {
    case Fault::EndpointDisconnected:
        proxy.setRefusing(true);
        proxy.closeConnections();
        break;
    case Fault::EndpointSilent:
        m_deployment.disturbances().begin(linkSubject(endpoint.id()), DisturbanceKind::Unplanned, now());
        proxy.stallConnections();
        break;
    case Fault::EndpointDelayed:
        proxy.setDelay(ProxyDelay);
        break;
    case Fault::EndpointDropsResponses:
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
        endpoint.setMode(EndpointMode::Truncating);
        break;
    }
    schedule(randomDuration(MinFaultMs, MaxFaultMs), [this, fault, &endpoint] {
        endpoint.proxy().setRefusing(false);
        endpoint.proxy().setDroppingResponses(false);
        endpoint.proxy().setDelay(Duration::zero());
        endpoint.setMode(EndpointMode::Healthy);
        m_deployment.disturbances().end(endpoint.id(), now());
        if (fault == Fault::EndpointSilent) {
            m_deployment.disturbances().end(linkSubject(endpoint.id()), now());
        }
    });
}

void FaultInjector::replaceEndpoint()
{
    auto &draining = randomEndpoint();
    const auto remaining = std::count_if(m_deployment.endpoints().begin(), m_deployment.endpoints().end(), [&](const auto &endpoint) {
        return endpoint->isEngine() == draining.isEngine() && m_drainedEndpoints.count(endpoint->id()) == 0;
    });
    if (static_cast<u32>(remaining) <= MinEndpointsPerKind || !m_drainedEndpoints.insert(draining.id()).second) {
        return;
    }
    m_faultLog.back() += " " + draining.id();
    const auto zone = randomBelow(2) == 0 ? "zone-a" : "zone-b";
    m_deployment.addEndpoint(draining.isEngine(), zone);
    draining.publishDraining();
    schedule(DrainTime, [&draining] { draining.removeRegistration(); });
}

// One key is always valid; each change replaces the other one by a new key.
void FaultInjector::changeKeys()
{
    ++m_configurationVersion;
    const auto oldKey = m_rotatingKey;
    m_rotatingKey = fmt::format("key-{}", m_configurationVersion);
    m_deployment.store().put("config", "main", support::configurationObject(m_configurationVersion, {"key-desk", m_rotatingKey}));
    m_deployment.checker().noteKeyAdded(m_rotatingKey, m_configurationVersion, now());
    if (!oldKey.empty()) {
        m_deployment.checker().noteKeyRemoved(oldKey, m_configurationVersion, now());
    }
    m_deployment.keys().addRotating(m_rotatingKey);
}

void FaultInjector::announceWeights()
{
    ++m_latestWeightVersion;
    m_deployment.store().put("versions", "m", {{"model", "m"}, {"version", m_latestWeightVersion}});
    m_deployment.checker().noteWeightsAnnounced(m_latestWeightVersion, now());
}

// Announces several versions within seconds and restarts gateways after a version was superseded, before the superseded one expires.
void FaultInjector::announceSeveralWeights()
{
    announceWeights();
    if (m_isAnnouncingSeveral) {
        return;
    }
    m_isAnnouncingSeveral = true;
    Duration at{};
    for (u32 further = 1 + randomBelow(MaxFurtherVersions); further > 0; --further) {
        at += randomDuration(MinAnnouncementGapMs, MaxAnnouncementGapMs);
        schedule(at, [this] { announceWeights(); });
    }
    m_faultLog.back() += fmt::format(", further versions until {} ms later", toMilliseconds(at));
    slowDownEngines();
    for (u32 i = 0; i < RestartsAfterAnnouncement; ++i) {
        schedule(randomDuration(MinRestartDelayMs, MaxRestartDelayMs), [this] { killOneOrAll(); });
    }
}

void FaultInjector::slowDownEngines()
{
    const bool haveSameRejectionTime = randomBelow(2) == 0;
    for (const auto &endpoint : m_deployment.endpoints()) {
        EngineBehavior behavior;
        behavior.rejectsOrdersUntil = now()
            + (haveSameRejectionTime ? std::chrono::milliseconds(MaxOrderRejectionMs)
                                     : randomDuration(MinOrderRejectionMs, MaxOrderRejectionMs));
        behavior.orderDelay = randomDuration(0, MaxOrderDelayMs);
        behavior.loadTime = randomDuration(MinFaultMs, MaxLoadTimeMs);
        behavior.maxQueueTime = randomDuration(0, MaxQueueTimeMs);
        if (endpoint->isEngine()) {
            endpoint->setBehavior(behavior);
        }
    }
    schedule(std::chrono::milliseconds(MaxOrderRejectionMs), [this] {
        for (const auto &endpoint : m_deployment.endpoints()) {
            endpoint->setBehavior({});
        }
        m_isAnnouncingSeveral = false;
    });
}

void FaultInjector::killOneOrAll()
{
    inject(randomBelow(2) == 0 ? Fault::AllGatewaysKill : Fault::GatewayKill);
}

void FaultInjector::evacuateZone()
{
    if (m_isZoneEvacuated) {
        return;
    }
    m_isZoneEvacuated = true;
    const std::string zone = randomBelow(2) == 0 ? "zone-a" : "zone-b";
    m_faultLog.back() += " " + zone;
    m_deployment.store().put("evacuations", zone, boost::json::object());
    m_deployment.checker().noteZoneEvacuated(zone, now());
    schedule(randomDuration(MinEvacuationMs, MaxEvacuationMs), [this, zone] {
        m_deployment.store().erase("evacuations", zone);
        m_deployment.checker().noteZoneRestored(zone);
        m_isZoneEvacuated = false;
    });
}

void FaultInjector::runDueActions(bool all)
{
    std::vector<ScheduledAction> due;
    std::erase_if(m_scheduledActions, [&](ScheduledAction &action) {
        const bool isDue = all || now() >= action.at;
        if (isDue) {
            due.push_back(std::move(action));
        }
        return isDue;
    });
    for (const auto &action : due) {
        action.callback();
    }
}

void FaultInjector::schedule(Duration delay, std::function<void()> callback)
{
    m_scheduledActions.push_back({now() + delay, std::move(callback)});
}

u32 FaultInjector::randomBelow(u32 limit)
{
    return m_random(limit);
}

Duration FaultInjector::randomDuration(u32 minMs, u32 maxMs)
{
    return std::chrono::milliseconds(minMs + randomBelow(maxMs - minMs + 1));
}

BackEnd &FaultInjector::randomEndpoint()
{
    auto &endpoints = m_deployment.endpoints();
    return *endpoints[randomBelow(static_cast<u32>(endpoints.size()))];
}

} // namespace soak
