#include <burdock/clients/http_engine.hpp>

#include <support/endless_endpoint.hpp>
#include <support/gateway_deployment.hpp>
#include <support/platform_objects.hpp>
#include <support/ports.hpp>
#include <support/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <thread>
#include <unistd.h>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** Memory of the smallest gateway VM, and of the smallest VM of the product's other processes. */
constexpr u64 MaxGatewayKib = 110 * 1024;
constexpr u64 MaxProcessKib = 128 * 1024;
constexpr auto Observed = std::chrono::seconds(3);
constexpr std::size_t WriteBytes = 32 * 1024;
constexpr u32 Engines = 12;
constexpr u32 Stores = 6;
constexpr u32 Runs = 20;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool IsMemoryMeasured = false; // the sanitizer's own memory is several times that of the process
#else
constexpr bool IsMemoryMeasured = true;
#endif

/** @brief Beginnings of answers that never end, with what follows again and again. */
const std::map<std::string, EndlessAnswer> &endlessAnswers()
{
    const auto endless = [](const std::string &begin, const std::string &repeated) {
        return EndlessAnswer{[begin](const ReceivedRequest &) { return begin; }, repeated};
    };
    static const std::map<std::string, EndlessAnswer> s_answers{
        {"bytes that are no answer", endless("", "filler")},
        {"header lines", endless("HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n")},
        {"a body until the connection ends", endless("HTTP/1.1 200 OK\r\n\r\n", "filler")},
        {"a long body", endless("HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n{\"a\":\"", "filler")},
        {"chunks", endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nfillfill\r\n")},
    };
    return s_answers;
}

/** @brief Writes an answer without end until its connection is closed. */
ConnectionAction writeEndlessly(const EndlessAnswer &answer, const ReceivedRequest &request, ReplicaConnection &connection)
{
    std::string block;
    while (block.size() < WriteBytes) {
        block += answer.repeated;
    }
    connection.write(answer.begin(request));
    while (!connection.waitForClose(Duration::zero())) {
        connection.write(block);
    }
    return ConnectionAction::Close;
}

ConnectionAction answerPrompt(const ReceivedRequest &request, ReplicaConnection &connection)
{
    connection.write(standins::streamHead(request) + standins::eventChunk(1, "x") + standins::StreamEnd);
    return ConnectionAction::Keep;
}

/** @brief Calls prompts for some time and returns how many were not served. */
u32 countNotServed(GatewayDeployment &gateway)
{
    u32 notServed = 0;
    const auto end = std::chrono::steady_clock::now() + Observed;
    for (u32 i = 0; std::chrono::steady_clock::now() < end; ++i) {
        notServed += gateway.call(promptCall("/prompts/1", "p" + std::to_string(i))).response.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return notServed;
}

void checkMemory(pid_t pid, u64 maxKib)
{
    if (IsMemoryMeasured) {
        CHECK(peakKib(pid) <= maxKib);
    }
}

} // namespace

// Guards against engines in trouble that fill the gateway's memory with answers to its questions for their state.
TEST_CASE("states of engines without end leave the gateway serving within its memory")
{
    for (const auto &entry : endlessAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        GatewayDeployment gateway(R"({"memory_mb":110,"descriptors":4100})");
        Replica engine([&entry](const ReceivedRequest &request, ReplicaConnection &connection) {
            const bool isPrompt = request.target.starts_with("/prompts");
            return isPrompt ? answerPrompt(request, connection) : writeEndlessly(entry.second, request, connection);
        });
        for (u32 i = 0; i < Engines; ++i) {
            gateway.registerReplica("e" + std::to_string(i), "engines", engine.address());
        }
        gateway.configure(3);
        gateway.awaitReady();
        gateway.store().put("versions", "m", {{"model", "m"}, {"version", 2}});
        CHECK(countNotServed(gateway) == 0);
        CHECK(engine.receivedCount("/report") > 0);
        CHECK(gateway.readiness() == 200);
        checkMemory(gateway.process().pid(), MaxGatewayKib);
    }
}

// Guards against cache stores in trouble that fill the memory of the gateways which follow them.
TEST_CASE("lists of cache stores without end leave the gateway serving within its memory")
{
    for (const auto &entry : endlessAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        GatewayDeployment gateway(R"({"memory_mb":110,"descriptors":4100})");
        Replica engine(answerPrompt);
        gateway.registerReplica("e1", "engines", engine.address());
        auto configuration = configurationObject(3, {"key-desk"});
        std::vector<std::unique_ptr<EndlessEndpoint>> stores;
        for (u32 i = 0; i < Stores; ++i) {
            stores.push_back(std::make_unique<EndlessEndpoint>(entry.second));
            configuration.as_object()["services"].as_array().push_back({{"name", "store-" + std::to_string(i)},
                                                                        {"kvStore", stores.back()->replica().address()},
                                                                        {"zone", "zone-a"},
                                                                        {"kvCapacity", 100000},
                                                                        {"maxInflight", 8},
                                                                        {"managed", true},
                                                                        {"linkMbps", 1000.0},
                                                                        {"first_ms", 1}});
        }
        gateway.store().put("config", "main", configuration);
        gateway.awaitReady();
        CHECK(countNotServed(gateway) == 0);
        CHECK(stores.front()->begun() > 0);
        checkMemory(gateway.process().pid(), MaxGatewayKib);
    }
}

// Guards against a store of the platform in trouble that ends the gateways with answers without end.
TEST_CASE("answers of the platform's store without end leave the gateway running within its memory")
{
    for (const auto &entry : endlessAnswers()) {
        const auto &name = entry.first;
        CAPTURE(name);
        EndlessEndpoint store(entry.second);
        boost::json::object overrides{{"memory_mb", 110}, {"descriptors", 4100}};
        GatewayProcess gateway("vm-1", "zone-a", store.replica().address(), overrides);
        gateway.start();
        std::this_thread::sleep_for(Observed);
        CHECK(store.begun() > 0);
        CHECK(store.begun() - store.closed() < Runs);
        checkMemory(gateway.process().pid(), MaxGatewayKib);
        gateway.process().signal(SIGTERM);
        CHECK(gateway.process().waitForExit(std::chrono::seconds(10)) == 0);
    }
}

// Guards against an engine in trouble that fills the memory of the process beside it with answers to the question that precedes each run.
TEST_CASE("states of an engine without end are given up before each of many runs, within the memory of a process")
{
    EndlessEndpoint endpoint(endlessAnswers().at("a long body"));
    clients::HttpEngine engine(runtime::http::parseAddress(endpoint.replica().address()), std::chrono::seconds(1));
    runtime::WorkerPool pool(2);
    std::vector<std::unique_ptr<clients::Generation>> generations;
    std::vector<std::future<clients::EngineState>> states;
    for (u32 i = 0; i < Runs; ++i) {
        generations.push_back(engine.generate({}));
        states.push_back(
            boost::asio::co_spawn(boost::asio::make_strand(pool.context()), generations.back()->open(), boost::asio::use_future));
    }
    for (auto &state : states) {
        CHECK_FALSE(state.get().isReachable);
    }
    checkMemory(::getpid(), MaxProcessKib);
    generations.clear();
    pool.stop();
    pool.wait();
}
