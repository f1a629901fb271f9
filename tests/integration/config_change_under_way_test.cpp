#include <support/ports.hpp>
#include <support/wait_until.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/ops/rollout.hpp>
#include <burdock/runtime/link/keys.hpp>
#include <burdock/runtime/link/server.hpp>
#include <burdock/runtime/worker_pool.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/config_steps.hpp>
#include <burdock/serving/entry/caller_handler.hpp>
#include <burdock/serving/link_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <future>
#include <mutex>

using namespace support;
using namespace burdock;

namespace {

const std::string ApiKey = "key-desk";

schema::Bundle makeFirstBundle()
{
    schema::Bundle bundle;
    bundle.set_version(1);
    bundle.add_zones()->set_name("zone-a");
    for (const auto *name : {"models", "others"}) {
        auto *pool = bundle.add_pools();
        pool->set_name(name);
        pool->set_cold_limit(100);
        pool->set_warm_limit(100);
        pool->set_queue_limit(100);
    }
    auto *model = bundle.add_models();
    model->set_name("m");
    model->set_pool("models");
    model->set_weight_version("v1");
    auto *service = bundle.add_services();
    service->set_name("print");
    service->set_pool("models");
    for (const auto *name : {"desk", "clerk"}) {
        auto *customer = bundle.add_customers();
        customer->set_name(name);
        customer->set_api_key_hash(hash::toHex(hash::asBytes(hash::plainDigest256("key-" + std::string(name)))));
    }
    auto *policy = bundle.mutable_policy();
    policy->set_block_bytes(64);
    policy->set_weight_first_token_ms(1);
    policy->set_weight_recomputed_ktoken(300);
    policy->set_weight_link_mib(2);
    policy->set_bounded_load_percent(150);
    policy->set_retry_budget_percent(20);
    policy->set_cache_link_bytes_per_second(100'000'000);
    policy->set_prefill_tokens_per_second(20'000);
    policy->set_concurrent_weight_loads(2);
    policy->set_default_deadline_ms(20'000);
    return bundle;
}

schema::ConfigSteps makeConfigSteps(const schema::Bundle &bundle, const schema::SigningKey &key)
{
    const auto bytes = schema::sign(ops::toJson(bundle), key.secretKey)->SerializeAsString();
    config::Steps steps;
    steps.bundle = config::BundleStep{bundle.version(), serving::stepId(bytes), bytes};
    return serving::toMessage(steps);
}

/** @brief How an endpoint process handles a request that carries an older configuration version than its own. */
enum class OldConfigAction : u8 {
    Refuse,
    Fail, ///< accepts it, receives the newer configuration while it runs and then loses its back end
};

/** @brief Endpoint processes that all hold a newer configuration and reveal it only in their responses. */
class UpdatedEndpoints
{
public:
    /** @param batchSize number of requests with the old configuration to collect before all of them are answered */
    UpdatedEndpoints(runtime::link::Context &links, const schema::ConfigSteps &steps,
                     OldConfigAction oldConfigAction = OldConfigAction::Refuse, u32 batchSize = 1)
        : m_links(links)
        , m_steps(steps)
        , m_oldConfigAction(oldConfigAction)
        , m_batchSize(batchSize)
    {
    }

    /** @brief Adds an endpoint process and returns its address. */
    std::string add(const std::string &pool)
    {
        m_endpoints.push_back(std::make_unique<Endpoint>(*this, m_links, pool));
        return m_endpoints.back()->address();
    }

    [[nodiscard]] std::vector<schema::RunRequest> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    class Endpoint : public runtime::link::ServerHandler
    {
    public:
        Endpoint(UpdatedEndpoints &owner, runtime::link::Context &links, std::string pool)
            : m_owner(owner)
            , m_pool(std::move(pool))
            , m_address(freeAddress())
            , m_server(links, runtime::http::parseAddress(m_address), *this)
        {
        }

        [[nodiscard]] const std::string &address() const
        {
            return m_address;
        }

        void onMessage(const runtime::link::PeerId &peer, const schema::LinkMessage &message) override
        {
            if (message.has_heartbeat()) {
                sendHeartbeat(peer);
            } else if (message.has_run_request()) {
                m_owner.handleRunRequest(*this, peer, message.run_request());
            }
        }

        void refuseRun(const runtime::link::PeerId &peer, const schema::RunRef &ref)
        {
            schema::LinkMessage refused;
            *refused.mutable_run_refused()->mutable_ref() = ref;
            refused.mutable_run_refused()->set_reason(static_cast<u32>(RefusalReason::StaleConfig));
            *refused.mutable_run_refused()->mutable_load() = load();
            m_server.send(peer, refused);
        }

        void failRun(const runtime::link::PeerId &peer, const schema::RunRef &ref)
        {
            schema::LinkMessage end;
            *end.mutable_run_end()->mutable_ref() = ref;
            end.mutable_run_end()->set_outcome(schema::RunEnd::BROKEN);
            end.mutable_run_end()->set_may_have_run(true);
            m_server.send(peer, end);
        }

        void completeRun(const runtime::link::PeerId &peer, const schema::RunRef &ref)
        {
            schema::LinkMessage head;
            *head.mutable_run_head()->mutable_ref() = ref;
            head.mutable_run_head()->set_status(200);
            m_server.send(peer, head);
            schema::LinkMessage end;
            *end.mutable_run_end()->mutable_ref() = ref;
            end.mutable_run_end()->set_outcome(schema::RunEnd::COMPLETE);
            m_server.send(peer, end);
        }

        void push(const runtime::link::PeerId &peer, const schema::ConfigSteps &steps)
        {
            schema::LinkMessage message;
            *message.mutable_config_push()->mutable_steps() = steps;
            m_server.send(peer, message);
        }

    private:
        static schema::EndpointLoad load()
        {
            schema::EndpointLoad load;
            load.set_limit(100);
            return load;
        }

        void sendHeartbeat(const runtime::link::PeerId &peer)
        {
            schema::LinkMessage answer;
            auto *heartbeat = answer.mutable_heartbeat();
            heartbeat->set_sender(m_address);
            heartbeat->set_boot_id(1);
            heartbeat->set_link_id(hash::hash64(peer));
            heartbeat->set_zone("zone-a");
            heartbeat->set_pool(m_pool);
            *heartbeat->mutable_load() = load();
            m_server.send(peer, answer);
        }

        UpdatedEndpoints &m_owner;
        std::string m_pool;
        std::string m_address;
        runtime::link::Server m_server;
    };

    struct PendingRequest
    {
        Endpoint *endpoint;
        runtime::link::PeerId peer;
        schema::RunRef ref;
    };

    void handleRunRequest(Endpoint &endpoint, const runtime::link::PeerId &peer, const schema::RunRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        if (request.config_version() > 1) {
            endpoint.completeRun(peer, request.ref());
            return;
        }
        m_pending.push_back({&endpoint, peer, request.ref()});
        if (m_requests.size() < m_batchSize) {
            return;
        }
        for (const auto &pending : std::exchange(m_pending, {})) {
            pending.endpoint->push(pending.peer, m_steps);
            if (m_oldConfigAction == OldConfigAction::Refuse) {
                pending.endpoint->refuseRun(pending.peer, pending.ref);
            } else {
                pending.endpoint->failRun(pending.peer, pending.ref);
            }
        }
    }

    runtime::link::Context &m_links;
    schema::ConfigSteps m_steps;
    OldConfigAction m_oldConfigAction;
    u32 m_batchSize;
    mutable std::mutex m_mutex;
    std::vector<schema::RunRequest> m_requests;
    std::vector<PendingRequest> m_pending;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
};

/** @brief A caller's connection that records the response. */
class RecordingReply : public runtime::http::Reply
{
public:
    boost::asio::awaitable<bool> send(const runtime::http::Response &response) override
    {
        m_response = response;
        co_return true;
    }

    boost::asio::awaitable<bool> begin(const runtime::http::Response &head) override
    {
        m_response = head;
        co_return true;
    }

    boost::asio::awaitable<bool> write(std::string_view piece) override
    {
        m_response.body.append(piece);
        co_return true;
    }

    boost::asio::awaitable<bool> end() override
    {
        co_return true;
    }

    void setDisconnectHandler(std::function<void()> /*onGone*/) override
    {
    }

    [[nodiscard]] bool isCallerDisconnected() override
    {
        return false;
    }

    [[nodiscard]] const runtime::http::Response &response() const
    {
        return m_response;
    }

private:
    runtime::http::Response m_response;
};

/** @brief An entry in the test process that holds the first configuration, with endpoint processes that hold the second. */
class OutdatedEntry
{
public:
    explicit OutdatedEntry(const schema::Bundle &newer, OldConfigAction oldConfigAction = OldConfigAction::Refuse, u32 batchSize = 1)
        : m_signingKey(schema::generateSigningKey())
        , m_pool(2)
        , m_logger(runtime::LogLevel::Error, "entry-0")
        , m_tracer("entry-0", m_random, 16)
        , m_process{m_pool.context(), m_clock, m_random, m_logger, m_metrics, m_tracer, "entry-0", "zone-a", 1}
        , m_config(m_process, {m_signingKey.publicKey})
        , m_links(m_pool.context(), runtime::link::generateKeys())
        , m_endpoints(m_links, makeConfigSteps(newer, m_signingKey), oldConfigAction, batchSize)
        , m_fleet(m_process, m_config, m_runs, m_links, {})
        , m_coordinator(m_process, m_config, m_fleet, m_runs, std::chrono::seconds(20))
        , m_callers(m_process, m_config, m_fleet, m_coordinator)
    {
        REQUIRE(m_config.tryApply(*serving::toSteps(makeConfigSteps(makeFirstBundle(), m_signingKey))) == config::OfferResult::Accept);
    }

    ~OutdatedEntry()
    {
        m_pool.stop();
        m_pool.wait();
    }

    OutdatedEntry(const OutdatedEntry &) = delete;
    OutdatedEntry &operator=(const OutdatedEntry &) = delete;

    void addEndpoints(const std::string &pool, u32 count)
    {
        for (u32 i = 0; i < count; ++i) {
            m_fleet.addSeed(m_endpoints.add(pool));
        }
        m_endpointCount += count;
        REQUIRE(waitUntil([this] { return m_fleet.members().size() == m_endpointCount; }));
    }

    [[nodiscard]] std::future<runtime::http::Response> send(runtime::http::Request request)
    {
        request.headers.emplace_back("Authorization", "Bearer " + ApiKey);
        return boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), handle(std::move(request)), boost::asio::use_future);
    }

    [[nodiscard]] runtime::http::Response sendAndWait(const runtime::http::Request &request)
    {
        return send(request).get();
    }

    [[nodiscard]] std::vector<schema::RunRequest> requests() const
    {
        return m_endpoints.requests();
    }

private:
    boost::asio::awaitable<runtime::http::Response> handle(runtime::http::Request request)
    {
        RecordingReply reply;
        co_await m_callers.handle(request, reply);
        co_return reply.response();
    }

    schema::SigningKey m_signingKey;
    runtime::WorkerPool m_pool;
    runtime::SteadyClock m_clock;
    runtime::SystemRandom m_random;
    runtime::Logger m_logger;
    runtime::Metrics m_metrics;
    runtime::Tracer m_tracer;
    serving::Process m_process;
    serving::ConfigHolder m_config;
    serving::RunTable m_runs;
    runtime::link::Context m_links;
    UpdatedEndpoints m_endpoints;
    serving::Fleet m_fleet;
    serving::RunCoordinator m_coordinator;
    serving::CallerHandler m_callers;
    u32 m_endpointCount = 0;
};

schema::Bundle makeSecondBundle()
{
    auto bundle = makeFirstBundle();
    bundle.set_version(2);
    return bundle;
}

runtime::http::Request makePromptRequest()
{
    return {"POST", "/v1/completions", {}, R"({"model": "m", "prompt": ")" + std::string(128, 'p') + R"("})"};
}

runtime::http::Request makeServiceRequest()
{
    return {"GET", "/services/print/pages", {}, ""};
}

std::string titleOf(const runtime::http::Response &response)
{
    return std::string(boost::json::parse(response.body).at("title").as_string());
}

} // namespace

// Guards against failing a request because of an outdated configuration that its entry has replaced since.
TEST_CASE("a request refused for its old configuration is served under the newer one, however many endpoints there are")
{
    for (const u32 count : {1U, 2U, 4U}) {
        CAPTURE(count);
        OutdatedEntry entry(makeSecondBundle());
        entry.addEndpoints("models", count);
        CHECK(entry.sendAndWait(makePromptRequest()).status == 200);
        const auto requests = entry.requests();
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].config_version() == 1);
        CHECK(requests[1].config_version() == 2);
    }
}

// Guards against a configuration change that uses up the retry budget needed for failures.
TEST_CASE("a configuration change with many requests in flight uses no retry budget")
{
    constexpr u32 Count = 60; // far above the retry budget of a pool
    OutdatedEntry entry(makeSecondBundle(), OldConfigAction::Refuse, Count);
    entry.addEndpoints("models", 2);
    std::vector<std::future<runtime::http::Response>> answers;
    for (u32 i = 0; i < Count; ++i) {
        answers.push_back(entry.send(makePromptRequest()));
    }
    u32 served = 0;
    for (auto &answer : answers) {
        served += answer.get().status == 200 ? 1 : 0;
    }
    CHECK(served == Count);
}

// Guards against mixing settings of two configurations in one attempt.
TEST_CASE("a request follows its model and its customer into the newer configuration")
{
    auto newer = makeSecondBundle();
    newer.mutable_models(0)->set_pool("others");
    newer.mutable_models(0)->set_weight_version("v2");
    newer.mutable_customers(0)->set_priority(5);
    newer.mutable_policy()->set_block_bytes(128);
    OutdatedEntry entry(newer);
    entry.addEndpoints("models", 1);
    entry.addEndpoints("others", 1);
    CHECK(entry.sendAndWait(makePromptRequest()).status == 200);
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].prompt().weight_version() == "v1");
    CHECK(requests[0].prompt().block_keys_size() == 2);
    CHECK(requests[1].prompt().weight_version() == "v2");
    CHECK(requests[1].prompt().block_keys_size() == 1);
    CHECK(requests[1].priority() == 5);
}

// Guards against running a request for a customer, model or service that the newer configuration removed.
TEST_CASE("requests for something that the newer configuration removed are refused like new requests")
{
    auto newer = makeSecondBundle();
    auto request = makePromptRequest();
    u16 status = 404;
    std::string title;
    SUBCASE("the model")
    {
        newer.clear_models();
        title = "unknown_model";
    }
    SUBCASE("the service")
    {
        newer.clear_services();
        request = makeServiceRequest();
        title = "unknown_service";
    }
    SUBCASE("the customer")
    {
        newer.mutable_customers()->DeleteSubrange(0, 1);
        status = 401;
        title = "unknown_api_key";
    }
    OutdatedEntry entry(newer);
    entry.addEndpoints("models", 2);
    const auto response = entry.sendAndWait(request);
    CHECK(response.status == status);
    CHECK(titleOf(response) == title);
    CHECK(entry.requests().size() == 1);
}

// Guards against running a call twice because it was still repeatable when it arrived.
TEST_CASE("a call that may have run is not repeated once the newer configuration forbids it")
{
    auto newer = makeSecondBundle();
    bool isForbidden = false;
    SUBCASE("still repeatable")
    {
    }
    SUBCASE("forbidden")
    {
        isForbidden = true;
        auto *route = newer.mutable_services(0)->add_non_repeatable();
        route->set_method("GET");
        route->set_path_prefix("/pages");
    }
    OutdatedEntry entry(newer, OldConfigAction::Fail);
    entry.addEndpoints("models", 2);
    const auto response = entry.sendAndWait(makeServiceRequest());
    CHECK(response.status == (isForbidden ? 502 : 200));
    CHECK(entry.requests().size() == (isForbidden ? 1 : 2));
}
