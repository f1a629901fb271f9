#include <burdock/serving/endpoint/service_runner.hpp>

namespace burdock::serving {

namespace {

using admission::RunOutcome;
using runtime::http::Progress;

constexpr Duration RetryAfter = std::chrono::seconds(1);

BackEndResult refused(RefusalReason reason)
{
    BackEndResult conclusion;
    conclusion.outcome = RunOutcome::Failure;
    conclusion.refusal = Refusal{
        reason, refusalRule(reason).verdict == Verdict::NotRun && reason == RefusalReason::KeyReused ? Duration::zero() : RetryAfter};
    return conclusion;
}

BackEndResult broken(bool mayHaveRun, RunOutcome outcome)
{
    BackEndResult conclusion;
    conclusion.outcome = outcome;
    conclusion.end.set_outcome(schema::RunEnd::BROKEN);
    conclusion.end.set_may_have_run(mayHaveRun);
    return conclusion;
}

BackEndResult complete()
{
    BackEndResult conclusion;
    conclusion.end.set_outcome(schema::RunEnd::COMPLETE);
    return conclusion;
}

void sendRecorded(const schema::OnceRecord &record, ResponseStream &outlet)
{
    schema::RunHead head;
    head.set_status(record.status());
    head.set_content_type(record.content_type());
    outlet.head(head);
    outlet.data(record.body());
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

ServiceRunner::ServiceRunner(Process &process, OnceStore &once, const runtime::http::Address &backEnd, Duration silence)
    : m_process(process)
    , m_once(once)
    , m_backEnd(backEnd)
    , m_silence(silence)
{
}

Refusal ServiceRunner::check(const schema::RunRequest & /*request*/)
{
    return {};
}

boost::asio::awaitable<BackEndResult> ServiceRunner::run(const schema::RunRequest &request, ResponseStream &outlet, TimePoint deadline,
                                                         const runtime::SpanContext &parent)
{
    runtime::Span span(m_process.tracer, "endpoint.call", parent);
    const auto &work = request.service();
    Outcome outcome;
    if (!work.repeatable()) {
        outcome.claim = co_await m_once.claim(request.customer(), work);
        if (outcome.claim.action == once::Action::ReturnRecorded) {
            sendRecorded(outcome.claim.recorded, outlet);
            co_return complete();
        }
        if (outcome.claim.action != once::Action::Run) {
            co_return refused(outcome.claim.refusal);
        }
        if (m_process.clock.now() >= deadline || outlet.isCancelled()) {
            // The caller has been told that the call may have run; freeing the record lets a resend run it.
            co_await m_once.release(outcome.claim);
            co_return broken(false, RunOutcome::Failure);
        }
    }
    auto conclusion = co_await call(request, outlet, span.context(), outcome);
    if (!work.repeatable() && conclusion.end.outcome() == schema::RunEnd::COMPLETE) {
        const std::lock_guard lock(m_mutex);
        m_unrecorded[request.ref().run_id()] = std::move(outcome);
    } else if (!work.repeatable() && !conclusion.end.may_have_run()) {
        co_await m_once.release(outcome.claim);
    }
    co_return conclusion;
}

boost::asio::awaitable<BackEndResult> ServiceRunner::call(const schema::RunRequest &request, ResponseStream &outlet,
                                                          const runtime::SpanContext &span, Outcome &outcome)
{
    runtime::http::Call call(m_backEnd, m_silence);
    const auto progress = co_await call.send(toHttpRequest(request.service(), span));
    if (progress != Progress::Answered) {
        // A connection that was refused or cut is the only sign of a restart that a plain service gives.
        co_return broken(progress == Progress::MayBeSent, RunOutcome::EndpointRestarted);
    }
    outcome.status = call.head().status;
    outcome.contentType = std::string(call.head().header("Content-Type"));
    schema::RunHead head;
    head.set_status(outcome.status);
    head.set_content_type(outcome.contentType);
    outlet.head(head);
    while (true) {
        const auto piece = co_await call.read();
        outlet.data(piece.data);
        outcome.body += piece.data;
        if (piece.isBroken) {
            co_return broken(true, RunOutcome::EndpointRestarted);
        }
        if (piece.isEnd) {
            co_return complete();
        }
    }
}

boost::asio::awaitable<void> ServiceRunner::afterEnd(const schema::RunRequest &request)
{
    Outcome outcome;
    {
        const std::lock_guard lock(m_mutex);
        auto found = m_unrecorded.extract(request.ref().run_id());
        if (found.empty()) {
            co_return;
        }
        outcome = std::move(found.mapped());
    }
    co_await m_once.recordDone(outcome.claim, outcome.status, outcome.contentType, outcome.body);
}

std::vector<std::string> ServiceRunner::loaded() const
{
    return {};
}

} // namespace burdock::serving
