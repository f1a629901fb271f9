// A replica fails some of the requests that it has run with 503, without saying that it hasn't run them: the caller gets the 503, which
// promises that.

#include "../harness/deployment.hpp"

#include <map>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t Gateways = 4;
constexpr std::size_t Models = 9;
constexpr std::size_t Plain = 4;
constexpr Milliseconds Settling(3000);
constexpr Milliseconds RequestPeriod(40);
constexpr Milliseconds RetryPause(300);
constexpr const char *RetryMark = "b";
constexpr std::size_t Requests = 150;
constexpr int FailureStatus = 503;
/** Of ten requests, so many fail at the grey replica. */
constexpr int FailuresOfTen = 4;

} // namespace

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv, Gateways, Models, Plain);
    if (!deployment.start()) {
        deployment.end(Verdict::CouldNotRun, "the gateways did not become ready");
    }
    std::this_thread::sleep_for(Settling);
    if (deployment.hasTrouble()) {
        deployment.model(0).failRequests(FailureStatus, FailuresOfTen);
        deployment.record().line("replica " + deployment.model(0).id() + " fails " + std::to_string(FailuresOfTen)
                                 + " of 10 requests that it runs with status " + std::to_string(FailureStatus));
    }
    std::mutex mutex;
    std::set<std::string> refused;
    std::size_t served = 0;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < Requests; ++i) {
        clients.emplace_back([&, i] {
            const auto attempt = "a" + std::to_string(1000 + i);
            // Streams that may not be resumed are not idempotent.
            const auto path = "/prompts/" + std::to_string(i);
            const auto answer = deployment.call(i % deployment.gatewayCount(), path, attempt);
            const int status = answer ? answer->status() : 0;
            const bool isRefused = status == 408 || status == 421 || status == 429 || status == 503;
            {
                const std::lock_guard lock(mutex);
                served += status == 200 ? 1 : 0;
                if (isRefused) {
                    refused.insert(attempt);
                }
            }
            if (isRefused) {
                // As clients do after a promise, with an attempt of its own.
                std::this_thread::sleep_for(RetryPause);
                static_cast<void>(deployment.call((i + 1) % deployment.gatewayCount(), path, attempt + RetryMark));
            }
        });
        std::this_thread::sleep_for(RequestPeriod);
    }
    for (auto &client : clients) {
        client.join();
    }
    std::map<std::string, std::string> ran;
    for (std::size_t i = 0; i < deployment.modelCount(); ++i) {
        for (const auto &attempt : deployment.model(i).runAttempts()) {
            ran.emplace(attempt, deployment.model(i).id());
        }
    }
    std::size_t broken = 0;
    std::size_t twice = 0;
    std::string first;
    for (const auto &attempt : refused) {
        const auto found = ran.find(attempt);
        if (found != ran.end()) {
            ++broken;
            twice += ran.count(attempt + RetryMark);
            first = first.empty() ? attempt + " ran at " + found->second : first;
        }
    }
    if (served == 0) {
        deployment.end(Verdict::CouldNotRun, "no request was served");
    }
    const auto counts = std::to_string(served) + " of " + std::to_string(Requests) + " requests were served, "
        + std::to_string(refused.size()) + " refused";
    deployment.end(broken > 0 ? Verdict::Broken : Verdict::Held,
                   broken > 0 ? std::to_string(broken) + " requests that aren't idempotent were refused and have run, the first: " + first
                           + "; " + std::to_string(twice) + " of them ran a second time, sent again after the refusal" + "; " + counts
                              : "no request that was refused has run; " + counts);
}
