#include "run_gateway.hpp"

#include <burdock/gateway/gateway.hpp>
#include <burdock/platform/http_platform_store.hpp>
#include <burdock/platform/http_protocol_codec.hpp>
#include <burdock/schema/document.hpp>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>

namespace burdock::daemon {

namespace {

using runtime::LogLevel;
namespace http = runtime::http;

std::optional<schema::GatewaySettings> readSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return std::nullopt;
    }
    auto checked = schema::parseGatewaySettings(path, *text);
    for (const auto &fault : checked.faults) {
        std::cerr << schema::toString(fault) << "\n";
    }
    return std::move(checked.document);
}

gateway::GatewaySettings toGatewaySettings(const schema::GatewaySettings &read)
{
    gateway::GatewaySettings settings;
    settings.name = read.name();
    settings.zone = read.zone();
    settings.callerAddress = http::parseAddress(read.callers_listen());
    settings.readinessAddress = http::parseAddress(read.readiness_listen());
    settings.metricsAddress = http::parseAddress(read.metrics_listen());
    settings.loadAddress = http::parseAddress(read.load_listen());
    settings.gracePeriod = fromMilliseconds(read.grace_seconds() * 1000.0);
    settings.maxRevocationDelay = std::chrono::milliseconds(read.revocation_ms());
    settings.retryShare = read.retry_share();
    settings.retrySlack = read.retry_slack();
    settings.maxStaleWeightTime = std::chrono::milliseconds(read.weights_ms());
    settings.minOrderInterval = std::chrono::milliseconds(read.order_pause_ms());
    return settings;
}

// Settings are read at start only; a change of the file takes effect at the next one, and its signal ends nothing.
void awaitReload(boost::asio::signal_set &signals, runtime::Logger &logger)
{
    signals.async_wait([&signals, &logger](const boost::system::error_code &error, int) {
        if (!error) {
            logger.event(LogLevel::Info, "reload", {{"taken", false}});
            awaitReload(signals, logger);
        }
    });
}

} // namespace

int runGateway(const std::string &settingsPath)
{
    boost::asio::io_context context(1);
    // Listened for before all else; what comes meanwhile waits until the gateway can deal with it.
    boost::asio::signal_set endSignals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    const auto read = readSettings(settingsPath);
    if (!read) {
        return ExitBadSettings;
    }
    runtime::BootClock clock;
    runtime::SystemRandom random;
    runtime::Logger logger(runtime::parseLogLevel(read->log_level()), read->name(), runtime::LogFlush::OnRequest);
    runtime::Metrics metrics;
    const platform::HttpProtocolCodec codec;
    platform::HttpPlatformStore store(http::parseAddress(read->platform()), metrics);
    const gateway::GatewayDependencies dependencies{context, clock, random, logger, metrics, codec, store};
    std::optional<gateway::Gateway> served;
    try {
        served.emplace(dependencies, toGatewaySettings(*read));
    } catch (const std::runtime_error &error) { // Asio's errors and the standard library's are no kin of each other otherwise
        logger.event(LogLevel::Error, "start_failed", {{"reason", std::string_view(error.what())}});
        return ExitFailed;
    }
    endSignals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            served->drain();
        }
    });
    awaitReload(reloadSignals, logger);
    served->start();
    logger.event(LogLevel::Info, "started", {{"platform", read->platform()}, {"zone", read->zone()}});
    context.run();
    logger.event(LogLevel::Info, "stopped");
    return ExitOk;
}

} // namespace burdock::daemon
