#include <burdock/runtime/worker_pool.hpp>

#include <standins/engine.hpp>
#include <standins/platform.hpp>
#include <standins/service.hpp>
#include <standins/store.hpp>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <sstream>

DEFINE_string(platform, "127.0.0.1:0", "address of the platform's object API");
DEFINE_string(vms, "", "file with the list of VMs");
DEFINE_string(engines, "", "addresses of model engines, separated by commas");
DEFINE_string(services, "", "addresses of plain services, separated by commas");
DEFINE_string(stores, "", "addresses of store VMs, separated by commas");
DEFINE_uint32(token_ms, 5, "time an engine takes per output token, in milliseconds");
DEFINE_uint32(prefill, 20000, "prompt tokens that an engine processes per second");
DEFINE_uint32(memory_blocks, 64, "capacity of an engine in cache blocks");

namespace {

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

template <typename Standin, typename... Arguments>
std::vector<std::unique_ptr<Standin>> createAll(boost::asio::io_context &workers, const std::string &addresses,
                                                const Arguments &...arguments)
{
    std::vector<std::unique_ptr<Standin>> out;
    for (const auto &address : split(addresses)) {
        out.push_back(std::make_unique<Standin>(workers, address, arguments...));
    }
    return out;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-ins for the systems around burdockpaddle");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    burdock::runtime::WorkerPool pool(2);
    standins::Platform platform(pool.context(), FLAGS_platform);
    if (!FLAGS_vms.empty()) {
        const std::ifstream file(FLAGS_vms);
        std::ostringstream text;
        text << file.rdbuf();
        platform.setVms(text.str());
    }
    standins::EngineOptions options;
    options.tokenMs = FLAGS_token_ms;
    options.prefillTokensPerSecond = FLAGS_prefill;
    options.memoryBlocks = FLAGS_memory_blocks;
    const auto engines = createAll<standins::Engine>(pool.context(), FLAGS_engines, options);
    const auto services = createAll<standins::Service>(pool.context(), FLAGS_services);
    const auto stores = createAll<standins::Store>(pool.context(), FLAGS_stores);
    boost::asio::signal_set signals(pool.context(), SIGTERM, SIGINT);
    signals.async_wait([&pool](const boost::system::error_code &, int) { pool.stop(); });
    std::cout << "stand-ins ready" << std::endl;
    pool.wait();
    return 0;
}
