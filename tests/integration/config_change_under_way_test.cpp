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

const std::string Key = "key-desk";

schema::Bundle firstBundle()
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

schema::ConfigSteps stepsTo(const schema::Bundle &bundle, const schema::SigningKey &key)
{
    const auto bytes = schema::sign(ops::toJson(bundle), key.secretKey)->SerializeAsString();
    config::Steps steps;
    steps.bundle = config::BundleStep{bundle.version(), serving::stepId(bytes), bytes};
    return serving::toMessage(steps);
}

/** @brief What an endpoint process does with a request that names an older configuration than its own. */
enum class OnOldConfig : u8 {
    Refuse,
    Break, ///< takes it, hears of the newer configuration meanwhile and loses its back end
};

/** @brief The endpoint processes of a deployment that all hold a newer configuration, and tell so with their answers only. */
class NewerEndpoints
{
public:
    /** @param together requests with the old configuration that are answered together, once all of them have come */
    NewerEndpoints(runtime::link::Context &links, const schema::ConfigSteps &steps, OnOldConfig onOldConfig = OnOldConfig::Refuse,
                   u32 together = 1)
        : m_links(links)
        , m_steps(steps)
        , m_onOldConfig(onOldConfig)
        , m_together(together)
    {
    }

    /** @brief Adds an endpoint process; gives its address. */
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
        Endpoint(NewerEndpoints &all, runtime::link::Context &links, std::string pool)
            : m_all(all)
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
                answerBeat(peer);
            } else if (message.has_run_request()) {
                m_all.take(*this, peer, message.run_request());
            }
        }

        void refuse(const runtime::link::PeerId &peer, const schema::RunRef &ref)
        {
            schema::LinkMessage refused;
            *refused.mutable_run_refused()->mutable_ref() = ref;
            refused.mutable_run_refused()->set_reason(static_cast<u32>(RefusalReason::StaleConfig));
            *refused.mutable_run_refused()->mutable_load() = load();
            m_server.send(peer, refused);
        }

        void breakOff(const runtime::link::PeerId &peer, const schema::RunRef &ref)
        {
            schema::LinkMessage end;
            *end.mutable_run_end()->mutable_ref() = ref;
            end.mutable_run_end()->set_outcome(schema::RunEnd::BROKEN);
            end.mutable_run_end()->set_may_have_run(true);
            m_server.send(peer, end);
        }

        void serve(const runtime::link::PeerId &peer, const schema::RunRef &ref)
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

        void answerBeat(const runtime::link::PeerId &peer)
        {
            schema::LinkMessage answer;
            auto *beat = answer.mutable_heartbeat();
            beat->set_sender(m_address);
            beat->set_boot_id(1);
            beat->set_link_id(hash::hash64(peer));
            beat->set_zone("zone-a");
            beat->set_pool(m_pool);
            *beat->mutable_load() = load();
            m_server.send(peer, answer);
        }

        NewerEndpoints &m_all;
        std::string m_pool;
        std::string m_address;
        runtime::link::Server m_server;
    };

    struct Held
    {
        Endpoint *endpoint;
        runtime::link::PeerId peer;
        schema::RunRef ref;
    };

    void take(Endpoint &endpoint, const runtime::link::PeerId &peer, const schema::RunRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        if (request.config_version() > 1) {
            endpoint.serve(peer, request.ref());
            return;
        }
        m_held.push_back({&endpoint, peer, request.ref()});
        if (m_requests.size() < m_together) {
            return;
        }
        for (const auto &held : std::exchange(m_held, {})) {
            held.endpoint->push(held.peer, m_steps);
            if (m_onOldConfig == OnOldConfig::Refuse) {
                held.endpoint->refuse(held.peer, held.ref);
            } else {
                held.endpoint->breakOff(held.peer, held.ref);
            }
        }
    }

    runtime::link::Context &m_links;
    schema::ConfigSteps m_steps;
    OnOldConfig m_onOldConfig;
    u32 m_together;
    mutable std::mutex m_mutex;
    std::vector<schema::RunRequest> m_requests;
    std::vector<Held> m_held;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
};

/** @brief A caller's connection that keeps the answer. */
class KeptReply : public runtime::http::Reply
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

    void watchCaller(std::function<void()> /*onGone*/) override
    {
    }

    [[nodiscard]] bool hasCallerLeft() override
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

/** @brief An entry in this process that holds the first configuration, with endpoint processes that hold the second. */
class EntryBehind
{
public:
    explicit EntryBehind(const schema::Bundle &newer, OnOldConfig onOldConfig = OnOldConfig::Refuse, u32 together = 1)
        : m_signingKey(schema::generateSigningKey())
        , m_pool(2)
        , m_logger(runtime::LogLevel::Error, "entry-0")
        , m_tracer("entry-0", m_random, 16)
        , m_process{m_pool.context(), m_clock, m_random, m_logger, m_metrics, m_tracer, "entry-0", "zone-a", 1}
        , m_config(m_process, {m_signingKey.publicKey})
        , m_links(m_pool.context(), runtime::link::makeKeys())
        , m_endpoints(m_links, stepsTo(newer, m_signingKey), onOldConfig, together)
        , m_fleet(m_process, m_config, m_runs, m_links, {})
        , m_coordinator(m_process, m_config, m_fleet, m_runs, std::chrono::seconds(20))
        , m_callers(m_process, m_config, m_fleet, m_coordinator)
    {
        REQUIRE(m_config.tryApply(*serving::toSteps(stepsTo(firstBundle(), m_signingKey))) == config::OfferResult::Accept);
    }

    ~EntryBehind()
    {
        m_pool.stop();
        m_pool.wait();
    }

    EntryBehind(const EntryBehind &) = delete;
    EntryBehind &operator=(const EntryBehind &) = delete;

    void addEndpoints(const std::string &pool, u32 count)
    {
        for (u32 i = 0; i < count; ++i) {
            m_fleet.addSeed(m_endpoints.add(pool));
        }
        m_added += count;
        REQUIRE(waitUntil([this] { return m_fleet.members().size() == m_added; }));
    }

    [[nodiscard]] std::future<runtime::http::Response> send(runtime::http::Request request)
    {
        request.headers.emplace_back("Authorization", "Bearer " + Key);
        return boost::asio::co_spawn(boost::asio::make_strand(m_pool.context()), answer(std::move(request)), boost::asio::use_future);
    }

    [[nodiscard]] runtime::http::Response ask(const runtime::http::Request &request)
    {
        return send(request).get();
    }

    [[nodiscard]] std::vector<schema::RunRequest> requests() const
    {
        return m_endpoints.requests();
    }

private:
    boost::asio::awaitable<runtime::http::Response> answer(runtime::http::Request request)
    {
        KeptReply reply;
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
    NewerEndpoints m_endpoints;
    serving::Fleet m_fleet;
    serving::RunCoordinator m_coordinator;
    serving::CallerHandler m_callers;
    u32 m_added = 0;
};

schema::Bundle secondBundle()
{
    auto bundle = firstBundle();
    bundle.set_version(2);
    return bundle;
}

runtime::http::Request prompt()
{
    return {"POST", "/v1/completions", {}, R"({"model": "m", "prompt": ")" + std::string(128, 'p') + R"("})"};
}

runtime::http::Request serviceCall()
{
    return {"GET", "/services/print/pages", {}, ""};
}

std::string titleOf(const runtime::http::Response &response)
{
    return std::string(boost::json::parse(response.body).at("title").as_string());
}

} // namespace

// Guards against a request that is refused for a configuration which its entry has replaced meanwhile.
TEST_CASE("a request refused for its old configuration is served under the newer one, however many endpoints there are")
{
    for (const u32 count : {1U, 2U, 4U}) {
        CAPTURE(count);
        EntryBehind entry(secondBundle());
        entry.addEndpoints("models", count);
        CHECK(entry.ask(prompt()).status == 200);
        const auto requests = entry.requests();
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].config_version() == 1);
        CHECK(requests[1].config_version() == 2);
    }
}

// Guards against a change of configuration that spends the retries which failures need.
TEST_CASE("a new configuration that finds many requests on their way costs no retries")
{
    constexpr u32 Count = 60; // by far more than a pool's retries
    EntryBehind entry(secondBundle(), OnOldConfig::Refuse, Count);
    entry.addEndpoints("models", 2);
    std::vector<std::future<runtime::http::Response>> answers;
    for (u32 i = 0; i < Count; ++i) {
        answers.push_back(entry.send(prompt()));
    }
    u32 served = 0;
    for (auto &answer : answers) {
        served += answer.get().status == 200 ? 1 : 0;
    }
    CHECK(served == Count);
}

// Guards against terms of two configurations mixed in one attempt.
TEST_CASE("a request follows its model and its customer into the newer configuration")
{
    auto newer = secondBundle();
    newer.mutable_models(0)->set_pool("others");
    newer.mutable_models(0)->set_weight_version("v2");
    newer.mutable_customers(0)->set_priority(5);
    newer.mutable_policy()->set_block_bytes(128);
    EntryBehind entry(newer);
    entry.addEndpoints("models", 1);
    entry.addEndpoints("others", 1);
    CHECK(entry.ask(prompt()).status == 200);
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].prompt().weight_version() == "v1");
    CHECK(requests[0].prompt().block_keys_size() == 2);
    CHECK(requests[1].prompt().weight_version() == "v2");
    CHECK(requests[1].prompt().block_keys_size() == 1);
    CHECK(requests[1].priority() == 5);
}

// Guards against work for a customer, model or service that is no longer there.
TEST_CASE("what the newer configuration took away is refused as if the request came now")
{
    auto newer = secondBundle();
    auto request = prompt();
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
        request = serviceCall();
        title = "unknown_service";
    }
    SUBCASE("the customer")
    {
        newer.mutable_customers()->DeleteSubrange(0, 1);
        status = 401;
        title = "unknown_api_key";
    }
    EntryBehind entry(newer);
    entry.addEndpoints("models", 2);
    const auto response = entry.ask(request);
    CHECK(response.status == status);
    CHECK(titleOf(response) == title);
    CHECK(entry.requests().size() == 1);
}

// Guards against a call that runs twice because it was repeatable when it came.
TEST_CASE("a call that may have run is not repeated once the newer configuration forbids it")
{
    auto newer = secondBundle();
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
    EntryBehind entry(newer, OnOldConfig::Break);
    entry.addEndpoints("models", 2);
    const auto response = entry.ask(serviceCall());
    CHECK(response.status == (isForbidden ? 502 : 200));
    CHECK(entry.requests().size() == (isForbidden ? 1 : 2));
}
