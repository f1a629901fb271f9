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
    StoreTurnsAway,
    StoreLosesWriteAnswers,
    StoreForgetsHistory,
    StoreSlow,
    StoreCutForOne,
    StoreSilentForOne,
    EndpointCut,
    EndpointSilent,
    EndpointDelayed,
    EndpointLosesAnswers,
    EndpointFails,
    EndpointDeclines,
    EndpointSlow,
    EndpointBreaksOff,
    EndpointReplaced,
    KeysChange,
    WeightsNamed,
    ZoneOut,
};

[[nodiscard]] std::string_view toString(Fault fault);

/**
 * @brief Injects faults in a random order, several at once, most in series on one target.
 *
 * Half of the runs leave the store alone and begin by naming several weights, after which gateways are killed while engines hold on
 * to the old ones.
 *
 * Each run draws which kinds it injects, so that some runs leave the store or the gateways alone for long enough for the bounds that
 * only hold then.
 *
 * The order, targets and times follow from the seed; what the processes make of them does not.
 */
class FaultInjector
{
public:
    FaultInjector(Deployment &deployment, u64 seed);

    /** @brief Injects faults for so long, then waits for their ends. */
    void run(Duration time);

    /** @brief Ends all faults, and checks that no process ended by itself. */
    void heal();

    [[nodiscard]] u64 weights() const;

    /** @brief What was injected, a line each, with the time in seconds. */
    [[nodiscard]] const std::vector<std::string> &story() const;

private:
    /** @brief What ends a fault, when it is due. */
    struct Ending
    {
        TimePoint at{};
        std::function<void()> end;
    };

    void inject(Fault fault);
    void injectAtGateway(Fault fault);
    void injectAtStore(Fault fault);
    void injectAtEndpoint(Fault fault);
    void kill(u32 gateway, Duration down);
    void stop(u32 gateway);
    void restartStopped();
    void replaceEndpoint();
    void changeKeys();
    void nameWeights();
    void nameSeveralWeights();
    void slowEnginesDown();
    void killOneOrAll();
    void takeZoneOut();
    void disturbHearing(u32 gateway);
    void endHearing(u32 gateway);
    void setStoreMode(standins::ObjectStoreMode mode, Duration time);
    void endDue(bool all);
    void later(Duration time, std::function<void()> end);
    [[nodiscard]] u32 random(u32 below);
    [[nodiscard]] Duration randomTime(u32 leastMs, u32 mostMs);
    [[nodiscard]] BackEnd &anyEndpoint();

    Deployment &m_deployment;
    pcg32 m_random;
    TimePoint m_started{};
    std::vector<Ending> m_endings;
    std::set<u32> m_away; ///< gateways that are down, stopping or frozen
    std::map<u32, TimePoint> m_stopping; ///< gateways that got SIGTERM, and when
    std::set<std::string> m_replaced; ///< endpoints that leave
    u64 m_configuration = 1;
    u64 m_weights = 1;
    std::string m_key;
    bool m_isZoneOut = false;
    bool m_isNaming = false; ///< several weights, with slow engines
    bool m_beginsWithWeights = false;
    std::vector<Fault> m_kinds; ///< that this run injects
    std::vector<std::string> m_story;
};

} // namespace soak
