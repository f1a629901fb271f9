#include <support/caller.hpp>
#include <support/client_crowd.hpp>
#include <support/process_usage.hpp>
#include <support/request_bytes.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <thread>

using namespace support;

namespace {

/** Memory and descriptors of the smallest VM of these processes. */
constexpr u64 MaxProcessKib = 128 * 1024;
constexpr u32 MaxDescriptors = 1024;
constexpr std::size_t FloodBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t BodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t FieldBytes = std::size_t{15} * 1024;
constexpr std::size_t Crowd = 64;
constexpr std::size_t LargeCrowd = 250;
constexpr std::size_t CrowdBeyondLimit = 1100;
constexpr u32 PipelinedRequests = 1000;
constexpr u32 StreamTokens = 2000;
constexpr u32 MaxTries = 4;
constexpr Duration Timeout = std::chrono::seconds(20);
constexpr auto PauseBetweenTries = std::chrono::milliseconds(500);

/** @brief One entry, one engine and one service. */
class SmallDeployment
{
public:
    /** @param entryDescriptors 0 for the default */
    explicit SmallDeployment(u32 entryDescriptors = MaxDescriptors)
        : deployment(options(entryDescriptors))
    {
        deployment.start();
    }

    /** @brief Calls as an ordinary caller, which tries again after a refusal or a closed connection; returns whether it was served. */
    [[nodiscard]] bool serves()
    {
        for (u32 i = 0; i < MaxTries; ++i) {
            if (sendAndWait(deployment, 0, PromptCall{}).isComplete) {
                return true;
            }
            std::this_thread::sleep_for(PauseBetweenTries);
        }
        return false;
    }

    Deployment deployment;

private:
    static DeploymentOptions options(u32 entryDescriptors)
    {
        DeploymentOptions options;
        options.entryDescriptors = entryDescriptors;
        options.entries = 1;
        options.engines = 1;
        options.zones = 1;
        return options;
    }
};

std::string requestHead(const std::string &target, const std::string &headers)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-desk\r\nContent-Type: application/json\r\n{}\r\n", target,
                       headers);
}

std::string chunkedHead()
{
    return requestHead("/v1/completions", "Transfer-Encoding: chunked\r\n");
}

/** @brief Checks that a process survives a crowd within its memory and descriptors, and that a prompt is served beside it. */
void checkSurvives(const std::string &process, const std::string &address, SmallDeployment &small, const ClientScript &script,
                   std::size_t count = Crowd)
{
    REQUIRE(small.serves());
    auto &child = small.deployment.process(process);
    const ProcessUsage usage(child.pid(), {address});
    ClientCrowd crowd(address, script, count);
    CHECK(crowd.awaitSettled());
    CHECK(small.serves());
    CHECK(child.waitForExit(Duration::zero()) == -1);
    CHECK(usage.peakDescriptors() <= MaxDescriptors);
    if (IsMemoryMeasured) {
        CHECK(usage.peakKib() <= MaxProcessKib);
    }
}

void checkEntrySurvives(const ClientScript &script, std::size_t count = Crowd)
{
    SmallDeployment small;
    checkSurvives("entry-0", small.deployment.entryAddress(0), small, script, count);
}

void checkAdminSurvives(const ClientScript &script, std::size_t count = Crowd)
{
    for (const std::string process : {"entry-0", "model-0"}) {
        CAPTURE(process);
        SmallDeployment small;
        checkSurvives(process, small.deployment.adminAddress(process), small, script, count);
    }
}

} // namespace

// Guards against trailers that are kept whole until they end.
TEST_CASE("trailers without end leave the entry serving within its memory")
{
    checkEntrySurvives({chunkedHead() + "4\r\nfill\r\n0\r\nX-Filler: ", "filler", FloodBytes});
    checkEntrySurvives({chunkedHead() + "4\r\nfill\r\n0\r\n", "X-Filler: filler\r\n", FloodBytes});
}

// Guards against chunk extensions and sizes that are kept until they end.
TEST_CASE("chunk heads without end leave the entry serving within its memory")
{
    checkEntrySurvives({chunkedHead() + "4;x=", "filler", FloodBytes});
    checkEntrySurvives({chunkedHead(), "0", FloodBytes});
}

// Guards against many short fields, which take far more memory than their bytes.
TEST_CASE("heads of many fields leave the entry serving within its memory")
{
    checkEntrySurvives({requestHead("/v1/completions", "Content-Length: 8\r\n" + shortFields(FieldBytes)) + "fill"}, LargeCrowd);
}

// Guards against bodies that are kept because their ends don't come.
TEST_CASE("bodies that don't end leave the entry serving within its memory")
{
    const auto chunk = chunkOf(32 * 1024);
    checkEntrySurvives({chunkedHead(), chunk, chunk.size() * (BodyBytes / (32 * 1024)) - 1});
    const auto announced = requestHead("/v1/completions", fmt::format("Content-Length: {}\r\n", BodyBytes));
    checkEntrySurvives({announced, "x", BodyBytes - 1});
}

// Guards against refused clients whose further bytes take more memory than the requests that were refused.
TEST_CASE("refused clients that send on leave the entry serving within its memory")
{
    checkEntrySurvives({requestHead("/v1/completions", "Content-Length: 1000000000\r\n"), "filler", FloodBytes}, CrowdBeyondLimit);
}

// Guards against connections that take all descriptors and never send a request.
TEST_CASE("silent connections leave the entry serving within its descriptors")
{
    checkEntrySurvives({""}, CrowdBeyondLimit);
}

// Guards against streams that nobody reads, which are kept for their callers.
TEST_CASE("streams that nobody reads leave the entry serving within its memory")
{
    const auto body = fmt::format(R"({{"model":"m","prompt":"x","max_tokens":{},"stream":true}})", StreamTokens);
    const auto request = requestHead("/v1/completions", fmt::format("Content-Length: {}\r\n", body.size())) + body;
    checkEntrySurvives({repeat(request, 4)}, LargeCrowd);
}

// Guards against the listeners for operators, which keep what any client sends, and answers that nobody reads.
TEST_CASE("clients of the admin listeners leave the processes serving within their memory")
{
    const std::string head = "GET /metrics HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    checkAdminSurvives({chunked + "4\r\nfill\r\n0\r\nX-Filler: ", "filler", FloodBytes});
    checkAdminSurvives({chunked, chunkOf(32 * 1024), FloodBytes - 1});
    checkAdminSurvives({repeat(head + "\r\n", PipelinedRequests)}, LargeCrowd);
}

// Guards against connections to the listeners for operators that take all descriptors.
TEST_CASE("silent connections to the admin listeners leave the processes serving within their descriptors")
{
    checkAdminSurvives({""}, CrowdBeyondLimit);
}

// Guards against peers without a key whose first message never ends, which is kept until it does.
TEST_CASE("messages without end on the link listener leave the endpoint process serving within its memory")
{
    // Greeting of ZMTP 3.0 with the mechanism CURVE, and a long command of 2^28 bytes.
    std::string greeting = "\xff";
    greeting += std::string(8, '\0') + "\x7f" + std::string("\x03\x00", 2) + "CURVE" + std::string(15, '\0') + std::string(32, '\0');
    greeting += std::string("\x06\x00\x00\x00\x00\x10\x00\x00\x00", 9);
    for (const std::string process : {"model-0", "print-0"}) {
        CAPTURE(process);
        SmallDeployment small;
        checkSurvives(process, small.deployment.linkAddress(process), small, {greeting, "filler", FloodBytes});
    }
}

// Guards against limits that a caller within the stated ones meets.
TEST_CASE("a single request of the entry's full size is served")
{
    SmallDeployment small(0);
    const std::string begin = R"({"model":"m","prompt":"x","max_tokens":1,"user":")";
    const std::string end = R"("})";
    runtime::http::Request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"Authorization", "Bearer key-desk"}, {"Content-Type", "application/json"}};
    request.body = begin + std::string(BodyBytes - begin.size() - end.size(), 'x') + end;
    const auto address = runtime::http::parseAddress(small.deployment.entryAddress(0));
    const auto answer = small.deployment.spawn(runtime::http::exchange(address, request, Timeout)).get();
    CHECK(answer.progress == runtime::http::Progress::Answered);
    CHECK(answer.response.status == 200);
}
