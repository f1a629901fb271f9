#include "run_gateway.hpp"

#include <burdock/runtime/link/keys.hpp>
#include <burdock/runtime/worker_pool.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/serving/role.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "JSON file with the settings of this process");

namespace {

using namespace burdock;

using daemon::ExitBadSettings;
using daemon::ExitFailed;
using daemon::ExitOk;
constexpr std::size_t MaxRetainedSpans = 4096;

std::optional<schema::DaemonSettings> readSettings(const std::string &path)
{
    const auto text = daemon::readFile(path);
    if (!text) {
        return std::nullopt;
    }
    auto parsed = schema::parseSettings(path, *text);
    if (parsed.document && !runtime::link::areValid({parsed.document->links().public_key(), parsed.document->links().secret_key()})) {
        parsed.faults.push_back({path, "$.links", "public_key and secret_key are not a CURVE key pair"});
        parsed.document.reset();
    }
    for (const auto &fault : parsed.faults) {
        std::cerr << schema::toString(fault) << "\n";
    }
    return std::move(parsed.document);
}

int serve(const schema::DaemonSettings &settings)
{
    runtime::SteadyClock clock;
    runtime::SystemRandom random;
    runtime::Logger logger(runtime::parseLogLevel(settings.log_level()), settings.name());
    runtime::Metrics metrics;
    runtime::Tracer tracer(settings.name(), random, MaxRetainedSpans);
    runtime::WorkerPool pool(settings.workers());
    std::unique_ptr<serving::Role> role;
    serving::Process process{pool.context(), clock, random, logger, metrics, tracer, settings.name(), settings.zone(), random.word()};
    try {
        role = serving::makeRole(process, settings);
    } catch (const std::runtime_error &error) { // common base class of Asio's and the standard library's errors
        logger.event(runtime::LogLevel::Error, "start_failed", {{"reason", std::string_view(error.what())}});
        return ExitFailed;
    }
    boost::asio::signal_set signals(pool.context(), SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int /*signal*/) {
        if (error) {
            return;
        }
        logger.event(runtime::LogLevel::Info, "stopping");
        boost::asio::co_spawn(pool.context(), role->drain(), [&pool](const std::exception_ptr &) { pool.stop(); });
    });
    role->start();
    logger.event(runtime::LogLevel::Info, "started", {{"boot_id", process.bootId}});
    pool.wait();
    logger.event(runtime::LogLevel::Info, "stopped");
    return ExitOk;
}

} // namespace

std::optional<std::string> burdock::daemon::readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int main(int argc, char **argv)
{
    const bool isGateway = argc > 1 && std::string_view(argv[1]) == "gateway";
    if (isGateway) {
        // Without this, a SIGHUP before the gateway installs its handler would end the process.
        std::signal(SIGHUP, SIG_IGN);
    }
    gflags::SetUsageMessage("serves prompts and calls as an entry or beside an endpoint, or as a gateway on the users' platform\n\n"
                            "  burdockpaddled --settings=entry.json\n  burdockpaddled gateway --settings=gateway.json");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    if (isGateway) {
        return daemon::runGateway(FLAGS_settings);
    }
    const auto settings = readSettings(FLAGS_settings);
    return settings ? serve(*settings) : ExitBadSettings;
}
