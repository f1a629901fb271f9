#pragma once

#include <burdock/admission/client_memory.hpp>
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
    std::string name; ///< name of the VM
    std::string zone;
    runtime::http::Address callerAddress; ///< listen address for callers
    runtime::http::Address readinessAddress; ///< listen address for the load balancer's readiness checks
    runtime::http::Address metricsAddress; ///< listen address of the metrics endpoint
    runtime::http::Address loadAddress; ///< UDP address for load reports of the other entries
    Duration gracePeriod = std::chrono::seconds(8); ///< from SIGTERM to the exit of the process
    Duration maxRevocationDelay = std::chrono::seconds(5); ///< time within which a revoked API key must be refused
    double retryShare = 0.2; ///< retries of a service as a share of its requests, over all entries
    double retrySlack = 50; ///< retries allowed beyond that share, over all entries
    Duration maxStaleWeightTime = std::chrono::seconds(12); ///< after which requests must not start on superseded weights
    Duration minOrderInterval = std::chrono::seconds(3); ///< minimum time between weight orders of two successive lease holders
    /** Requests that a cold endpoint may get in any second over all entries: its service's rate times coldFactor, plus coldSlack. */
    double coldFactor = 1;
    double coldSlack = 0;
    bool followsRollouts = false; ///< whether orders to move a service to another software version are followed
    double rolloutShare = 0.1; ///< largest share of a service's requests that may go to the target of an undecided order
    u64 responseBytes = 0; ///< memory for responses that are read before they are forwarded
    admission::ClientBudget clientBudget; ///< what callers may take
    bool isReadingShared = false; ///< few entries read the platform's store for all, if there are many
};

/** @brief Objects that a gateway uses; all must outlive it. */
struct GatewayDependencies
{
    boost::asio::io_context &context;
    runtime::Clock &clock; ///< must include time in which the VM was suspended
    runtime::RandomSource &random;
    runtime::Logger &logger;
    runtime::Metrics &metrics;
    const ProtocolCodec &codec;
    PlatformStore &store;
};

/**
 * @brief One entry: forwards callers' requests directly to endpoints.
 *
 * Runs on the single thread of its context: its VMs have only a fraction of a processor, and single-threaded tables need no locks.
 */
class Gateway
{
public:
    Gateway(const GatewayDependencies &dependencies, const GatewaySettings &settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();

    /** @brief Reports not ready, finishes active and late requests within the grace period, and then stops the context. */
    void drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace burdock::gateway
