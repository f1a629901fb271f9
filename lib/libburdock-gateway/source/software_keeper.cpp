#include "software_keeper.hpp"

#include <burdock/clients/json_fields.hpp>
#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using runtime::LogLevel;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/** How often the records are compared with the registered endpoints, and the pause after a call that failed. */
constexpr Duration Period = std::chrono::milliseconds(50);
constexpr Duration RetryPause = std::chrono::milliseconds(250);
/** The first entry by hash changes a record at once, the others in this time, so that most of them find it changed. */
constexpr Duration MaxTurnDelay = std::chrono::milliseconds(300);
constexpr Duration TurnDelayPerEntry = std::chrono::milliseconds(20);
/** How long streams wait for a record. A store that takes no writes must not keep callers from software that serves. */
constexpr Duration MaxRecordDelay = std::chrono::seconds(1);
/** How long a caller who takes up a stream waits for the store. */
constexpr Duration ConfirmTimeout = std::chrono::milliseconds(500);
constexpr const char *SoftwareField = "software";
constexpr int HexBase = 16;

json::value toSpec(const run::SoftwareSet &software)
{
    json::array hashes;
    for (const u64 hash : software) {
        hashes.emplace_back(fmt::format("{:016x}", hash));
    }
    return json::object{{SoftwareField, std::move(hashes)}};
}

run::SoftwareSet softwareOf(const json::value &spec)
{
    run::SoftwareSet software;
    const auto *object = spec.if_object();
    if (object == nullptr) {
        return software;
    }
    for (const auto &item : clients::arrayOf(*object, SoftwareField)) {
        const auto *text = item.if_string();
        u64 hash = 0;
        if (text != nullptr && std::from_chars(text->data(), text->data() + text->size(), hash, HexBase).ec == std::errc()) {
            software.insert(hash);
        }
    }
    return software;
}

} // namespace

SoftwareKeeper::SoftwareKeeper(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                               const ReadingExchange &reading)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_reading(reading)
{
}

asio::awaitable<void> SoftwareKeeper::run()
{
    while (true) {
        co_await runtime::sleepFor(Period);
        const auto services = servicesWithStreams();
        if (services.empty() || !m_state.endpointsKnownSince) {
            continue;
        }
        if (!isRead()) {
            const bool wasRead = co_await read();
            if (!wasRead) {
                co_await runtime::sleepFor(RetryPause);
            }
            continue;
        }
        for (const auto &[service, retention] : services) {
            co_await update(service, retention);
        }
    }
}

// The longest time for which callers can wait for a stream of each service.
std::map<std::string, Duration, std::less<>> SoftwareKeeper::servicesWithStreams() const
{
    std::map<std::string, Duration, std::less<>> services;
    if (!m_state.routes) {
        return services;
    }
    for (const auto &route : m_state.routes->configuration().routes) {
        for (const auto &destination : route.destinations) {
            if (route.isResumable) {
                auto &retention = services[destination.service];
                retention = std::max(retention, route.timeout);
            }
        }
    }
    return services;
}

// What was read before this entry began to follow the endpoints may lack what others have recorded in between.
bool SoftwareKeeper::isRead() const
{
    return m_readAt && m_state.endpointsKnownSince && *m_readAt >= *m_state.endpointsKnownSince;
}

asio::awaitable<bool> SoftwareKeeper::read()
{
    const auto started = m_dependencies.clock.now();
    const auto list = co_await m_dependencies.store.list(ObjectKind::Software, Freshness::Current);
    if (list.status != StoreResult::Found) {
        co_return false;
    }
    const auto now = m_dependencies.clock.now();
    std::set<std::string, std::less<>> listed;
    for (const auto &item : list.items) {
        listed.insert(item.name);
        m_records[item.name].noteStored(softwareOf(item.spec), item.revision, now);
    }
    for (auto &[service, record] : m_records) {
        if (listed.count(service) == 0) {
            record.noteStored({}, 0, now);
        }
    }
    m_readAt = started;
    co_return true;
}

asio::awaitable<void> SoftwareKeeper::update(const std::string &service, Duration retention)
{
    const auto now = m_dependencies.clock.now();
    const auto &history = m_state.endpoints.softwareHistory();
    const bool isKnown = m_state.endpointsKnownSince && *m_state.endpointsKnownSince <= now - retention;
    const auto recent = isKnown ? std::optional(history.softwareSince(service, now - retention)) : std::nullopt;
    const auto next = m_records[service].next(history.registered(service), recent, retention, now);
    if (!next) {
        m_wrongSince.erase(service);
        co_return;
    }
    const auto wrongSince = m_wrongSince.try_emplace(service, now).first->second;
    if (now - wrongSince < turnDelay(service)) {
        co_return;
    }
    if (turnDelay(service) > Duration::zero() && (!m_readAt || *m_readAt < wrongSince)) {
        static_cast<void>(co_await read());
        co_return;
    }
    co_await write(service, *next);
}

asio::awaitable<void> SoftwareKeeper::write(const std::string &service, run::SoftwareSet software)
{
    auto &record = m_records[service];
    const auto revision = record.revision() == 0 ? std::nullopt : std::optional(record.revision());
    const auto result = co_await m_dependencies.store.write(ObjectKind::Software, service, toSpec(software), revision);
    const auto now = m_dependencies.clock.now();
    if (result.status == StoreResult::Written) {
        m_dependencies.logger.event(LogLevel::Info, "software_recorded",
                                    {{"service", std::string_view(service)}, {"versions", u64{software.size()}}});
        record.noteStored(std::move(software), result.revision, now);
        co_return;
    }
    if (result.status == StoreResult::Conflict && result.present) {
        record.noteStored(softwareOf(result.present->spec), result.present->revision, now);
        co_return;
    }
    m_readAt.reset();
    co_await runtime::sleepFor(RetryPause);
}

Duration SoftwareKeeper::turnDelay(std::string_view service) const
{
    const u64 own = hash::hash64(m_settings.name, hash::hash64(service));
    const auto before = std::count_if(m_state.entryNames.begin(), m_state.entryNames.end(),
                                      [&](const auto &entry) { return hash::hash64(entry, hash::hash64(service)) < own; });
    return std::min(TurnDelayPerEntry * before, MaxTurnDelay);
}

bool SoftwareKeeper::mayBegin(std::string_view service, u64 software)
{
    const auto record = m_records.find(service);
    if (record != m_records.end() && record->second.software().count(software) > 0) {
        m_unrecordedSince.erase(software);
        return true;
    }
    const auto now = m_dependencies.clock.now();
    return now - m_unrecordedSince.try_emplace(software, now).first->second >= MaxRecordDelay;
}

bool SoftwareKeeper::isRecording(std::string_view service)
{
    const auto registered = m_state.endpoints.softwareHistory().registered(service);
    return std::any_of(registered.begin(), registered.end(), [&](u64 software) { return !mayBegin(service, software); });
}

asio::awaitable<std::optional<u64>> SoftwareKeeper::findSole(std::string service, Duration before)
{
    const bool isConfirmed = co_await confirmEndpoints();
    if (!isConfirmed || !m_state.endpointsKnownSince) {
        co_return std::nullopt;
    }
    const auto since = m_dependencies.clock.now() - before;
    const bool isKnownAllAlong = *m_state.endpointsKnownSince <= since;
    if (!isKnownAllAlong && !isRead()) {
        const bool wasRead = co_await read();
        if (!wasRead || !isRead()) {
            co_return std::nullopt;
        }
    }
    auto software = m_state.endpoints.softwareHistory().softwareSince(service, since);
    if (!isKnownAllAlong) {
        const auto &recorded = m_records[service].software();
        software.insert(recorded.begin(), recorded.end());
    }
    co_return software.size() == 1 ? std::optional(*software.begin()) : std::nullopt;
}

// This entry may have stood still, or have been cut off, while others began streams with software that it doesn't know of. A read that
// begins after the caller came back shows all endpoints that can have begun its stream.
asio::awaitable<bool> SoftwareKeeper::confirmEndpoints()
{
    const auto executor = co_await asio::this_coro::executor;
    const auto waiter = std::make_shared<Waiter>(Waiter{asio::steady_timer(executor, ConfirmTimeout)});
    m_waiters.push_back(waiter);
    if (!m_isServingWaiters) {
        m_isServingWaiters = true;
        asio::co_spawn(executor, serveWaiters(), asio::detached);
    }
    static_cast<void>(co_await waiter->done.async_wait(Awaitable));
    co_return waiter->isConfirmed;
}

asio::awaitable<void> SoftwareKeeper::serveWaiters()
{
    while (!m_waiters.empty()) {
        const auto batch = std::exchange(m_waiters, {});
        const bool isConfirmed = co_await readChanges();
        for (const auto &waiter : batch) {
            waiter->isConfirmed = isConfirmed;
            waiter->done.cancel();
        }
    }
    m_isServingWaiters = false;
}

asio::awaitable<bool> SoftwareKeeper::readChanges()
{
    const u64 since = m_reading.known(ObjectKind::Endpoints).revision();
    const auto changes = co_await m_dependencies.store.watch(ObjectKind::Endpoints, since, Duration::zero());
    if (changes.status != StoreResult::Found) {
        co_return false;
    }
    const auto now = m_dependencies.clock.now();
    for (const auto *objects : {&changes.changed, &changes.superseded}) {
        for (const auto &object : *objects) {
            if (const auto registration = m_dependencies.codec.readRegistration(object.name, object.spec)) {
                m_state.endpoints.noteSoftwareSeen(*registration, now);
            }
        }
    }
    co_return true;
}

} // namespace burdock::gateway
