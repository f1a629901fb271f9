#include "origin_exchange.hpp"

#include <burdock/membership/rendezvous.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/** Entries that keep the record of a stream, so that it outlives the loss of some, and of datagrams. */
constexpr std::size_t ResponsibleCount = 3;
/** How long a question waits for its answers, and how often it is asked. A round trip takes a few milliseconds. */
constexpr Duration AnswerTimeout = std::chrono::milliseconds(30);
constexpr u32 MaxQuestions = 2;
/** Stands for an unknown origin in an answer. */
constexpr u64 UnknownSoftware = 0;

} // namespace

OriginExchange::OriginExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                               PeerSocket &socket)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_socket(socket)
{
}

void OriginExchange::publish(u64 stream, u64 software)
{
    m_state.streamOrigins.note(stream, software, m_dependencies.clock.now());
    auto message = makeMessage();
    auto *origin = message.add_stream_origins();
    origin->set_stream(stream);
    origin->set_software(software);
    const auto datagram = message.SerializeAsString();
    for (const auto &entry : responsibleOthers(stream)) {
        m_socket.sendTo(entry, datagram);
    }
}

asio::awaitable<OriginSearch> OriginExchange::find(u64 stream)
{
    OriginSearch result;
    result.software = m_state.streamOrigins.find(stream);
    auto others = responsibleOthers(stream);
    if (result.software || others.empty()) {
        // Until the list of entries has been received, nobody is known who could be asked.
        result.haveAllAnswered = m_state.entryCount > 0;
        co_return result;
    }
    const auto executor = co_await asio::this_coro::executor;
    const auto search = m_searches.insert(m_searches.end(), Search{stream, std::move(others), asio::steady_timer(executor)});
    auto message = makeMessage();
    message.add_origin_questions(stream);
    const auto datagram = message.SerializeAsString();
    for (u32 i = 0; i < MaxQuestions && !result.software && !search->unanswered.empty(); ++i) {
        for (const auto &entry : search->unanswered) {
            m_socket.sendTo(entry, datagram);
        }
        search->answered.expires_after(AnswerTimeout);
        co_await search->answered.async_wait(Awaitable);
        result.software = m_state.streamOrigins.find(stream);
    }
    result.haveAllAnswered = search->unanswered.empty();
    m_searches.erase(search);
    co_return result;
}

bool OriginExchange::isOriginMessage(const schema::EntryLoad &message)
{
    return message.stream_origins_size() > 0 || message.origin_questions_size() > 0;
}

void OriginExchange::handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender)
{
    for (const auto &origin : message.stream_origins()) {
        const bool isKnown = origin.software() != UnknownSoftware;
        if (isKnown) {
            m_state.streamOrigins.note(origin.stream(), origin.software(), m_dependencies.clock.now());
        }
        applyAnswer(message.entry(), origin.stream(), isKnown);
    }
    if (message.origin_questions_size() == 0) {
        return;
    }
    auto answer = makeMessage();
    for (const u64 stream : message.origin_questions()) {
        auto *origin = answer.add_stream_origins();
        origin->set_stream(stream);
        origin->set_software(m_state.streamOrigins.find(stream).value_or(UnknownSoftware));
    }
    m_socket.sendTo(sender, answer.SerializeAsString());
}

schema::EntryLoad OriginExchange::makeMessage() const
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    // An entry that doesn't know these fields ignores the message as an outdated report of loads, as its sequence number is zero.
    message.set_boot_id(m_state.bootId);
    message.set_changes_only(true);
    return message;
}

std::set<std::string, std::less<>> OriginExchange::responsibleOthers(u64 stream) const
{
    const auto responsible = membership::responsibleMembers(stream, m_state.entryNames, ResponsibleCount);
    std::set<std::string, std::less<>> others(responsible.begin(), responsible.end());
    others.erase(m_settings.name);
    return others;
}

void OriginExchange::applyAnswer(const std::string &entry, u64 stream, bool isKnown)
{
    for (auto &search : m_searches) {
        const bool isAnswer = search.stream == stream && search.unanswered.erase(entry) > 0;
        if (isAnswer && (isKnown || search.unanswered.empty())) {
            search.answered.cancel();
        }
    }
}

} // namespace burdock::gateway
