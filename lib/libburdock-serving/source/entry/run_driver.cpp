#include <burdock/serving/entry/run_driver.hpp>

#include <burdock/cache/block_keys.hpp>
#include <burdock/run/answer_tail.hpp>
#include <burdock/serving/link_messages.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace burdock::serving {

namespace {

constexpr u32 MaxAttempts = 3;
constexpr u32 MaxFreeAttempts = 8;
constexpr u32 MaxOverloadRefusals = 2;
constexpr u32 BudgetReserve = 10;
constexpr u64 AckEveryBytes = 16 * 1024;
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration AvoidAfterLoss = std::chrono::seconds(2);
// Shorter than an endpoint process remembers a run, so that within it "unknown" means "never came".
constexpr Duration UnknownIsProofFor = std::chrono::seconds(10);

Duration retryAfterOf(const schema::RunRefused &refused)
{
    return std::chrono::milliseconds(refused.retry_after_ms());
}

schema::LinkMessage ackMessage(const schema::RunRef &ref, u64 offset)
{
    schema::LinkMessage message;
    *message.mutable_run_ack()->mutable_ref() = ref;
    message.mutable_run_ack()->set_offset(offset);
    return message;
}

schema::LinkMessage resumeMessage(const schema::RunRef &ref, u64 offset)
{
    schema::LinkMessage message;
    *message.mutable_run_resume()->mutable_ref() = ref;
    message.mutable_run_resume()->set_offset(offset);
    return message;
}

schema::LinkMessage cancelMessage(const schema::RunRef &ref)
{
    schema::LinkMessage message;
    *message.mutable_run_cancel()->mutable_ref() = ref;
    return message;
}

} // namespace

bool RunSpec::isRepeatable() const
{
    return prompt.has_value() || service->repeatable();
}

// What a run has come to over all its attempts.
struct RunDriver::Progress
{
    std::string runId;
    u32 attempts = 0;
    u32 overloadRefusals = 0;
    std::string delivered; // text of a prompt's answer, for an attempt that continues it
    u64 deliveredBytes = 0;
    bool hasHead = false;
    bool mayHaveRun = false;
    bool isNextPaid = false; // the next attempt costs no retry, or one that was paid already
    bool hasRecovered = false;
    u32 sequence = 0; // of the attempts, those among them that are no retry
    u32 freeAttempts = 0;
    std::vector<std::string> tried;
};

struct RunDriver::AttemptResult
{
    enum class Kind : u8 {
        Complete,
        NotSent, // provably reached no endpoint process
        NotRun, // refused by an endpoint process, or by its back end
        Lost, // may have run, or ran in part
        CallerGone,
    };
    Kind kind = Kind::NotSent;
    Refusal refusal;
    schema::RunEnd end;
    bool wasAccepted = false;
};

RunDriver::RunDriver(Process &process, Fleet &fleet, RunTable &runs, Duration acceptTimeout)
    : m_process(process)
    , m_fleet(fleet)
    , m_runs(runs)
    , m_acceptTimeout(acceptTimeout)
{
}

boost::asio::awaitable<RunResult> RunDriver::run(const RunSpec &spec, RunSink &sink, const runtime::SpanContext &parent)
{
    using Kind = AttemptResult::Kind;
    noteRequest(spec);
    Progress progress;
    progress.runId = m_process.random.bytes(16);
    const auto placement = placementFor(spec);
    RunResult result;
    result.refusal = {RefusalReason::NoEndpoint, DefaultRetryAfter};
    while (progress.attempts < MaxAttempts && progress.freeAttempts < MaxFreeAttempts && m_process.clock.now() < spec.deadline) {
        if (m_fleet.suspectState(spec.fingerprint) == retry::SuspectState::Quarantined) {
            result.refusal = {RefusalReason::Quarantined, Duration::zero()};
            break;
        }
        const auto proposals = m_fleet.propose(*spec.config, spec.pool, placement, progress.tried);
        if (proposals.empty()) {
            break;
        }
        if (progress.attempts > 0 && !std::exchange(progress.isNextPaid, false) && !spendRetry(spec)) {
            m_process.metrics.count("burdock_retry_budget_spent_total");
            break;
        }
        const auto &endpoint = proposals.front().endpoint;
        ++progress.attempts;
        auto attempted = co_await attempt(spec, sink, progress, proposals.front(), parent);
        m_runs.remove(progress.runId);
        if (attempted.kind == Kind::Complete) {
            m_fleet.noteSuccess(spec.fingerprint);
            result.status = RunStatus::Complete;
            result.end = std::move(attempted.end);
            co_return result;
        }
        if (attempted.kind == Kind::CallerGone) {
            result.status = RunStatus::CallerGone;
            co_return result;
        }
        result.refusal = attempted.refusal;
        m_process.metrics.count("burdock_attempts_failed_total", {{"reason", std::string(refusalRule(attempted.refusal.reason).name)}});
        if (!mayGoOn(spec, progress, attempted, endpoint)) {
            break;
        }
    }
    if (progress.mayHaveRun && refusalRule(result.refusal.reason).verdict == Verdict::NotRun) {
        // The last attempt was refused, but an earlier one may have run, and the verdict speaks of the whole request.
        result.refusal.reason = RefusalReason::BackEndLost;
    }
    result.status = progress.hasHead ? RunStatus::Broken : RunStatus::Refused;
    co_return result;
}

bool RunDriver::mayGoOn(const RunSpec &spec, Progress &progress, const AttemptResult &attempted, const std::string &endpoint)
{
    using Kind = AttemptResult::Kind;
    if (attempted.kind == Kind::NotSent) {
        // No back end has had any load of it, so it is no retry; the endpoint is passed over only once, as its link may be back.
        --progress.attempts;
        ++progress.freeAttempts;
        progress.tried = {endpoint};
        return true;
    }
    progress.tried.push_back(endpoint);
    if (attempted.kind == Kind::Lost) {
        progress.mayHaveRun = true;
        m_fleet.avoid(endpoint, AvoidAfterLoss);
        // The first loss of a run under way is no retry either: a dying endpoint takes many runs with it at once, and what
        // they need elsewhere is what they would have needed there. A second one costs, so a run costs twice at the most.
        if (attempted.wasAccepted && !std::exchange(progress.hasRecovered, true)) {
            progress.isNextPaid = true;
        }
        return spec.isRepeatable() && (spec.prompt.has_value() || progress.deliveredBytes == 0);
    }
    const auto &rule = refusalRule(attempted.refusal.reason);
    progress.overloadRefusals += rule.isOverload ? 1 : 0;
    return rule.tryElsewhere && progress.overloadRefusals < MaxOverloadRefusals;
}

boost::asio::awaitable<RunDriver::AttemptResult> RunDriver::attempt(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                                    const Proposal &proposal, const runtime::SpanContext &parent)
{
    runtime::Span span(m_process.tracer, "entry.attempt", parent);
    span.setAttribute("endpoint", proposal.endpoint);
    const auto link = m_fleet.link(proposal.endpoint);
    if (!link) {
        AttemptResult gone;
        gone.refusal = {RefusalReason::BackEndUnreachable, DefaultRetryAfter};
        co_return gone;
    }
    schema::RunRef ref;
    ref.set_run_id(progress.runId);
    ref.set_attempt(++progress.sequence);
    const auto mailbox = std::make_shared<RunMailbox>(co_await boost::asio::this_coro::executor);
    m_runs.add(progress.runId, proposal.endpoint, progress.sequence, mailbox);
    link->send(makeRequest(spec, progress, proposal, ref, span.context()));
    co_return co_await follow(spec, sink, progress, link, mailbox, ref);
}

boost::asio::awaitable<RunDriver::AttemptResult> RunDriver::follow(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                                   const std::shared_ptr<runtime::link::Client> &link,
                                                                   const std::shared_ptr<RunMailbox> &mailbox, const schema::RunRef &ref)
{
    using Kind = AttemptResult::Kind;
    const u64 bootAtSend = link->peerBootId();
    const TimePoint sentAt = m_process.clock.now();
    bool wasAccepted = false;
    const auto lost = [&](RefusalReason reason) {
        link->send(cancelMessage(ref));
        return AttemptResult{Kind::Lost, {reason, DefaultRetryAfter}, {}, wasAccepted};
    };
    const auto notRun = [](Kind kind, RefusalReason reason, Duration retryAfter) {
        return AttemptResult{kind, {reason, retryAfter}, {}};
    };
    run::AnswerCursor cursor;
    u64 acknowledged = 0;
    bool isAccepted = false;
    TimePoint acceptDeadline = m_process.clock.now() + m_acceptTimeout;
    while (true) {
        const auto event = co_await mailbox->receive(isAccepted ? spec.deadline : std::min(acceptDeadline, spec.deadline));
        if (!event) {
            if (link->withdraw(ref)) {
                co_return notRun(Kind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
            }
            if (m_process.clock.now() >= spec.deadline) {
                co_return lost(RefusalReason::DeadlinePassed);
            }
            // Going elsewhere costs a retry; without one, waiting for the link to be replaced is the better way.
            acceptDeadline = spec.deadline;
            if (spec.isRepeatable() && spendRetry(spec)) {
                progress.isNextPaid = true;
                co_return lost(RefusalReason::BackEndLost);
            }
            continue;
        }
        if (event->kind == RunEventKind::PeerDead) {
            if (link->withdraw(ref)) {
                co_return notRun(Kind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
            }
            co_return lost(RefusalReason::BackEndLost);
        }
        if (event->kind == RunEventKind::LinkReplaced) {
            // From here on the link tells the rest: it is replaced again, or its peer counts as dead, or the peer answers.
            link->send(resumeMessage(ref, cursor.position()));
            isAccepted = true;
            continue;
        }
        const auto &message = event->message;
        isAccepted = true;
        wasAccepted = true;
        if (message.has_run_refused()) {
            const auto reason = refusalReasonFrom(message.run_refused().reason()).value_or(RefusalReason::BackEndLost);
            co_return notRun(Kind::NotRun, reason, retryAfterOf(message.run_refused()));
        }
        if (message.has_run_head() && !progress.hasHead) {
            progress.hasHead = true;
            if (!co_await sink.head(message.run_head())) {
                link->send(cancelMessage(ref));
                co_return AttemptResult{Kind::CallerGone, {}, {}};
            }
        }
        if (message.has_run_chunk()) {
            std::string_view fresh = message.run_chunk().data();
            const auto use = cursor.accept(message.run_chunk().offset(), fresh);
            if (use == run::ChunkUse::Gap) {
                link->send(resumeMessage(ref, cursor.position()));
            }
            if (use != run::ChunkUse::Deliver) {
                continue;
            }
            if (spec.prompt) {
                progress.delivered += fresh;
            }
            progress.deliveredBytes += fresh.size();
            if (!co_await sink.data(fresh)) {
                link->send(cancelMessage(ref));
                co_return AttemptResult{Kind::CallerGone, {}, {}};
            }
            if (cursor.position() - acknowledged >= AckEveryBytes) {
                acknowledged = cursor.position();
                link->send(ackMessage(ref, acknowledged));
            }
        }
        if (!message.has_run_end()) {
            continue;
        }
        const auto &end = message.run_end();
        if (end.outcome() == schema::RunEnd::COMPLETE && end.length() != cursor.position()) {
            // Something before the end was lost on the way.
            link->send(resumeMessage(ref, cursor.position()));
            continue;
        }
        if (end.outcome() == schema::RunEnd::COMPLETE) {
            link->send(ackMessage(ref, cursor.position()));
            co_return AttemptResult{Kind::Complete, {}, end};
        }
        if (end.outcome() == schema::RunEnd::UNKNOWN) {
            // "Never seen, never will run" is said by a process about itself and about what it still remembers; of a predecessor,
            // and of a time long past, it knows nothing.
            const bool isSameProcess = bootAtSend != 0 && bootAtSend == link->peerBootId();
            const bool isRemembered = m_process.clock.now() - sentAt < UnknownIsProofFor;
            if (isSameProcess && isRemembered && cursor.position() == 0) {
                co_return notRun(Kind::NotSent, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
            }
            co_return lost(RefusalReason::BackEndLost);
        }
        if (end.endpoint_crashed()) {
            m_fleet.noteCrashes(spec.fingerprint, end.suspect_crashes());
        }
        link->send(ackMessage(ref, end.length()));
        if (!end.may_have_run()) {
            co_return notRun(Kind::NotRun, RefusalReason::BackEndUnreachable, DefaultRetryAfter);
        }
        co_return AttemptResult{Kind::Lost, {RefusalReason::BackEndLost, DefaultRetryAfter}, {}, true};
    }
}

schema::LinkMessage RunDriver::makeRequest(const RunSpec &spec, const Progress &progress, const Proposal &proposal,
                                           const schema::RunRef &ref, const runtime::SpanContext &span) const
{
    schema::LinkMessage message;
    auto *request = message.mutable_run_request();
    *request->mutable_ref() = ref;
    request->set_config_version(spec.config->version());
    request->set_customer(spec.customer);
    request->set_priority(spec.priority);
    request->set_fingerprint(spec.fingerprint);
    request->set_suspect_crashes(m_fleet.crashesOf(spec.fingerprint));
    request->set_deadline_ms(static_cast<u32>(toMilliseconds(spec.deadline - m_process.clock.now())));
    request->mutable_trace()->set_trace_id(span.traceId);
    request->mutable_trace()->set_span_id(span.spanId);
    if (spec.service) {
        *request->mutable_service() = *spec.service;
        return message;
    }
    auto *prompt = request->mutable_prompt();
    *prompt = *spec.prompt;
    prompt->set_delivered(progress.delivered);
    // While new weights are rolled out, an endpoint serves the version that it has.
    const auto prefix = weightName(spec.prompt->model(), "");
    for (const auto &loaded : proposal.loaded) {
        if (loaded.starts_with(prefix)) {
            prompt->set_weight_version(loaded.substr(prefix.size()));
        }
    }
    const cache::BlockScope scope{spec.customer, prompt->model(), prompt->adapter(), prompt->weight_version()};
    for (const auto &key : cache::blockKeys(scope, prompt->prompt(), spec.config->bundle().policy().block_bytes())) {
        prompt->add_block_keys(std::string(hash::asBytes(key)));
    }
    return message;
}

placement::PlacementRequest RunDriver::placementFor(const RunSpec &spec)
{
    placement::PlacementRequest request;
    request.random = m_process.random.word();
    if (!spec.prompt) {
        request.home = request.random;
        return request;
    }
    const auto &prompt = *spec.prompt;
    const cache::BlockScope scope{spec.customer, prompt.model(), prompt.adapter(), prompt.weight_version()};
    const auto keys = cache::blockKeys(scope, prompt.prompt(), spec.config->bundle().policy().block_bytes());
    request.home = cache::homeHash(scope, prompt.prompt(), keys);
    return request;
}

void RunDriver::noteRequest(const RunSpec &spec)
{
    const u32 percent = spec.config->bundle().policy().retry_budget_percent();
    const std::lock_guard lock(m_mutex);
    auto &budget = m_budgets.try_emplace(spec.pool, percent, BudgetReserve).first->second;
    budget.setEarnedPercent(percent);
    budget.noteRequest();
}

bool RunDriver::spendRetry(const RunSpec &spec)
{
    const std::lock_guard lock(m_mutex);
    return m_budgets.at(spec.pool).trySpend();
}

} // namespace burdock::serving
