#include "callers.hpp"

#include <burdock/runtime/sleep.hpp>

#include <array>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

namespace soak {

namespace {

namespace http = runtime::http;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(4000);
constexpr Duration ShortPatience = std::chrono::milliseconds(12);
constexpr u32 LongestPauseMs = 25;
constexpr u32 LeavesOneOf = 12;
constexpr u32 MovesOneOf = 20;
constexpr u32 PoisonOneOf = 40;
/** Keys that callers go on using after they were taken away, and the newest. */
constexpr std::size_t ChangingKeys = 3;
constexpr u32 KeyWords = 12;
constexpr std::array<const char *, 4> Paths{"/once/x", "/read/x", "/prompts/x", "/read/poison"};
constexpr u32 SoundKinds = 3;

} // namespace

KeyRing::KeyRing(std::string lasting)
    : m_lasting(std::move(lasting))
{
}

std::string KeyRing::pick(u32 word) const
{
    const std::lock_guard lock(m_mutex);
    return word % 2 == 0 || m_changing.empty() ? m_lasting : m_changing[word / 2 % m_changing.size()];
}

void KeyRing::addChanging(std::string key)
{
    const std::lock_guard lock(m_mutex);
    m_changing.push_back(std::move(key));
    if (m_changing.size() > ChangingKeys) {
        m_changing.erase(m_changing.begin());
    }
}

Caller::Caller(u32 number, u64 seed, Ledger &ledger, const KeyRing &keys, std::vector<std::unique_ptr<GatewayFace>> &gateways,
               const std::atomic<bool> &isOver)
    : m_number(number)
    , m_random(seed, number)
    , m_ledger(ledger)
    , m_keys(keys)
    , m_gateways(gateways)
    , m_isOver(isOver)
{
}

boost::asio::awaitable<void> Caller::run()
{
    while (!m_isOver) {
        const u32 gateway = m_connection && random(MovesOneOf) > 0 ? m_gateway : random(static_cast<u32>(m_gateways.size()));
        const auto kind = random(PoisonOneOf) == 0 ? CallKind::Poison : static_cast<CallKind>(random(SoundKinds));
        const auto key = m_keys.pick(random(KeyWords));
        static_cast<void>(co_await call(gateway, kind, key));
        const Duration pause = std::chrono::milliseconds(random(LongestPauseMs));
        co_await runtime::sleepFor(pause);
    }
}

boost::asio::awaitable<EndedCall> Caller::call(u32 gateway, CallKind kind, const std::string &key)
{
    if (m_gateway != gateway) {
        m_connection.reset();
    }
    m_gateway = gateway;
    EndedCall end;
    if (!m_connection) {
        const auto executor = co_await boost::asio::this_coro::executor;
        m_connection
            = std::make_unique<http::Connection>(executor, http::parseAddress(m_gateways[gateway]->address), http::Reuse::KeepAlive);
        const bool isConnected = co_await m_connection->connect(ConnectTimeout);
        if (!isConnected) {
            m_connection.reset();
            co_return end;
        }
    }
    const auto attempt = fmt::format("c{}-{}", m_number, ++m_calls);
    http::Request request;
    request.method = kind == CallKind::Read || kind == CallKind::Poison ? "GET" : "POST";
    request.target = Paths.at(static_cast<std::size_t>(kind));
    request.headers = {{"Host", "desk.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "3000"}, {"Authorization", "Token " + key}};
    if (kind == CallKind::Prompt) {
        request.headers.emplace_back("X-Model-Id", "m");
        request.headers.emplace_back("X-Token-Usage", "40,6");
        request.headers.emplace_back("X-Prompt-Prefix", fmt::format("{:x}:30,{:x}:10", random(16) + 1, 100 + m_number));
    }
    const u32 incarnation = m_gateways[gateway]->incarnation;
    m_ledger.noteSent(attempt, {kind, gateway, incarnation, m_gateways[gateway]->startedAt, key, now()});
    end = co_await exchange(request);
    m_ledger.noteEnded(attempt, end);
    co_return end;
}

boost::asio::awaitable<EndedCall> Caller::exchange(const http::Request &request)
{
    EndedCall end;
    end.hasLeft = random(LeavesOneOf) == 0;
    m_connection->startSend(request);
    const auto patience = end.hasLeft ? ShortPatience : AnswerTimeout;
    const bool hasHead = co_await m_connection->readHead(patience);
    if (hasHead) {
        end.hasLeft = false;
        end.status = m_connection->head().status;
        co_await readBody(end);
    }
    end.at = now();
    if (!end.isWhole || !m_connection->isReusable()) {
        m_connection->close();
        m_connection.reset();
    }
    co_return end;
}

boost::asio::awaitable<void> Caller::readBody(EndedCall &end)
{
    while (true) {
        const auto piece = co_await m_connection->read(AnswerTimeout);
        end.body += piece.data;
        if (piece.isBroken) {
            co_return;
        }
        if (piece.isEnd) {
            end.isWhole = true;
            co_return;
        }
    }
}

u32 Caller::random(u32 below)
{
    return m_random(below);
}

} // namespace soak
