#include <burdock/gateway/gateway.hpp>

#include "cache_follower.hpp"
#include "call_driver.hpp"
#include "kind_watcher.hpp"
#include "load_exchange.hpp"
#include "state.hpp"
#include "weight_duty.hpp"

#include <burdock/clients/json_fields.hpp>
#include <burdock/runtime/http/server.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using runtime::LogLevel;

/**
 * How long a watch waits for changes. Shorter where a promise hangs on hearing of silence: keys are confirmed by the start of a
 * watch that was answered, so that they are up to two waits old.
 */
constexpr Duration ConfigurationWait = std::chrono::milliseconds(1500);
constexpr Duration EndpointWait = std::chrono::milliseconds(1700);
constexpr Duration EvacuationWait = std::chrono::milliseconds(3500);
constexpr Duration WeightWait = std::chrono::milliseconds(1500);
/** Longest time in which a watch hears nothing though there are changes. */
constexpr Duration DeafWatch = std::chrono::milliseconds(1000);
/** How long the endpoints of a zone that comes back count as cold if they can't be listed, and the pause between two tries. */
constexpr Duration LongestReturn = std::chrono::seconds(5);
constexpr Duration ReturnPause = std::chrono::milliseconds(250);
/** How often the list of entries is read. */
constexpr Duration EntryListPeriod = std::chrono::seconds(5);
constexpr Duration FirstEntryListPeriod = std::chrono::seconds(1);
constexpr Duration EntryListRetryPeriod = std::chrono::milliseconds(500); ///< until the first one came
constexpr u32 FirstEntryLists = 4;
/** How often idle connections are looked through and lines of the log are handed on. */
constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(100);
/** How often the log says how often the platform's store was called. */
constexpr Duration StoreCallsPeriod = std::chrono::seconds(5);
/** Time after SIGTERM in which the balancer takes this entry out, and connections may still come. */
constexpr Duration LameDuck = std::chrono::milliseconds(2800);
/** Part of the grace time that is kept for the end itself. */
constexpr Duration EndMargin = std::chrono::milliseconds(350);
constexpr Duration DrainPoll = std::chrono::milliseconds(50);
/** Time for one piece of an answer to be taken by the caller, and for one body to arrive. */
constexpr Duration CallerIoTimeout = std::chrono::seconds(15);
constexpr u16 StatusOk = 200;
constexpr u16 StatusNotFound = 404;
constexpr u16 StatusUnavailable = 503;
/** Shown in place of an age that is not known. */
constexpr double UnknownAge = -1;

constexpr const char *LoadAddressField = "load_address";

std::string addressText(const http::Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

std::string textOf(const std::map<std::string, double> &totals)
{
    std::string text;
    for (const auto &[name, total] : totals) {
        text += text.empty() ? "" : ",";
        text += name + ":" + std::to_string(static_cast<u64>(total));
    }
    return text;
}

/** @brief Serves one path by a function. */
class PathHandler : public http::Handler
{
public:
    PathHandler(std::string path, std::function<http::Response()> answer)
        : m_path(std::move(path))
        , m_answer(std::move(answer))
    {
    }

    boost::asio::awaitable<void> handle(const http::Request &request, http::Reply &reply) override
    {
        http::Response response;
        response.status = StatusNotFound;
        if (request.path() == m_path) {
            response = m_answer();
        }
        co_await reply.send(response);
    }

private:
    std::string m_path;
    std::function<http::Response()> m_answer;
};

} // namespace

class Gateway::Impl : public http::Handler
{
public:
    Impl(const GatewayParts &parts, const GatewaySettings &settings)
        : m_parts(parts)
        , m_settings(settings)
        , m_weightDuty(m_parts, m_settings, m_state)
        , m_loads(m_parts, m_settings, m_state)
        , m_readinessHandler(std::string(parts.dialect.readinessPath()), [this] { return readiness(); })
        , m_metricsHandler("/metrics", [this] { return metrics(); })
        , m_callers(parts.context, settings.callers, callerLimits({}), *this)
        , m_readiness(parts.context, settings.readiness, http::ServerLimits{}, m_readinessHandler)
        , m_metrics(parts.context, settings.metrics, http::ServerLimits{}, m_metricsHandler)
    {
        m_watchers.emplace_back(std::make_unique<KindWatcher>(m_parts, ObjectKind::Configuration, ConfigurationWait, configuration()));
        m_watchers.emplace_back(std::make_unique<KindWatcher>(m_parts, ObjectKind::Endpoints, EndpointWait, endpointHandlers()));
        m_watchers.emplace_back(std::make_unique<KindWatcher>(m_parts, ObjectKind::Evacuations, EvacuationWait, evacuations()));
        m_watchers.emplace_back(std::make_unique<KindWatcher>(m_parts, ObjectKind::Weights, WeightWait, weightHandlers()));
    }

    void start()
    {
        for (const auto &watcher : m_watchers) {
            spawn(watcher->run());
        }
        spawn(m_weightDuty.run());
        spawn(housekeeping());
        spawn(tellStoreCalls());
        spawn(keepEntryList());
        spawn(m_loads.send());
        spawn(m_loads.receive());
    }

    void drain()
    {
        if (!m_state.isDraining) {
            m_state.isDraining = true;
            m_state.lastCallUntil = m_parts.clock.now() + LameDuck;
            m_callers.closeAfterAnswers();
            spawn(drainAndStop());
        }
    }

    boost::asio::awaitable<void> handle(const http::Request &request, http::Reply &reply) override
    {
        CallDriver driver(m_parts, m_settings, m_state, m_pool, request, reply);
        co_await driver.run();
    }

private:
    void spawn(boost::asio::awaitable<void> work)
    {
        boost::asio::co_spawn(m_parts.context, std::move(work), [this](const std::exception_ptr &failure) {
            if (failure) {
                reportFailure(failure);
            }
        });
    }

    void reportFailure(const std::exception_ptr &failure)
    {
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &error) {
            m_parts.logger.event(LogLevel::Error, "task_failed", {{"reason", std::string_view(error.what())}});
        }
        // A gateway that no longer follows the platform must not go on as if it did.
        m_parts.context.stop();
    }

    static http::ServerLimits callerLimits(const routing::CallerLimits &limits)
    {
        http::ServerLimits server;
        server.headerBytes = limits.headerBytes;
        server.bodyBytes = limits.bodyBytes;
        server.headerTimeout = limits.headerTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.ioTimeout = CallerIoTimeout;
        return server;
    }

    [[nodiscard]] bool isReady() const
    {
        const bool hasLists = m_state.routes && m_state.hasEndpoints && m_state.hasEvacuations && m_state.hasWeights;
        return hasLists && !m_state.isDraining && m_state.keysAreCurrent(m_parts.clock.now(), m_settings);
    }

    [[nodiscard]] http::Response readiness() const
    {
        http::Response response;
        response.status = isReady() ? StatusOk : StatusUnavailable;
        return response;
    }

    [[nodiscard]] http::Response metrics()
    {
        m_parts.metrics.set("burdock_requests_under_way", m_state.underWay);
        m_parts.metrics.set("burdock_entries", m_state.entryCount);
        if (m_state.routes) {
            m_parts.metrics.set("burdock_configuration_version", static_cast<double>(m_state.routes->configuration().version));
            const auto age = m_parts.clock.now() - m_state.configurationAsOf;
            m_parts.metrics.set("burdock_configuration_age_seconds", toMilliseconds(age) / 1000.0);
        }
        for (const auto &store : m_state.parts.stores()) {
            m_parts.metrics.set("burdock_kept_tokens", static_cast<double>(m_state.parts.storedTokens(store.address)),
                                {{"store", store.address}});
            const double percent = m_state.fetchCosts.percentOfPrefill(store.address, m_parts.clock.now());
            m_parts.metrics.set("burdock_fetch_percent_of_reading", percent, {{"store", store.address}});
        }
        for (const auto &[model, named] : m_state.weights) {
            for (const auto &naming : named.effectiveHistory()) {
                const auto age = m_parts.clock.now().time_since_epoch() - naming.notBefore.value_or(Duration::zero());
                m_parts.metrics.set("burdock_named_weights_age_seconds", naming.notBefore ? toMilliseconds(age) / 1000.0 : UnknownAge,
                                    {{"model", model}, {"version", std::to_string(naming.version)}});
            }
        }
        http::Response response;
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = m_parts.metrics.text();
        return response;
    }

    KindHandlers configuration()
    {
        const auto takeAll = [this](const std::vector<StoredObject> &items) {
            for (const auto &item : items) {
                takeConfiguration(item);
            }
        };
        return {takeAll, [takeAll](const ObjectChanges &changes) { takeAll(changes.changed); },
                [this](TimePoint asOf, Evidence /*evidence*/) { confirmConfiguration(asOf); }, nullptr,
                [this] {
                    return mustConfirmKeys();
                }};
    }

    // Guards against a gateway that refuses keys for the length of a whole watch after it stood still: it shows as refusals
    // keys_unconfirmed though the store answers. A configuration that can't be read is no reason to ask at once, as no answer confirms it.
    [[nodiscard]] bool mustConfirmKeys() const
    {
        return m_isNewestConfigurationRead && !m_state.keysAreCurrent(m_parts.clock.now(), m_settings);
    }

    // Guards against a configuration that can't be read and takes a key away: it shows as requests that run with that key for as long
    // as the one before is in force. Not confirming that one holds, as keys are refused once it is too old.
    void confirmConfiguration(TimePoint asOf)
    {
        if (m_isNewestConfigurationRead) {
            m_state.configurationAsOf = std::max(m_state.configurationAsOf, asOf);
        }
    }

    void takeConfiguration(const StoredObject &object)
    {
        auto read = m_parts.dialect.readConfiguration(object.spec);
        m_isNewestConfigurationRead = read.has_value();
        if (!read) {
            m_parts.logger.event(LogLevel::Error, "configuration_unreadable", {{"name", object.name}, {"revision", object.revision}});
            m_parts.metrics.count("burdock_configurations_unreadable_total");
            return;
        }
        const u64 present = m_state.routes ? m_state.routes->configuration().version : 0;
        // Guards against a configuration that goes back: it shows when an older list is read after a newer one was in force.
        if (read->version <= present) {
            return;
        }
        m_parts.logger.event(LogLevel::Info, "configuration_taken",
                             {{"version", read->version},
                              {"before", present},
                              {"revision", object.revision},
                              {"routes", u64{read->routes.size()}},
                              {"customers", u64{read->customers.size()}}});
        m_state.routes = std::make_shared<const routing::RouteTable>(std::move(*read));
        applyServices(m_state.routes->configuration());
        m_callers.setLimits(callerLimits(m_state.routes->configuration().limits));
    }

    void applyServices(const routing::Configuration &configuration)
    {
        std::vector<cache::PartStore> stores;
        for (const auto &service : configuration.services) {
            const u64 cacheTokens = service.engine ? service.engine->cacheTokens : 0;
            m_state.endpoints.setServiceLimits(service.name, cacheTokens, service.coldPerSecond);
            if (service.cacheStore && service.cacheStore->isManaged) {
                stores.push_back({service.cacheStore->address, service.cacheStore->zone, service.cacheStore->cacheTokens});
            }
        }
        m_state.parts.setStores(stores);
        for (const auto &store : stores) {
            if (m_followed.insert(store.address).second) {
                spawn(followStore(store.address));
            }
        }
    }

    boost::asio::awaitable<void> followStore(std::string address)
    {
        CacheFollower follower(m_parts, m_settings, m_state, address);
        co_await follower.run();
        m_followed.erase(address);
    }

    KindHandlers endpointHandlers()
    {
        const auto takeList = [this](const std::vector<StoredObject> &items) {
            std::set<std::string, std::less<>> ids;
            for (const auto &item : items) {
                ids.insert(item.name);
                takeEndpoint(item);
            }
            m_state.endpoints.keepOnly(ids);
            m_state.hasEndpoints = true;
        };
        const auto takeChanges = [this](const ObjectChanges &changes) {
            for (const auto &object : changes.changed) {
                takeEndpoint(object);
            }
            for (const auto &id : changes.removed) {
                m_parts.logger.event(LogLevel::Info, "endpoint_gone", {{"endpoint", id}, {"revision", changes.revision}});
                m_state.endpoints.remove(id);
                m_pool.drop(id);
            }
        };
        return {takeList, takeChanges};
    }

    void takeEndpoint(const StoredObject &object)
    {
        const auto registration = m_parts.dialect.readRegistration(object.name, object.spec);
        if (!registration) {
            m_parts.logger.event(LogLevel::Warning, "endpoint_unreadable", {{"endpoint", object.name}, {"revision", object.revision}});
            m_state.endpoints.remove(object.name);
            return;
        }
        const auto *known = m_state.endpoints.find(registration->id);
        const bool isNew = known == nullptr || known->registration.bornMs != registration->bornMs;
        if (isNew || known->registration.isDraining != registration->isDraining || registration->coldLeft > Duration::zero()) {
            m_parts.logger.event(LogLevel::Info, "endpoint_seen",
                                 {{"endpoint", registration->id},
                                  {"address", registration->address},
                                  {"zone", registration->zone},
                                  {"service", registration->service},
                                  {"draining", registration->isDraining},
                                  {"cold_ms", toMilliseconds(registration->coldLeft)},
                                  {"born_ms", registration->bornMs},
                                  {"revision", object.revision}});
        }
        if (isNew) {
            m_pool.drop(registration->id);
        }
        m_state.endpoints.setRegistration(*registration, m_parts.clock.now());
    }

    KindHandlers evacuations()
    {
        const auto takeList = [this](const std::vector<StoredObject> &items) {
            std::set<std::string, std::less<>> listed;
            for (const auto &item : items) {
                listed.insert(item.name);
            }
            for (const auto &zone : std::exchange(m_evacuated, listed)) {
                if (listed.count(zone) == 0) {
                    welcomeBack(zone);
                }
            }
            applyEvacuations();
            m_state.hasEvacuations = true;
        };
        const auto takeChanges = [this](const ObjectChanges &changes) {
            for (const auto &object : changes.changed) {
                m_evacuated.insert(object.name);
            }
            for (const auto &name : changes.removed) {
                if (m_evacuated.erase(name) > 0) {
                    welcomeBack(name);
                }
            }
            applyEvacuations();
        };
        return {takeList, takeChanges};
    }

    // Guards against a zone that comes back while its endpoints became cold: it shows as cold endpoints that get a whole load at once,
    // where the watch of evacuations is answered and that of endpoints is not. Counting them as cold until they are listed anew holds,
    // as the list is read after the zone came back.
    void welcomeBack(const std::string &zone)
    {
        m_returning.insert(zone);
        applyReturning();
        spawn(listReturned(zone));
    }

    boost::asio::awaitable<void> listReturned(std::string zone)
    {
        const auto until = m_parts.clock.now() + LongestReturn;
        while (m_parts.clock.now() < until) {
            const auto list = co_await m_parts.store.list(ObjectKind::Endpoints, Freshness::Current);
            if (list.answer == StoreAnswer::Found) {
                noteColdness(list);
                break;
            }
            co_await runtime::sleepFor(ReturnPause);
        }
        m_returning.erase(m_returning.find(zone));
        applyReturning();
    }

    // The watch may have told of newer changes than this list, so that nothing else of it counts.
    void noteColdness(const ObjectList &list)
    {
        for (const auto &item : list.items) {
            if (const auto registration = m_parts.dialect.readRegistration(item.name, item.spec)) {
                m_state.endpoints.noteCold(registration->id, registration->coldLeft, m_parts.clock.now());
            }
        }
    }

    void applyReturning()
    {
        m_state.endpoints.setReturning({m_returning.begin(), m_returning.end()});
    }

    void applyEvacuations()
    {
        for (const auto &zone : m_evacuated) {
            m_parts.logger.event(LogLevel::Info, "zone_out", {{"zone", zone}});
        }
        m_state.endpoints.setEvacuated(m_evacuated);
    }

    KindHandlers weightHandlers()
    {
        const auto takeAll = [this](const std::vector<StoredObject> &items) {
            for (const auto &item : items) {
                takeWeights(item);
            }
        };
        const auto takeList = [this, takeAll](const std::vector<StoredObject> &items) {
            takeAll(items);
            m_state.hasWeights = true;
        };
        // A store that drops its history lets watches hear nothing for a moment before.
        const auto onCurrent = [this](TimePoint asOf, Evidence evidence) {
            m_state.weightsAsOf = std::max(m_state.weightsAsOf, evidence == Evidence::Watch ? asOf - DeafWatch : asOf);
        };
        const auto onHeld = [onCurrent](TimePoint until) {
            onCurrent(until, Evidence::Watch);
        };
        return {takeList, [takeAll](const ObjectChanges &changes) { takeAll(changes.changed); }, onCurrent, onHeld};
    }

    void takeWeights(const StoredObject &object)
    {
        const auto named = m_parts.dialect.readAnnouncedWeights(object.spec);
        if (!named) {
            m_parts.logger.event(LogLevel::Error, "weights_unreadable", {{"name", object.name}, {"revision", object.revision}});
            return;
        }
        // Counted from when it was known last that nothing newer was named, as a process that was frozen or cut off hears late.
        // How long ago something was named before this process ran, the store does not say.
        const auto now = m_parts.clock.now();
        const auto notBefore = m_state.hasWeights ? std::optional(m_state.weightsAsOf) : std::nullopt;
        if (m_state.weights[named->model].noteAnnounced(named->version, notBefore, now)) {
            m_parts.logger.event(LogLevel::Info, "weights_named",
                                 {{"model", named->model},
                                  {"version", named->version},
                                  {"is_age_known", notBefore.has_value()},
                                  {"age_ms", toMilliseconds(now - notBefore.value_or(now))}});
        }
    }

    boost::asio::awaitable<void> housekeeping()
    {
        while (true) {
            co_await runtime::sleepFor(HousekeepingPeriod);
            m_pool.sweep(m_parts.clock.now());
            m_state.endpoints.peers().expire(m_parts.clock.now());
            m_parts.logger.flush();
        }
    }

    boost::asio::awaitable<void> tellStoreCalls()
    {
        while (true) {
            co_await runtime::sleepFor(StoreCallsPeriod);
            const auto kinds = textOf(m_parts.metrics.totals("burdock_store_calls_total", "kind"));
            const auto methods = textOf(m_parts.metrics.totals("burdock_store_calls_total", "method"));
            m_parts.logger.event(LogLevel::Info, "store_calls",
                                 {{"kinds", std::string_view(kinds)}, {"methods", std::string_view(methods)}});
        }
    }

    // Keeps this entry in the platform's list of entries and reads it, as sums over all entries are shared among them.
    boost::asio::awaitable<void> keepEntryList()
    {
        bool isRegistered = false;
        u32 reads = 0;
        while (!m_state.isDraining) {
            if (!isRegistered) {
                const boost::json::value spec{{"zone", m_settings.zone}, {LoadAddressField, addressText(m_settings.loads)}};
                const auto result = co_await m_parts.store.write(ObjectKind::Entries, m_settings.name, spec, std::nullopt);
                isRegistered = result.answer == StoreAnswer::Written || result.answer == StoreAnswer::Conflict;
            }
            const auto list = co_await m_parts.store.list(ObjectKind::Entries, Freshness::MayLag);
            if (list.answer == StoreAnswer::Found) {
                takeEntries(list);
                ++reads;
            }
            co_await runtime::sleepFor(entryListPause(reads));
        }
    }

    static Duration entryListPause(u32 reads)
    {
        if (reads == 0) {
            return EntryListRetryPeriod;
        }
        // At the start of all VMs the others register within moments.
        return reads <= FirstEntryLists ? FirstEntryListPeriod : EntryListPeriod;
    }

    void takeEntries(const ObjectList &list)
    {
        m_state.entries.clear();
        std::set<std::string> peers;
        for (const auto &item : list.items) {
            m_state.entries.push_back(item.name);
            const auto *spec = item.spec.if_object();
            if (spec != nullptr && item.name != m_settings.name) {
                peers.insert(clients::textOf(*spec, LoadAddressField));
            }
        }
        m_loads.setPeers(peers);
        m_state.setEntryCount(static_cast<u32>(list.items.size()));
    }

    boost::asio::awaitable<void> drainAndStop()
    {
        m_parts.logger.event(LogLevel::Info, "draining", {{"under_way", u64{m_state.underWay}}});
        const auto started = m_parts.clock.now();
        const auto end = started + m_settings.grace - EndMargin;
        static_cast<void>(co_await m_parts.store.remove(ObjectKind::Entries, m_settings.name));
        co_await awaitIdle(started + LameDuck, end);
        m_callers.stopListening();
        co_await awaitIdle(started, end);
        m_callers.closeIdle();
        co_await awaitIdle(started, end);
        m_parts.logger.event(LogLevel::Info, "drained", {{"cut", u64{m_callers.busyConnections()}}});
        m_parts.context.stop();
    }

    /** @brief Waits until some time, and after it while requests are under way. */
    boost::asio::awaitable<void> awaitIdle(TimePoint atLeast, TimePoint atMost)
    {
        TimePoint now;
        do {
            co_await runtime::sleepFor(DrainPoll);
            now = m_parts.clock.now();
        } while (now < atMost && (now < atLeast || m_callers.busyConnections() > 0));
    }

    const GatewayParts m_parts;
    const GatewaySettings m_settings;
    State m_state;
    ConnectionPool m_pool;
    WeightDuty m_weightDuty;
    LoadExchange m_loads;
    std::set<std::string, std::less<>> m_evacuated;
    std::multiset<std::string, std::less<>> m_returning; ///< each as often as it came back and its endpoints weren't listed since
    bool m_isNewestConfigurationRead = false;
    std::set<std::string> m_followed;
    std::vector<std::unique_ptr<KindWatcher>> m_watchers;
    PathHandler m_readinessHandler;
    PathHandler m_metricsHandler;
    http::Server m_callers;
    http::Server m_readiness;
    http::Server m_metrics;
};

Gateway::Gateway(const GatewayParts &parts, const GatewaySettings &settings)
    : m_impl(std::make_unique<Impl>(parts, settings))
{
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_impl->start();
}

void Gateway::drain()
{
    m_impl->drain();
}

} // namespace burdock::gateway
