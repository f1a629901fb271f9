#pragma once

#include <burdock/gateway/platform_store.hpp>
#include <burdock/gateway/protocol_codec.hpp>
#include <burdock/runtime/clock.hpp>
#include <burdock/runtime/logger.hpp>
#include <burdock/runtime/metrics.hpp>
#include <burdock/runtime/random_source.hpp>

#include <boost/asio/io_context.hpp>
#include <memory>

namespace burdock::gateway {

/** @brief Settings of one gateway process. */
struct GatewaySettings
{
    std::string name; ///< of the VM
    std::string zone;
    runtime::http::Address callerAddress; ///< where callers connect
    runtime::http::Address readinessAddress; ///< where the balancer asks
    runtime::http::Address metricsAddress;
    runtime::http::Address loadAddress; ///< where the other entries tell their loads, over UDP
    Duration gracePeriod = std::chrono::seconds(8); ///< from SIGTERM to the end
    Duration maxRevocationDelay = std::chrono::seconds(5); ///< time within which a key that was taken away must be refused
    double retryShare = 0.2; ///< retries of a service, over all entries, as a share of its requests
    u32 retrySlack = 50; ///< retries beyond that share, over all entries
    Duration maxStaleWeightTime = std::chrono::seconds(12); ///< after which requests must not begin on weights older than named
    Duration minOrderInterval = std::chrono::seconds(3); ///< between orders of two holders of a duty
};

/** @brief What a gateway is built on; all outlive it. */
struct GatewayDependencies
{
    boost::asio::io_context &context;
    runtime::Clock &clock; ///< counts the time in which the VM was suspended
    runtime::RandomSource &random;
    runtime::Logger &logger;
    runtime::Metrics &metrics;
    const ProtocolCodec &codec;
    PlatformStore &store;
};

/**
 * @brief One entry that sends callers' requests straight to endpoints.
 *
 * Runs on one thread, that of its context: its VMs have a fraction of one processor, and tables of one thread need no locks.
 */
class Gateway
{
public:
    Gateway(const GatewayDependencies &parts, const GatewaySettings &settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();

    /** @brief Serves what is under way and what still comes, tells the balancer, and stops the context at the end. */
    void drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace burdock::gateway
