#include "call_driver.hpp"

#include <burdock/endpoints/prompt_memory.hpp>
#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <sstream>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using endpoints::Outcome;
using retry::NextStep;
using runtime::LogLevel;

/** Time to connect to an endpoint; a region's round trips take a few milliseconds. */
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/** Least time in which an endpoint can be expected to do anything for a request. */
constexpr Duration LeastUsefulTime = std::chrono::milliseconds(40);
/** When callers should come back: endpoints are full, none is there, or this gateway doesn't know enough yet. */
constexpr Duration RetryWhenFull = std::chrono::milliseconds(500);
constexpr Duration RetryWhenNone = std::chrono::milliseconds(1000);
constexpr Duration RetryWhenUnsure = std::chrono::milliseconds(700);
/** When callers should come back that another gateway can serve at once. */
constexpr Duration RetryElsewhere = std::chrono::milliseconds(20);
constexpr u16 StatusOk = 200;
constexpr u16 StatusMultipleChoices = 300;
constexpr u16 StatusServerError = 500;

bool isSuccess(u16 status)
{
    return status >= StatusOk && status < StatusMultipleChoices;
}

u64 countOf(const std::vector<std::string> &addresses)
{
    return static_cast<u64>(std::count_if(addresses.begin(), addresses.end(), [](const std::string &address) { return !address.empty(); }));
}

/** @brief The shared parts of a prompt in one text: hash:tokens:fate, with +save where a save is ordered. */
std::string textOf(const cache::PartPlan &plan, const std::vector<cache::PromptPart> &parts, std::string_view salt)
{
    std::ostringstream text;
    for (std::size_t i = 0; i < plan.dispositions.size(); ++i) {
        text << (i == 0 ? "" : ",") << std::hex << cache::partHash(salt, parts[i].id) << std::dec;
        text << ':' << parts[i].tokens << ':' << toString(plan.dispositions[i]) << (plan.saveTo[i].empty() ? "" : "+save");
    }
    return text.str();
}

} // namespace

CallDriver::CallDriver(const GatewayParts &parts, const GatewaySettings &settings, State &state, ConnectionPool &pool,
                       const http::Request &request, http::Reply &reply)
    : m_parts(parts)
    , m_settings(settings)
    , m_state(state)
    , m_pool(pool)
    , m_request(request)
    , m_reply(reply)
{
}

boost::asio::awaitable<void> CallDriver::run()
{
    m_arrived = m_parts.clock.now();
    m_facts = m_parts.dialect.readCall(m_request.headers);
    m_routes = m_state.routes;
    const auto rejection = check();
    if (rejection) {
        co_await reject(*rejection);
        co_return;
    }
    ++m_state.underWay;
    m_reply.watchCaller([this] {
        m_isGone = true;
        if (m_connection) {
            m_connection->cut();
        }
    });
    co_await offerUntilDone();
    --m_state.underWay;
}

std::optional<CallDriver::Rejection> CallDriver::check()
{
    if (m_state.isDraining && m_arrived > m_state.lastCallUntil) {
        return Rejection{503, "leaving", RetryElsewhere};
    }
    if (!m_routes) {
        return Rejection{503, "no_configuration", RetryWhenUnsure};
    }
    m_route = m_routes->find(m_request.header("Host"), m_request.path());
    if (m_route == nullptr) {
        return Rejection{404, "no_route", {}};
    }
    if (m_facts.attemptId.empty()) {
        return Rejection{400, "no_attempt_id", {}};
    }
    if (auto rejection = checkKey()) {
        return rejection;
    }
    if (auto rejection = checkLists()) {
        return rejection;
    }
    const auto patience = m_facts.patience ? std::min(*m_facts.patience, m_route->timeout) : m_route->timeout;
    m_deadline = m_arrived + patience;
    if (patience < LeastUsefulTime) {
        return Rejection{503, "no_time", {}};
    }
    m_planner.emplace(m_state, m_facts, m_customer, m_arrived);
    const std::string_view customer = m_customer == nullptr ? std::string_view() : m_customer->name;
    const u64 home = m_planner->home();
    const auto *service = chooseDestination(*m_route, m_route->isPrompt ? home : hash::fast(m_facts.attemptId));
    if (service == nullptr) {
        return Rejection{503, "no_service", RetryWhenNone};
    }
    m_service = *service;
    const endpoints::StatedSize size{m_facts.promptTokens, m_facts.outputTokens, m_facts.expectedOutputTokens};
    m_memory = m_route->isPrompt ? endpoints::promptMemory(size) : 0;
    m_fingerprint = hash::fast(m_request.target, hash::fast(customer, hash::fast(m_request.body)));
    if (!m_state.quarantine.tryBegin(m_fingerprint, retry::TrialPolicy{}, m_arrived)) {
        return Rejection{503, "crashes_endpoints", {}};
    }
    m_history.kind = m_route->kind;
    m_history.isResumable = m_route->isResumable;
    m_history.maxAttempts = std::max<u32>(1, m_route->maxAttempts);
    m_state.budget(m_service, m_settings).noteRequest();
    return std::nullopt;
}

std::optional<CallDriver::Rejection> CallDriver::checkKey()
{
    if (m_route->isOpen || m_routes->configuration().customers.empty()) {
        return std::nullopt;
    }
    if (!m_state.keysAreCurrent(m_parts.clock.now(), m_settings)) {
        return keysUnconfirmed();
    }
    m_customer = m_routes->customerOf(m_facts.apiKey);
    if (m_customer == nullptr) {
        return Rejection{401, "unknown_key", {}};
    }
    return std::nullopt;
}

// Guards against a gateway that starts and serves before it knows what binds it: it shows as requests in a zone that is out, or
// prompts on weights that were replaced long ago. Refusing until each list came once holds, as a list names all that is in force.
std::optional<CallDriver::Rejection> CallDriver::checkLists() const
{
    if (!m_state.hasEvacuations) {
        return Rejection{503, "zones_unknown", RetryWhenUnsure};
    }
    if (m_route->isPrompt && !m_state.hasWeights) {
        return Rejection{503, "weights_unknown", RetryWhenUnsure};
    }
    return std::nullopt;
}

CallDriver::Rejection CallDriver::keysUnconfirmed()
{
    // While others are in touch with the platform, the caller need not wait until this gateway is again.
    const bool isServedElsewhere = m_state.endpoints.peers().anyHasCurrentKeys();
    return {503, "keys_unconfirmed", isServedElsewhere ? RetryElsewhere : RetryWhenUnsure};
}

boost::asio::awaitable<void> CallDriver::offerUntilDone()
{
    Attempt last;
    while (true) {
        const auto now = m_parts.clock.now();
        m_choice = m_state.endpoints.choose(needOf(), now);
        if (m_choice.reason != endpoints::NoChoice::None) {
            const bool isNone = m_choice.reason == endpoints::NoChoice::NoEndpoint;
            const Rejection rejection{503, toString(m_choice.reason), isNone ? RetryWhenNone : RetryWhenFull};
            co_await stopOffering(rejection, last);
            co_return;
        }
        if (m_customer != nullptr && !m_state.keysAreCurrent(m_parts.clock.now(), m_settings)) {
            const auto rejection = keysUnconfirmed();
            co_await stopOffering(rejection, last);
            co_return;
        }
        // Guards against a request that is sent on for a caller who left while this process was held up: it shows as endpoints that
        // work for nobody after a suspension or a burst. Looking at the connection holds, as a close arrives behind the request.
        if (m_reply.hasCallerLeft()) {
            m_isGone = true;
            co_await finish(NextStep::Refuse, last);
            co_return;
        }
        m_tried.insert(m_choice.id);
        last = co_await attempt(m_choice.id);
        m_history.isInTime = timeLeft() > LeastUsefulTime && !m_isGone;
        auto step = retry::nextStep(m_history, last.outcome);
        const bool isSuspect = m_state.quarantine.crashes(m_fingerprint, m_parts.clock.now()) >= retry::TrialPolicy{}.crashes;
        if (step == NextStep::TryElsewhere && isSuspect) {
            step = retry::lastStep(m_history, last.outcome);
        }
        if (step == NextStep::TryElsewhere && !m_state.budget(m_service, m_settings).trySpend()) {
            m_parts.logger.event(LogLevel::Info, "retry_budget_spent", {{"id", m_facts.attemptId}, {"service", m_service}});
            step = retry::lastStep(m_history, last.outcome);
        }
        if (step != NextStep::TryElsewhere) {
            co_await finish(step, last);
            co_return;
        }
    }
}

// A refusal says that the request has not run, and can't follow the begin of an answer.
boost::asio::awaitable<void> CallDriver::stopOffering(const Rejection &rejection, const Attempt &last)
{
    const auto step = m_history.begun + m_history.declined == 0 ? NextStep::Refuse : retry::lastStep(m_history, last.outcome);
    if (step == NextStep::Refuse) {
        co_await reject(rejection);
        co_return;
    }
    co_await finish(step, last);
}

endpoints::Need CallDriver::needOf() const
{
    endpoints::Need need;
    need.service = m_service;
    need.home = m_planner->home();
    need.random = hash::fast(m_facts.attemptId);
    need.memory = m_memory;
    need.prefill = [this](const endpoints::Endpoint &endpoint) {
        return m_planner->prefillAt(endpoint);
    };
    need.inPlace = [this](const endpoints::Endpoint &endpoint) {
        return m_planner->inPlaceAt(endpoint);
    };
    need.target = m_route->isPrompt ? m_route->target : Duration::zero();
    need.model = m_facts.model;
    need.wantedVersion = m_state.wantedVersion(m_facts.model);
    if (m_route->isPrompt) {
        need.expiry = [this](u64 version) {
            return m_state.weightExpiry(m_facts.model, version, m_settings);
        };
    }
    need.tried = m_tried;
    return need;
}

// Tells a connection that the endpoint broke off from one that was waited for in vain until the given time.
Outcome CallDriver::brokenOr(TimePoint waitedUntil) const
{
    if (m_isGone || timeLeft() <= Duration::zero()) {
        return Outcome::Abandoned;
    }
    return m_parts.clock.now() >= waitedUntil ? Outcome::Expired : Outcome::Broken;
}

// Guards against a prompt that waits inside an engine until its weights have expired: it shows as an answer made on weights that had
// been replaced for longer than allowed. It is sent only where it should begin long before; most engines drop one that they have not
// begun when its connection closes.
TimePoint CallDriver::beginBy(const endpoints::Endpoint &endpoint) const
{
    const auto version = endpoint.registration.weightVersions.find(m_facts.model);
    const bool isStream = m_route->kind == routing::CallKind::Stream;
    if (!m_route->isPrompt || !isStream || version == endpoint.registration.weightVersions.end()) {
        return m_deadline;
    }
    return std::min(m_deadline, m_state.weightExpiry(m_facts.model, version->second, m_settings).value_or(m_deadline));
}

void CallDriver::noteFirstEvent(const std::string &id)
{
    if (m_isPrefillPending) {
        const auto now = m_parts.clock.now();
        m_isPrefillPending = false;
        m_firstEvent = now;
        const auto readTime = fromMilliseconds(m_state.endpoints.policy().delayPerTokenMs);
        const auto fetch = m_planner->noteFirstEvent(now - m_sentAt, m_choice.expectedDelay, readTime, now);
        if (fetch.hasTurnedSlow) {
            m_parts.logger.event(LogLevel::Warning, "cache_store_slow",
                                 {{"store", fetch.store}, {"id", m_facts.attemptId}, {"percent_of_reading", fetch.percent}});
        }
        const auto lesson = fetch.store.empty() ? endpoints::DelayLesson::Learn : endpoints::DelayLesson::Ignore;
        m_state.endpoints.noteFirstEvent(id, m_choice, now - m_sentAt, lesson, now);
    }
}

boost::asio::awaitable<CallDriver::Attempt> CallDriver::attempt(const std::string &id)
{
    Attempt attempt;
    attempt.answer.status = 0;
    const auto *endpoint = m_state.endpoints.find(id);
    m_beginBy = beginBy(*endpoint);
    const auto request = instruct(*endpoint);
    m_sentAt = m_parts.clock.now();
    m_isPrefillPending = m_route->isPrompt;
    m_state.endpoints.noteSent(id, m_choice.work, m_sentAt);
    attempt.outcome = co_await exchange(id, request, attempt);
    m_connection.reset();
    const auto now = m_parts.clock.now();
    const endpoints::Work left{m_choice.work.memory, m_isPrefillPending ? m_choice.work.prefill : 0};
    const auto ejectedFor = m_state.endpoints.noteEnd(id, m_choice.bornMs, left, attempt.outcome, now);
    if (ejectedFor > Duration::zero()) {
        m_parts.logger.event(LogLevel::Warning, "endpoint_ejected",
                             {{"endpoint", id}, {"outcome", toString(attempt.outcome)}, {"for_ms", toMilliseconds(ejectedFor)}});
    }
    const bool isUntouched = attempt.outcome == Outcome::Declined || attempt.outcome == Outcome::Unreachable;
    ++(isUntouched ? m_history.declined : m_history.begun);
    if (attempt.outcome == Outcome::Answered) {
        m_state.quarantine.noteSuccess(m_fingerprint);
    }
    if (attempt.outcome == Outcome::Abandoned || attempt.outcome == Outcome::Expired || isUntouched) {
        m_state.quarantine.giveBack(m_fingerprint, retry::TrialPolicy{}, now);
    }
    if (attempt.outcome == Outcome::Broken) {
        m_state.quarantine.noteCrash(m_fingerprint, now);
        m_pool.drop(id);
    }
    if (attempt.outcome != Outcome::Answered) {
        m_parts.logger.event(LogLevel::Info, "attempt_failed",
                             {{"id", m_facts.attemptId},
                              {"endpoint", id},
                              {"outcome", toString(attempt.outcome)},
                              {"status", u64{attempt.answer.status}},
                              {"kept_connection", m_isKeptConnection},
                              {"caller_gone", m_isGone},
                              {"begun", u64{m_history.begun}},
                              {"declined", u64{m_history.declined}},
                              {"waited_ms", toMilliseconds(waited())}});
    }
    co_return attempt;
}

boost::asio::awaitable<Outcome> CallDriver::exchange(const std::string &id, const http::Request &request, Attempt &attempt)
{
    const bool isConnected = co_await connectTo(id);
    if (m_isGone) {
        co_return Outcome::Abandoned;
    }
    if (!isConnected) {
        co_return Outcome::Unreachable;
    }
    if (m_parts.clock.now() >= m_beginBy) {
        co_return Outcome::Declined;
    }
    m_connection->startSend(request);
    AnswerFacts facts;
    const bool isAnswered = co_await readOwnHead(id, facts);
    if (!isAnswered) {
        co_return brokenOr(m_beginBy);
    }
    attempt.answer = m_parts.dialect.forCaller(m_connection->head());
    learn(id, facts);
    const u16 status = attempt.answer.status;
    if (isSuccess(status) && !facts.isSealed && !facts.isDeclined) {
        // No answer of an endpoint to this request looks like this.
        co_return Outcome::Broken;
    }
    if (m_hasBegun && !isSuccess(status)) {
        co_return facts.isDeclined ? Outcome::Declined : Outcome::Broken;
    }
    if (isSuccess(status) && m_route->kind == routing::CallKind::Stream) {
        const auto outcome = co_await relayStream(id);
        if (outcome == Outcome::Answered) {
            release(id, facts);
        }
        co_return outcome;
    }
    const bool isWhole = co_await readWhole(id, attempt.answer.body);
    if (isWhole) {
        release(id, facts);
    }
    if (facts.isDeclined) {
        co_return Outcome::Declined;
    }
    if (!isWhole) {
        co_return brokenOr(m_deadline);
    }
    co_return status >= StatusServerError ? Outcome::Failed : Outcome::Answered;
}

boost::asio::awaitable<bool> CallDriver::connectTo(const std::string &id)
{
    const auto now = m_parts.clock.now();
    m_connection = m_pool.take(id, now);
    m_isKeptConnection = m_connection != nullptr;
    if (m_isKeptConnection) {
        co_return true;
    }
    const auto *endpoint = m_state.endpoints.find(id);
    if (endpoint == nullptr) {
        co_return false;
    }
    const auto address = http::parseAddress(endpoint->registration.address);
    const auto executor = co_await boost::asio::this_coro::executor;
    m_connection = std::make_unique<http::Connection>(executor, address, http::Reuse::Kept);
    m_parts.metrics.count("burdock_endpoint_connections_total", {{"service", m_service}});
    const auto timeout = std::min(ConnectTimeout, timeLeft());
    co_return co_await m_connection->connect(timeout);
}

// Reads the head of the answer to this very request. Guards against an answer to an earlier request that comes late, where this
// one's is expected: it shows as another attempt id. Passing over such answers holds, as each bears the id of its request.
boost::asio::awaitable<bool> CallDriver::readOwnHead(const std::string &id, AnswerFacts &facts)
{
    while (m_parts.clock.now() < m_beginBy) {
        const bool isRead = co_await m_connection->readHead(m_beginBy - m_parts.clock.now());
        if (!isRead) {
            co_return false;
        }
        m_state.endpoints.noteHeard(id, m_parts.clock.now());
        if (!m_firstByte) {
            m_firstByte = m_parts.clock.now();
        }
        facts = m_parts.dialect.readAnswer(m_connection->head());
        if (facts.attemptId == m_facts.attemptId) {
            co_return true;
        }
        m_parts.logger.event(LogLevel::Warning, "foreign_answer",
                             {{"id", m_facts.attemptId}, {"endpoint", id}, {"answer_id", facts.attemptId}});
        std::string ignored;
        const bool isWhole = co_await readWhole(id, ignored);
        if (!isWhole) {
            co_return false;
        }
    }
    co_return false;
}

boost::asio::awaitable<bool> CallDriver::readWhole(const std::string &id, std::string &body)
{
    while (true) {
        const auto left = timeLeft();
        if (left <= Duration::zero()) {
            co_return false;
        }
        const auto piece = co_await m_connection->read(left);
        if (piece.isBroken) {
            co_return false;
        }
        m_state.endpoints.noteHeard(id, m_parts.clock.now());
        body += piece.data;
        if (piece.isEnd) {
            co_return true;
        }
    }
}

boost::asio::awaitable<Outcome> CallDriver::relayStream(const std::string &id)
{
    if (!m_hasBegun) {
        const auto head = m_parts.dialect.forCaller(m_connection->head());
        m_hasBegun = true;
        const bool isTaken = co_await m_reply.begin(head);
        if (!isTaken) {
            co_return Outcome::Abandoned;
        }
    }
    while (true) {
        // The head may come before the engine has begun.
        const auto until = m_isPrefillPending ? m_beginBy : m_deadline;
        const auto now = m_parts.clock.now();
        if (now >= until) {
            co_return brokenOr(until);
        }
        const auto piece = co_await m_connection->read(until - now);
        if (piece.isBroken) {
            co_return brokenOr(until);
        }
        m_state.endpoints.noteHeard(id, m_parts.clock.now());
        noteFirstEvent(id);
        std::string bytes = m_route->isResumable ? m_events.take(piece.data) : piece.data;
        if (piece.isEnd && m_route->isResumable) {
            bytes += m_events.takeRest();
        }
        if (!bytes.empty()) {
            const bool isTaken = co_await m_reply.write(bytes);
            if (!isTaken) {
                m_isGone = true;
                co_return Outcome::Abandoned;
            }
        }
        if (piece.isEnd) {
            const bool isTaken = co_await m_reply.end();
            co_return isTaken ? Outcome::Answered : Outcome::Abandoned;
        }
    }
}

http::Request CallDriver::instruct(const endpoints::Endpoint &endpoint)
{
    Instructions told;
    told.endpointId = endpoint.registration.id;
    told.timeLeft = timeLeft();
    told.customer = m_customer == nullptr ? "" : m_customer->name;
    told.priority = m_customer != nullptr && m_customer->priority ? *m_customer->priority : m_route->priority;
    told.isPrompt = m_route->isPrompt;
    // What was begun and not ended is dropped with the endpoint that broke it off.
    static_cast<void>(m_events.takeRest());
    told.resumeAfter = m_events.lastId();
    if (m_route->isPrompt) {
        m_planner->instruct(endpoint, told, m_parts.clock.now());
        countPlacement(told);
    }
    const auto shared = textOf(told.parts, m_facts.parts, told.salt);
    m_parts.logger.event(LogLevel::Info, "placed",
                         {{"id", m_facts.attemptId},
                          {"route", m_route->name},
                          {"customer", told.customer},
                          {"endpoint", told.endpointId},
                          {"running", u64{m_state.endpoints.loadAt(endpoint).running}},
                          {"pending", m_state.endpoints.loadAt(endpoint).pending},
                          {"memory_taken", m_state.endpoints.loadAt(endpoint).memory},
                          {"memory", m_choice.work.memory},
                          {"prefill", m_choice.work.prefill},
                          {"parts", u64{m_facts.parts.size()}},
                          {"fetches", countOf(told.parts.fetchFrom)},
                          {"saves", countOf(told.parts.saveTo)},
                          {"shared", std::string_view(shared)},
                          {"prompt", m_facts.promptTokens},
                          {"fetch_ms", toMilliseconds(told.fetchPatience)},
                          {"expected_ms", toMilliseconds(m_choice.expectedDelay)},
                          {"newest", toString(m_choice.newest)},
                          {"weights", told.weightVersion.value_or(0)},
                          {"wanted_weights", m_state.wantedVersion(m_facts.model)},
                          {"begin_within_ms", toMilliseconds(m_beginBy - m_parts.clock.now())},
                          {"config", m_routes->configuration().version},
                          {"config_age_ms", toMilliseconds(m_parts.clock.now() - m_state.configurationAsOf)},
                          {"left_ms", toMilliseconds(told.timeLeft)}});
    return m_parts.dialect.forEndpoint(m_request, told);
}

void CallDriver::countPlacement(const Instructions &told)
{
    for (std::size_t i = 0; i < told.parts.dispositions.size(); ++i) {
        m_parts.metrics.count("burdock_shared_tokens_total", {{"fate", std::string(toString(told.parts.dispositions[i]))}},
                              static_cast<double>(m_facts.parts[i].tokens));
    }
    if (m_choice.newest != endpoints::NewestWeights::Chosen) {
        m_parts.metrics.count("burdock_older_weights_total", {{"newest", std::string(toString(m_choice.newest))}});
    }
}

boost::asio::awaitable<void> CallDriver::finish(NextStep step, const Attempt &attempt)
{
    if (m_isGone) {
        count("caller_left");
        m_parts.logger.event(LogLevel::Info, "caller_left", {{"id", m_facts.attemptId}, {"waited_ms", toMilliseconds(waited())}});
        co_return;
    }
    if (m_hasBegun) {
        // The connection is cut without the end of the stream, so that the caller can't take the part for the whole.
        if (attempt.outcome == Outcome::Answered) {
            noteAnswered();
        } else {
            count("broken_off");
            m_parts.logger.event(
                LogLevel::Warning, "stream_broken_off",
                {{"id", m_facts.attemptId}, {"outcome", toString(attempt.outcome)}, {"waited_ms", toMilliseconds(waited())}});
        }
        co_return;
    }
    if (step == NextStep::Deliver) {
        if (isSuccess(attempt.answer.status)) {
            noteAnswered();
        } else {
            count("endpoint_error");
        }
        co_await m_reply.send(attempt.answer);
        co_return;
    }
    if (step == NextStep::Refuse) {
        const Rejection rejection{503, "declined", RetryWhenFull};
        co_await reject(rejection);
        co_return;
    }
    if (timeLeft() <= Duration::zero()) {
        const Rejection rejection{504, "time_up", {}};
        co_await reject(rejection);
        co_return;
    }
    const bool hasExpired = attempt.outcome == Outcome::Expired;
    const Rejection rejection{502, hasExpired ? "weights_expired" : "endpoint_lost", {}};
    co_await reject(rejection);
}

void CallDriver::noteAnswered()
{
    count("answered");
    m_parts.logger.event(LogLevel::Info, "answered",
                         {{"id", m_facts.attemptId},
                          {"attempts", u64{m_history.begun + m_history.declined}},
                          {"first_byte_ms", toMilliseconds(m_firstByte.value_or(m_arrived) - m_arrived)},
                          {"sent_ms", toMilliseconds(m_sentAt - m_arrived)},
                          {"first_event_ms", toMilliseconds(m_firstEvent.value_or(m_arrived) - m_arrived)},
                          {"waited_ms", toMilliseconds(waited())}});
}

boost::asio::awaitable<void> CallDriver::reject(const Rejection &rejection)
{
    count(rejection.reason);
    m_parts.logger.event(LogLevel::Warning, "refused",
                         {{"id", m_facts.attemptId},
                          {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
                          {"status", u64{rejection.status}},
                          {"reason", rejection.reason},
                          {"service", m_service},
                          {"memory", m_memory},
                          {"expected_ms", toMilliseconds(m_choice.expectedDelay)},
                          {"begun", u64{m_history.begun}},
                          {"declined", u64{m_history.declined}},
                          {"config", m_routes ? m_routes->configuration().version : 0},
                          {"config_age_ms", toMilliseconds(m_parts.clock.now() - m_state.configurationAsOf)},
                          {"waited_ms", toMilliseconds(waited())},
                          {"retry_after_ms", toMilliseconds(rejection.retryAfter)}});
    const auto answer = m_parts.dialect.ownAnswer(rejection.status, m_facts.attemptId, rejection.reason, rejection.retryAfter);
    co_await m_reply.send(answer);
}

void CallDriver::learn(const std::string &id, const AnswerFacts &facts)
{
    if (facts.weightVersion && !m_facts.model.empty()) {
        m_state.endpoints.noteWeights(id, m_facts.model, *facts.weightVersion);
    }
    if (facts.coldLeft) {
        m_state.endpoints.noteCold(id, *facts.coldLeft, m_parts.clock.now());
    }
}

void CallDriver::release(const std::string &id, const AnswerFacts &facts)
{
    if (m_connection->isReusable() && !facts.isWrongEndpoint) {
        m_pool.put(id, std::move(m_connection), facts.keepAlive, m_parts.clock.now());
    }
}

Duration CallDriver::timeLeft() const
{
    return m_deadline - m_parts.clock.now();
}

Duration CallDriver::waited() const
{
    return m_parts.clock.now() - m_arrived;
}

void CallDriver::count(std::string_view outcome)
{
    const std::string kind(m_route == nullptr ? "none" : toString(m_route->kind));
    m_parts.metrics.count("burdock_requests_total", {{"kind", kind}, {"outcome", std::string(outcome)}});
    m_parts.metrics.observe("burdock_request_seconds", waited(), {{"kind", kind}});
    if (m_firstByte) {
        m_parts.metrics.observe("burdock_first_byte_seconds", *m_firstByte - m_arrived, {{"kind", kind}});
    }
}

} // namespace burdock::gateway
