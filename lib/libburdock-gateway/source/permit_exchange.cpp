#include "permit_exchange.hpp"

#include <burdock/hash/digest.hpp>
#include <burdock/schema/endpoint_limits.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/** How long a request waits for an answer. A round trip takes a few milliseconds. */
constexpr Duration AnswerTimeout = std::chrono::milliseconds(40);
/** How long a permit that comes later is still of use, and when to ask again after no answer has come. */
constexpr Duration LateAnswerTime = std::chrono::milliseconds(300);
constexpr Duration NoAnswerRetryTime = std::chrono::milliseconds(200);
/** Maximum number of questions about one endpoint that await their answers. */
constexpr std::ptrdiff_t MaxOpenQuestions = 8;
/** How long a change is repeated in each report, in case some are lost, and the maximum number of limits per report. */
constexpr Duration ChangeRepeatTime = std::chrono::seconds(1);
/** How long the end of a limit is repeated in complete reports, for entries that missed it. */
constexpr Duration LiftedRepeatTime = std::chrono::seconds(10);
constexpr int MaxLimitsPerReport = 300;
/** Addresses of entries that are gone are dropped once there are that many more of them than registered entries. */
constexpr std::size_t MaxUnregisteredAddresses = 1000;

} // namespace

PermitExchange::PermitExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                               PeerSocket &socket, LimitObserver &observer)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_socket(socket)
    , m_observer(observer)
    , m_lastNumber(dependencies.random.word())
{
}

asio::awaitable<void> PermitExchange::ask(u64 endpoint, u32 priority)
{
    forgetOldQuestions();
    const auto open = std::count_if(m_questions.begin(), m_questions.end(),
                                    [endpoint](const Question &question) { return question.endpoint == endpoint && question.isAwaited; });
    const auto *address = coordinatorAddress(endpoint);
    if (address == nullptr || open >= MaxOpenQuestions) {
        co_return;
    }
    auto message = makeMessage(endpoint);
    auto *out = message.mutable_permit_question();
    out->set_endpoint(endpoint);
    out->set_number(++m_lastNumber);
    out->set_priority(priority);
    const auto executor = co_await asio::this_coro::executor;
    const auto question = m_questions.insert(
        m_questions.end(), Question{m_lastNumber, endpoint, m_dependencies.clock.now(), true, asio::steady_timer(executor)});
    m_socket.sendTo(*address, message.SerializeAsString());
    question->answered.expires_after(AnswerTimeout);
    const auto [error] = co_await question->answered.async_wait(Awaitable);
    question->isAwaited = false;
    if (error) {
        m_questions.erase(question);
        co_return;
    }
    m_dependencies.metrics.count("burdock_permits_total", {{"result", "no_answer"}});
    m_state.endpoints.permits().noteReply(endpoint, {false, NoAnswerRetryTime}, m_dependencies.clock.now());
}

void PermitExchange::countUnconditional(std::string_view endpointId)
{
    const u64 endpoint = hash::hash64(endpointId);
    if (m_state.endpoints.permits().tryCountUnconditional(endpoint, m_dependencies.clock.now())) {
        return;
    }
    if (const auto *address = coordinatorAddress(endpoint)) {
        auto message = makeMessage(endpoint);
        message.mutable_permit_question()->set_endpoint(endpoint);
        m_socket.sendTo(*address, message.SerializeAsString());
    }
}

bool PermitExchange::isPermitMessage(const schema::EntryLoad &message)
{
    return message.has_permit_question() || message.has_permit_answer();
}

void PermitExchange::handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender)
{
    mergeLimits(message);
    if (message.has_permit_answer()) {
        applyAnswer(message.permit_answer());
        return;
    }
    const auto &question = message.permit_question();
    const auto now = m_dependencies.clock.now();
    if (question.number() == 0) {
        static_cast<void>(m_state.endpoints.permits().tryCountUnconditional(question.endpoint(), now));
        return;
    }
    const auto reply = m_state.endpoints.permits().answer(question.endpoint(), question.priority(), now);
    auto answer = makeMessage(question.endpoint());
    auto *out = answer.mutable_permit_answer();
    out->set_number(question.number());
    out->set_granted(reply.isGranted);
    out->set_retry_after_us(static_cast<u64>(reply.retryAfter.count()));
    m_socket.sendTo(sender, answer.SerializeAsString());
}

void PermitExchange::noteHeard(std::string_view entry, const PeerSocket::Endpoint &sender)
{
    const u64 entryHash = hash::hash64(entry);
    m_state.endpoints.permits().coordinators().noteHeard(entryHash, m_dependencies.clock.now());
    if (m_addresses.size() > m_state.entryNames.size() + MaxUnregisteredAddresses) {
        m_addresses.clear();
    }
    m_addresses[entryHash] = sender;
}

void PermitExchange::applyReport(const schema::EntryLoad &message)
{
    mergeLimits(message);
    if (message.changes_only()) {
        return;
    }
    limits::CoordinatorVotes votes;
    for (const auto &limit : message.endpoint_limits()) {
        if (limit.coordinator() != 0 && limit.has_per_second()) {
            votes[limit.endpoint()] = limit.coordinator();
        }
    }
    m_state.endpoints.permits().coordinators().noteVotes(hash::hash64(message.entry()), std::move(votes));
}

void PermitExchange::addLimits(schema::EntryLoad &report) const
{
    const auto now = m_dependencies.clock.now();
    auto &permits = m_state.endpoints.permits();
    auto records = permits.limits().inForceOrChangedSince(now - (report.changes_only() ? ChangeRepeatTime : LiftedRepeatTime));
    std::sort(records.begin(), records.end(), [](const auto &left, const auto &right) { return left.changedAt > right.changedAt; });
    const auto votes = permits.votes(now);
    for (const auto &record : records) {
        const bool isDue = !report.changes_only() || record.changedAt >= now - ChangeRepeatTime;
        if (!isDue || report.endpoint_limits_size() >= MaxLimitsPerReport) {
            break;
        }
        auto message = schema::toMessage(record, now);
        const auto vote = votes.find(record.endpoint);
        message.set_coordinator(vote == votes.end() ? 0 : vote->second);
        *report.add_endpoint_limits() = message;
    }
}

schema::EntryLoad PermitExchange::makeMessage(u64 endpoint) const
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    // An entry that doesn't know these fields ignores the message as an outdated report of loads, as its sequence number is zero.
    message.set_boot_id(m_state.bootId);
    message.set_changes_only(true);
    if (const auto *record = m_state.endpoints.permits().limits().find(endpoint)) {
        *message.add_endpoint_limits() = schema::toMessage(*record, m_dependencies.clock.now());
    }
    return message;
}

const PeerSocket::Endpoint *PermitExchange::coordinatorAddress(u64 endpoint) const
{
    const auto coordinator = m_state.endpoints.permits().coordinators().coordinatorOf(endpoint, m_dependencies.clock.now());
    const auto address = coordinator ? m_addresses.find(*coordinator) : m_addresses.end();
    return address == m_addresses.end() ? nullptr : &address->second;
}

void PermitExchange::mergeLimits(const schema::EntryLoad &message)
{
    for (const auto &limit : message.endpoint_limits()) {
        if (const auto record = schema::toRecord(limit, m_dependencies.clock.now())) {
            m_observer.merge(*record, message.entry());
        }
    }
}

void PermitExchange::applyAnswer(const schema::PermitAnswer &answer)
{
    const auto question = std::find_if(m_questions.begin(), m_questions.end(),
                                       [&answer](const Question &candidate) { return candidate.number == answer.number(); });
    const auto now = m_dependencies.clock.now();
    // A process that stood still gets answers late. Their permits belong to a time that has passed.
    if (question == m_questions.end() || now - question->askedAt > LateAnswerTime) {
        return;
    }
    m_dependencies.metrics.count("burdock_permits_total", {{"result", answer.granted() ? "granted" : "refused"}});
    const Duration retryAfter(static_cast<i64>(answer.retry_after_us()));
    m_state.endpoints.permits().noteReply(question->endpoint, {answer.granted(), retryAfter}, now);
    if (question->isAwaited) {
        question->number = 0;
        question->answered.cancel();
    } else {
        m_questions.erase(question);
    }
}

void PermitExchange::forgetOldQuestions()
{
    const auto now = m_dependencies.clock.now();
    m_questions.remove_if([now](const Question &question) { return !question.isAwaited && now - question.askedAt > LateAnswerTime; });
}

} // namespace burdock::gateway
