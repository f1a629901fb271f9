#include <burdock/serving/entry/run_driver.hpp>

#include "attempt.hpp"

#include <burdock/cache/block_keys.hpp>
#include <burdock/serving/link_messages.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace burdock::serving {

using detail::Attempt;
using detail::AttemptKind;
using detail::AttemptResult;

namespace {

constexpr u32 MaxAttempts = 3;
constexpr u32 MaxFreeAttempts = 8;
constexpr u32 MaxOverloadRefusals = 2;
constexpr u32 BudgetReserve = 10;
constexpr std::size_t RunIdBytes = 16;
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration LastResortAfterSilence = std::chrono::seconds(2);
constexpr Duration LastResortWithoutBackEnd = std::chrono::seconds(1);

placement::PlacementRequest placementFor(const RunSpec &spec, const RunTerms &terms, u64 random)
{
    placement::PlacementRequest request;
    request.random = random;
    if (!spec.prompt) {
        request.home = random;
        return request;
    }
    const auto &prompt = *spec.prompt;
    const cache::BlockScope scope{spec.customer, prompt.model(), prompt.adapter(), terms.weightVersion};
    const auto keys = cache::blockKeys(scope, prompt.prompt(), terms.config->bundle().policy().block_bytes());
    request.home = cache::homeHash(scope, prompt.prompt(), keys);
    return request;
}

} // namespace

// What a run has come to over all its attempts.
struct RunDriver::Progress
{
    std::string runId;
    u64 random = 0; // settles the placement of what has no home
    RunTerms terms; // of the newest configuration known when they were last needed
    placement::PlacementRequest placement; // follows from the terms
    detail::Delivery delivery;
    std::string asked; // the endpoint that was asked last
    TimePoint sentAt{}; // when it was asked
    std::vector<std::string> tried; // not to be asked again
    u32 sequence = 0; // of the attempts, those among them that are no retry
    u32 attempts = 0;
    u32 freeAttempts = 0;
    u32 overloadRefusals = 0;
    bool mayHaveRun = false;
    bool isRepeatable = true; // by all terms that it has had
    bool isNextPaid = false; // the next attempt costs no retry, or one that was paid already
    bool hasRecovered = false;
    bool isTrial = false; // held back but for this run
};

class RunDriver::Payer : public detail::RetryPayer
{
public:
    Payer(RunDriver &driver, const RunSpec &spec, Progress &progress)
        : m_driver(driver)
        , m_spec(spec)
        , m_progress(progress)
    {
    }

    [[nodiscard]] bool pay() override
    {
        if (m_driver.takeTerms(m_spec, m_progress) != RefusalReason::None || !m_progress.isRepeatable) {
            return false;
        }
        const auto proposals = m_driver.propose(m_progress);
        const bool isBetterThere = !proposals.empty() && proposals.front().endpoint != m_progress.asked && !proposals.front().isLastResort;
        m_progress.isNextPaid = isBetterThere && m_driver.spendRetry(m_progress.terms);
        return m_progress.isNextPaid;
    }

private:
    RunDriver &m_driver;
    const RunSpec &m_spec;
    Progress &m_progress;
};

RunDriver::RunDriver(Process &process, ConfigHolder &config, Fleet &fleet, RunTable &runs, Duration acceptTimeout)
    : m_process(process)
    , m_config(config)
    , m_fleet(fleet)
    , m_runs(runs)
    , m_acceptTimeout(acceptTimeout)
{
}

boost::asio::awaitable<RunResult> RunDriver::run(const RunSpec &spec, RunSink &sink, const runtime::SpanContext &parent)
{
    Progress progress;
    auto result = co_await tryInTurn(spec, sink, progress, parent);
    if (progress.isTrial) {
        m_fleet.suspects().returnTrial(spec.fingerprint);
    }
    co_return result;
}

boost::asio::awaitable<RunResult> RunDriver::tryInTurn(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                       const runtime::SpanContext &parent)
{
    progress.runId = m_process.random.bytes(RunIdBytes);
    progress.random = m_process.random.word();
    if (takeTerms(spec, progress) == RefusalReason::None) {
        noteRequest(progress.terms);
    }
    RunResult result;
    result.refusal = {RefusalReason::NoEndpoint, DefaultRetryAfter};
    while (progress.attempts < MaxAttempts && progress.freeAttempts < MaxFreeAttempts && m_process.clock.now() < spec.deadline) {
        if (const auto refusal = holdBack(spec, progress); refusal.reason != RefusalReason::None) {
            result.refusal = refusal;
            break;
        }
        if (const auto reason = takeTerms(spec, progress); reason != RefusalReason::None) {
            result.refusal = {reason, Duration::zero()};
            break;
        }
        if (progress.mayHaveRun && !progress.isRepeatable) {
            break;
        }
        const auto proposals = propose(progress);
        if (proposals.empty()) {
            break;
        }
        if (progress.attempts > 0 && !std::exchange(progress.isNextPaid, false) && !spendRetry(progress.terms)) {
            m_process.metrics.count("burdock_retry_budget_spent_total");
            break;
        }
        progress.asked = proposals.front().endpoint;
        progress.sentAt = m_process.clock.now();
        ++progress.attempts;
        auto attempted = co_await attempt(spec, sink, progress, proposals.front(), parent);
        m_runs.remove(progress.runId);
        if (attempted.kind == AttemptKind::Complete) {
            m_fleet.suspects().noteSuccess(spec.fingerprint);
            m_fleet.noteSuccess(progress.asked);
            result.status = RunStatus::Complete;
            result.end = std::move(attempted.end);
            co_return result;
        }
        if (attempted.kind == AttemptKind::CallerGone) {
            result.status = RunStatus::CallerGone;
            co_return result;
        }
        result.refusal = attempted.refusal;
        m_process.metrics.count("burdock_attempts_failed_total", {{"reason", std::string(refusalRule(attempted.refusal.reason).name)}});
        if (!mayGoOn(spec, progress, attempted)) {
            break;
        }
    }
    if (progress.mayHaveRun && refusalRule(result.refusal.reason).verdict == Verdict::NotRun) {
        // The last attempt was refused, but an earlier one may have run, and the verdict speaks of the whole request.
        result.refusal.reason = RefusalReason::BackEndLost;
    }
    result.status = progress.delivery.hasHead ? RunStatus::Broken : RunStatus::Refused;
    co_return result;
}

Refusal RunDriver::holdBack(const RunSpec &spec, Progress &progress)
{
    auto &suspects = m_fleet.suspects();
    const auto suspicion = suspects.state(spec.fingerprint);
    if (suspicion == retry::SuspectState::Quarantined) {
        return {RefusalReason::Quarantined, Duration::zero()};
    }
    if (suspicion != retry::SuspectState::Held) {
        return {};
    }
    // A trial is over with the first run that was begun.
    progress.isTrial = progress.isTrial || (!progress.mayHaveRun && suspects.tryBegin(spec.fingerprint));
    if (progress.isTrial && !progress.mayHaveRun) {
        return {};
    }
    return {RefusalReason::Quarantined, suspects.timeUntilTrial(spec.fingerprint)};
}

bool RunDriver::mayGoOn(const RunSpec &spec, Progress &progress, const AttemptResult &attempted)
{
    if (attempted.kind == AttemptKind::NotSent || attempted.refusal.reason == RefusalReason::StaleConfig) {
        // No back end has had any load of it, so it is no retry, and what was paid for it pays for the next one. Nor does it say
        // anything against the endpoint: one that knows a newer configuration sends it, at the latest before its next answer.
        --progress.attempts;
        ++progress.freeAttempts;
        progress.isNextPaid = progress.attempts > 0;
        return true;
    }
    if (attempted.refusal.reason == RefusalReason::WrongVersion) {
        // The refusal brought what the endpoint has loaded, and the next request there names it.
        return true;
    }
    progress.tried.push_back(progress.asked);
    if (attempted.kind == AttemptKind::Silent) {
        progress.mayHaveRun = true;
        m_fleet.makeLastResort(progress.asked, LastResortAfterSilence);
        return true;
    }
    if (attempted.kind == AttemptKind::Lost) {
        progress.mayHaveRun = true;
        if (attempted.refusal.reason != RefusalReason::DeadlinePassed) {
            // A deadline is the caller's, and says nothing about the endpoint.
            m_fleet.noteLoss(progress.asked, progress.sentAt);
        }
        // The first loss of a run under way is no retry either: a dying endpoint takes many runs with it at once, and what
        // they need elsewhere is what they would have needed there. A second one costs, so a run costs twice at the most.
        if (!progress.isNextPaid && !std::exchange(progress.hasRecovered, true)) {
            progress.isNextPaid = true;
        }
        return spec.prompt.has_value() || progress.delivery.bytes == 0;
    }
    if (attempted.refusal.reason == RefusalReason::BackEndUnreachable) {
        // Guards against an endpoint whose back end is down and to which each request goes first: it shows as requests that are
        // refused for want of retries while other endpoints are idle. Coming last holds because one that is back gets work
        // again after the time, and earlier if there is no other.
        m_fleet.makeLastResort(progress.asked, LastResortWithoutBackEnd);
    }
    const auto &rule = refusalRule(attempted.refusal.reason);
    progress.overloadRefusals += rule.isOverload ? 1 : 0;
    return rule.isRetryableElsewhere && progress.overloadRefusals < MaxOverloadRefusals;
}

// Guards against a short silence of all links that ends requests with time left: it shows as refusals of a pool that serves.
// Asking the last one again where there is no other holds because it is not among the tried only if it provably ran nothing.
std::vector<Proposal> RunDriver::propose(const Progress &progress)
{
    const auto &terms = progress.terms;
    auto leftOut = progress.tried;
    leftOut.push_back(progress.asked);
    auto proposals = m_fleet.propose(*terms.config, terms.pool, progress.placement, leftOut);
    if (proposals.empty()) {
        proposals = m_fleet.propose(*terms.config, terms.pool, progress.placement, progress.tried);
    }
    return proposals;
}

boost::asio::awaitable<AttemptResult> RunDriver::attempt(const RunSpec &spec, RunSink &sink, Progress &progress, const Proposal &proposal,
                                                         const runtime::SpanContext &parent)
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
    Payer payer(*this, spec, progress);
    Attempt state(m_process, m_fleet, spec, progress.delivery, link, ref, m_acceptTimeout, payer);
    while (true) {
        const auto event = co_await mailbox->receive(state.waitUntil());
        Attempt::Outcome outcome;
        if (!event) {
            outcome = state.onSilence();
        } else if (event->kind == RunEventKind::PeerDead) {
            outcome = state.onPeerDead();
        } else if (event->kind == RunEventKind::LinkReplaced) {
            state.onLinkReplaced();
        } else {
            const auto &message = event->message;
            state.noteHeard();
            if (message.has_run_head() && !std::exchange(progress.delivery.hasHead, true) && !co_await sink.head(message.run_head())) {
                co_return state.callerGone();
            }
            const auto data = message.has_run_chunk() ? state.fresh(message.run_chunk()) : std::string_view();
            if (!data.empty()) {
                if (!co_await sink.data(data)) {
                    co_return state.callerGone();
                }
                state.noteDelivered(data);
            }
            if (message.has_run_refused()) {
                outcome = state.onRefused(message.run_refused());
            } else if (message.has_run_end()) {
                outcome = state.onEnd(message.run_end());
            }
        }
        if (outcome) {
            co_return std::move(*outcome);
        }
    }
}

schema::LinkMessage RunDriver::makeRequest(const RunSpec &spec, const Progress &progress, const Proposal &proposal,
                                           const schema::RunRef &ref, const runtime::SpanContext &span) const
{
    const auto &terms = progress.terms;
    schema::LinkMessage message;
    auto *request = message.mutable_run_request();
    *request->mutable_ref() = ref;
    request->set_config_version(terms.config->version());
    request->set_customer(spec.customer);
    request->set_priority(terms.priority);
    request->set_fingerprint(spec.fingerprint);
    const auto suspicion = m_fleet.suspects().record(spec.fingerprint);
    request->set_suspect_crashes(suspicion.crashes);
    request->set_suspect_unproven(suspicion.unproven);
    request->set_is_trial(progress.isTrial);
    request->set_deadline_ms(static_cast<u32>(toMilliseconds(spec.deadline - m_process.clock.now())));
    request->mutable_trace()->set_trace_id(span.traceId);
    request->mutable_trace()->set_span_id(span.spanId);
    if (spec.service) {
        *request->mutable_service() = *spec.service;
        request->mutable_service()->set_repeatable(progress.isRepeatable);
        return message;
    }
    auto *prompt = request->mutable_prompt();
    *prompt = *spec.prompt;
    prompt->set_weight_version(terms.weightVersion);
    prompt->set_delivered(progress.delivery.text);
    // While new weights are rolled out, an endpoint serves the version that it has.
    const auto prefix = weightName(spec.prompt->model(), "");
    for (const auto &loaded : proposal.loaded) {
        if (loaded.starts_with(prefix)) {
            prompt->set_weight_version(loaded.substr(prefix.size()));
        }
    }
    const cache::BlockScope scope{spec.customer, prompt->model(), prompt->adapter(), prompt->weight_version()};
    for (const auto &key : cache::blockKeys(scope, prompt->prompt(), terms.config->bundle().policy().block_bytes())) {
        prompt->add_block_keys(std::string(hash::asBytes(key)));
    }
    return message;
}

// Guards against a request that goes on with a configuration which its entry has replaced meanwhile: it shows as refusals
// stale_config, as each endpoint process that knows the newer one refuses it. Taking the terms anew before each attempt, all of
// them from one configuration, holds because an entry's version only rises.
RefusalReason RunDriver::takeTerms(const RunSpec &spec, Progress &progress) const
{
    const auto config = m_config.current();
    if (config == progress.terms.config) {
        return RefusalReason::None;
    }
    auto read = readTerms(spec, config);
    if (const auto *reason = std::get_if<RefusalReason>(&read)) {
        return *reason;
    }
    progress.terms = std::get<RunTerms>(std::move(read));
    progress.isRepeatable = progress.isRepeatable && progress.terms.isRepeatable;
    progress.placement = placementFor(spec, progress.terms, progress.random);
    return RefusalReason::None;
}

void RunDriver::noteRequest(const RunTerms &terms)
{
    const std::lock_guard lock(m_mutex);
    auto &budget = budgetOf(terms);
    budget.setEarnedPercent(terms.config->bundle().policy().retry_budget_percent());
    budget.noteRequest();
}

bool RunDriver::spendRetry(const RunTerms &terms)
{
    const std::lock_guard lock(m_mutex);
    return budgetOf(terms).trySpend();
}

retry::RetryBudget &RunDriver::budgetOf(const RunTerms &terms)
{
    const u32 percent = terms.config->bundle().policy().retry_budget_percent();
    return m_budgets.try_emplace(terms.pool, percent, BudgetReserve).first->second;
}

} // namespace burdock::serving
