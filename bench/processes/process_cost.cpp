#include <support/caller.hpp>

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

DEFINE_uint32(requests, 2000, "requests in each measurement");
DEFINE_uint32(callers, 32, "concurrent callers in the throughput measurement");
DEFINE_uint32(tokens, 1, "output tokens per request");

namespace {

using namespace support;

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

// Returns the user and system CPU time of a process in seconds.
double cpuSeconds(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    constexpr int UserTicks = 14;
    constexpr int SystemTicks = 15;
    for (int field = 1; field <= SystemTicks && stat >> word; ++field) {
        ticks += field == UserTicks || field == SystemTicks ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

u64 residentKib(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

boost::asio::awaitable<double> sendToEngine(std::string address, u32 number)
{
    const auto begin = std::chrono::steady_clock::now();
    runtime::http::Request request;
    request.method = "POST";
    request.target = "/v1/generate";
    request.body = boost::json::serialize(boost::json::object{{"model", "m"},
                                                              {"weight_version", "v1"},
                                                              {"prompt", "direct " + std::to_string(number)},
                                                              {"max_tokens", FLAGS_tokens},
                                                              {"block_keys", boost::json::array()}});
    runtime::http::Call call(runtime::http::parseAddress(address), std::chrono::seconds(5));
    static_cast<void>(co_await call.send(request));
    std::string body;
    while (body.find("\"text\"") == std::string::npos) {
        const auto piece = co_await call.read();
        body += piece.data;
        if (piece.isEnd || piece.isBroken) {
            break;
        }
    }
    co_return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

boost::asio::awaitable<std::vector<double>> sendSequentially(std::string entry, u32 caller, u32 requests)
{
    std::vector<double> latenciesMs;
    PromptCall call;
    call.tokens = FLAGS_tokens;
    for (u32 i = 0; i < requests; ++i) {
        call.prompt = "caller " + std::to_string(caller) + " request " + std::to_string(i);
        const auto answer = co_await sendPrompt(entry, call);
        latenciesMs.push_back(answer.isComplete ? toMilliseconds(answer.firstToken) : -1);
    }
    co_return latenciesMs;
}

void report(const std::string &name, const std::vector<double> &latenciesMs)
{
    const auto failed = std::count_if(latenciesMs.begin(), latenciesMs.end(), [](double ms) { return ms < 0; });
    std::cout << "| " << name << " | " << latenciesMs.size() << " | " << failed << " | " << std::fixed << std::setprecision(2)
              << quantile(latenciesMs, 0.5) << " | " << quantile(latenciesMs, 0.99) << " |\n";
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures latency, CPU time and memory of the entry and endpoint processes on loopback, with stand-ins");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    DeploymentOptions options;
    options.entries = 1;
    options.services = 0;
    options.heartbeatMs = 250;
    options.coldLimit = 64;
    options.warmLimit = 256;
    options.queueLimit = 4096;
    options.engine.tokenMs = 0;
    options.engine.coldRunCapacity = 1000;
    options.engine.warmRunCapacity = 1000;
    Deployment deployment(options);
    deployment.start();

    std::cout << "| path | requests | failed | first token p50 ms | p99 ms |\n|---|---|---|---|---|\n";
    std::vector<double> direct;
    for (u32 i = 0; i < FLAGS_requests; ++i) {
        direct.push_back(deployment.spawn(sendToEngine(deployment.engine(i % 2).address(), i)).get());
    }
    report("engine directly, one caller", direct);
    report("entry and endpoint process, one caller",
           deployment.spawn(sendSequentially(deployment.entryAddress(0), 0, FLAGS_requests)).get());

    const pid_t entry = deployment.process("entry-0").pid();
    const pid_t endpoint = deployment.process("model-0").pid();
    const double entryBefore = cpuSeconds(entry);
    const double endpointBefore = cpuSeconds(endpoint);
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::future<std::vector<double>>> callers;
    for (u32 i = 0; i < FLAGS_callers; ++i) {
        callers.push_back(deployment.spawn(sendSequentially(deployment.entryAddress(0), i, FLAGS_requests / 4)));
    }
    std::vector<double> latenciesMs;
    for (auto &caller : callers) {
        const auto callerLatenciesMs = caller.get();
        latenciesMs.insert(latenciesMs.end(), callerLatenciesMs.begin(), callerLatenciesMs.end());
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    report("entry and endpoint processes, " + std::to_string(FLAGS_callers) + " callers", latenciesMs);
    const auto count = static_cast<double>(latenciesMs.size());
    // Two endpoint processes share the requests, hence the factor of 2 for the measured one.
    std::cout << std::setprecision(0) << "\nrequests a second: " << count / seconds << std::setprecision(1)
              << "\nentry: processor microseconds a request: " << 1e6 * (cpuSeconds(entry) - entryBefore) / count
              << ", resident KiB: " << residentKib(entry)
              << "\nendpoint process: processor microseconds a request: " << 2e6 * (cpuSeconds(endpoint) - endpointBefore) / count
              << ", resident KiB: " << residentKib(endpoint) << "\n";

    const double entryBeforeIdle = cpuSeconds(entry);
    const double endpointBeforeIdle = cpuSeconds(endpoint);
    constexpr u32 IdleSeconds = 10;
    sleep(IdleSeconds);
    std::cout << "idle with " << options.engines << " links: entry " << std::setprecision(2)
              << 100 * (cpuSeconds(entry) - entryBeforeIdle) / IdleSeconds << " % of a core, endpoint process "
              << 100 * (cpuSeconds(endpoint) - endpointBeforeIdle) / IdleSeconds << " %\n";
    return 0;
}
