#include <burdock/serving/endpoint/prompt_runner.hpp>

#include <burdock/serving/link_messages.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

using admission::RunOutcome;
using runtime::http::Progress;

constexpr u16 Ok = 200;
constexpr u16 VersionConflict = 409;
/** Statuses by which an engine states that it has not taken a run. */
constexpr u16 TooManyRequests = 429;
constexpr u16 ServiceUnavailable = 503;
constexpr u32 BytesPerToken = 4;
constexpr Duration RetryAfterEngineNotReady = std::chrono::milliseconds(500);
constexpr Duration RetryAfterEngineFull = std::chrono::milliseconds(500);

std::vector<cache::BlockKey> toBlockKeys(const schema::PromptWork &prompt)
{
    std::vector<cache::BlockKey> keys;
    for (const auto &bytes : prompt.block_keys()) {
        cache::BlockKey key{};
        std::copy_n(bytes.begin(), std::min(bytes.size(), key.size()), key.begin());
        keys.push_back(key);
    }
    return keys;
}

clients::GenerateRequest toGenerateRequest(const schema::RunRequest &request)
{
    const auto &prompt = request.prompt();
    clients::GenerateRequest out;
    out.runId = hash::toHex(request.ref().run_id());
    out.model = prompt.model();
    out.weightVersion = prompt.weight_version();
    out.adapter = prompt.adapter();
    out.prompt = prompt.prompt();
    out.delivered = prompt.delivered();
    out.maxTokens = prompt.max_tokens();
    out.priority = request.priority();
    out.blockKeys = toBlockKeys(prompt);
    return out;
}

BackEndResult admissionInvalidResult()
{
    BackEndResult result;
    result.outcome = RunOutcome::NotStarted;
    return result;
}

BackEndResult refusedResult(RefusalReason reason, Duration retryAfter)
{
    BackEndResult result;
    result.outcome = RunOutcome::Failure;
    result.refusal = Refusal{reason, retryAfter};
    return result;
}

} // namespace

PromptRunner::PromptRunner(Process &process, clients::Engine &engine, AdmissionGate &gate, EngineWatcher &engineWatcher,
                           KvCacheOffloader &cacheOffloader)
    : m_process(process)
    , m_engine(engine)
    , m_gate(gate)
    , m_engineWatcher(engineWatcher)
    , m_cacheOffloader(cacheOffloader)
{
}

Refusal PromptRunner::check(const schema::RunRequest &request)
{
    const auto &prompt = request.prompt();
    if (!m_engineWatcher.isReachable()) {
        return {RefusalReason::BackEndUnreachable, RetryAfterEngineNotReady};
    }
    if (!m_engineWatcher.hasLoaded(weightName(prompt.model(), prompt.weight_version()))) {
        return {RefusalReason::WrongVersion, RetryAfterEngineNotReady};
    }
    return {};
}

boost::asio::awaitable<BackEndResult> PromptRunner::run(const schema::RunRequest &request, admission::Epoch admittedIn,
                                                        ResponseStream &response, TimePoint deadline, const runtime::SpanContext &parent)
{
    const auto generateRequest = toGenerateRequest(request);
    u32 imported = 0;
    {
        runtime::Span span(m_process.tracer, "endpoint.prepare_cache", parent);
        imported = co_await m_cacheOffloader.importMissing(generateRequest.blockKeys);
        span.setAttribute("imported_blocks", std::to_string(imported));
    }
    runtime::Span span(m_process.tracer, "endpoint.generate", parent);
    const auto generation = m_engine.generate(generateRequest);
    const auto engineState = co_await generation->open();
    if (!engineState.isReachable) {
        co_return co_await notSentResult(admittedIn);
    }
    m_engineWatcher.noteBootId(engineState.bootId);
    if (!m_gate.mayStart(admittedIn, engineState.bootId)) {
        co_return admissionInvalidResult();
    }
    const auto head = co_await generation->start();
    if (head.progress == Progress::NotSent) {
        co_return co_await notSentResult(admittedIn);
    }
    if (head.progress == Progress::MayBeSent) {
        const auto crash = co_await checkForCrash(engineState.bootId);
        co_return brokenResult(true, crash, "engine cut the connection");
    }
    m_engineWatcher.noteBootId(head.bootId);
    if (head.status == TooManyRequests || head.status == ServiceUnavailable) {
        co_return refusedResult(RefusalReason::Overloaded, RetryAfterEngineFull);
    }
    if (head.status != Ok && head.status != VersionConflict) {
        auto failed = brokenResult(true, std::nullopt, "engine failed");
        failed.outcome = RunOutcome::Failure;
        co_return failed;
    }
    // The engine may have swapped weights between the check and the start of the run, in which case the head of its response names
    // other weights than the request. The response can be dropped, as nothing of it has been forwarded yet, but the run has begun.
    if (head.status == VersionConflict || head.weightVersion != generateRequest.weightVersion) {
        // The refusal reports the weights that are loaded now, with which the entry may retry here.
        co_await m_engineWatcher.refresh();
        auto refused = refusedResult(RefusalReason::WrongVersion, RetryAfterEngineNotReady);
        refused.refusal->mayHaveRun = head.status == Ok;
        refused.outcome = head.status == Ok ? RunOutcome::Abandoned : RunOutcome::Failure;
        co_return refused;
    }
    m_gate.noteBegun(admittedIn);
    schema::RunHead runHead;
    runHead.set_status(Ok);
    runHead.set_prompt_tokens(head.promptTokens);
    runHead.set_cached_tokens(head.cachedTokens);
    const u32 blockTokens = generateRequest.blockKeys.empty()
        ? 0
        : static_cast<u32>(generateRequest.prompt.size() / generateRequest.blockKeys.size()) / BytesPerToken;
    runHead.set_imported_tokens(std::min(head.cachedTokens, imported * blockTokens));
    span.setAttribute("cached_tokens", std::to_string(head.cachedTokens));
    response.sendHead(runHead);
    auto result = co_await relay(head, *generation, response, deadline);
    result.hasBegun = true;
    if (result.outcome == RunOutcome::Success) {
        m_cacheOffloader.noteRun(generateRequest.blockKeys, head.cachedTokens);
    }
    co_return result;
}

boost::asio::awaitable<BackEndResult> PromptRunner::relay(const clients::GenerateHead &head, clients::Generation &generation,
                                                          ResponseStream &response, TimePoint deadline)
{
    while (true) {
        const bool mayReadOn = m_process.clock.now() < deadline && co_await response.waitForRoom(deadline);
        if (!mayReadOn) {
            co_return brokenResult(true, std::nullopt, "cancelled or out of time");
        }
        auto event = co_await generation.next();
        if (event.kind == clients::GenerateEventKind::Broken) {
            const auto crash = co_await checkForCrash(head.bootId);
            co_return brokenResult(true, crash, "engine broke off");
        }
        if (event.kind == clients::GenerateEventKind::Done) {
            BackEndResult result;
            result.end.set_outcome(schema::RunEnd::COMPLETE);
            result.end.set_output_tokens(event.outputTokens);
            co_return result;
        }
        if (event.kind == clients::GenerateEventKind::Text) {
            response.sendData(event.text);
        }
    }
}

boost::asio::awaitable<std::optional<retry::CrashEvidence>> PromptRunner::checkForCrash(std::string previousBootId)
{
    const bool isReachable = co_await m_engineWatcher.refreshAfterFailure();
    if (!isReachable) {
        co_return retry::CrashEvidence::None;
    }
    if (m_gate.bootId() != previousBootId) {
        co_return retry::CrashEvidence::Restart;
    }
    co_return std::nullopt;
}

boost::asio::awaitable<BackEndResult> PromptRunner::notSentResult(admission::Epoch admittedIn)
{
    const bool isReachable = co_await m_engineWatcher.refreshAfterFailure();
    if (isReachable && !m_gate.mayStart(admittedIn, m_gate.bootId())) {
        co_return admissionInvalidResult();
    }
    co_return brokenResult(false, std::nullopt, "engine unreachable");
}

BackEndResult PromptRunner::brokenResult(bool mayHaveRun, std::optional<retry::CrashEvidence> crash, std::string detail)
{
    BackEndResult result;
    result.outcome = mayHaveRun ? RunOutcome::Abandoned : RunOutcome::Failure;
    if (crash) {
        result.outcome = RunOutcome::EndpointRestarted;
    }
    result.crash = crash;
    result.end.set_outcome(schema::RunEnd::BROKEN);
    result.end.set_may_have_run(mayHaveRun);
    result.end.set_detail(std::move(detail));
    return result;
}

boost::asio::awaitable<void> PromptRunner::onEndSent(const schema::RunRequest & /*request*/)
{
    co_return;
}

std::vector<std::string> PromptRunner::loadedWeights() const
{
    return m_engineWatcher.loadedWeights();
}

} // namespace burdock::serving
