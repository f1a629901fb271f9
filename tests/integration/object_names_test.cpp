#include <burdock/platform/http_platform_store.hpp>
#include <burdock/runtime/metrics.hpp>

#include <support/gateway_deployment.hpp>
#include <support/platform_objects.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <set>
#include <thread>

using namespace burdock;
using namespace support;
using gateway::Freshness;
using gateway::ObjectKind;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** Names of which each, sent as it is, ends a query, adds to it, or stands for another name. */
const std::vector<std::string> OddNames{"a00%#", "a01%#zz", "a02&b=", "a03+", "a04%C3%A9", "a05\xc3\xa9", "a06 ?x/y", "a07%00;=\"{"};
constexpr auto Observed = std::chrono::seconds(1);
/** Reads of a gateway with its store in a second, of which watches and lists that failed make up a few dozen. */
constexpr u64 MaxReadsPerSecond = 100;

Replica answeringReplica()
{
    return Replica([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::completeResponse(request, 200, "done"));
        return ConnectionAction::Keep;
    });
}

/** @brief The gateway's client of the store, without a gateway. */
class StoreClient
{
public:
    StoreClient()
        : m_pool(2)
        , store(m_pool.context(), "127.0.0.1:0")
        , m_client(runtime::http::parseAddress(store.address()), m_metrics)
    {
    }

    ~StoreClient()
    {
        m_pool.stop();
        m_pool.wait();
    }

    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    [[nodiscard]] platform::HttpPlatformStore &client()
    {
        return m_client;
    }

    template <typename Result>
    Result run(boost::asio::awaitable<Result> call)
    {
        return boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), std::move(call), boost::asio::use_future).get();
    }

private:
    runtime::WorkerPool m_pool;
    runtime::Metrics m_metrics;

public:
    standins::ObjectStore store;

private:
    platform::HttpPlatformStore m_client;
};

u64 readsWhileObserved(const standins::ObjectStore &store)
{
    const auto before = store.reads();
    std::this_thread::sleep_for(Observed);
    return store.reads() - before;
}

} // namespace

// Guards against gateways that never become ready again, as the name at the end of a page breaks the query for the next one.
TEST_CASE("a gateway that starts reads lists of many pages whose names need encoding")
{
    GatewayDeployment gateway;
    auto replica = answeringReplica();
    gateway.store().setPageSize(1);
    gateway.configure(3);
    for (const std::string kind : {"servers", "versions", "evacuations", "burdock-entries"}) {
        for (const auto &name : OddNames) {
            gateway.store().put(kind, name, boost::json::object());
        }
    }
    gateway.registerReplica("z1", "plain", replica.address());
    gateway.awaitReady();
    CHECK(gateway.call({}).response.status == 200);
    gateway.restart();
    gateway.awaitReady();
    CHECK(gateway.call({}).response.status == 200);
}

// Guards against endpoints that aren't used, or get another name, for what their name holds.
TEST_CASE("endpoints whose names need encoding in a target are named as they are in headers")
{
    GatewayDeployment gateway;
    auto replica = answeringReplica();
    gateway.store().setPageSize(1);
    gateway.configure(3);
    for (const auto &name : OddNames) {
        gateway.registerReplica(name, "plain", replica.address());
    }
    gateway.awaitReady();
    for (u32 i = 0; i < 100; ++i) {
        GatewayCall call;
        call.attempt = "a" + std::to_string(i);
        CHECK(gateway.call(call).response.status == 200);
    }
    std::set<std::string> named;
    for (const auto &request : replica.received()) {
        named.insert(request.header("X-Expect-Instance"));
    }
    CHECK(named == std::set<std::string>(OddNames.begin(), OddNames.end()));
}

// Guards against an endpoint whose name adds lines to the requests that it is sent.
TEST_CASE("an endpoint whose name can't be sent in a header isn't used")
{
    GatewayDeployment gateway;
    auto odd = answeringReplica();
    auto sound = answeringReplica();
    gateway.configure(3);
    for (const std::string name : {"r1\r\nX-Tenant-Id: other", "r1 ", "r1\x01"}) {
        gateway.registerReplica(name, "plain", odd.address());
    }
    gateway.registerReplica("r2", "plain", sound.address());
    gateway.awaitReady();
    for (u32 i = 0; i < 20; ++i) {
        GatewayCall call;
        call.attempt = "a" + std::to_string(i);
        CHECK(gateway.call(call).response.status == 200);
    }
    CHECK(odd.received().empty());
}

// Guards against a customer whose name adds lines to the requests of an endpoint, and against blaming the endpoint for it.
TEST_CASE("a customer whose name can't be sent in a header is refused, and no endpoint is blamed")
{
    GatewayDeployment gateway;
    auto replica = answeringReplica();
    auto configuration = configurationObject(3, {"key-desk"});
    configuration.at("tenants").as_array().push_back({{"name", "odd\r\nX-Tenant-Id: desk"}, {"apiKeys", {"key-odd"}}});
    gateway.store().put("config", "main", configuration);
    gateway.registerReplica("r1", "plain", replica.address());
    gateway.awaitReady();
    for (u32 i = 0; i < 10; ++i) {
        GatewayCall odd;
        odd.key = "key-odd";
        odd.attempt = "odd" + std::to_string(i);
        CHECK(gateway.call(odd).response.status == 401);
        GatewayCall sound;
        sound.attempt = "a" + std::to_string(i);
        CHECK(gateway.call(sound).response.status == 200);
    }
    for (const auto &request : replica.received()) {
        CHECK(request.header("X-Tenant-Id") == "desk");
    }
}

// Guards against writes that reach another object than the one that was read, or none.
TEST_CASE("objects whose names need encoding are written, listed and removed")
{
    StoreClient client;
    client.store.setPageSize(1);
    const boost::json::value spec = boost::json::object{{"a", 1}};
    for (const auto &name : OddNames) {
        CAPTURE(name);
        const auto created = client.run(client.client().write(ObjectKind::Rollouts, name, spec, std::nullopt));
        CHECK(created.status == StoreResult::Written);
        const auto updated = client.run(client.client().write(ObjectKind::Rollouts, name, spec, created.revision));
        CHECK(updated.status == StoreResult::Written);
    }
    const auto list = client.run(client.client().list(ObjectKind::Rollouts, Freshness::MayBeStale));
    CHECK(list.status == StoreResult::Found);
    REQUIRE(list.items.size() == OddNames.size());
    for (const auto &item : list.items) {
        CAPTURE(item.name);
        const auto written = client.run(client.client().writeStatus(ObjectKind::Rollouts, item, boost::json::object{{"b", 2}}));
        CHECK(written.status == StoreResult::Written);
        CHECK(client.store.status("rollouts", item.name).is_object());
        CHECK(client.run(client.client().remove(ObjectKind::Rollouts, item.name)) == StoreResult::Written);
    }
    CHECK(client.store.count("rollouts") == 0);
}

// Guards against thousands of calls a second to a store whose list gets no further.
TEST_CASE("a list that gets no further is read again only after a pause")
{
    GatewayDeployment gateway;
    gateway.configure(3);
    for (const std::string kind : {"servers", "evacuations", "versions", "config", "burdock-entries"}) {
        CAPTURE(kind);
        gateway.store().repeatPages(kind);
        gateway.restart();
        CHECK(readsWhileObserved(gateway.store()) < MaxReadsPerSecond);
        CHECK((kind == "burdock-entries" || gateway.readiness() != 200));
        gateway.store().repeatPages("");
        gateway.awaitReady();
    }
}

// Guards against thousands of calls a second to a store that ends watches before anything has changed.
TEST_CASE("a watch that ends early with nothing is repeated only after a pause")
{
    GatewayDeployment gateway;
    gateway.configure(3);
    gateway.awaitReady();
    for (const std::string kind : {"servers", "evacuations", "versions", "config"}) {
        CAPTURE(kind);
        // The watch that waits already may end first.
        const auto before = gateway.store().watchesCut();
        gateway.store().cutWatches(kind);
        REQUIRE(GatewayDeployment::waitFor([&] { return gateway.store().watchesCut() > before; }));
        CHECK(readsWhileObserved(gateway.store()) < MaxReadsPerSecond);
    }
    CHECK(gateway.readiness() == 200);
}
