#include <burdock/serving/entry/caller_handler.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/serving/problem.hpp>

#include <boost/json.hpp>
#include <charconv>

namespace burdock::serving {

namespace {

namespace http = runtime::http;

constexpr Duration ForgetIdleCustomers = std::chrono::minutes(5);
constexpr u32 LongestDeadlineMs = 3'600'000;
constexpr std::size_t LongestIdempotencyKey = 200;
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr u16 BadRequest = 400;
constexpr u16 Unauthorized = 401;
constexpr u16 NotFound = 404;
constexpr u16 MethodNotAllowed = 405;

http::Response jsonResponse(std::string body)
{
    http::Response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

// Collects a whole answer, for callers that don't stream.
class WholeAnswer : public RunSink
{
public:
    boost::asio::awaitable<bool> head(const schema::RunHead &head) override
    {
        m_head = head;
        co_return true;
    }

    boost::asio::awaitable<bool> data(std::string_view data) override
    {
        m_body.append(data);
        co_return true;
    }

    [[nodiscard]] const schema::RunHead &head() const
    {
        return m_head;
    }

    [[nodiscard]] const std::string &body() const
    {
        return m_body;
    }

private:
    schema::RunHead m_head;
    std::string m_body;
};

// Passes pieces on as server-sent events.
class EventStream : public RunSink
{
public:
    EventStream(http::Reply &reply, prompt_api::AnswerFacts &facts, runtime::Metrics &metrics, const runtime::Clock &clock)
        : m_reply(reply)
        , m_facts(facts)
        , m_metrics(metrics)
        , m_clock(clock)
        , m_begin(clock.now())
    {
    }

    boost::asio::awaitable<bool> head(const schema::RunHead &head) override
    {
        m_facts.promptTokens = head.prompt_tokens();
        m_facts.cachedTokens = head.cached_tokens();
        m_facts.importedTokens = head.imported_tokens();
        http::Response response;
        response.headers.emplace_back("Content-Type", "text/event-stream");
        response.headers.emplace_back("Cache-Control", "no-store");
        co_return co_await m_reply.begin(response);
    }

    boost::asio::awaitable<bool> data(std::string_view data) override
    {
        if (!m_hasData) {
            m_hasData = true;
            m_metrics.observe("burdock_first_token_seconds", m_clock.now() - m_begin, {{"model", m_facts.model}});
        }
        const auto event = prompt_api::pieceEvent(m_facts, data);
        co_return co_await m_reply.write(event);
    }

private:
    http::Reply &m_reply;
    prompt_api::AnswerFacts &m_facts;
    runtime::Metrics &m_metrics;
    const runtime::Clock &m_clock;
    TimePoint m_begin;
    bool m_hasData = false;
};

u64 fingerprintOf(std::string_view customer, std::initializer_list<std::string_view> parts)
{
    u64 fingerprint = hash::hash64(customer);
    for (const auto part : parts) {
        fingerprint = hash::hash64(part, fingerprint);
    }
    return fingerprint;
}

} // namespace

// One request of a caller, as far as it has been understood.
struct CallerHandler::Call
{
    const http::Request &request;
    http::Reply &reply;
    runtime::Span &span;
    std::shared_ptr<const Snapshot> config;
    const schema::Customer *customer = nullptr;
};

CallerHandler::CallerHandler(Process &process, ConfigHolder &config, Fleet &fleet, RunDriver &driver)
    : m_process(process)
    , m_config(config)
    , m_fleet(fleet)
    , m_driver(driver)
    , m_limits(ForgetIdleCustomers)
{
}

bool CallerHandler::isReady() const
{
    return !m_isStopping && m_config.version() > 0;
}

void CallerHandler::setStopping()
{
    m_isStopping = true;
}

boost::asio::awaitable<void> CallerHandler::handle(const http::Request &request, http::Reply &reply)
{
    const auto path = request.path();
    if (path == "/healthz" || path == "/readyz") {
        http::Response response;
        response.status = path == "/healthz" || isReady() ? 200 : 503;
        co_await reply.send(response);
        co_return;
    }
    runtime::Span span(m_process.tracer, "entry.request", runtime::parseTraceparent(request.header("traceparent")));
    span.setAttribute("http.route", std::string(path));
    Call call{request, reply, span, m_config.current(), nullptr};
    if (const auto refusal = admit(call)) {
        co_await reply.send(*refusal);
        co_return;
    }
    span.setAttribute("customer", call.customer->name());
    if (path == "/v1/models") {
        boost::json::array models;
        for (const auto &model : call.config->bundle().models()) {
            models.push_back(boost::json::object{{"id", model.name()}, {"object", "model"}});
        }
        const auto response = jsonResponse(boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(models)}}));
        co_await reply.send(response);
    } else if (path == "/v1/completions") {
        co_await handlePrompt(call, prompt_api::Shape::Completion);
    } else if (path == "/v1/chat/completions") {
        co_await handlePrompt(call, prompt_api::Shape::Chat);
    } else if (path.starts_with(ServicesPrefix)) {
        co_await handleService(call);
    } else {
        const auto response = problem(NotFound, "no_such_path", "see docs/INTERFACES.md for the paths");
        co_await reply.send(response);
    }
}

std::optional<http::Response> CallerHandler::admit(Call &call)
{
    if (!call.config) {
        return problemFor({RefusalReason::NotConfigured, std::chrono::seconds(1)});
    }
    const auto authorization = call.request.header("Authorization");
    if (!authorization.starts_with(BearerPrefix)) {
        return problem(Unauthorized, "no_api_key", "send Authorization: Bearer with an API key");
    }
    const auto keyHash = hash::toHex(hash::asBytes(hash::plainDigest256(authorization.substr(BearerPrefix.size()))));
    call.customer = call.config->customerByKeyHash(keyHash);
    if (call.customer == nullptr) {
        return problem(Unauthorized, "unknown_api_key", "the API key is not known");
    }
    const u32 entries = m_fleet.entryCount();
    const std::lock_guard lock(m_mutex);
    m_limits.setEntryCount(entries);
    const limits::CustomerLimit limit{call.customer->requests_per_second(), call.customer->burst()};
    if (const auto refusal = m_limits.tryAdmit(call.customer->name(), limit, m_process.clock.now())) {
        m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(refusalRule(refusal->reason).name)}});
        return problemFor(*refusal);
    }
    return std::nullopt;
}

TimePoint CallerHandler::deadlineOf(const Call &call) const
{
    const auto header = call.request.header("Burdock-Deadline-Ms");
    u32 deadlineMs = 0;
    std::from_chars(header.data(), header.data() + header.size(), deadlineMs);
    if (deadlineMs == 0) {
        deadlineMs = call.config->bundle().policy().default_deadline_ms();
    }
    return m_process.clock.now() + std::chrono::milliseconds(std::min(deadlineMs, LongestDeadlineMs));
}

boost::asio::awaitable<void> CallerHandler::refuse(Call &call, const Refusal &refusal)
{
    const auto &rule = refusalRule(refusal.reason);
    m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(rule.name)}});
    m_process.logger.event(runtime::LogLevel::Info, "request_refused",
                           {{"reason", rule.name},
                            {"verdict", toString(rule.verdict)},
                            {"customer", std::string_view(call.customer->name())},
                            {"trace_id", std::string_view(call.span.context().traceId)}});
    const auto response = problemFor(refusal);
    co_await call.reply.send(response);
}

boost::asio::awaitable<void> CallerHandler::handlePrompt(Call &call, prompt_api::Shape shape)
{
    if (call.request.method != "POST") {
        const auto response = problem(MethodNotAllowed, "method_not_allowed", "use POST");
        co_await call.reply.send(response);
        co_return;
    }
    auto parsed = prompt_api::parse(shape, call.request.body);
    const auto *model = parsed.call ? call.config->model(parsed.call->work.model()) : nullptr;
    if (model == nullptr) {
        const auto response
            = parsed.call ? problem(NotFound, "unknown_model", "no such model") : problem(BadRequest, "malformed_request", parsed.fault);
        co_await call.reply.send(response);
        co_return;
    }
    auto &work = parsed.call->work;
    RunSpec spec;
    spec.customer = call.customer->name();
    spec.deadline = deadlineOf(call);
    spec.fingerprint = fingerprintOf(spec.customer, {work.model(), work.adapter(), work.prompt()});
    spec.prompt = work;

    prompt_api::AnswerFacts facts;
    facts.shape = shape;
    facts.id = "run-" + hash::toHex(m_process.random.bytes(8));
    facts.model = work.model();
    const TimePoint begin = m_process.clock.now();
    EventStream stream(call.reply, facts, m_process.metrics, m_process.clock);
    WholeAnswer whole;
    RunSink &sink = parsed.call->isStreamed ? static_cast<RunSink &>(stream) : whole;
    const auto result = co_await m_driver.run(spec, sink, call.span.context());
    m_process.metrics.observe("burdock_request_seconds", m_process.clock.now() - begin, {{"kind", "prompt"}});
    facts.outputTokens = result.end.output_tokens();
    if (result.status == RunStatus::CallerGone) {
        co_return;
    }
    if (result.status == RunStatus::Complete && parsed.call->isStreamed) {
        const auto events = prompt_api::endEvents(facts);
        if (co_await call.reply.write(events)) {
            co_await call.reply.end();
        }
        co_return;
    }
    if (result.status == RunStatus::Complete) {
        facts.promptTokens = whole.head().prompt_tokens();
        facts.cachedTokens = whole.head().cached_tokens();
        facts.importedTokens = whole.head().imported_tokens();
        const auto response = jsonResponse(prompt_api::document(facts, whole.body()));
        co_await call.reply.send(response);
        co_return;
    }
    if (result.status == RunStatus::Broken && parsed.call->isStreamed) {
        // The connection is cut after the event, so nothing that ignores the event can take the part for the whole.
        const auto event = prompt_api::errorEvent(problemBody({RefusalReason::BackEndLost, result.refusal.retryAfter}));
        co_await call.reply.write(event);
        co_return;
    }
    co_await refuse(call, result.refusal);
}

boost::asio::awaitable<void> CallerHandler::handleService(Call &call)
{
    const auto target = std::string_view(call.request.target).substr(ServicesPrefix.size());
    const auto slash = std::min(target.find('/'), target.size());
    const auto name = target.substr(0, std::min(slash, target.find('?')));
    const auto *service = call.config->service(name);
    const auto key = call.request.header("Idempotency-Key");
    if (service == nullptr || key.size() > LongestIdempotencyKey) {
        const auto response = service == nullptr
            ? problem(NotFound, "unknown_service", "no such service")
            : problem(BadRequest, "malformed_request", "Idempotency-Key is longer than 200 characters");
        co_await call.reply.send(response);
        co_return;
    }
    schema::ServiceWork work;
    work.set_service(service->name());
    work.set_method(call.request.method);
    work.set_path(std::string(slash < target.size() ? target.substr(slash) : "/"));
    work.set_content_type(std::string(call.request.header("Content-Type")));
    work.set_body(call.request.body);
    // Without a key of the caller's, one of ours keeps our own processes from running the call twice.
    work.set_idempotency_key(key.empty() ? "entry-" + hash::toHex(m_process.random.bytes(16)) : "caller-" + std::string(key));
    RunSpec spec;
    spec.customer = call.customer->name();
    spec.deadline = deadlineOf(call);
    spec.fingerprint = fingerprintOf(spec.customer, {work.service(), work.method(), work.path(), work.body()});
    spec.service = std::move(work);

    const TimePoint begin = m_process.clock.now();
    WholeAnswer whole;
    const auto result = co_await m_driver.run(spec, whole, call.span.context());
    m_process.metrics.observe("burdock_request_seconds", m_process.clock.now() - begin, {{"kind", "service"}});
    if (result.status == RunStatus::Complete) {
        http::Response response;
        response.status = static_cast<u16>(whole.head().status());
        response.headers.emplace_back("Content-Type", whole.head().content_type());
        response.body = whole.body();
        co_await call.reply.send(response);
        co_return;
    }
    if (result.status != RunStatus::CallerGone) {
        co_await refuse(call, result.refusal);
    }
}

} // namespace burdock::serving
