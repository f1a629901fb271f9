#include "load_exchange.hpp"

#include <burdock/runtime/sleep.hpp>
#include <burdock/schema/crash_features.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;

constexpr Duration IdlePeriod = std::chrono::milliseconds(400);
/** How long a crash is repeated in each snapshot message, in case some are lost, and the maximum number of features per message. */
constexpr Duration CrashRepeatTime = std::chrono::milliseconds(800);
constexpr int MaxCrashFeatures = 200;
/** Longer ages are treated as this one. */
constexpr u64 MaxAgeUs = 3'600'000'000;

void addStoreEvents(schema::EntryLoad &message, const OutgoingStoreEvents &outgoing)
{
    auto *out = message.add_store_events();
    out->set_store(outgoing.store);
    out->set_epoch(outgoing.events.epoch);
    out->set_since(outgoing.events.since);
    out->set_next(outgoing.events.next);
    out->set_clock_ms(outgoing.events.clockMs.value_or(0));
    for (const auto &event : outgoing.events.events) {
        auto *part = out->add_events();
        part->set_stored(event.isStored);
        part->set_salt(event.salt);
        part->set_part(event.part);
        part->set_tokens(event.tokens);
    }
}

} // namespace

LoadExchange::LoadExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                           PeerSocket &socket, OriginExchange &origins, PermitExchange &permits, ReadingExchange &reading,
                           RolloutTracker &rollouts)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_socket(socket)
    , m_origins(origins)
    , m_permits(permits)
    , m_reading(reading)
    , m_rollouts(rollouts)
    , m_startedAt(dependencies.clock.now())
{
}

asio::awaitable<void> LoadExchange::send()
{
    while (true) {
        // Messages also carry other knowledge of this entry, so an idle entry keeps sending.
        const bool isBusy = m_state.activeRequests > 0 || needsAnnouncementTimes() || m_rollouts.needsHolder();
        const auto period = endpoints::LoadReporter::period(m_socket.peerCount());
        co_await runtime::sleepFor(isBusy ? period : std::max(IdlePeriod, period));
        const std::string message = nextMessage();
        m_socket.sendToAll(message);
    }
}

asio::awaitable<void> LoadExchange::receive()
{
    while (true) {
        const auto datagram = co_await m_socket.receive();
        if (datagram.isClosed) {
            co_return;
        }
        if (!datagram.bytes.empty()) {
            handleMessage(datagram.bytes, datagram.sender);
        }
    }
}

void LoadExchange::applyStoreEvents(const schema::StoreEvents &message)
{
    const auto listener = m_state.storeListeners.find(message.store());
    if (listener == m_state.storeListeners.end()) {
        return;
    }
    CacheEvents events;
    events.epoch = message.epoch();
    events.since = message.since();
    events.next = message.next();
    if (message.clock_ms() > 0) {
        events.clockMs = message.clock_ms();
    }
    for (const auto &event : message.events()) {
        events.events.push_back({event.stored(), event.salt(), event.part(), event.tokens()});
    }
    listener->second(events);
}

std::string LoadExchange::nextMessage()
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    message.set_boot_id(m_state.bootId);
    message.set_sequence(++m_sequence);
    message.set_keys_current(m_state.areKeysCurrent(m_dependencies.clock.now(), m_settings));
    message.set_overloaded(m_state.connectionShedding.isOverloaded());
    const auto unresponsive = m_state.endpoints.unresponsive(m_dependencies.clock.now());
    const auto &loading = m_state.endpoints.loading();
    const bool needsSnapshot = unresponsive != m_sentUnresponsive || loading != m_sentLoading;
    const auto update = m_loadReporter.nextUpdate(m_state.endpoints.ownLoads(), needsSnapshot, m_dependencies.clock.now());
    message.set_changes_only(!update.isSnapshot);
    for (const auto &[endpoint, load] : update.loads) {
        auto *work = message.add_work();
        work->set_endpoint(endpoint);
        work->set_running(load.running);
        work->set_memory_tokens(load.memory);
        work->set_pending_tokens(load.pending);
    }
    for (const auto &[model, announced] : m_state.weights) {
        (*message.mutable_named_weights())[model] = announced.wanted();
    }
    m_state.updateServedVersions();
    addPromises(message);
    if (needsAnnouncementTimes()) {
        message.set_naming_question(static_cast<u64>(m_dependencies.clock.now().time_since_epoch().count()));
    }
    if (update.isSnapshot) {
        message.mutable_loading()->Add(loading.begin(), loading.end());
        message.mutable_unresponsive()->Add(unresponsive.begin(), unresponsive.end());
        m_sentLoading = loading;
        m_sentUnresponsive = unresponsive;
    }
    addCrashFeatures(message);
    m_permits.addLimits(message);
    m_rollouts.addNews(message);
    for (const auto &placed : m_state.outgoingPlacements) {
        auto *out = message.add_placed();
        out->set_endpoint(placed.endpoint);
        for (const auto &[part, tokens] : placed.parts) {
            out->add_parts(part);
            out->add_tokens(static_cast<u32>(tokens));
        }
    }
    m_state.outgoingPlacements.clear();
    for (auto &events : m_state.outgoingStoreEvents) {
        addStoreEvents(message, events);
    }
    m_state.outgoingStoreEvents.clear();
    for (const auto &samples : m_state.fetchCosts.takeSamples()) {
        auto *out = message.add_fetches();
        out->set_store(samples.store);
        out->set_count(static_cast<float>(samples.count));
        out->set_mean_percent(static_cast<u32>(samples.meanPercent));
    }
    return message.SerializeAsString();
}

void LoadExchange::addPromises(schema::EntryLoad &message) const
{
    for (const auto &[model, version] : m_state.servedVersions.promises()) {
        (*message.mutable_lowest_versions())[model] = version;
    }
}

// Crashes are sent at once and repeated in case a message is lost, as callers retry later than the next message. Blamed features are
// repeated in each snapshot, for entries that start later.
void LoadExchange::addCrashFeatures(schema::EntryLoad &message)
{
    const auto now = m_dependencies.clock.now();
    const auto recentTime = 2 * endpoints::LoadReporter::period(m_socket.peerCount());
    const auto add = [&message](const std::vector<retry::FeatureRecord> &records) {
        for (const auto &record : records) {
            if (message.crash_features_size() < MaxCrashFeatures) {
                *message.add_crash_features() = schema::toMessage(record);
            }
        }
    };
    if (!message.changes_only()) {
        add(m_state.crashes.blamedRecords(now));
    }
    add(m_state.crashes.observationsSince(now - (message.changes_only() ? recentTime : std::max(recentTime, CrashRepeatTime)), now));
}

bool LoadExchange::needsAnnouncementTimes() const
{
    if (m_dependencies.clock.now() - m_startedAt >= m_settings.maxStaleWeightTime) {
        return false;
    }
    const auto isUnknown = [this](const auto &held) {
        const auto announced = m_state.weights.find(held.first);
        return announced != m_state.weights.end() && announced->second.isSupersededAtUnknownTime(held.second);
    };
    const auto &endpoints = m_state.endpoints.all();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &entry) {
        const auto &held = entry.second.registration.weightVersions;
        return std::any_of(held.begin(), held.end(), isUnknown);
    });
}

void LoadExchange::answerAnnouncementQuestion(const schema::EntryLoad &question, const PeerSocket::Endpoint &askingEntry)
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    message.set_boot_id(m_state.bootId);
    auto *answer = message.mutable_naming_answer();
    answer->set_asker_boot_id(question.boot_id());
    answer->set_naming_question(question.naming_question());
    const auto now = m_dependencies.clock.now().time_since_epoch();
    for (const auto &[model, announced] : m_state.weights) {
        auto *modelAnswer = answer->add_models();
        modelAnswer->set_model(model);
        for (const auto &announcement : announced.history()) {
            auto *version = modelAnswer->add_versions();
            version->set_version(announcement.version);
            if (announcement.notBefore) {
                version->set_longest_age_us(static_cast<u64>((now - *announcement.notBefore).count()));
            }
        }
    }
    // A gateway that learns the ages of announcements here may fetch by them, so it has to know the promises as well.
    addPromises(message);
    m_socket.sendTo(askingEntry, message.SerializeAsString());
}

// The ages in an answer count from the question, as the answer was written later. Counted from its receipt, an answer that waited in the
// socket buffer while this process was suspended would make announcements look newer than they are.
void LoadExchange::applyAnnouncementAnswer(const std::string &sender, const schema::NamingAnswer &answer)
{
    const TimePoint asked(Duration(static_cast<i64>(answer.naming_question())));
    const auto now = m_dependencies.clock.now();
    const bool isOwnQuestion = answer.asker_boot_id() == m_state.bootId && asked >= m_startedAt && asked <= now;
    if (!isOwnQuestion) {
        return;
    }
    for (const auto &model : answer.models()) {
        weights::AnnouncementHistory history;
        for (const auto &version : model.versions()) {
            const Duration age(static_cast<i64>(std::min(version.longest_age_us(), MaxAgeUs)));
            const auto notBefore = version.has_longest_age_us() ? std::optional(asked.time_since_epoch() - age) : std::nullopt;
            history.push_back({version.version(), notBefore});
        }
        const auto known = m_state.weights.find(model.model());
        if (known == m_state.weights.end() || !weights::isOrdered(history)) {
            continue;
        }
        const auto before = known->second.history();
        known->second.merge(history, now);
        if (known->second.history() != before) {
            m_dependencies.logger.event(runtime::LogLevel::Info, "weights_age_learnt",
                                        {{"model", model.model()}, {"told_by", sender}, {"versions", u64{history.size()}}});
        }
    }
}

void LoadExchange::handleMessage(std::string_view datagram, const PeerSocket::Endpoint &sender)
{
    schema::EntryLoad message;
    if (!message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) || message.entry() == m_settings.name) {
        m_dependencies.metrics.count("burdock_loads_unreadable_total");
        return;
    }
    m_permits.noteHeard(message.entry(), sender);
    m_reading.noteHeard(message.entry());
    if (PermitExchange::isPermitMessage(message)) {
        m_permits.handle(message, sender);
        return;
    }
    if (OriginExchange::isOriginMessage(message)) {
        m_origins.handle(message, sender);
        return;
    }
    if (ReadingExchange::isReadingMessage(message)) {
        m_reading.handle(message, sender);
        return;
    }
    for (const auto &[model, version] : message.lowest_versions()) {
        m_state.servedVersions.notePromise(model, version);
    }
    if (message.has_naming_answer()) {
        applyAnnouncementAnswer(message.entry(), message.naming_answer());
        return;
    }
    if (message.naming_question() > 0) {
        answerAnnouncementQuestion(message, sender);
    }
    endpoints::PeerLoads::Report report;
    report.bootId = message.boot_id();
    report.sequence = message.sequence();
    report.hasCurrentKeys = message.keys_current();
    report.isOverloaded = message.overloaded();
    report.isSnapshot = !message.changes_only();
    for (const auto &work : message.work()) {
        report.loads[work.endpoint()] = endpoints::Load{work.running(), work.memory_tokens(), work.pending_tokens()};
    }
    for (const auto &[model, version] : message.named_weights()) {
        report.announcedWeights[model] = version;
    }
    report.lowestVersions.insert(message.lowest_versions().begin(), message.lowest_versions().end());
    report.loading.insert(message.loading().begin(), message.loading().end());
    report.unresponsive.insert(message.unresponsive().begin(), message.unresponsive().end());
    for (const auto &storeEvents : message.store_events()) {
        applyStoreEvents(storeEvents);
    }
    for (const auto &samples : message.fetches()) {
        if (m_state.storeListeners.count(samples.store()) > 0) {
            m_state.fetchCosts.applySamples({samples.store(), samples.count(), static_cast<double>(samples.mean_percent())},
                                            m_dependencies.clock.now());
        }
    }
    for (const auto &placed : message.placed()) {
        for (int i = 0; i < std::min(placed.parts_size(), placed.tokens_size()); ++i) {
            m_state.endpoints.notePart(placed.endpoint(), placed.parts(i), placed.tokens(i));
        }
    }
    m_permits.applyReport(message);
    m_rollouts.applyNews(message);
    for (const auto &feature : message.crash_features()) {
        m_state.crashes.merge(schema::toRecord(feature), m_dependencies.clock.now());
    }
    for (const auto &id : m_state.endpoints.applyReport(message.entry(), std::move(report), m_dependencies.clock.now())) {
        m_dependencies.logger.event(runtime::LogLevel::Info, "endpoint_silent_elsewhere", {{"endpoint", id}, {"told_by", message.entry()}});
    }
}

} // namespace burdock::gateway
