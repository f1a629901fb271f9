#include <burdock/serving/entry/caller_handler.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/serving/problem.hpp>
#include <burdock/wire/syntax.hpp>

#include <boost/json.hpp>
#include <charconv>

namespace burdock::serving {

namespace {

namespace http = runtime::http;

constexpr Duration IdleCustomerExpiry = std::chrono::minutes(5);
constexpr u32 MaxDeadlineMs = 3'600'000;
constexpr std::size_t MaxIdempotencyKeyLength = 200;
/** Longer prompts are told apart by their first blocks. */
constexpr std::size_t MaxBlockFeatures = 32;
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

// Buffers the whole response, for requests that are not streamed.
class BufferingSink : public RunSink
{
public:
    boost::asio::awaitable<bool> writeHead(const schema::RunHead &head) override
    {
        m_head = head;
        co_return true;
    }

    boost::asio::awaitable<bool> writeData(std::string_view data) override
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

// Forwards the response as server-sent events.
class SseSink : public RunSink
{
public:
    SseSink(http::Reply &reply, prompt_api::CompletionMetadata &metadata, runtime::Metrics &metrics, const runtime::Clock &clock)
        : m_reply(reply)
        , m_metadata(metadata)
        , m_metrics(metrics)
        , m_clock(clock)
        , m_startTime(clock.now())
    {
    }

    boost::asio::awaitable<bool> writeHead(const schema::RunHead &head) override
    {
        m_metadata.promptTokens = head.prompt_tokens();
        m_metadata.cachedTokens = head.cached_tokens();
        m_metadata.importedTokens = head.imported_tokens();
        http::Response response;
        response.headers.emplace_back("Content-Type", "text/event-stream");
        response.headers.emplace_back("Cache-Control", "no-store");
        co_return co_await m_reply.begin(response);
    }

    boost::asio::awaitable<bool> writeData(std::string_view data) override
    {
        if (!m_hasData) {
            m_hasData = true;
            m_metrics.observe("burdock_first_token_seconds", m_clock.now() - m_startTime, {{"model", m_metadata.model}});
        }
        const auto event = prompt_api::chunkEvent(m_metadata, data);
        co_return co_await m_reply.write(event);
    }

private:
    http::Reply &m_reply;
    prompt_api::CompletionMetadata &m_metadata;
    runtime::Metrics &m_metrics;
    const runtime::Clock &m_clock;
    TimePoint m_startTime;
    bool m_hasData = false;
};

/** @brief Features by which prompts that crash engines are recognized: messages, or text up to the end of each block of a completion. */
std::vector<u64> featuresOf(const prompt_api::PromptRequest &request, u32 blockBytes)
{
    if (request.format == prompt_api::ApiFormat::Chat) {
        return request.messageHashes;
    }
    const std::string_view prompt = request.work.prompt();
    std::vector<u64> features;
    u64 prefix = 0;
    for (std::size_t end = blockBytes; end < prompt.size() && features.size() < MaxBlockFeatures; end += blockBytes) {
        prefix = hash::hash64(prompt.substr(end - blockBytes, blockBytes), prefix);
        features.push_back(retry::partFeature(prefix));
    }
    return features;
}

u64 fingerprintOf(std::string_view customer, std::initializer_list<std::string_view> parts)
{
    u64 fingerprint = hash::hash64(customer);
    for (const auto part : parts) {
        fingerprint = hash::hash64(part, fingerprint);
    }
    return fingerprint;
}

} // namespace

// State of a caller's request while it is being handled.
struct CallerHandler::RequestContext
{
    const http::Request &request;
    http::Reply &reply;
    runtime::Span &span;
    std::shared_ptr<const Snapshot> config;
    const schema::Customer *customer = nullptr;
};

CallerHandler::CallerHandler(Process &process, ConfigHolder &config, Fleet &fleet, RunCoordinator &coordinator)
    : m_process(process)
    , m_config(config)
    , m_fleet(fleet)
    , m_coordinator(coordinator)
    , m_limits(IdleCustomerExpiry)
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
    RequestContext context{request, reply, span, m_config.current(), nullptr};
    if (const auto refusal = checkAdmission(context)) {
        co_await reply.send(*refusal);
        co_return;
    }
    span.setAttribute("customer", context.customer->name());
    if (path == "/v1/models") {
        boost::json::array models;
        for (const auto &model : context.config->bundle().models()) {
            models.push_back(boost::json::object{{"id", model.name()}, {"object", "model"}});
        }
        const auto response = jsonResponse(boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(models)}}));
        co_await reply.send(response);
    } else if (path == "/v1/completions") {
        co_await handlePrompt(context, prompt_api::ApiFormat::Completion);
    } else if (path == "/v1/chat/completions") {
        co_await handlePrompt(context, prompt_api::ApiFormat::Chat);
    } else if (path.starts_with(ServicesPrefix)) {
        co_await handleService(context);
    } else {
        const auto response = problem(NotFound, "no_such_path", "see docs/INTERFACES.md for the paths");
        co_await reply.send(response);
    }
}

std::optional<http::Response> CallerHandler::checkAdmission(RequestContext &context)
{
    if (!context.config) {
        return problemFor({RefusalReason::NotConfigured, std::chrono::seconds(1)});
    }
    const auto authorization = context.request.header("Authorization");
    if (!authorization.starts_with(BearerPrefix)) {
        return problem(Unauthorized, "no_api_key", "send Authorization: Bearer with an API key");
    }
    const auto keyHash = hash::toHex(hash::asBytes(hash::plainDigest256(authorization.substr(BearerPrefix.size()))));
    context.customer = context.config->customerByKeyHash(keyHash);
    if (context.customer == nullptr) {
        return problem(Unauthorized, "unknown_api_key", "the API key is not known");
    }
    const u32 entries = m_fleet.entryCount();
    const std::lock_guard lock(m_mutex);
    m_limits.setEntryCount(entries);
    const limits::CustomerLimit limit{context.customer->requests_per_second(), context.customer->burst()};
    if (const auto refusal = m_limits.tryAdmit(context.customer->name(), limit, m_process.clock.now())) {
        m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(refusalRule(refusal->reason).name)}});
        return problemFor(*refusal);
    }
    return std::nullopt;
}

TimePoint CallerHandler::deadlineOf(const RequestContext &context) const
{
    const auto header = context.request.header("Burdock-Deadline-Ms");
    u32 deadlineMs = 0;
    std::from_chars(header.data(), header.data() + header.size(), deadlineMs);
    if (deadlineMs == 0) {
        deadlineMs = context.config->bundle().policy().default_deadline_ms();
    }
    return m_process.clock.now() + std::chrono::milliseconds(std::min(deadlineMs, MaxDeadlineMs));
}

boost::asio::awaitable<void> CallerHandler::sendRefusal(RequestContext &context, const Refusal &refusal)
{
    const auto &rule = refusalRule(refusal.reason);
    m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(rule.name)}});
    m_process.logger.event(runtime::LogLevel::Info, "request_refused",
                           {{"reason", rule.name},
                            {"verdict", toString(rule.verdict)},
                            {"customer", std::string_view(context.customer->name())},
                            {"trace_id", std::string_view(context.span.context().traceId)}});
    const auto response = problemFor(refusal);
    co_await context.reply.send(response);
}

boost::asio::awaitable<void> CallerHandler::handlePrompt(RequestContext &context, prompt_api::ApiFormat format)
{
    if (context.request.method != "POST") {
        const auto response = problem(MethodNotAllowed, "method_not_allowed", "use POST");
        co_await context.reply.send(response);
        co_return;
    }
    auto parsed = prompt_api::parse(format, context.request.body);
    const auto *model = parsed.request ? context.config->model(parsed.request->work.model()) : nullptr;
    if (model == nullptr) {
        const auto response = parsed.request ? problem(NotFound, "unknown_model", "no such model")
                                             : problem(BadRequest, "malformed_request", parsed.errorMessage);
        co_await context.reply.send(response);
        co_return;
    }
    auto &work = parsed.request->work;
    RunSpec spec;
    spec.customer = context.customer->name();
    spec.deadline = deadlineOf(context);
    spec.fingerprint = fingerprintOf(spec.customer, {work.model(), work.adapter(), work.prompt()});
    spec.features = featuresOf(*parsed.request, context.config->bundle().policy().block_bytes());
    spec.prompt = work;

    prompt_api::CompletionMetadata metadata;
    metadata.format = format;
    metadata.id = "run-" + hash::toHex(m_process.random.bytes(8));
    metadata.model = work.model();
    const TimePoint startTime = m_process.clock.now();
    SseSink sseSink(context.reply, metadata, m_process.metrics, m_process.clock);
    BufferingSink buffered;
    RunSink &sink = parsed.request->isStreamed ? static_cast<RunSink &>(sseSink) : buffered;
    const auto result = co_await m_coordinator.run(spec, sink, context.span.context());
    m_process.metrics.observe("burdock_request_seconds", m_process.clock.now() - startTime, {{"kind", "prompt"}});
    metadata.outputTokens = result.end.output_tokens();
    if (result.status == RunStatus::CallerDisconnected) {
        co_return;
    }
    if (result.status == RunStatus::Complete && parsed.request->isStreamed) {
        const auto events = prompt_api::finalEvents(metadata);
        if (co_await context.reply.write(events)) {
            co_await context.reply.end();
        }
        co_return;
    }
    if (result.status == RunStatus::Complete) {
        metadata.promptTokens = buffered.head().prompt_tokens();
        metadata.cachedTokens = buffered.head().cached_tokens();
        metadata.importedTokens = buffered.head().imported_tokens();
        const auto response = jsonResponse(prompt_api::responseDocument(metadata, buffered.body()));
        co_await context.reply.send(response);
        co_return;
    }
    if (result.status == RunStatus::Broken && parsed.request->isStreamed) {
        // After the event, the connection is closed without a proper end, so that a client that ignores the event does not take the
        // response for complete.
        const auto event = prompt_api::errorEvent(problemBody({RefusalReason::BackEndLost, result.refusal.retryAfter}));
        co_await context.reply.write(event);
        co_return;
    }
    co_await sendRefusal(context, result.refusal);
}

boost::asio::awaitable<void> CallerHandler::handleService(RequestContext &context)
{
    const auto target = std::string_view(context.request.target).substr(ServicesPrefix.size());
    const auto nameEnd = std::min(target.find_first_of("/?"), target.size());
    const auto name = wire::percentDecoded(target.substr(0, nameEnd));
    const auto *service = name ? context.config->service(*name) : nullptr;
    const auto key = context.request.header("Idempotency-Key");
    if (service == nullptr || key.size() > MaxIdempotencyKeyLength) {
        const auto response = service == nullptr
            ? problem(NotFound, "unknown_service", "no such service")
            : problem(BadRequest, "malformed_request", "Idempotency-Key is longer than 200 characters");
        co_await context.reply.send(response);
        co_return;
    }
    schema::ServiceWork work;
    work.set_service(service->name());
    work.set_method(context.request.method);
    const auto path = target.substr(nameEnd);
    work.set_path(path.starts_with('/') ? std::string(path) : "/" + std::string(path));
    work.set_content_type(std::string(context.request.header("Content-Type")));
    work.set_body(context.request.body);
    // If the caller sent no key, a generated one prevents our own processes from running the call twice.
    work.set_idempotency_key(key.empty() ? "entry-" + hash::toHex(m_process.random.bytes(16)) : "caller-" + std::string(key));
    RunSpec spec;
    spec.customer = context.customer->name();
    spec.deadline = deadlineOf(context);
    spec.fingerprint = fingerprintOf(spec.customer, {work.service(), work.method(), work.path(), work.body()});
    spec.service = std::move(work);

    const TimePoint startTime = m_process.clock.now();
    BufferingSink buffered;
    const auto result = co_await m_coordinator.run(spec, buffered, context.span.context());
    m_process.metrics.observe("burdock_request_seconds", m_process.clock.now() - startTime, {{"kind", "service"}});
    const auto status = static_cast<u16>(buffered.head().status());
    if (result.status == RunStatus::Complete && promisesNotRun(status)) {
        m_process.logger.event(runtime::LogLevel::Warning, "false_refusal",
                               {{"service", std::string_view(service->name())},
                                {"status", u64{status}},
                                {"trace_id", std::string_view(context.span.context().traceId)}});
        co_await sendRefusal(context, {RefusalReason::BackEndFailed, Duration::zero()});
        co_return;
    }
    if (result.status == RunStatus::Complete) {
        http::Response response;
        response.status = status;
        response.headers.emplace_back("Content-Type", buffered.head().content_type());
        response.body = buffered.body();
        co_await context.reply.send(response);
        co_return;
    }
    if (result.status != RunStatus::CallerDisconnected) {
        co_await sendRefusal(context, result.refusal);
    }
}

} // namespace burdock::serving
