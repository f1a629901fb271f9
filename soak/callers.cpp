#include "callers.hpp"

#include "back_end.hpp"

#include <burdock/runtime/sleep.hpp>

#include <array>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

namespace soak {

namespace {

namespace http = runtime::http;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration ResponseTimeout = std::chrono::milliseconds(4000);
constexpr Duration AbandonTimeout = std::chrono::milliseconds(12);
constexpr u32 MaxPauseMs = 25;
constexpr u16 StatusOk = 200;
constexpr u32 AbandonOneIn = 12;
constexpr u32 SwitchGatewayOneIn = 20;
constexpr u32 PoisonOneIn = 20;
/** Number of most recent rotating keys in use: the current one and those that were revoked before it. */
constexpr std::size_t RotatingKeyCount = 3;
constexpr u32 KeyChoiceRange = 12;
constexpr std::array<const char *, 6> Paths{"/once/x", "/read/x", "/prompts/x", "/resumable/x", "/read/poison", "/prompts/x"};
constexpr u32 RegularKindCount = 4;
constexpr std::string_view EventEnd = "\n\n";

std::string completeEvents(const std::string &body)
{
    const auto end = body.rfind(EventEnd);
    return end == std::string::npos ? std::string() : body.substr(0, end + EventEnd.size());
}

u32 countEvents(std::string_view events)
{
    u32 count = 0;
    for (auto end = events.find(EventEnd); end != std::string_view::npos; end = events.find(EventEnd, end + 1)) {
        ++count;
    }
    return count;
}

} // namespace

KeyRing::KeyRing(std::string permanentKey)
    : m_permanentKey(std::move(permanentKey))
{
}

std::string KeyRing::pickKey(u32 choice) const
{
    const std::lock_guard lock(m_mutex);
    return choice % 2 == 0 || m_rotatingKeys.empty() ? m_permanentKey : m_rotatingKeys[choice / 2 % m_rotatingKeys.size()];
}

void KeyRing::addRotating(std::string key)
{
    const std::lock_guard lock(m_mutex);
    m_rotatingKeys.push_back(std::move(key));
    if (m_rotatingKeys.size() > RotatingKeyCount) {
        m_rotatingKeys.erase(m_rotatingKeys.begin());
    }
}

Caller::Caller(u32 number, u64 seed, GuaranteeChecker &checker, const KeyRing &keys, std::vector<std::unique_ptr<GatewayTarget>> &gateways,
               const std::atomic<bool> &isOver)
    : m_number(number)
    , m_random(seed, number)
    , m_checker(checker)
    , m_keys(keys)
    , m_gateways(gateways)
    , m_isOver(isOver)
{
}

boost::asio::awaitable<void> Caller::run()
{
    while (!m_isOver) {
        const u32 gateway
            = m_connection && randomBelow(SwitchGatewayOneIn) > 0 ? m_currentGateway : randomBelow(static_cast<u32>(m_gateways.size()));
        const auto kind = nextKind();
        const auto key = m_keys.pickKey(randomBelow(KeyChoiceRange));
        static_cast<void>(co_await call(gateway, kind, key));
        const Duration pause = std::chrono::milliseconds(randomBelow(MaxPauseMs));
        co_await runtime::sleepFor(pause);
    }
}

CallKind Caller::nextKind()
{
    if (randomBelow(PoisonOneIn) == 0) {
        return randomBelow(2) == 0 ? CallKind::Poison : CallKind::PoisonedPrompt;
    }
    return static_cast<CallKind>(randomBelow(RegularKindCount));
}

boost::asio::awaitable<CallOutcome> Caller::call(u32 gateway, CallKind kind, const std::string &key)
{
    const StreamStart none;
    const auto outcome = co_await call(gateway, kind, key, none);
    StreamStart start;
    start.attempt = fmt::format("c{}-{}", m_number, m_callCount);
    start.events = completeEvents(outcome.body);
    start.lastEvent = countEvents(start.events);
    if (kind == CallKind::ResumablePrompt && !outcome.isComplete && start.lastEvent > 0) {
        const u32 other = randomBelow(static_cast<u32>(m_gateways.size()));
        co_return co_await call(other, kind, key, start);
    }
    co_return outcome;
}

boost::asio::awaitable<CallOutcome> Caller::call(u32 gateway, CallKind kind, const std::string &key, const StreamStart &start)
{
    if (m_currentGateway != gateway) {
        m_connection.reset();
    }
    m_currentGateway = gateway;
    CallOutcome outcome;
    if (!m_connection) {
        const auto executor = co_await boost::asio::this_coro::executor;
        m_connection
            = std::make_unique<http::Connection>(executor, http::parseAddress(m_gateways[gateway]->address), http::Reuse::KeepAlive);
        const bool isConnected = co_await m_connection->connect(ConnectTimeout);
        if (!isConnected) {
            m_connection.reset();
            co_return outcome;
        }
    }
    const auto attempt = fmt::format("c{}-{}", m_number, ++m_callCount);
    http::Request request;
    request.method = kind == CallKind::Read || kind == CallKind::Poison ? "GET" : "POST";
    request.target = Paths.at(static_cast<std::size_t>(kind));
    request.headers = {{"Host", "desk.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "3000"}, {"Authorization", "Token " + key}};
    if (start.lastEvent > 0) {
        request.headers.emplace_back("Resumes", start.attempt);
        request.headers.emplace_back("Last-Event-Id", std::to_string(start.lastEvent));
    }
    if (kind == CallKind::Prompt || kind == CallKind::ResumablePrompt || kind == CallKind::PoisonedPrompt) {
        const std::string poison = kind == CallKind::PoisonedPrompt ? fmt::format("{}:1,", PoisonPart) : "";
        request.headers.emplace_back("X-Model-Id", "m");
        request.headers.emplace_back("X-Token-Usage", "40,6");
        request.headers.emplace_back("X-Prompt-Prefix", fmt::format("{:x}:30,{}{:x}:10", randomBelow(16) + 1, poison, 100 + m_number));
        request.body = attempt; // no two prompts are alike
    }
    const u32 incarnation = m_gateways[gateway]->incarnation;
    m_checker.noteSent(attempt, {kind, gateway, incarnation, m_gateways[gateway]->startedAt, key, now()});
    outcome = co_await sendRequest(request);
    if (start.lastEvent > 0 && outcome.status == StatusOk) {
        outcome.body.insert(0, start.events);
    }
    m_checker.noteOutcome(attempt, outcome);
    co_return outcome;
}

boost::asio::awaitable<CallOutcome> Caller::sendRequest(const http::Request &request)
{
    CallOutcome outcome;
    outcome.isAbandoned = randomBelow(AbandonOneIn) == 0;
    if (!m_connection->startSend(request)) {
        co_return outcome;
    }
    const auto timeout = outcome.isAbandoned ? AbandonTimeout : ResponseTimeout;
    const bool hasHead = co_await m_connection->readHead(timeout);
    if (hasHead) {
        outcome.isAbandoned = false;
        outcome.status = m_connection->head().status;
        co_await readBody(outcome);
    }
    outcome.at = now();
    if (!outcome.isComplete || !m_connection->isReusable()) {
        m_connection->close();
        m_connection.reset();
    }
    co_return outcome;
}

boost::asio::awaitable<void> Caller::readBody(CallOutcome &outcome)
{
    while (true) {
        const auto chunk = co_await m_connection->read(ResponseTimeout);
        outcome.body += chunk.data;
        if (chunk.isBroken) {
            co_return;
        }
        if (chunk.isEnd) {
            outcome.isComplete = true;
            co_return;
        }
    }
}

u32 Caller::randomBelow(u32 limit)
{
    return m_random(limit);
}

} // namespace soak
