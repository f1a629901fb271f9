#pragma once

#include <burdock/runtime/clock.hpp>
#include <burdock/runtime/logger.hpp>
#include <burdock/runtime/metrics.hpp>
#include <burdock/runtime/random_source.hpp>
#include <burdock/runtime/tracer.hpp>

#include <boost/asio/io_context.hpp>
#include <string>

namespace burdock::serving {

/** @brief Services and identity of the process that all components of a daemon share. Must outlive all of them. */
struct Process
{
    boost::asio::io_context &workers;
    runtime::Clock &clock;
    runtime::RandomSource &random;
    runtime::Logger &logger;
    runtime::Metrics &metrics;
    runtime::Tracer &tracer;
    std::string vmName;
    std::string zone;
    u64 bootId = 0; ///< differs for each start of the process
};

} // namespace burdock::serving
