#include "load_exchange.hpp"

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr Duration IdlePeriod = std::chrono::milliseconds(400);
constexpr std::size_t MaxMessageBytes = 60 * 1024;
/** For how long a crash is told with each whole message, so that some of these may be lost; and of how many requests at most. */
constexpr Duration SuspectsToldFor = std::chrono::milliseconds(800);
constexpr std::size_t SuspectsAtMost = 200;
/** Ages beyond this mean the same. */
constexpr u64 LongestAgeUs = 3'600'000'000;

Udp::endpoint toEndpoint(const runtime::http::Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

void addStoreEvents(schema::EntryLoad &message, const ToldStoreEvents &told)
{
    auto *out = message.add_store_events();
    out->set_store(told.store);
    out->set_epoch(told.events.epoch);
    out->set_since(told.events.since);
    out->set_next(told.events.next);
    out->set_clock_ms(told.events.clockMs.value_or(0));
    for (const auto &event : told.events.events) {
        auto *part = out->add_events();
        part->set_stored(event.isStored);
        part->set_salt(event.salt);
        part->set_part(event.part);
        part->set_tokens(event.tokens);
    }
}

} // namespace

LoadExchange::LoadExchange(const GatewayParts &parts, const GatewaySettings &settings, State &state)
    : m_parts(parts)
    , m_settings(settings)
    , m_state(state)
    , m_socket(parts.context, toEndpoint(settings.loads))
    , m_boot(parts.random.word())
    , m_started(parts.clock.now())
{
}

void LoadExchange::setPeers(const std::set<std::string> &addresses)
{
    m_peers.clear();
    for (const auto &text : addresses) {
        boost::system::error_code error;
        const auto address = runtime::http::parseAddress(text);
        const auto ip = asio::ip::make_address(address.ip, error);
        if (!error && address.port != 0) {
            m_peers.emplace_back(ip, address.port);
        }
    }
}

asio::awaitable<void> LoadExchange::send()
{
    while (true) {
        // What this entry knows is told also while it has nothing under way.
        const bool isBusy = m_state.underWay > 0 || asksForNamings();
        const auto period = endpoints::LoadTeller::period(m_peers.size());
        co_await runtime::sleepFor(isBusy ? period : std::max(IdlePeriod, period));
        const std::string message = nextMessage();
        for (const auto &peer : m_peers) {
            // A datagram that finds no room is lost like any other; the next message makes up for it.
            boost::system::error_code ignored;
            m_socket.send_to(asio::buffer(message), peer, 0, ignored);
        }
    }
}

asio::awaitable<void> LoadExchange::receive()
{
    std::string buffer(MaxMessageBytes, '\0');
    while (true) {
        Udp::endpoint sender;
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, Awaitable);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            take(std::string_view(buffer.data(), size), sender);
        }
    }
}

void LoadExchange::takeStoreEvents(const schema::StoreEvents &told)
{
    const auto listener = m_state.storeListeners.find(told.store());
    if (listener == m_state.storeListeners.end()) {
        return;
    }
    CacheEvents events;
    events.epoch = told.epoch();
    events.since = told.since();
    events.next = told.next();
    if (told.clock_ms() > 0) {
        events.clockMs = told.clock_ms();
    }
    for (const auto &event : told.events()) {
        events.events.push_back({event.stored(), event.salt(), event.part(), event.tokens()});
    }
    listener->second(events);
}

std::string LoadExchange::nextMessage()
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    message.set_boot_id(m_boot);
    message.set_sequence(++m_sequence);
    message.set_keys_current(m_state.keysAreCurrent(m_parts.clock.now(), m_settings));
    const auto unresponsive = m_state.endpoints.unresponsive(m_parts.clock.now());
    const auto &loading = m_state.endpoints.loading();
    const bool hasNews = unresponsive != m_toldUnresponsive || loading != m_toldLoading;
    const auto told = m_teller.next(m_state.endpoints.ownLoads(), hasNews, m_parts.clock.now());
    message.set_changes_only(!told.isWhole);
    for (const auto &[endpoint, load] : told.loads) {
        auto *work = message.add_work();
        work->set_endpoint(endpoint);
        work->set_running(load.running);
        work->set_memory_tokens(load.memory);
        work->set_pending_tokens(load.pending);
    }
    for (const auto &[model, named] : m_state.weights) {
        (*message.mutable_named_weights())[model] = named.wanted();
    }
    if (asksForNamings()) {
        message.set_naming_question(static_cast<u64>(m_parts.clock.now().time_since_epoch().count()));
    }
    if (told.isWhole) {
        message.mutable_loading()->Add(loading.begin(), loading.end());
        message.mutable_unresponsive()->Add(unresponsive.begin(), unresponsive.end());
        m_toldLoading = loading;
        m_toldUnresponsive = unresponsive;
    }
    addSuspects(message);
    for (const auto &placed : m_state.placementsToTell) {
        auto *out = message.add_placed();
        out->set_endpoint(placed.endpoint);
        for (const auto &[part, tokens] : placed.parts) {
            out->add_parts(part);
            out->add_tokens(static_cast<u32>(tokens));
        }
    }
    m_state.placementsToTell.clear();
    for (auto &events : m_state.storeEventsToTell) {
        addStoreEvents(message, events);
    }
    m_state.storeEventsToTell.clear();
    return message.SerializeAsString();
}

// Guards against a request that crashes a few endpoints through each entry in turn: it shows as more crashes the more entries
// there are. Telling of each crash holds because a caller comes back later than the next message; what is refused already is told
// for as long as it is, for entries that start later.
void LoadExchange::addSuspects(schema::EntryLoad &message) const
{
    const auto news = 2 * endpoints::LoadTeller::period(m_peers.size());
    for (const auto &record : m_state.quarantine.records(m_parts.clock.now())) {
        const bool isRoom = message.suspects_size() < static_cast<int>(SuspectsAtMost);
        const bool isToldAgain = record.age <= SuspectsToldFor || record.crashes >= retry::TrialPolicy{}.crashes;
        if (isRoom && (record.age <= news || (isToldAgain && !message.changes_only()))) {
            auto *suspect = message.add_suspects();
            suspect->set_fingerprint(record.fingerprint);
            suspect->set_crashes(record.crashes);
            suspect->set_age_ms(static_cast<u32>(toMilliseconds(record.age)));
        }
    }
}

bool LoadExchange::asksForNamings() const
{
    if (m_parts.clock.now() - m_started >= m_settings.weightBound) {
        return false;
    }
    const auto isUnknown = [this](const auto &held) {
        const auto named = m_state.weights.find(held.first);
        return named != m_state.weights.end() && named->second.isSupersededAtUnknownTime(held.second);
    };
    const auto &endpoints = m_state.endpoints.all();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &entry) {
        const auto &held = entry.second.registration.weightVersions;
        return std::any_of(held.begin(), held.end(), isUnknown);
    });
}

void LoadExchange::answerNamings(const schema::EntryLoad &question, const Udp::endpoint &asker)
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    message.set_boot_id(m_boot);
    auto *answer = message.mutable_naming_answer();
    answer->set_asker_boot_id(question.boot_id());
    answer->set_naming_question(question.naming_question());
    const auto now = m_parts.clock.now().time_since_epoch();
    for (const auto &[model, named] : m_state.weights) {
        auto *told = answer->add_models();
        told->set_model(model);
        for (const auto &naming : named.history()) {
            auto *version = told->add_versions();
            version->set_version(naming.version);
            if (naming.notBefore) {
                version->set_longest_age_us(static_cast<u64>((now - *naming.notBefore).count()));
            }
        }
    }
    boost::system::error_code ignored; // the asker asks again
    m_socket.send_to(asio::buffer(message.SerializeAsString()), asker, 0, ignored);
}

// Guards against an answer that lay in a socket while this process stood still: it shows as an age that grew since. Counting the
// age from the question holds, as the answer was written later.
void LoadExchange::takeNamings(const std::string &teller, const schema::NamingAnswer &answer)
{
    const TimePoint asked(Duration(static_cast<i64>(answer.naming_question())));
    const auto now = m_parts.clock.now();
    const bool isOwnQuestion = answer.asker_boot_id() == m_boot && asked >= m_started && asked <= now;
    if (!isOwnQuestion) {
        return;
    }
    for (const auto &told : answer.models()) {
        weights::AnnouncementHistory history;
        for (const auto &version : told.versions()) {
            const Duration age(static_cast<i64>(std::min(version.longest_age_us(), LongestAgeUs)));
            const auto notBefore = version.has_longest_age_us() ? std::optional(asked.time_since_epoch() - age) : std::nullopt;
            history.push_back({version.version(), notBefore});
        }
        const auto known = m_state.weights.find(told.model());
        if (known == m_state.weights.end() || !weights::isOrdered(history)) {
            continue;
        }
        const auto before = known->second.history();
        known->second.merge(history, now);
        if (known->second.history() != before) {
            m_parts.logger.event(runtime::LogLevel::Info, "weights_age_learnt",
                                 {{"model", told.model()}, {"told_by", teller}, {"versions", u64{history.size()}}});
        }
    }
}

void LoadExchange::take(std::string_view message, const Udp::endpoint &sender)
{
    schema::EntryLoad read;
    if (!read.ParseFromArray(message.data(), static_cast<int>(message.size())) || read.entry() == m_settings.name) {
        m_parts.metrics.count("burdock_loads_unreadable_total");
        return;
    }
    if (read.has_naming_answer()) {
        takeNamings(read.entry(), read.naming_answer());
        return;
    }
    if (read.naming_question() > 0) {
        answerNamings(read, sender);
    }
    endpoints::PeerLoads::Report report;
    report.boot = read.boot_id();
    report.sequence = read.sequence();
    report.hasCurrentKeys = read.keys_current();
    report.isWhole = !read.changes_only();
    for (const auto &work : read.work()) {
        report.loads[work.endpoint()] = endpoints::Load{work.running(), work.memory_tokens(), work.pending_tokens()};
    }
    for (const auto &[model, version] : read.named_weights()) {
        report.namedWeights[model] = version;
    }
    report.loading.insert(read.loading().begin(), read.loading().end());
    report.unresponsive.insert(read.unresponsive().begin(), read.unresponsive().end());
    for (const auto &told : read.store_events()) {
        takeStoreEvents(told);
    }
    for (const auto &placed : read.placed()) {
        for (int i = 0; i < std::min(placed.parts_size(), placed.tokens_size()); ++i) {
            m_state.endpoints.notePart(placed.endpoint(), placed.parts(i), placed.tokens(i));
        }
    }
    for (const auto &suspect : read.suspects()) {
        const retry::SuspectRecord record{suspect.fingerprint(), suspect.crashes(), std::chrono::milliseconds(suspect.age_ms())};
        m_state.quarantine.merge(record, m_parts.clock.now());
    }
    for (const auto &id : m_state.endpoints.takeReport(read.entry(), std::move(report), m_parts.clock.now())) {
        m_parts.logger.event(runtime::LogLevel::Info, "endpoint_silent_elsewhere", {{"endpoint", id}, {"told_by", read.entry()}});
    }
}

} // namespace burdock::gateway
