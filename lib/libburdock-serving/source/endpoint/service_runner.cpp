#include <burdock/serving/endpoint/service_runner.hpp>

#include <burdock/run/sse_splitter.hpp>

namespace burdock::serving {

namespace {

using admission::RunOutcome;
using runtime::http::Progress;

constexpr Duration RetryAfter = std::chrono::seconds(1);
/** Memory that a process beside an endpoint may take. */
constexpr u32 MemoryMegabytes = 128;
constexpr std::string_view EventStreamType = "text/event-stream";

BackEndResult refusedResult(RefusalReason reason)
{
    BackEndResult result;
    result.outcome = RunOutcome::Failure;
    result.refusal = Refusal{
        reason, refusalRule(reason).verdict == Verdict::NotRun && reason == RefusalReason::KeyReused ? Duration::zero() : RetryAfter};
    return result;
}

BackEndResult brokenResult(bool mayHaveRun, RunOutcome outcome)
{
    BackEndResult result;
    result.outcome = outcome;
    result.end.set_outcome(schema::RunEnd::BROKEN);
    result.end.set_may_have_run(mayHaveRun);
    return result;
}

BackEndResult completeResult()
{
    BackEndResult result;
    result.end.set_outcome(schema::RunEnd::COMPLETE);
    return result;
}

void sendRecorded(const schema::OnceRecord &record, ResponseStream &response)
{
    schema::RunHead head;
    head.set_status(record.status());
    head.set_content_type(record.content_type());
    response.sendHead(head);
    response.sendData(record.body());
}

runtime::http::Request toHttpRequest(const schema::ServiceWork &work, const runtime::SpanContext &span)
{
    runtime::http::Request request;
    request.method = work.method();
    request.target = work.path();
    if (!work.content_type().empty()) {
        request.headers.emplace_back("Content-Type", work.content_type());
    }
    request.headers.emplace_back("Idempotency-Key", work.idempotency_key());
    request.headers.emplace_back("traceparent", runtime::toTraceparent(span));
    request.body = work.body();
    return request;
}

} // namespace

ServiceRunner::ServiceRunner(Process &process, OnceStore &onceStore, const runtime::http::Address &backEnd, Duration idleTimeout)
    : m_process(process)
    , m_onceStore(onceStore)
    , m_backEnd(backEnd)
    , m_idleTimeout(idleTimeout)
    , m_memory(run::responseMemoryBytes(MemoryMegabytes))
{
}

Refusal ServiceRunner::check(const schema::RunRequest & /*request*/)
{
    return {};
}

boost::asio::awaitable<BackEndResult> ServiceRunner::run(const schema::RunRequest &request, admission::Epoch /*admittedIn*/,
                                                         ResponseStream &response, TimePoint deadline, const runtime::SpanContext &parent)
{
    runtime::Span span(m_process.tracer, "endpoint.call", parent);
    const auto &work = request.service();
    CallRecord record;
    if (!work.repeatable()) {
        record.claim = co_await m_onceStore.claim(request.customer(), work);
        if (record.claim.action == once::Action::ReturnRecorded) {
            sendRecorded(record.claim.recorded, response);
            co_return completeResult();
        }
        if (record.claim.action != once::Action::Run) {
            co_return refusedResult(record.claim.refusal);
        }
        if (m_process.clock.now() >= deadline || response.isCancelled()) {
            // The caller has been told that the call may have run; releasing the claim lets a retry run it.
            co_await m_onceStore.release(record.claim);
            co_return brokenResult(false, RunOutcome::Failure);
        }
    }
    auto result = co_await forwardCall(request, response, deadline, span.context(), record);
    if (!work.repeatable() && record.isComplete) {
        const std::lock_guard lock(m_mutex);
        m_unrecordedCalls[request.ref().run_id()] = std::move(record);
    } else if (!work.repeatable() && !result.end.may_have_run()) {
        co_await m_onceStore.release(record.claim);
    }
    co_return result;
}

// The answer to a call that may not be repeated is read on without its caller, as a later call with its key asks for it.
bool ServiceRunner::mayReadOn(const schema::RunRequest &request, bool hasCaller, TimePoint deadline) const
{
    return hasCaller || (!request.service().repeatable() && m_process.clock.now() < deadline + m_idleTimeout);
}

boost::asio::awaitable<BackEndResult> ServiceRunner::forwardCall(const schema::RunRequest &request, ResponseStream &response,
                                                                 TimePoint deadline, const runtime::SpanContext &span, CallRecord &record)
{
    runtime::http::Call call(m_backEnd, m_idleTimeout);
    const auto progress = co_await call.send(toHttpRequest(request.service(), span));
    if (progress != Progress::Answered) {
        // A refused or broken connection is the only sign of a restart that a plain service gives.
        co_return brokenResult(progress == Progress::MayBeSent, RunOutcome::EndpointRestarted);
    }
    record.status = call.head().status;
    record.contentType = std::string(call.head().header("Content-Type"));
    schema::RunHead head;
    head.set_status(record.status);
    head.set_content_type(record.contentType);
    response.sendHead(head);
    const bool isEventStream = record.contentType.starts_with(EventStreamType);
    run::SseSplitter events;
    const bool isRepeatable = request.service().repeatable();
    record.memory = std::make_unique<run::MessageShare>(m_memory);
    u64 httpChunks = 0;
    bool hasCaller = true;
    while (true) {
        hasCaller = hasCaller && m_process.clock.now() < deadline;
        if (hasCaller) {
            hasCaller = co_await response.waitForRoom(deadline);
        }
        if (!mayReadOn(request, hasCaller, deadline)) {
            co_return brokenResult(true, RunOutcome::Failure);
        }
        const auto chunk = co_await call.read();
        if (isEventStream) {
            static_cast<void>(events.append(chunk.data));
        }
        if (!isRepeatable) {
            record.body += chunk.data;
            httpChunks += chunk.httpChunks;
        }
        if (!record.memory->tryResize(record.body.size() + events.incompleteBytes(), httpChunks)) {
            co_return brokenResult(true, RunOutcome::Failure);
        }
        if (hasCaller) {
            response.sendData(chunk.data);
        }
        const bool isCutOff = chunk.isEnd && isEventStream && !events.isCompleteAt(call.framing());
        if (chunk.isBroken || isCutOff) {
            co_return brokenResult(true, RunOutcome::EndpointRestarted);
        }
        if (chunk.isEnd) {
            record.isComplete = true;
            // Without its caller, only a part of the answer has been sent.
            co_return hasCaller ? completeResult() : brokenResult(true, RunOutcome::Failure);
        }
    }
}

boost::asio::awaitable<void> ServiceRunner::onEndSent(const schema::RunRequest &request)
{
    CallRecord record;
    {
        const std::lock_guard lock(m_mutex);
        auto found = m_unrecordedCalls.extract(request.ref().run_id());
        if (found.empty()) {
            co_return;
        }
        record = std::move(found.mapped());
    }
    co_await m_onceStore.recordDone(record.claim, record.status, record.contentType, record.body);
}

std::vector<std::string> ServiceRunner::loadedWeights() const
{
    return {};
}

} // namespace burdock::serving
