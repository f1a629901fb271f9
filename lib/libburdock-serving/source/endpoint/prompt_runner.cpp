#include <burdock/serving/endpoint/prompt_runner.hpp>

#include <burdock/serving/link_messages.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

using admission::RunOutcome;
using runtime::http::Progress;

constexpr u16 Ok = 200;
constexpr u16 VersionConflict = 409;
constexpr u32 BytesPerToken = 4;
constexpr Duration RetryAfterVersion = std::chrono::milliseconds(500);
constexpr Duration RetryAfterEngineFull = std::chrono::milliseconds(500);

std::vector<cache::BlockKey> keysOf(const schema::PromptWork &prompt)
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
    out.blockKeys = keysOf(prompt);
    return out;
}

BackEndResult refused(RefusalReason reason, Duration retryAfter)
{
    BackEndResult conclusion;
    conclusion.outcome = RunOutcome::Failure;
    conclusion.refusal = Refusal{reason, retryAfter};
    return conclusion;
}

} // namespace

PromptRunner::PromptRunner(Process &process, clients::Engine &engine, EngineWatcher &watch, KvCacheOffloader &cache)
    : m_process(process)
    , m_engine(engine)
    , m_watch(watch)
    , m_cache(cache)
{
}

Refusal PromptRunner::check(const schema::RunRequest &request)
{
    const auto &prompt = request.prompt();
    if (!m_watch.isReachable()) {
        return {RefusalReason::BackEndUnreachable, RetryAfterVersion};
    }
    if (!m_watch.hasLoaded(weightName(prompt.model(), prompt.weight_version()))) {
        return {RefusalReason::WrongVersion, RetryAfterVersion};
    }
    return {};
}

boost::asio::awaitable<BackEndResult> PromptRunner::run(const schema::RunRequest &request, ResponseStream &outlet, TimePoint deadline,
                                                        const runtime::SpanContext &parent)
{
    const auto generateRequest = toGenerateRequest(request);
    u32 imported = 0;
    {
        runtime::Span span(m_process.tracer, "endpoint.prepare_cache", parent);
        imported = co_await m_cache.prepare(generateRequest.blockKeys);
        span.setAttribute("imported_blocks", std::to_string(imported));
    }
    runtime::Span span(m_process.tracer, "endpoint.generate", parent);
    // Taken before the request is sent: the watch may have seen the engine's next start by the time that the request fails.
    const std::string bootBefore = m_watch.bootId();
    const auto generation = m_engine.generate(generateRequest);
    const auto head = co_await generation->start();
    if (head.progress == Progress::NotSent) {
        m_watch.noteUnreachable();
        co_return broken(false, std::nullopt, "engine unreachable");
    }
    if (head.progress == Progress::MayBeSent) {
        const auto crash = co_await lookForCrash(bootBefore);
        co_return broken(true, crash, "engine cut the connection");
    }
    m_watch.noteBootId(head.bootId);
    if (head.status != Ok && head.status != VersionConflict) {
        co_return refused(RefusalReason::Overloaded, RetryAfterEngineFull);
    }
    // Guards against an answer computed with other weights than the request names: it shows in the head of the answer when the
    // engine swapped between our look and its start. Dropping it here holds because nothing has been sent on yet.
    if (head.status == VersionConflict || head.weightVersion != generateRequest.weightVersion) {
        // The refusal tells the entry what is loaded now, with which it may ask here again.
        co_await m_watch.look();
        co_return refused(RefusalReason::WrongVersion, RetryAfterVersion);
    }
    schema::RunHead runHead;
    runHead.set_status(Ok);
    runHead.set_prompt_tokens(head.promptTokens);
    runHead.set_cached_tokens(head.cachedTokens);
    const u32 blockTokens = generateRequest.blockKeys.empty()
        ? 0
        : static_cast<u32>(generateRequest.prompt.size() / generateRequest.blockKeys.size()) / BytesPerToken;
    runHead.set_imported_tokens(std::min(head.cachedTokens, imported * blockTokens));
    span.setAttribute("cached_tokens", std::to_string(head.cachedTokens));
    outlet.head(runHead);
    auto conclusion = co_await relay(head, *generation, outlet, deadline);
    if (conclusion.outcome == RunOutcome::Success) {
        m_cache.noteRun(generateRequest.blockKeys, head.cachedTokens);
    }
    co_return conclusion;
}

boost::asio::awaitable<BackEndResult> PromptRunner::relay(const clients::GenerateHead &head, clients::Generation &generation,
                                                          ResponseStream &outlet, TimePoint deadline)
{
    while (true) {
        if (!co_await outlet.awaitRoom(deadline)) {
            co_return broken(true, std::nullopt, "cancelled or out of time");
        }
        auto event = co_await generation.next();
        if (event.kind == clients::GenerateEventKind::Broken) {
            const auto crash = co_await lookForCrash(head.bootId);
            co_return broken(true, crash, "engine broke off");
        }
        if (event.kind == clients::GenerateEventKind::Done) {
            BackEndResult conclusion;
            conclusion.end.set_outcome(schema::RunEnd::COMPLETE);
            conclusion.end.set_output_tokens(event.outputTokens);
            co_return conclusion;
        }
        outlet.data(event.text);
    }
}

boost::asio::awaitable<std::optional<retry::CrashEvidence>> PromptRunner::lookForCrash(std::string bootBefore)
{
    const bool isReachable = co_await m_watch.lookAfterBreak();
    if (!isReachable) {
        co_return retry::CrashEvidence::None;
    }
    if (m_watch.bootId() != bootBefore) {
        co_return retry::CrashEvidence::Restart;
    }
    co_return std::nullopt;
}

BackEndResult PromptRunner::broken(bool mayHaveRun, std::optional<retry::CrashEvidence> crash, std::string detail)
{
    BackEndResult conclusion;
    conclusion.outcome = crash ? RunOutcome::EndpointRestarted : RunOutcome::Failure;
    conclusion.crash = crash;
    conclusion.end.set_outcome(schema::RunEnd::BROKEN);
    conclusion.end.set_may_have_run(mayHaveRun);
    conclusion.end.set_detail(std::move(detail));
    return conclusion;
}

boost::asio::awaitable<void> PromptRunner::afterEnd(const schema::RunRequest & /*request*/)
{
    co_return;
}

std::vector<std::string> PromptRunner::loaded() const
{
    return m_watch.loaded();
}

} // namespace burdock::serving
