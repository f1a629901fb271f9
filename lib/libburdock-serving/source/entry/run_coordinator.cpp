#include <burdock/serving/entry/run_coordinator.hpp>

#include "attempt.hpp"

#include <burdock/cache/block_keys.hpp>
#include <burdock/serving/link_messages.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace burdock::serving {

using detail::Attempt;
using detail::AttemptResult;
using detail::AttemptStatus;

namespace {

constexpr u32 MaxAttempts = 3;
constexpr u32 MaxUncountedAttempts = 8;
constexpr u32 MaxOverloadRefusals = 2;
constexpr u32 BudgetReserve = 10;
constexpr std::size_t RunIdBytes = 16;
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration LastResortAfterSilence = std::chrono::seconds(2);
constexpr Duration LastResortWithoutBackEnd = std::chrono::seconds(1);

placement::PlacementRequest placementFor(const RunSpec &spec, const RunSettings &settings, u64 random)
{
    placement::PlacementRequest request;
    request.random = random;
    if (!spec.prompt) {
        request.homeHash = random;
        return request;
    }
    const auto &prompt = *spec.prompt;
    const cache::BlockScope scope{spec.customer, prompt.model(), prompt.adapter(), settings.weightVersion};
    const auto keys = cache::blockKeys(scope, prompt.prompt(), settings.config->bundle().policy().block_bytes());
    request.homeHash = cache::homeHash(scope, prompt.prompt(), keys);
    return request;
}

} // namespace

// State of a run over all its attempts.
struct RunCoordinator::Progress
{
    std::string runId;
    u64 placementSeed = 0; // determines the placement of requests without a home endpoint
    RunSettings settings; // from the newest configuration at the last refresh
    placement::PlacementRequest placement; // derived from the settings
    detail::DeliveredResponse delivery;
    std::string lastEndpoint; // the endpoint of the latest attempt
    TimePoint sentAt{}; // when the latest attempt was sent
    std::vector<std::string> triedEndpoints; // not to be used again
    u32 attemptNumber = 0; // counts all attempts, including those that do not count as a retry
    u32 attempts = 0;
    u32 uncountedAttempts = 0;
    u32 overloadRefusals = 0;
    bool mayHaveRun = false;
    bool isRepeatable = true; // under all settings so far
    bool isNextAttemptPaid = false; // the next attempt needs no retry, or one was already taken for it
    bool hasUsedFreeRecovery = false;
    bool hasBegun = false; // what its prompt has in common with others doesn't keep it from running
    bool isTrial = false; // held as a suspect, with this run as the one trial allowed
};

class RunCoordinator::BudgetedFailover : public detail::FailoverPolicy
{
public:
    BudgetedFailover(RunCoordinator &coordinator, const RunSpec &spec, Progress &progress)
        : m_coordinator(coordinator)
        , m_spec(spec)
        , m_progress(progress)
    {
    }

    [[nodiscard]] bool tryReserveRetry() override
    {
        if (m_coordinator.refreshSettings(m_spec, m_progress) != RefusalReason::None || !m_progress.isRepeatable) {
            return false;
        }
        const auto candidates = m_coordinator.rankEndpoints(m_progress);
        const bool hasBetterEndpoint
            = !candidates.empty() && candidates.front().endpoint != m_progress.lastEndpoint && !candidates.front().isLastResort;
        m_progress.isNextAttemptPaid = hasBetterEndpoint && m_coordinator.trySpendRetry(m_progress.settings);
        return m_progress.isNextAttemptPaid;
    }

private:
    RunCoordinator &m_coordinator;
    const RunSpec &m_spec;
    Progress &m_progress;
};

RunCoordinator::RunCoordinator(Process &process, ConfigHolder &config, Fleet &fleet, RunTable &runs, Duration acceptTimeout)
    : m_process(process)
    , m_config(config)
    , m_fleet(fleet)
    , m_runs(runs)
    , m_acceptTimeout(acceptTimeout)
{
}

boost::asio::awaitable<RunResult> RunCoordinator::run(const RunSpec &spec, RunSink &sink, const runtime::SpanContext &parent)
{
    Progress progress;
    auto result = co_await runAttempts(spec, sink, progress, parent);
    if (progress.isTrial) {
        m_fleet.suspects().returnTrial(spec.fingerprint);
    }
    if (result.status != RunStatus::Complete && !progress.mayHaveRun) {
        m_fleet.suspects().returnPermission(spec.features);
    }
    co_return result;
}

boost::asio::awaitable<RunResult> RunCoordinator::runAttempts(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                              const runtime::SpanContext &parent)
{
    progress.runId = m_process.random.bytes(RunIdBytes);
    progress.placementSeed = m_process.random.word();
    if (refreshSettings(spec, progress) == RefusalReason::None) {
        noteRequest(progress.settings);
    }
    RunResult result;
    result.refusal = {RefusalReason::NoEndpoint, DefaultRetryAfter};
    while (progress.attempts < MaxAttempts && progress.uncountedAttempts < MaxUncountedAttempts && m_process.clock.now() < spec.deadline) {
        if (const auto refusal = checkQuarantine(spec, progress); refusal.reason != RefusalReason::None) {
            result.refusal = refusal;
            break;
        }
        if (const auto reason = refreshSettings(spec, progress); reason != RefusalReason::None) {
            result.refusal = {reason, Duration::zero()};
            break;
        }
        if (progress.mayHaveRun && !progress.isRepeatable) {
            break;
        }
        const auto candidates = rankEndpoints(progress);
        if (candidates.empty()) {
            break;
        }
        if (progress.attempts > 0 && !std::exchange(progress.isNextAttemptPaid, false) && !trySpendRetry(progress.settings)) {
            m_process.metrics.count("burdock_retry_budget_spent_total");
            break;
        }
        progress.lastEndpoint = candidates.front().endpoint;
        progress.sentAt = m_process.clock.now();
        ++progress.attempts;
        auto attemptResult = co_await attempt(spec, sink, progress, candidates.front(), parent);
        m_runs.remove(progress.runId);
        if (attemptResult.status == AttemptStatus::Complete) {
            m_fleet.suspects().noteSuccess(spec.fingerprint);
            m_fleet.suspects().noteSuccess(spec.features, progress.sentAt);
            m_fleet.noteSuccess(progress.lastEndpoint);
            result.status = RunStatus::Complete;
            result.end = std::move(attemptResult.end);
            co_return result;
        }
        if (attemptResult.status == AttemptStatus::CallerDisconnected) {
            result.status = RunStatus::CallerDisconnected;
            co_return result;
        }
        result.refusal = attemptResult.refusal;
        m_process.metrics.count("burdock_attempts_failed_total", {{"reason", std::string(refusalRule(attemptResult.refusal.reason).name)}});
        if (!handleFailedAttempt(spec, progress, attemptResult)) {
            break;
        }
    }
    if (progress.mayHaveRun && refusalRule(result.refusal.reason).verdict == Verdict::NotRun) {
        // The last attempt was refused without running, but an earlier one may have run, and the verdict covers the whole request.
        result.refusal.reason = RefusalReason::BackEndLost;
    }
    result.status = progress.delivery.hasHead ? RunStatus::Broken : RunStatus::Refused;
    co_return result;
}

Refusal RunCoordinator::checkQuarantine(const RunSpec &spec, Progress &progress)
{
    auto &suspects = m_fleet.suspects();
    const auto suspicion = suspects.state(spec.fingerprint);
    if (suspicion == retry::SuspectState::Quarantined) {
        return {RefusalReason::Quarantined, Duration::zero()};
    }
    if (!mayRunWithFeatures(spec, progress)) {
        return {RefusalReason::Quarantined, suspects.timeUntilTrial(spec.features)};
    }
    if (suspicion != retry::SuspectState::Held) {
        return {};
    }
    // A trial ends with the first attempt that may have run.
    progress.isTrial = progress.isTrial || (!progress.mayHaveRun && suspects.tryBegin(spec.fingerprint));
    if (progress.isTrial && !progress.mayHaveRun) {
        return {};
    }
    return {RefusalReason::Quarantined, suspects.timeUntilTrial(spec.fingerprint)};
}

bool RunCoordinator::mayRunWithFeatures(const RunSpec &spec, Progress &progress)
{
    auto &suspects = m_fleet.suspects();
    if (progress.mayHaveRun) {
        return suspects.mayTryElsewhere(spec.features);
    }
    progress.hasBegun = progress.hasBegun || suspects.tryBegin(spec.features);
    return progress.hasBegun;
}

bool RunCoordinator::handleFailedAttempt(const RunSpec &spec, Progress &progress, const AttemptResult &attemptResult)
{
    progress.mayHaveRun = progress.mayHaveRun || attemptResult.refusal.mayHaveRun;
    if (attemptResult.status == AttemptStatus::NotSent || attemptResult.refusal.reason == RefusalReason::StaleConfig) {
        // The attempt put no load on a back end, so it does not count as a retry, and the retry taken for it covers the next one.
        // The endpoint is not at fault either: if it has a newer configuration, it sends it before its next answer at the latest.
        --progress.attempts;
        ++progress.uncountedAttempts;
        progress.isNextAttemptPaid = progress.attempts > 0;
        return true;
    }
    if (attemptResult.refusal.reason == RefusalReason::WrongVersion) {
        // The refusal reported which weights the endpoint has loaded; the next request to it names that version.
        return true;
    }
    progress.triedEndpoints.push_back(progress.lastEndpoint);
    if (attemptResult.status == AttemptStatus::NoResponse) {
        progress.mayHaveRun = true;
        m_fleet.makeLastResort(progress.lastEndpoint, LastResortAfterSilence);
        return true;
    }
    if (attemptResult.status == AttemptStatus::Lost) {
        progress.mayHaveRun = true;
        if (attemptResult.refusal.reason != RefusalReason::DeadlinePassed) {
            // The deadline is set by the caller and says nothing about the endpoint.
            m_fleet.noteLoss(progress.lastEndpoint, progress.sentAt);
        }
        // The first lost attempt of a run takes no retry from the budget either: a failing endpoint loses many runs at once, and they
        // cost no more elsewhere than they would have cost there. A second loss takes one, so a run costs at most twice as much.
        if (!progress.isNextAttemptPaid && !std::exchange(progress.hasUsedFreeRecovery, true)) {
            progress.isNextAttemptPaid = true;
        }
        return spec.prompt.has_value() || progress.delivery.bytes == 0;
    }
    if (attemptResult.refusal.reason == RefusalReason::BackEndUnreachable) {
        // Without this, every request would try an endpoint with an unreachable back end first, and requests would be refused for
        // lack of retries while other endpoints are idle. Once the back end is up, the endpoint gets work again after this time, or
        // earlier if there is no other endpoint.
        m_fleet.makeLastResort(progress.lastEndpoint, LastResortWithoutBackEnd);
    }
    const auto &rule = refusalRule(attemptResult.refusal.reason);
    progress.overloadRefusals += rule.isOverload ? 1 : 0;
    return rule.isRetryableElsewhere && progress.overloadRefusals < MaxOverloadRefusals;
}

// Allows the last endpoint again if there is no other. Otherwise a short silence of all links would refuse requests that still have
// time left, although the pool serves. This is safe because the last endpoint is missing from triedEndpoints only if it provably
// ran nothing.
std::vector<EndpointCandidate> RunCoordinator::rankEndpoints(const Progress &progress)
{
    const auto &settings = progress.settings;
    auto excluded = progress.triedEndpoints;
    excluded.push_back(progress.lastEndpoint);
    auto candidates = m_fleet.rankEndpoints(*settings.config, settings.pool, progress.placement, excluded);
    if (candidates.empty()) {
        candidates = m_fleet.rankEndpoints(*settings.config, settings.pool, progress.placement, progress.triedEndpoints);
    }
    return candidates;
}

boost::asio::awaitable<AttemptResult> RunCoordinator::attempt(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                              const EndpointCandidate &candidate, const runtime::SpanContext &parent)
{
    runtime::Span span(m_process.tracer, "entry.attempt", parent);
    span.setAttribute("endpoint", candidate.endpoint);
    const auto link = m_fleet.link(candidate.endpoint);
    if (!link) {
        AttemptResult result;
        result.refusal = {RefusalReason::BackEndUnreachable, DefaultRetryAfter};
        co_return result;
    }
    schema::RunRef ref;
    ref.set_run_id(progress.runId);
    ref.set_attempt(++progress.attemptNumber);
    const auto mailbox = std::make_shared<RunMailbox>(co_await boost::asio::this_coro::executor);
    m_runs.add(progress.runId, candidate.endpoint, progress.attemptNumber, mailbox);
    link->send(makeRequest(spec, progress, candidate, ref, span.context()));
    BudgetedFailover failover(*this, spec, progress);
    Attempt attemptState(m_process, m_fleet, spec, progress.delivery, link, ref, m_acceptTimeout, failover);
    while (true) {
        const auto event = co_await mailbox->receive(attemptState.eventDeadline());
        Attempt::Outcome outcome;
        if (!event) {
            outcome = attemptState.onTimeout();
        } else if (event->kind == RunEventKind::PeerDead) {
            outcome = attemptState.onPeerDead();
        } else if (event->kind == RunEventKind::LinkReplaced) {
            attemptState.onLinkReplaced();
        } else {
            const auto &message = event->message;
            attemptState.noteHeard();
            if (message.has_run_head() && !std::exchange(progress.delivery.hasHead, true) && !co_await sink.writeHead(message.run_head())) {
                co_return attemptState.callerDisconnected();
            }
            const auto data = message.has_run_chunk() ? attemptState.newData(message.run_chunk()) : std::string_view();
            if (!data.empty()) {
                if (!co_await sink.writeData(data)) {
                    co_return attemptState.callerDisconnected();
                }
                attemptState.noteDelivered(data);
            }
            if (message.has_run_refused()) {
                outcome = attemptState.onRefused(message.run_refused());
            } else if (message.has_run_end()) {
                outcome = attemptState.onEnd(message.run_end());
            }
        }
        if (outcome) {
            co_return std::move(*outcome);
        }
    }
}

schema::LinkMessage RunCoordinator::makeRequest(const RunSpec &spec, const Progress &progress, const EndpointCandidate &candidate,
                                                const schema::RunRef &ref, const runtime::SpanContext &span) const
{
    const auto &settings = progress.settings;
    schema::LinkMessage message;
    auto *request = message.mutable_run_request();
    *request->mutable_ref() = ref;
    request->set_config_version(settings.config->version());
    request->set_customer(spec.customer);
    request->set_priority(settings.priority);
    request->set_fingerprint(spec.fingerprint);
    const auto suspicion = m_fleet.suspects().record(spec.fingerprint);
    request->set_suspect_crashes(suspicion.crashes);
    request->set_suspect_unproven(suspicion.unproven);
    request->mutable_features()->Add(spec.features.begin(), spec.features.end());
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
    prompt->set_weight_version(settings.weightVersion);
    prompt->set_delivered(progress.delivery.text);
    // During a rollout of new weights, an endpoint serves the version that it has loaded.
    const auto prefix = weightName(spec.prompt->model(), "");
    for (const auto &loaded : candidate.loaded) {
        if (loaded.starts_with(prefix)) {
            prompt->set_weight_version(loaded.substr(prefix.size()));
        }
    }
    const cache::BlockScope scope{spec.customer, prompt->model(), prompt->adapter(), prompt->weight_version()};
    for (const auto &key : cache::blockKeys(scope, prompt->prompt(), settings.config->bundle().policy().block_bytes())) {
        prompt->add_block_keys(std::string(hash::asBytes(key)));
    }
    return message;
}

// If a run kept the settings of a replaced configuration, every endpoint process with the newer one would refuse it as stale_config.
// Therefore all settings are read again, from one configuration, before each attempt; the configuration version of an entry only
// increases.
RefusalReason RunCoordinator::refreshSettings(const RunSpec &spec, Progress &progress) const
{
    const auto config = m_config.current();
    if (config == progress.settings.config) {
        return RefusalReason::None;
    }
    auto resolved = resolveRunSettings(spec, config);
    if (const auto *reason = std::get_if<RefusalReason>(&resolved)) {
        return *reason;
    }
    progress.settings = std::get<RunSettings>(std::move(resolved));
    progress.isRepeatable = progress.isRepeatable && progress.settings.isRepeatable;
    progress.placement = placementFor(spec, progress.settings, progress.placementSeed);
    return RefusalReason::None;
}

void RunCoordinator::noteRequest(const RunSettings &settings)
{
    const std::lock_guard lock(m_mutex);
    auto &budget = budgetOf(settings);
    budget.setEarnedPercent(settings.config->bundle().policy().retry_budget_percent());
    budget.noteRequest();
}

bool RunCoordinator::trySpendRetry(const RunSettings &settings)
{
    const std::lock_guard lock(m_mutex);
    return budgetOf(settings).trySpend();
}

retry::RetryBudget &RunCoordinator::budgetOf(const RunSettings &settings)
{
    const u32 percent = settings.config->bundle().policy().retry_budget_percent();
    return m_budgets.try_emplace(settings.pool, percent, BudgetReserve).first->second;
}

} // namespace burdock::serving
