#include <burdock/serving/endpoint/run_registry.hpp>

#include <burdock/runtime/sleep.hpp>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace burdock::serving {

namespace {

constexpr Duration SweepPause = std::chrono::milliseconds(500);
constexpr Duration KeepEnded = std::chrono::seconds(30);
constexpr Duration KeepTombstone = std::chrono::seconds(60);
constexpr Duration OrphanAfter = std::chrono::seconds(10);
constexpr Duration ForgetPeerAfter = std::chrono::minutes(1);
constexpr Duration RetryAfterMove = std::chrono::milliseconds(100);
constexpr double BytesPerToken = 4.0;

std::string evidenceName(retry::CrashEvidence evidence)
{
    constexpr std::array<std::string_view, 2> Names{"restart", "none"};
    return std::string(Names.at(static_cast<std::size_t>(evidence)));
}

double costOf(const schema::RunRequest &request)
{
    return 1.0 + static_cast<double>(request.prompt().prompt().size()) / BytesPerToken;
}

} // namespace

RunRegistry::RunRegistry(Process &process, ConfigHolder &config, AdmissionGate &gate, BackEndRunner &runner, SuspectTable &suspects,
                         std::size_t tailBytes)
    : m_process(process)
    , m_config(config)
    , m_gate(gate)
    , m_runner(runner)
    , m_suspects(suspects)
    , m_tailBytes(tailBytes)
{
}

void RunRegistry::setServer(runtime::link::Server &server)
{
    m_server = &server;
}

std::string RunRegistry::keyOf(const schema::RunRef &ref)
{
    return ref.run_id() + std::to_string(ref.attempt());
}

void RunRegistry::begin(const runtime::link::PeerId &peer, const schema::RunRequest &request)
{
    const auto strand = boost::asio::make_strand(m_process.workers);
    const auto signals = std::make_shared<RunSignals>(strand);
    const auto outlet = std::make_shared<ResponseStream>(*m_server, request.ref(), peer, m_tailBytes, signals);
    const TimePoint now = m_process.clock.now();
    {
        const std::lock_guard lock(m_mutex);
        // A request that comes twice, or after its entry was told that it will never run here, must not run.
        if (!m_runs.try_emplace(keyOf(request.ref()), Entry{outlet, request.has_prompt(), now}).second) {
            return;
        }
    }
    ++m_coroutines;
    const TimePoint deadline = now + std::chrono::milliseconds(request.deadline_ms());
    outlet->accept(load());
    boost::asio::co_spawn(strand, execute(request, outlet, signals, deadline), [this](const std::exception_ptr &) { --m_coroutines; });
}

boost::asio::awaitable<void> RunRegistry::execute(schema::RunRequest request, std::shared_ptr<ResponseStream> outlet,
                                                  std::shared_ptr<RunSignals> signals, TimePoint deadline)
{
    runtime::Span span(m_process.tracer, "endpoint.run", {request.trace().trace_id(), request.trace().span_id()});
    auto refusal = eligibility(request);
    m_suspects.noteCrashes({request.fingerprint(), request.suspect_crashes(), Duration::zero(), request.suspect_unproven()});
    if (isHeldBack(request)) {
        refusal = {RefusalReason::Quarantined, m_suspects.untilTrial(request.fingerprint())};
    }
    if (refusal.reason == RefusalReason::None) {
        refusal = m_runner.check(request);
    }
    const bool isSuspect = m_suspects.state(request.fingerprint()) != retry::SuspectState::Clear;
    if (refusal.reason == RefusalReason::None) {
        admission::AdmissionRequest admission;
        admission.customer = request.customer();
        admission.priority = request.priority();
        admission.cost = costOf(request);
        admission.deadline = deadline;
        admission.isSuspect = isSuspect;
        refusal = co_await m_gate.enter(admission, signals, *outlet);
    }
    if (refusal.reason != RefusalReason::None) {
        span.setAttribute("refused", std::string(refusalRule(refusal.reason).name));
        refuse(*outlet, refusal);
        co_return;
    }
    co_await runAdmitted(request, *outlet, deadline, isSuspect, span.context());
    co_await m_runner.afterEnd(request);
}

boost::asio::awaitable<void> RunRegistry::runAdmitted(const schema::RunRequest &request, ResponseStream &outlet, TimePoint deadline,
                                                      bool isSuspect, const runtime::SpanContext &span)
{
    const TimePoint begin = m_process.clock.now();
    auto conclusion = co_await m_runner.run(request, outlet, deadline, span);
    const Duration serviceTime = m_process.clock.now() - begin;
    noteOutcome(request, conclusion);
    m_gate.leave({conclusion.outcome, serviceTime, isSuspect, begin});
    m_process.metrics.observe("burdock_run_seconds", serviceTime);
    if (conclusion.refusal) {
        refuse(outlet, *conclusion.refusal);
        co_return;
    }
    *conclusion.end.mutable_load() = load();
    outlet.end(std::move(conclusion.end));
}

// A trial that was let in before its entry heard of the latest crash is none.
bool RunRegistry::isHeldBack(const schema::RunRequest &request) const
{
    switch (m_suspects.state(request.fingerprint())) {
    case retry::SuspectState::Quarantined:
        return true;
    case retry::SuspectState::Held:
        return !request.is_trial() || request.suspect_crashes() < m_suspects.record(request.fingerprint()).crashes;
    default:
        return false;
    }
}

Refusal RunRegistry::eligibility(const schema::RunRequest &request) const
{
    const auto config = m_config.current();
    if (m_isLeaving) {
        return {RefusalReason::Leaving, RetryAfterMove};
    }
    if (!config) {
        return {RefusalReason::NotConfigured, RetryAfterMove};
    }
    if (request.config_version() < config->version()) {
        return {RefusalReason::StaleConfig, RetryAfterMove};
    }
    if (config->isZoneOut(m_process.zone)) {
        return {RefusalReason::ZoneOut, RetryAfterMove};
    }
    if (config->isDrained(m_process.vmName)) {
        return {RefusalReason::Drained, RetryAfterMove};
    }
    return {};
}

void RunRegistry::noteOutcome(const schema::RunRequest &request, BackEndResult &conclusion)
{
    if (conclusion.outcome == admission::RunOutcome::Success) {
        m_suspects.noteSuccess(request.fingerprint());
    }
    if (conclusion.crash) {
        const auto counted = m_suspects.noteCrash(request.fingerprint(), *conclusion.crash);
        conclusion.end.set_endpoint_crashed(true);
        conclusion.end.set_suspect_crashes(counted.crashes);
        conclusion.end.set_suspect_unproven(counted.unproven);
        m_process.metrics.count("burdock_runs_lost_total", {{"evidence", evidenceName(*conclusion.crash)}});
    }
}

void RunRegistry::refuse(ResponseStream &outlet, const Refusal &refusal)
{
    m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(refusalRule(refusal.reason).name)}});
    outlet.refuse(refusal, m_config.version(), load());
}

void RunRegistry::resume(const runtime::link::PeerId &peer, const schema::RunResume &resume)
{
    if (const auto outlet = find(resume.ref())) {
        outlet->resume(peer, resume.offset());
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.try_emplace(keyOf(resume.ref()), Entry{nullptr, false, m_process.clock.now()});
    }
    schema::LinkMessage message;
    *message.mutable_run_end()->mutable_ref() = resume.ref();
    message.mutable_run_end()->set_outcome(schema::RunEnd::UNKNOWN);
    m_server->send(peer, message);
}

std::shared_ptr<ResponseStream> RunRegistry::find(const schema::RunRef &ref)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(keyOf(ref));
    return found == m_runs.end() ? nullptr : found->second.outlet;
}

void RunRegistry::acknowledge(const schema::RunAck &ack)
{
    if (const auto outlet = find(ack.ref())) {
        outlet->acknowledge(ack.offset());
    }
}

void RunRegistry::cancel(const schema::RunCancel &cancel)
{
    if (const auto outlet = find(cancel.ref())) {
        outlet->cancel();
    }
}

void RunRegistry::notePeer(const runtime::link::PeerId &peer)
{
    const std::lock_guard lock(m_mutex);
    m_peers[peer] = m_process.clock.now();
}

std::vector<runtime::link::PeerId> RunRegistry::peers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<runtime::link::PeerId> out;
    for (const auto &[peer, heard] : m_peers) {
        out.push_back(peer);
    }
    return out;
}

boost::asio::awaitable<void> RunRegistry::sweepLoop()
{
    while (true) {
        sweep();
        co_await runtime::sleepFor(SweepPause);
    }
}

void RunRegistry::sweep()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_process.clock.now();
    for (auto &[key, entry] : m_runs) {
        if (!entry.outlet) {
            continue;
        }
        const auto peer = m_peers.find(entry.outlet->peer());
        if (entry.isPrompt && peer != m_peers.end() && peer->second + OrphanAfter < now) {
            entry.outlet->cancel();
        }
        if (!entry.outlet->hasEnded()) {
            entry.touched = now;
        }
    }
    std::erase_if(m_runs, [now](const auto &item) {
        const auto &entry = item.second;
        const bool isDelivered = entry.outlet && entry.outlet->isDelivered();
        return isDelivered || entry.touched + (entry.outlet ? KeepEnded : KeepTombstone) < now;
    });
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool isGone = peer.second + ForgetPeerAfter < now;
        if (isGone) {
            m_suspects.removePeer(peer.first);
        }
        return isGone;
    });
}

void RunRegistry::setLeaving()
{
    m_isLeaving = true;
}

bool RunRegistry::isLeaving() const
{
    return m_isLeaving;
}

bool RunRegistry::isIdle() const
{
    if (m_coroutines > 0) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, entry] : m_runs) {
        if (entry.outlet && !entry.outlet->isDelivered()) {
            return false;
        }
    }
    return true;
}

schema::EndpointLoad RunRegistry::load() const
{
    auto load = m_gate.load();
    load.set_leaving(m_isLeaving);
    load.set_config_version(m_config.version());
    for (auto &name : m_runner.loaded()) {
        load.add_loaded(std::move(name));
    }
    return load;
}

} // namespace burdock::serving
