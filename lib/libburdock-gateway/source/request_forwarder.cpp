#include "request_forwarder.hpp"

#include "part_summary.hpp"

#include <burdock/endpoints/prompt_memory.hpp>
#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/verdict.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <limits>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using endpoints::Outcome;
using retry::NextStep;
using runtime::LogLevel;

/** Timeout for connecting to an endpoint; round trips within a region take a few milliseconds. */
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/** Minimum time left in which an endpoint can be expected to do useful work for a request. */
constexpr Duration MinAttemptTime = std::chrono::milliseconds(40);
/** Entries that are asked for a permit before the request goes to an endpoint without a limit, or is refused. */
constexpr u32 MaxPermitQuestions = 3;
/** How often a stream that waits for software to be recorded looks for an endpoint. */
constexpr Duration RecordPollPeriod = std::chrono::milliseconds(20);
/** Late answers to earlier requests that may precede the answer on a connection. */
constexpr u32 MaxForeignAnswers = 8;
/** Larger numbers of output tokens in a request are treated as this one. */
constexpr u64 MaxOutputTokens = 10'000'000;
constexpr u64 ExtraEvents = 64;
/** Connections of callers that are closed for one request, and the time in which they return what they hold. */
constexpr u32 MaxStalledClosed = 16;
constexpr Duration StalledClosePause = std::chrono::milliseconds(5);
constexpr std::string_view HeadMethod = "HEAD"; ///< answers to it have no body
constexpr u16 StatusOk = 200;
constexpr u16 StatusMultipleChoices = 300;
constexpr u16 StatusServerError = 500;

bool isSuccess(u16 status)
{
    return status >= StatusOk && status < StatusMultipleChoices;
}

bool isFull(endpoints::SelectionFailure reason)
{
    return reason == endpoints::SelectionFailure::NoRoom || reason == endpoints::SelectionFailure::TooSlow;
}

std::string_view nameOf(const std::optional<run::BodyFraming> &framing)
{
    return framing ? toString(*framing) : std::string_view("none");
}

} // namespace

RequestForwarder::RequestForwarder(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                                   const ForwardingServices &services, const http::Request &request, http::Reply &reply)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_services(services)
    , m_request(request)
    , m_reply(reply)
{
}

boost::asio::awaitable<void> RequestForwarder::run()
{
    m_arrivedAt = m_dependencies.clock.now();
    m_requestMetadata = m_dependencies.codec.readRequest(m_request.headers);
    m_routes = m_state.routes;
    const auto rejection = validate();
    if (rejection) {
        co_await reject(*rejection);
        co_return;
    }
    ++m_state.activeRequests;
    m_reply.setDisconnectHandler([this] {
        m_isCallerDisconnected = true;
        if (m_connection) {
            m_connection->close();
        }
    });
    const bool isOriginKnown = co_await findOrigin();
    if (isOriginKnown) {
        co_await tryEndpoints();
    } else {
        m_crashGuard->noteNotSent(m_dependencies.clock.now());
        const Rejection rejection{503, "stream_origin_unknown", {}};
        co_await reject(rejection);
    }
    --m_state.activeRequests;
}

boost::asio::awaitable<void> RequestForwarder::refuseUnread()
{
    m_arrivedAt = m_dependencies.clock.now();
    m_requestMetadata = m_dependencies.codec.readRequest(m_request.headers);
    const Rejection rejection{503, "no_memory", RetryAfterNoMemory};
    co_await reject(rejection);
}

bool RequestForwarder::isResumption() const
{
    return m_route->isResumable && (!m_requestMetadata.lastEventId.empty() || !m_requestMetadata.resumedAttemptId.empty());
}

// Endpoints don't check with which software a stream began that they continue, and what two versions write doesn't fit together. So a
// stream that its caller takes up must not continue anywhere while that isn't known.
boost::asio::awaitable<bool> RequestForwarder::findOrigin()
{
    if (!isResumption()) {
        co_return true;
    }
    run::OriginKnowledge known;
    known.isNamed = !m_requestMetadata.resumedAttemptId.empty();
    if (known.isNamed) {
        const auto search = co_await m_services.origins.find(hash::hash64(m_requestMetadata.resumedAttemptId));
        known.recorded = search.software;
        known.haveAllAnswered = search.haveAllAnswered;
    }
    if (!known.recorded) {
        known.soleAllAlong = co_await m_services.software.findSole(m_service, m_route->timeout);
    }
    m_streamSoftware = run::softwareToContinueWith(known);
    co_return m_streamSoftware.has_value();
}

// Other gateways must know the origin before the caller can take up the stream, so it is published before the first event is passed on.
void RequestForwarder::noteOrigin()
{
    if (m_streamSoftware || !m_route->isResumable) {
        return;
    }
    m_streamSoftware = m_endpointSoftware;
    m_services.origins.publish(hash::hash64(m_requestMetadata.attemptId), m_endpointSoftware);
}

std::optional<Rejection> RequestForwarder::validate()
{
    if (m_state.stop && !m_state.stop->mayTake(m_arrivedAt, Duration::zero())) {
        return leavingRejection();
    }
    if (!m_routes) {
        return Rejection{503, "no_configuration", RetryAfterNotSynced};
    }
    m_route = m_routes->find(m_request.header("Host"), m_request.path());
    if (m_route == nullptr) {
        return Rejection{404, "no_route", {}};
    }
    if (m_requestMetadata.attemptId.empty()) {
        return Rejection{400, "no_attempt_id", {}};
    }
    if (auto rejection = checkApiKey()) {
        return rejection;
    }
    if (m_state.stop && !m_state.stop->mayTake(m_arrivedAt, m_state.answerTimes.usual(m_route->name))) {
        return leavingRejection();
    }
    if (auto rejection = checkListsReceived()) {
        return rejection;
    }
    const auto timeout = m_requestMetadata.timeout ? std::min(*m_requestMetadata.timeout, m_route->timeout) : m_route->timeout;
    m_deadline = m_arrivedAt + timeout;
    if (timeout < MinAttemptTime) {
        return Rejection{503, "no_time", {}};
    }
    m_planner.emplace(m_state, m_requestMetadata, m_customer, m_route->target, m_arrivedAt);
    const std::string_view customer = m_customer == nullptr ? std::string_view() : m_customer->name;
    const u64 affinityHash = m_planner->affinityHash();
    const auto *service = chooseDestination(*m_route, m_route->isPrompt ? affinityHash : hash::hash64(m_requestMetadata.attemptId));
    if (service == nullptr) {
        return Rejection{503, "no_service", RetryAfterNoEndpoint};
    }
    m_service = *service;
    const endpoints::DeclaredSize size{m_requestMetadata.promptTokens, m_requestMetadata.outputTokens,
                                       m_requestMetadata.expectedOutputTokens};
    m_memoryTokens = m_route->isPrompt ? endpoints::promptMemory(size) : 0;
    const u64 requestHash = hash::hash64(m_request.target, hash::hash64(customer, hash::hash64(m_request.body)));
    m_crashGuard.emplace(m_state.crashes, requestHash, m_requestMetadata.parts);
    if (!m_crashGuard->tryBegin(m_arrivedAt)) {
        return Rejection{503, "crashes_endpoints", m_crashGuard->timeUntilTrial(m_arrivedAt)};
    }
    m_history.kind = m_route->kind;
    m_history.isResumable = m_route->isResumable;
    m_history.maxAttempts = std::max<u32>(1, m_route->maxAttempts);
    m_state.retryBudget(m_service, m_settings).noteRequest();
    return std::nullopt;
}

std::optional<Rejection> RequestForwarder::checkApiKey()
{
    if (m_route->isPublic || !m_routes->configuration().needsApiKeys) {
        return std::nullopt;
    }
    if (!m_state.areKeysCurrent(m_dependencies.clock.now(), m_settings)) {
        return staleKeysRejection();
    }
    m_customer = m_routes->customerOf(m_requestMetadata.apiKey);
    if (m_customer == nullptr) {
        return Rejection{401, "unknown_key", {}};
    }
    return std::nullopt;
}

// A gateway that serves before it has received the lists could send requests to an evacuated zone, or prompts to weights that were
// superseded long ago. Each list names everything in force, so one of each is enough.
std::optional<Rejection> RequestForwarder::checkListsReceived() const
{
    if (!m_state.hasEvacuationList) {
        return Rejection{503, "zones_unknown", RetryAfterNotSynced};
    }
    if (m_route->isPrompt && !m_state.hasWeightList) {
        return Rejection{503, "weights_unknown", RetryAfterNotSynced};
    }
    return std::nullopt;
}

Rejection RequestForwarder::staleKeysRejection()
{
    // If another gateway has current keys, the caller need not wait until this one reaches the platform again.
    const bool isServedElsewhere = m_state.endpoints.peers().anyHasCurrentKeys();
    return {503, "keys_unconfirmed", isServedElsewhere ? RetryAfterElsewhere : RetryAfterNotSynced};
}

Rejection RequestForwarder::leavingRejection()
{
    return {503, "leaving", RetryAfterElsewhere};
}

void RequestForwarder::cutOff()
{
    m_isCutOff = true;
    if (m_connection) {
        m_connection->close();
    }
}

boost::asio::awaitable<void> RequestForwarder::tryEndpoints()
{
    Attempt lastAttempt;
    while (true) {
        if (m_isCutOff) {
            const auto rejection = leavingRejection();
            co_await stopTrying(rejection, lastAttempt);
            co_return;
        }
        if (!m_services.pool.hasRoom()) {
            if (co_await makeRoom()) {
                continue;
            }
            const Rejection rejection{503, "no_connection", RetryAfterFull};
            co_await stopTrying(rejection, lastAttempt);
            co_return;
        }
        m_selection = m_services.rollouts.choose(makeSelectionRequest());
        const bool isRefused = m_selection.reason != endpoints::SelectionFailure::None;
        if (isFull(m_selection.reason)) {
            if (co_await makeRoom()) {
                continue;
            }
        }
        if (isRefused && mustRecordSoftware() && m_services.software.isRecording(m_service) && timeLeft() > MinAttemptTime) {
            co_await runtime::sleepFor(RecordPollPeriod);
            continue;
        }
        if (isRefused) {
            const auto rejection = rejectionOf(m_selection);
            co_await stopTrying(rejection, lastAttempt);
            co_return;
        }
        if (m_selection.permitNeededFor) {
            ++m_permitQuestions;
            co_await m_services.permits.ask(*m_selection.permitNeededFor, priority());
            continue;
        }
        m_permitQuestions = 0;
        if (m_customer != nullptr && !m_state.areKeysCurrent(m_dependencies.clock.now(), m_settings)) {
            const auto rejection = staleKeysRejection();
            co_await stopTrying(rejection, lastAttempt);
            co_return;
        }
        // The caller may have closed the connection while this process was suspended or busy. Forwarding the request anyway would make
        // endpoints work for nobody after a suspension or a burst. The close arrives behind the request, so the connection shows it.
        if (m_reply.isCallerDisconnected()) {
            m_isCallerDisconnected = true;
            m_crashGuard->noteNotSent(m_dependencies.clock.now());
            co_await finish(NextStep::Refuse, lastAttempt);
            co_return;
        }
        m_triedEndpoints.insert(m_selection.id);
        lastAttempt = co_await attempt(m_selection.id);
        m_history.hasTimeLeft = timeLeft() > MinAttemptTime && !m_isCallerDisconnected && !m_isCutOff;
        auto step = retry::nextStep(m_history, lastAttempt.outcome);
        if (step == NextStep::TryElsewhere && !m_crashGuard->mayTryElsewhere(m_dependencies.clock.now())) {
            step = retry::finalStep(m_history, lastAttempt.outcome);
        }
        if (step == NextStep::TryElsewhere && !m_state.retryBudget(m_service, m_settings).trySpend()) {
            m_dependencies.logger.event(LogLevel::Info, "retry_budget_spent",
                                        {{"id", m_requestMetadata.attemptId}, {"service", m_service}});
            step = retry::finalStep(m_history, lastAttempt.outcome);
        }
        if (step != NextStep::TryElsewhere) {
            co_await finish(step, lastAttempt);
            co_return;
        }
    }
}

// Endpoints work on answers for as long as the callers have not taken them.
boost::asio::awaitable<bool> RequestForwarder::makeRoom()
{
    if (std::exchange(m_hasMadeRoom, true) || m_services.callers.closeStalled(MaxStalledClosed) == 0) {
        co_return false;
    }
    co_await runtime::sleepFor(StalledClosePause);
    co_return true;
}

// A rejection states that the request has not run, and can't be sent once a response has started.
boost::asio::awaitable<void> RequestForwarder::stopTrying(const Rejection &rejection, const Attempt &lastAttempt)
{
    if (m_history.begun == 0) {
        m_crashGuard->noteNotSent(m_dependencies.clock.now());
    }
    const auto step = m_history.begun + m_history.declined == 0 ? NextStep::Refuse : retry::finalStep(m_history, lastAttempt.outcome);
    if (step == NextStep::Refuse) {
        co_await reject(rejection);
        co_return;
    }
    co_await finish(step, lastAttempt);
}

// Gateways that start after this one has ended must learn with which software the stream can have begun.
bool RequestForwarder::mustRecordSoftware() const
{
    return m_route->isResumable && !m_streamSoftware;
}

endpoints::SelectionRequest RequestForwarder::makeSelectionRequest() const
{
    endpoints::SelectionRequest selectionRequest;
    selectionRequest.service = m_service;
    selectionRequest.affinityHash = m_planner->affinityHash();
    selectionRequest.random = hash::hash64(m_requestMetadata.attemptId);
    selectionRequest.memory = m_memoryTokens;
    selectionRequest.prefill = [this](const endpoints::Endpoint &endpoint) {
        return m_planner->prefillTokensAt(endpoint);
    };
    selectionRequest.sharedLinkTime = [this](const endpoints::Endpoint &endpoint) {
        return m_planner->storeLinkTimeAt(endpoint);
    };
    selectionRequest.residentTokens = [this](const endpoints::Endpoint &endpoint) {
        return m_planner->residentTokensAt(endpoint);
    };
    selectionRequest.timeOfDay = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    selectionRequest.target = m_route->isPrompt ? m_route->target : Duration::zero();
    selectionRequest.model = m_requestMetadata.model;
    selectionRequest.wantedVersion = m_state.wantedVersion(m_requestMetadata.model);
    if (m_route->isPrompt) {
        selectionRequest.expiry = [this](u64 version) {
            return m_state.weightExpiry(m_requestMetadata.model, version, m_settings);
        };
    }
    selectionRequest.tried = m_triedEndpoints;
    selectionRequest.software = m_streamSoftware;
    if (mustRecordSoftware()) {
        selectionRequest.mayBegin = [this](const endpoints::Endpoint &endpoint) {
            return m_services.software.mayBegin(endpoint.registration.service, endpoint.software);
        };
    }
    selectionRequest.priority = priority();
    selectionRequest.mayAskPermit = m_permitQuestions < MaxPermitQuestions && timeLeft() > 2 * MinAttemptTime;
    return selectionRequest;
}

// Distinguishes a connection that the endpoint closed from one on which the given deadline passed.
Outcome RequestForwarder::interruptionOutcome(TimePoint waitDeadline) const
{
    if (m_isCallerDisconnected || m_isCutOff || m_isMemoryShort) {
        return Outcome::Abandoned;
    }
    if (m_isResponseTooLong) {
        return Outcome::TooLong;
    }
    if (timeLeft() <= Duration::zero()) {
        return Outcome::Abandoned;
    }
    return m_dependencies.clock.now() >= waitDeadline ? Outcome::Expired : Outcome::Broken;
}

// A prompt that waits inside an engine until its weights expire would be answered on weights that were superseded for longer than allowed.
// So it is abandoned at their expiry: prompts are only sent where they should start long before, and most engines drop a prompt that they
// have not started when its connection closes.
TimePoint RequestForwarder::startDeadline(const endpoints::Endpoint &endpoint) const
{
    const auto version = endpoint.registration.weightVersions.find(m_requestMetadata.model);
    const bool isStream = m_route->kind == routing::CallKind::Stream;
    if (!m_route->isPrompt || !isStream || version == endpoint.registration.weightVersions.end()) {
        return m_deadline;
    }
    return std::min(m_deadline, m_state.weightExpiry(m_requestMetadata.model, version->second, m_settings).value_or(m_deadline));
}

void RequestForwarder::noteFirstEvent(const std::string &id)
{
    if (m_isPrefillPending) {
        const auto now = m_dependencies.clock.now();
        m_isPrefillPending = false;
        m_firstEventAt = now;
        const auto fetch = m_planner->noteFirstEvent(now - m_sentAt, m_selection.expectedDelay, now);
        if (fetch.hasBecomeSlow) {
            m_dependencies.logger.event(
                LogLevel::Warning, "cache_store_slow",
                {{"store", fetch.store}, {"id", m_requestMetadata.attemptId}, {"percent_of_reading", fetch.percent}});
        }
        const auto sample = fetch.store.empty() ? endpoints::DelaySample::Use : endpoints::DelaySample::Ignore;
        m_state.endpoints.noteFirstEvent(id, m_selection, now - m_sentAt, sample, now);
    }
}

boost::asio::awaitable<RequestForwarder::Attempt> RequestForwarder::attempt(const std::string &id)
{
    Attempt attempt;
    attempt.response.status = 0;
    const auto *endpoint = m_state.endpoints.find(id);
    m_startDeadline = startDeadline(*endpoint);
    m_endpointSoftware = endpoint->software;
    auto request = buildRequest(*endpoint);
    m_sentAt = m_dependencies.clock.now();
    m_isPrefillPending = m_route->isPrompt;
    m_responseShare.emplace(m_state.responseMemory);
    m_isResponseTooLong = false;
    m_isMemoryShort = false;
    m_state.endpoints.noteSent(id, m_selection.cost, m_sentAt);
    m_rolloutTrial.noteSent(*endpoint, m_route->name, m_requestMetadata, m_selection, m_sentAt);
    attempt.outcome = co_await exchange(id, std::move(request), attempt);
    attempt.fault = m_connection ? m_connection->fault() : wire::MessageFault::None;
    m_connection.reset();
    const auto now = m_dependencies.clock.now();
    m_rolloutTrial.noteEnd(attempt.outcome, m_isCallerDisconnected, now);
    const endpoints::RequestCost remainingCost{m_selection.cost.memory, m_isPrefillPending ? m_selection.cost.prefill : 0};
    const auto ejectedFor = m_state.endpoints.noteEnd(id, m_selection.startTimeMs, remainingCost, attempt.outcome, now);
    if (ejectedFor > Duration::zero()) {
        m_dependencies.logger.event(LogLevel::Warning, "endpoint_ejected",
                                    {{"endpoint", id}, {"outcome", toString(attempt.outcome)}, {"for_ms", toMilliseconds(ejectedFor)}});
    }
    const bool wasNotRun = attempt.outcome == Outcome::Declined || attempt.outcome == Outcome::Unreachable;
    ++(wasNotRun ? m_history.declined : m_history.begun);
    if (attempt.outcome == Outcome::Answered && m_route->isPrompt) {
        m_state.endpoints.noteRunTime(m_service, now - m_sentAt);
    }
    const bool hasBegun = m_route->isPrompt && !m_isPrefillPending;
    m_crashGuard->noteEnd({id, attempt.outcome, isSuccess(attempt.response.status), m_sentAt, hasBegun ? m_firstEventAt : std::nullopt},
                          now);
    if (attempt.outcome == Outcome::Broken || attempt.outcome == Outcome::TooLong) {
        m_services.pool.discard(id);
    }
    m_history.mustEnd = attempt.outcome == Outcome::TooLong && m_sseSplitter.eventCount() > 0;
    if (attempt.outcome != Outcome::Answered) {
        const auto blamed = m_crashGuard->blamed(now);
        m_dependencies.logger.event(LogLevel::Info, "attempt_failed",
                                    {{"id", m_requestMetadata.attemptId},
                                     {"endpoint", id},
                                     {"outcome", toString(attempt.outcome)},
                                     {"status", u64{attempt.response.status}},
                                     {"framing", nameOf(attempt.framing)},
                                     {"inside_event", m_sseSplitter.isInsideEvent()},
                                     {"fault", toString(attempt.fault)},
                                     {"kept_connection", m_isReusedConnection},
                                     {"caller_gone", m_isCallerDisconnected},
                                     {"blamed", std::string_view(blamed)},
                                     {"begun", u64{m_history.begun}},
                                     {"declined", u64{m_history.declined}},
                                     {"waited_ms", toMilliseconds(elapsed())}});
    }
    co_return attempt;
}

boost::asio::awaitable<Outcome> RequestForwarder::exchange(const std::string &id, http::Request request, Attempt &attempt)
{
    const bool isConnected = co_await connectTo(id);
    if (m_isCallerDisconnected) {
        co_return Outcome::Abandoned;
    }
    if (!isConnected) {
        co_return Outcome::Unreachable;
    }
    if (m_dependencies.clock.now() >= m_startDeadline) {
        co_return Outcome::Declined;
    }
    if (!m_connection->startSend(std::move(request))) {
        co_return Outcome::Declined;
    }
    ResponseMetadata responseMetadata;
    const bool hasHead = co_await readMatchingHead(id, responseMetadata);
    if (!hasHead) {
        co_return interruptionOutcome(m_startDeadline);
    }
    attempt.response = m_dependencies.codec.responseForCaller(m_connection->head());
    attempt.framing = m_connection->framing();
    noteResponse(id, responseMetadata);
    const u16 status = attempt.response.status;
    if (isSuccess(status) && !responseMetadata.hasSignature && !responseMetadata.isDeclined) {
        // A successful response of an endpoint carries its signature or says that the request was not run, so this isn't one.
        co_return Outcome::Broken;
    }
    if (m_isStreamStarted && !isSuccess(status)) {
        co_return responseMetadata.isDeclined ? Outcome::Declined : Outcome::Broken;
    }
    const bool isStream = m_route->kind == routing::CallKind::Stream && m_request.method != HeadMethod;
    if (isSuccess(status) && isStream && !responseMetadata.isDeclined) {
        const auto outcome = co_await relayStream(id);
        if (outcome == Outcome::Answered) {
            returnToPool(id, responseMetadata);
        }
        co_return outcome;
    }
    const bool isComplete = co_await readBody(id, attempt.response.body);
    if (isComplete) {
        returnToPool(id, responseMetadata);
    }
    if (responseMetadata.isDeclined) {
        co_return Outcome::Declined;
    }
    if (!isComplete) {
        co_return interruptionOutcome(m_deadline);
    }
    co_return status >= StatusServerError ? Outcome::Failed : Outcome::Answered;
}

boost::asio::awaitable<bool> RequestForwarder::connectTo(const std::string &id)
{
    const auto now = m_dependencies.clock.now();
    m_connection = m_services.pool.acquire(id, now);
    m_isReusedConnection = m_connection != nullptr;
    if (m_isReusedConnection) {
        co_return true;
    }
    const auto *endpoint = m_state.endpoints.find(id);
    if (endpoint == nullptr) {
        co_return false;
    }
    const auto address = http::parseAddress(endpoint->registration.address);
    const auto executor = co_await boost::asio::this_coro::executor;
    m_connection = m_services.pool.create(executor, address);
    m_dependencies.metrics.count("burdock_endpoint_connections_total", {{"service", m_service}});
    const auto timeout = std::min(ConnectTimeout, timeLeft());
    co_return co_await m_connection->connect(timeout);
}

// Reads the head of the response to this request. A late response to an earlier request may arrive first; it carries another attempt id
// and is skipped.
boost::asio::awaitable<bool> RequestForwarder::readMatchingHead(const std::string &id, ResponseMetadata &responseMetadata)
{
    for (u32 foreign = 0; foreign <= MaxForeignAnswers && m_dependencies.clock.now() < m_startDeadline; ++foreign) {
        const bool isRead = co_await m_connection->readHead(m_startDeadline - m_dependencies.clock.now());
        if (!isRead) {
            m_isResponseTooLong = m_connection->hasExceededLimit();
            co_return false;
        }
        m_state.endpoints.noteHeard(id, m_dependencies.clock.now());
        if (!m_firstByteAt) {
            m_firstByteAt = m_dependencies.clock.now();
        }
        responseMetadata = m_dependencies.codec.readResponse(m_connection->head());
        if (responseMetadata.attemptId == m_requestMetadata.attemptId) {
            if (!responseMetadata.isWrongEndpoint) {
                m_state.crashes.noteAlive(hash::hash64(id), m_dependencies.clock.now());
            }
            co_return true;
        }
        m_dependencies.logger.event(LogLevel::Warning, "foreign_answer",
                                    {{"id", m_requestMetadata.attemptId}, {"endpoint", id}, {"answer_id", responseMetadata.attemptId}});
        std::string ignored;
        const bool isComplete = co_await readBody(id, ignored);
        if (!isComplete) {
            co_return false;
        }
    }
    m_isResponseTooLong = m_dependencies.clock.now() < m_startDeadline;
    co_return false;
}

boost::asio::awaitable<bool> RequestForwarder::readBody(const std::string &id, std::string &body)
{
    u64 httpChunks = 0;
    while (true) {
        const auto remaining = timeLeft();
        if (remaining <= Duration::zero()) {
            co_return false;
        }
        const auto chunk = co_await m_connection->read(remaining);
        if (chunk.isBroken) {
            m_isResponseTooLong = m_connection->hasExceededLimit();
            co_return false;
        }
        noteHeard(id);
        httpChunks += chunk.httpChunks;
        if (!tryKeep(body.size() + chunk.data.size(), httpChunks)) {
            co_return false;
        }
        body += chunk.data;
        if (chunk.isEnd) {
            co_return true;
        }
    }
}

bool RequestForwarder::tryKeep(u64 bytes, u64 httpChunks)
{
    if (m_responseShare->tryResize(bytes, httpChunks)) {
        return true;
    }
    m_isResponseTooLong = m_state.responseMemory.isTooLong(bytes, httpChunks);
    m_isMemoryShort = !m_isResponseTooLong;
    return false;
}

boost::asio::awaitable<Outcome> RequestForwarder::relayStream(const std::string &id)
{
    if (!m_isStreamStarted) {
        const auto head = m_dependencies.codec.responseForCaller(m_connection->head());
        m_isStreamStarted = true;
        const bool isDelivered = co_await m_reply.begin(head);
        if (!isDelivered) {
            co_return Outcome::Abandoned;
        }
    }
    u64 httpChunks = 0; // since the last event
    while (true) {
        // The head may arrive before the engine has started the prompt.
        const auto until = m_isPrefillPending ? m_startDeadline : m_deadline;
        const auto now = m_dependencies.clock.now();
        if (now >= until) {
            co_return interruptionOutcome(until);
        }
        const auto chunk = co_await m_connection->read(until - now);
        if (chunk.isBroken) {
            m_isResponseTooLong = m_connection->hasExceededLimit();
            co_return interruptionOutcome(until);
        }
        noteHeard(id);
        noteFirstEvent(id);
        m_crashGuard->noteEvent(m_dependencies.clock.now());
        m_rolloutTrial.noteEvent(m_dependencies.clock.now());
        const auto events = m_sseSplitter.append(chunk.data);
        httpChunks = events.empty() ? httpChunks + chunk.httpChunks : 0;
        const bool hasMemory = tryKeep(m_sseSplitter.incompleteBytes(), httpChunks);
        m_isResponseTooLong = m_isResponseTooLong || m_sseSplitter.eventCount() > maxEvents();
        if (!hasMemory || m_isResponseTooLong) {
            co_return interruptionOutcome(until);
        }
        if (!events.empty()) {
            noteOrigin();
            const bool isDelivered = co_await m_reply.write(events);
            if (!isDelivered) {
                m_isCallerDisconnected = true;
                co_return Outcome::Abandoned;
            }
        }
        if (chunk.isEnd && !m_sseSplitter.isCompleteAt(m_connection->framing())) {
            co_return Outcome::Broken;
        }
        if (chunk.isEnd) {
            const bool isDelivered = co_await m_reply.end();
            co_return isDelivered ? Outcome::Answered : Outcome::Abandoned;
        }
    }
}

http::Request RequestForwarder::buildRequest(const endpoints::Endpoint &endpoint)
{
    ForwardingOptions options;
    options.endpointId = endpoint.registration.id;
    options.timeLeft = timeLeft();
    options.customer = m_customer == nullptr ? "" : m_customer->name;
    options.priority = priority();
    options.isPrompt = m_route->isPrompt;
    m_sseSplitter.beginRun();
    options.lastEventId = m_sseSplitter.lastId();
    if (m_route->isPrompt) {
        m_planner->fillOptions(endpoint, options, m_dependencies.clock.now());
        countPlacement(options);
    }
    const auto shared = formatParts(options.parts, m_requestMetadata.parts, options.salt);
    m_dependencies.logger.event(
        LogLevel::Info, "placed",
        {{"id", m_requestMetadata.attemptId},
         {"route", m_route->name},
         {"customer", options.customer},
         {"endpoint", options.endpointId},
         {"software", std::string_view(endpoint.registration.softwareVersion)},
         {"resumes", std::string_view(m_requestMetadata.resumedAttemptId)},
         {"after_event", std::string_view(options.lastEventId.empty() ? m_requestMetadata.lastEventId : options.lastEventId)},
         {"running", u64{m_state.endpoints.loadAt(endpoint).running}},
         {"pending", m_state.endpoints.loadAt(endpoint).pending},
         {"memory_taken", m_state.endpoints.loadAt(endpoint).memory},
         {"memory", m_selection.cost.memory},
         {"prefill", m_selection.cost.prefill},
         {"parts", u64{m_requestMetadata.parts.size()}},
         {"fetches", countNonEmpty(options.parts.fetchFrom)},
         {"saves", countNonEmpty(options.parts.saveTo)},
         {"shared", std::string_view(shared)},
         {"prompt", m_requestMetadata.promptTokens},
         {"fetch_ms", toMilliseconds(options.fetchTimeout)},
         {"expected_ms", toMilliseconds(m_selection.expectedDelay)},
         {"newest", toString(m_selection.newest)},
         {"weights", options.weightVersion.value_or(0)},
         {"wanted_weights", m_state.wantedVersion(m_requestMetadata.model)},
         {"begin_within_ms", toMilliseconds(m_startDeadline - m_dependencies.clock.now())},
         {"config", m_routes->configuration().version},
         {"config_age_ms", toMilliseconds(m_dependencies.clock.now() - m_state.configurationAsOf)},
         {"left_ms", toMilliseconds(options.timeLeft)}});
    return m_dependencies.codec.requestForEndpoint(m_request, options);
}

void RequestForwarder::countPlacement(const ForwardingOptions &options)
{
    for (std::size_t i = 0; i < options.parts.dispositions.size(); ++i) {
        m_dependencies.metrics.count("burdock_shared_tokens_total", {{"fate", std::string(toString(options.parts.dispositions[i]))}},
                                     static_cast<double>(m_requestMetadata.parts[i].tokens));
    }
    if (m_selection.newest != endpoints::NewestWeightsResult::Chosen) {
        m_dependencies.metrics.count("burdock_older_weights_total", {{"newest", std::string(toString(m_selection.newest))}});
    }
}

boost::asio::awaitable<void> RequestForwarder::finish(NextStep step, const Attempt &attempt)
{
    // From here on the answer takes the memory of its caller, who may not read it.
    m_responseShare.reset();
    if (m_isCallerDisconnected) {
        countRequest("caller_left");
        m_dependencies.logger.event(LogLevel::Info, "caller_left",
                                    {{"id", m_requestMetadata.attemptId}, {"waited_ms", toMilliseconds(elapsed())}});
        co_return;
    }
    if (m_isStreamStarted) {
        // An incomplete stream is closed without its end marker, so that the caller can't mistake it for a complete one.
        if (attempt.outcome == Outcome::Answered) {
            noteAnswered(attempt);
        } else {
            countRequest("broken_off");
            m_dependencies.logger.event(
                LogLevel::Warning, "stream_broken_off",
                {{"id", m_requestMetadata.attemptId}, {"outcome", toString(attempt.outcome)}, {"waited_ms", toMilliseconds(elapsed())}});
        }
        co_return;
    }
    if (step == NextStep::Deliver && promisesNotRun(attempt.response.status)) {
        // An endpoint that has not run a request says so, and its response is not delivered. So this request may have run.
        m_dependencies.logger.event(
            LogLevel::Warning, "false_refusal",
            {{"id", m_requestMetadata.attemptId}, {"endpoint", m_selection.id}, {"status", u64{attempt.response.status}}});
        const Rejection rejection{502, "endpoint_failed", {}};
        co_await reject(rejection);
        co_return;
    }
    if (step == NextStep::Deliver) {
        if (isSuccess(attempt.response.status)) {
            noteAnswered(attempt);
        } else {
            countRequest("endpoint_error");
        }
        co_await m_reply.send(attempt.response);
        co_return;
    }
    if (step == NextStep::Refuse) {
        const Rejection rejection{503, "declined", RetryAfterFull};
        co_await reject(rejection);
        co_return;
    }
    const auto rejection = rejectionOf(FailedRequest{m_isCutOff, timeLeft() <= Duration::zero(), m_isMemoryShort, attempt.outcome});
    co_await reject(rejection);
}

void RequestForwarder::noteAnswered(const Attempt &attempt)
{
    countRequest("answered");
    m_state.answerTimes.note(m_route->name, elapsed());
    m_dependencies.logger.event(LogLevel::Info, "answered",
                                {{"id", m_requestMetadata.attemptId},
                                 {"attempts", u64{m_history.begun + m_history.declined}},
                                 {"framing", nameOf(attempt.framing)},
                                 {"inside_event", m_sseSplitter.isInsideEvent()},
                                 {"first_byte_ms", toMilliseconds(m_firstByteAt.value_or(m_arrivedAt) - m_arrivedAt)},
                                 {"sent_ms", toMilliseconds(m_sentAt - m_arrivedAt)},
                                 {"first_event_ms", toMilliseconds(m_firstEventAt.value_or(m_arrivedAt) - m_arrivedAt)},
                                 {"waited_ms", toMilliseconds(elapsed())}});
}

boost::asio::awaitable<void> RequestForwarder::reject(const Rejection &rejection)
{
    countRequest(rejection.reason);
    const auto blamed = m_crashGuard ? m_crashGuard->blamed(m_dependencies.clock.now()) : std::string();
    m_dependencies.logger.event(LogLevel::Warning, "refused",
                                {{"id", m_requestMetadata.attemptId},
                                 {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
                                 {"status", u64{rejection.status}},
                                 {"reason", rejection.reason},
                                 {"service", m_service},
                                 {"blamed", std::string_view(blamed)},
                                 {"memory", m_memoryTokens},
                                 {"expected_ms", toMilliseconds(m_selection.expectedDelay)},
                                 {"begun", u64{m_history.begun}},
                                 {"declined", u64{m_history.declined}},
                                 {"config", m_routes ? m_routes->configuration().version : 0},
                                 {"config_age_ms", toMilliseconds(m_dependencies.clock.now() - m_state.configurationAsOf)},
                                 {"waited_ms", toMilliseconds(elapsed())},
                                 {"retry_after_ms", toMilliseconds(rejection.retryAfter)}});
    const auto response
        = m_dependencies.codec.errorResponse(rejection.status, m_requestMetadata.attemptId, rejection.reason, rejection.retryAfter);
    co_await m_reply.send(response);
}

void RequestForwarder::noteHeard(const std::string &id)
{
    const auto now = m_dependencies.clock.now();
    m_state.endpoints.noteHeard(id, now);
    m_state.crashes.noteAlive(hash::hash64(id), now);
}

void RequestForwarder::noteResponse(const std::string &id, const ResponseMetadata &responseMetadata)
{
    if (responseMetadata.weightVersion && !m_requestMetadata.model.empty()) {
        m_state.endpoints.noteWeights(id, m_requestMetadata.model, *responseMetadata.weightVersion);
    }
    if (responseMetadata.remainingColdTime) {
        m_state.endpoints.noteCold(id, *responseMetadata.remainingColdTime, m_dependencies.clock.now());
    }
    const LimitSource source{id, m_selection.startTimeMs, m_sentAt};
    m_services.limits.noteResponse(source, responseMetadata);
    m_services.notices.noteResponse(source, responseMetadata);
}

void RequestForwarder::returnToPool(const std::string &id, const ResponseMetadata &responseMetadata)
{
    if (m_connection->isReusable() && !responseMetadata.isWrongEndpoint) {
        m_services.pool.release(id, std::move(m_connection), responseMetadata.keepAlive, m_dependencies.clock.now());
    }
}

u32 RequestForwarder::priority() const
{
    return m_customer != nullptr && m_customer->priority ? *m_customer->priority : m_route->priority;
}

// Each event contains at least one token. The rest covers events without one.
u64 RequestForwarder::maxEvents() const
{
    const u64 tokens = m_requestMetadata.outputTokens;
    return tokens == 0 ? std::numeric_limits<u64>::max() : 2 * std::min(tokens, MaxOutputTokens) + ExtraEvents;
}

Duration RequestForwarder::timeLeft() const
{
    return m_deadline - m_dependencies.clock.now();
}

Duration RequestForwarder::elapsed() const
{
    return m_dependencies.clock.now() - m_arrivedAt;
}

void RequestForwarder::countRequest(std::string_view outcome)
{
    const std::string kind(m_route == nullptr ? "none" : toString(m_route->kind));
    m_dependencies.metrics.count("burdock_requests_total", {{"kind", kind}, {"outcome", std::string(outcome)}});
    m_dependencies.metrics.observe("burdock_request_seconds", elapsed(), {{"kind", kind}});
    if (m_firstByteAt) {
        m_dependencies.metrics.observe("burdock_first_byte_seconds", *m_firstByteAt - m_arrivedAt, {{"kind", kind}});
    }
}

} // namespace burdock::gateway
