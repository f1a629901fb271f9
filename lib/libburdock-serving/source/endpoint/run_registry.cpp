#include <burdock/serving/endpoint/run_registry.hpp>

#include <burdock/runtime/sleep.hpp>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace burdock::serving {

namespace {

constexpr Duration SweepInterval = std::chrono::milliseconds(500);
constexpr Duration EndedRunRetention = std::chrono::seconds(30);
constexpr Duration TombstoneRetention = std::chrono::seconds(60);
constexpr Duration OrphanTimeout = std::chrono::seconds(10);
constexpr Duration PeerRetention = std::chrono::minutes(1);
constexpr Duration RetryAfterIneligible = std::chrono::milliseconds(100);
constexpr double BytesPerToken = 4.0;

std::string evidenceName(retry::CrashEvidence evidence)
{
    constexpr std::array<std::string_view, 2> Names{"restart", "none"};
    return std::string(Names.at(static_cast<std::size_t>(evidence)));
}

double admissionCost(const schema::RunRequest &request)
{
    return 1.0 + static_cast<double>(request.prompt().prompt().size()) / BytesPerToken;
}

admission::AdmissionRequest toAdmissionRequest(const schema::RunRequest &request, TimePoint deadline, bool isSuspect)
{
    admission::AdmissionRequest admissionRequest;
    admissionRequest.customer = request.customer();
    admissionRequest.priority = request.priority();
    admissionRequest.cost = admissionCost(request);
    admissionRequest.deadline = deadline;
    admissionRequest.isSuspect = isSuspect;
    return admissionRequest;
}

} // namespace

RunRegistry::RunRegistry(Process &process, ConfigHolder &config, AdmissionGate &gate, BackEndRunner &runner, SuspectTable &suspects,
                         std::size_t bufferBytes)
    : m_process(process)
    , m_config(config)
    , m_gate(gate)
    , m_runner(runner)
    , m_suspects(suspects)
    , m_bufferBytes(bufferBytes)
{
}

void RunRegistry::setServer(runtime::link::Server &server)
{
    m_server = &server;
}

std::string RunRegistry::runKey(const schema::RunRef &ref)
{
    return ref.run_id() + std::to_string(ref.attempt());
}

void RunRegistry::start(const runtime::link::PeerId &peer, const schema::RunRequest &request)
{
    const auto strand = boost::asio::make_strand(m_process.workers);
    const auto signals = std::make_shared<RunSignals>(strand);
    const auto response = std::make_shared<ResponseStream>(*m_server, request.ref(), peer, m_bufferBytes, signals);
    const TimePoint now = m_process.clock.now();
    {
        const std::lock_guard lock(m_mutex);
        // A duplicate must not run, nor a request whose entry has been told that it will never run here.
        if (!m_runs.try_emplace(runKey(request.ref()), RunRecord{response, request.has_prompt(), now}).second) {
            return;
        }
    }
    ++m_activeCoroutines;
    const TimePoint deadline = now + std::chrono::milliseconds(request.deadline_ms());
    response->sendAccepted(load());
    boost::asio::co_spawn(strand, execute(request, response, signals, deadline),
                          [this](const std::exception_ptr &) { --m_activeCoroutines; });
}

boost::asio::awaitable<void> RunRegistry::execute(schema::RunRequest request, std::shared_ptr<ResponseStream> response,
                                                  std::shared_ptr<RunSignals> signals, TimePoint deadline)
{
    runtime::Span span(m_process.tracer, "endpoint.run", {request.trace().trace_id(), request.trace().span_id()});
    auto refusal = checkEligibility(request);
    m_suspects.noteCrashes({request.fingerprint(), request.suspect_crashes(), Duration::zero(), request.suspect_unproven()});
    if (isRefusedAsSuspect(request)) {
        refusal = {RefusalReason::Quarantined, m_suspects.timeUntilTrial(request.fingerprint())};
    }
    if (refusal.reason == RefusalReason::None) {
        refusal = co_await admitAndRun(request, *response, signals, deadline, span.context());
    }
    if (refusal.reason != RefusalReason::None) {
        span.setAttribute("refused", std::string(refusalRule(refusal.reason).name));
        refuse(*response, refusal);
        co_return;
    }
    co_await m_runner.onEndSent(request);
}

boost::asio::awaitable<Refusal> RunRegistry::admitAndRun(const schema::RunRequest &request, ResponseStream &response,
                                                         std::shared_ptr<RunSignals> signals, TimePoint deadline,
                                                         const runtime::SpanContext &span)
{
    const bool isSuspect = m_suspects.state(request.fingerprint()) != retry::SuspectState::Clear;
    const auto admissionRequest = toAdmissionRequest(request, deadline, isSuspect);
    while (true) {
        if (const auto refusal = m_runner.check(request); refusal.reason != RefusalReason::None) {
            co_return refusal;
        }
        const auto admission = co_await m_gate.waitForAdmission(admissionRequest, signals, response);
        if (admission.refusal.reason != RefusalReason::None) {
            co_return admission.refusal;
        }
        const TimePoint startTime = m_process.clock.now();
        auto result = co_await m_runner.run(request, admission.epoch, response, deadline, span);
        const Duration serviceTime = m_process.clock.now() - startTime;
        noteOutcome(request, startTime, result);
        m_gate.finishRun({result.outcome, serviceTime, isSuspect, startTime, admission.epoch, result.hasBegun});
        if (result.isAdmissionInvalid()) {
            m_process.metrics.count("burdock_readmissions_total");
            if (m_process.clock.now() >= deadline || response.isCancelled()) {
                co_return Refusal{RefusalReason::DeadlineTooShort, RetryAfterIneligible};
            }
            continue;
        }
        m_process.metrics.observe("burdock_run_seconds", serviceTime);
        if (result.refusal) {
            co_return *result.refusal;
        }
        *result.end.mutable_load() = load();
        response.finish(std::move(result.end));
        co_return Refusal{};
    }
}

// A trial that its entry allowed without knowing of the latest crash does not count as one.
bool RunRegistry::isRefusedAsSuspect(const schema::RunRequest &request) const
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

Refusal RunRegistry::checkEligibility(const schema::RunRequest &request) const
{
    const auto config = m_config.current();
    if (m_isLeaving) {
        return {RefusalReason::Leaving, RetryAfterIneligible};
    }
    if (!config) {
        return {RefusalReason::NotConfigured, RetryAfterIneligible};
    }
    if (request.config_version() < config->version()) {
        return {RefusalReason::StaleConfig, RetryAfterIneligible};
    }
    if (config->isZoneOut(m_process.zone)) {
        return {RefusalReason::ZoneOut, RetryAfterIneligible};
    }
    if (config->isDrained(m_process.vmName)) {
        return {RefusalReason::Drained, RetryAfterIneligible};
    }
    return {};
}

void RunRegistry::noteOutcome(const schema::RunRequest &request, TimePoint startTime, BackEndResult &result)
{
    const SuspectTable::Features features(request.features().begin(), request.features().end());
    if (result.outcome == admission::RunOutcome::Success) {
        m_suspects.noteSuccess(request.fingerprint());
        m_suspects.noteSuccess(features, startTime);
    }
    if (result.crash == retry::CrashEvidence::Restart) {
        m_suspects.noteCrash(features, startTime);
    }
    if (result.crash) {
        const auto counted = m_suspects.noteCrash(request.fingerprint(), *result.crash);
        result.end.set_endpoint_crashed(true);
        result.end.set_suspect_crashes(counted.crashes);
        result.end.set_suspect_unproven(counted.unproven);
        m_process.metrics.count("burdock_runs_lost_total", {{"evidence", evidenceName(*result.crash)}});
    }
}

void RunRegistry::refuse(ResponseStream &response, const Refusal &refusal)
{
    m_process.metrics.count("burdock_refusals_total", {{"reason", std::string(refusalRule(refusal.reason).name)}});
    response.refuse(refusal, m_config.version(), load());
}

void RunRegistry::resume(const runtime::link::PeerId &peer, const schema::RunResume &resume)
{
    if (const auto response = findResponse(resume.ref())) {
        response->resume(peer, resume.offset());
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.try_emplace(runKey(resume.ref()), RunRecord{nullptr, false, m_process.clock.now()});
    }
    schema::LinkMessage message;
    *message.mutable_run_end()->mutable_ref() = resume.ref();
    message.mutable_run_end()->set_outcome(schema::RunEnd::UNKNOWN);
    m_server->send(peer, message);
}

std::shared_ptr<ResponseStream> RunRegistry::findResponse(const schema::RunRef &ref)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(runKey(ref));
    return found == m_runs.end() ? nullptr : found->second.response;
}

void RunRegistry::acknowledge(const schema::RunAck &ack)
{
    if (const auto response = findResponse(ack.ref())) {
        response->acknowledge(ack.offset());
    }
}

void RunRegistry::cancel(const schema::RunCancel &cancel)
{
    if (const auto response = findResponse(cancel.ref())) {
        response->cancel();
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
    std::vector<runtime::link::PeerId> livePeers;
    for (const auto &[peer, heard] : m_peers) {
        livePeers.push_back(peer);
    }
    return livePeers;
}

boost::asio::awaitable<void> RunRegistry::sweepLoop()
{
    while (true) {
        sweep();
        co_await runtime::sleepFor(SweepInterval);
    }
}

void RunRegistry::sweep()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_process.clock.now();
    for (auto &[key, record] : m_runs) {
        if (!record.response) {
            continue;
        }
        const auto peer = m_peers.find(record.response->peer());
        if (record.isPrompt && peer != m_peers.end() && peer->second + OrphanTimeout < now) {
            record.response->cancel();
        }
        if (!record.response->hasEnded()) {
            record.lastActive = now;
        }
    }
    std::erase_if(m_runs, [now](const auto &item) {
        const auto &record = item.second;
        const bool isDelivered = record.response && record.response->isDelivered();
        return isDelivered || record.lastActive + (record.response ? EndedRunRetention : TombstoneRetention) < now;
    });
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool isGone = peer.second + PeerRetention < now;
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
    if (m_activeCoroutines > 0) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, record] : m_runs) {
        if (record.response && !record.response->isDelivered()) {
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
    for (auto &name : m_runner.loadedWeights()) {
        load.add_loaded(std::move(name));
    }
    return load;
}

} // namespace burdock::serving
