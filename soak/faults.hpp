#pragma once

#include "deployment.hpp"

namespace soak {

enum class Fault : u8 {
    GatewayKill,
    GatewayFreeze,
    GatewayStop,
    GatewayReload,
    AllGatewaysKill,
    StoreDown,
    StoreUnavailable,
    StoreDropsWriteResponses,
    StoreHistoryExpired,
    StoreSlow,
    StoreDisconnectedForOne,
    StoreSilentForOne,
    EndpointDisconnected,
    EndpointSilent,
    EndpointDelayed,
    EndpointDropsResponses,
    EndpointFails,
    EndpointDeclines,
    EndpointSlow,
    EndpointTruncates,
    EndpointReplaced,
    KeysChange,
    WeightsAnnounced,
    ZoneEvacuated,
};

[[nodiscard]] std::string_view toString(Fault fault);

/**
 * @brief Injects faults in a random order, several at once and some kinds several times in a row.
 *
 * Half of the runs do not disturb the store and start by announcing several weight versions; gateways are then killed while engines
 * still have the old ones.
 *
 * Each run selects its kinds of faults at random, so that some runs leave the store or the gateways undisturbed for long enough to
 * check the bounds that apply only then.
 *
 * Order, targets and times are determined by the seed; the reactions of the processes are not.
 */
class FaultInjector
{
public:
    FaultInjector(Deployment &deployment, u64 seed);

    /** @brief Injects faults for this time; those still active are ended by endAllFaults(). */
    void run(Duration duration);

    /** @brief Ends all faults and checks that no process exited on its own. */
    void endAllFaults();

    [[nodiscard]] u64 latestWeightVersion() const;

    /** @brief One line for each injected fault, with the time since the start in seconds. */
    [[nodiscard]] const std::vector<std::string> &faultLog() const;

private:
    /** @brief A later step of a fault, mostly its end, and when it is due. */
    struct ScheduledAction
    {
        TimePoint at{};
        std::function<void()> callback;
    };

    void inject(Fault fault);
    void injectAtGateway(Fault fault);
    void injectAtStore(Fault fault);
    void injectAtEndpoint(Fault fault);
    void killGateway(u32 gateway, Duration downtime);
    void stopGracefully(u32 gateway);
    void restartStopped();
    void replaceEndpoint();
    void changeKeys();
    void announceWeights();
    void announceSeveralWeights();
    void slowDownEngines();
    void killOneOrAll();
    void evacuateZone();
    void beginPlatformUpdateOutage(u32 gateway);
    void endPlatformUpdateOutage(u32 gateway);
    void setStoreMode(standins::ObjectStoreMode mode, Duration duration);
    void runDueActions(bool all);
    void schedule(Duration delay, std::function<void()> callback);
    [[nodiscard]] u32 randomBelow(u32 limit);
    [[nodiscard]] Duration randomDuration(u32 minMs, u32 maxMs);
    [[nodiscard]] BackEnd &randomEndpoint();

    Deployment &m_deployment;
    pcg32 m_random;
    TimePoint m_startTime{};
    std::vector<ScheduledAction> m_scheduledActions;
    std::set<u32> m_unavailableGateways; ///< gateways that are down, stopping or frozen
    struct Stop
    {
        TimePoint since{}; ///< when the gateway received SIGTERM
        bool wasHandled = true; ///< otherwise the system ends the process, which has not begun its program yet
    };
    std::map<u32, Stop> m_stoppingGateways;
    std::set<std::string> m_drainedEndpoints; ///< ids of draining and removed endpoints
    u64 m_configurationVersion = 1;
    u64 m_latestWeightVersion = 1;
    std::string m_rotatingKey;
    bool m_isZoneEvacuated = false;
    bool m_isAnnouncingSeveral = false; ///< engines are still slowed down after the last announcement of several versions
    bool m_startsWithWeights = false;
    std::vector<Fault> m_faultKinds; ///< the kinds that this run injects
    std::vector<std::string> m_faultLog;
};

} // namespace soak
