#include "run_gateway.hpp"

#include <burdock/gateway/gateway.hpp>
#include <burdock/platform/contract_names.hpp>
#include <burdock/platform/http_platform_store.hpp>
#include <burdock/platform/http_protocol_codec.hpp>
#include <burdock/run/message_memory.hpp>
#include <burdock/schema/document.hpp>

#include <algorithm>
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
    auto parsed = schema::parseGatewaySettings(path, *text);
    for (const auto &fault : parsed.faults) {
        std::cerr << schema::toString(fault) << "\n";
    }
    return std::move(parsed.document);
}

gateway::GatewaySettings toGatewaySettings(const schema::GatewaySettings &document)
{
    gateway::GatewaySettings settings;
    settings.name = document.name();
    settings.zone = document.zone();
    settings.callerAddress = http::parseAddress(document.callers_listen());
    settings.readinessAddress = http::parseAddress(document.readiness_listen());
    settings.metricsAddress = http::parseAddress(document.metrics_listen());
    settings.loadAddress = http::parseAddress(document.load_listen());
    settings.gracePeriod = fromMilliseconds(document.grace_seconds() * 1000.0);
    settings.maxRevocationDelay = fromMilliseconds(document.revocation_ms());
    settings.retryShare = document.retry_share();
    settings.retrySlack = document.retry_slack();
    settings.maxStaleWeightTime = fromMilliseconds(document.weights_ms());
    // A pause must not become shorter, unlike the limits above, which round down.
    settings.minOrderInterval = fromMilliseconds(document.order_pause_ms()) + Duration(1);
    settings.coldFactor = document.cold_factor() > 0 ? document.cold_factor() : settings.coldFactor;
    settings.coldSlack = document.cold_slack();
    const auto &contracts = document.contracts();
    settings.followsRollouts = std::find(contracts.begin(), contracts.end(), platform::RolloutContract) != contracts.end();
    settings.rolloutShare = document.expose_share_size() > 0 ? document.expose_share(0) : settings.rolloutShare;
    settings.responseBytes = run::responseMemoryBytes(static_cast<u32>(document.memory_mb()));
    settings.isReadingShared = document.shared_reading();
    settings.clientBudget = admission::clientBudget(static_cast<u32>(document.descriptors()), static_cast<u32>(document.memory_mb()));
    return settings;
}

// Settings are only read at startup: a changed file takes effect after a restart, and SIGHUP is logged but otherwise ignored.
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
    // Registered first, so that signals which arrive during startup are kept until the gateway can handle them.
    boost::asio::signal_set endSignals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    const auto document = readSettings(settingsPath);
    if (!document) {
        return ExitBadSettings;
    }
    runtime::BootClock clock;
    runtime::SystemRandom random;
    runtime::Logger logger(runtime::parseLogLevel(document->log_level()), document->name(), runtime::LogFlush::OnRequest);
    runtime::Metrics metrics;
    const platform::HttpProtocolCodec codec;
    platform::HttpPlatformStore store(http::parseAddress(document->platform()), metrics);
    const gateway::GatewayDependencies dependencies{context, clock, random, logger, metrics, codec, store};
    std::optional<gateway::Gateway> instance;
    try {
        instance.emplace(dependencies, toGatewaySettings(*document));
    } catch (const std::runtime_error &error) { // common base class of Asio's and the standard library's errors
        logger.event(LogLevel::Error, "start_failed", {{"reason", std::string_view(error.what())}});
        return ExitFailed;
    }
    endSignals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            instance->drain();
        }
    });
    awaitReload(reloadSignals, logger);
    instance->start();
    logger.event(LogLevel::Info, "started", {{"platform", document->platform()}, {"zone", document->zone()}});
    context.run();
    logger.event(LogLevel::Info, "stopped");
    return ExitOk;
}

} // namespace burdock::daemon
