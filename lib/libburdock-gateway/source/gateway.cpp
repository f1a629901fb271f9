#include <burdock/gateway/gateway.hpp>

#include "cache_follower.hpp"
#include "gateway_state.hpp"
#include "load_exchange.hpp"
#include "object_watcher.hpp"
#include "path_handler.hpp"
#include "reading_exchange.hpp"
#include "request_forwarder.hpp"
#include "rollout_controller.hpp"
#include "weight_rollout_controller.hpp"

#include <burdock/clients/json_fields.hpp>
#include <burdock/hash/digest.hpp>
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
 * How long a watch waits for changes. Shorter where the absence of changes must be known: keys are confirmed by the start of a watch that
 * was answered, so the confirmation is up to two waits old.
 */
constexpr Duration ConfigurationWait = std::chrono::milliseconds(1500);
constexpr Duration EndpointWait = std::chrono::milliseconds(1700);
constexpr Duration EvacuationWait = std::chrono::milliseconds(3500);
constexpr Duration WeightWait = std::chrono::milliseconds(1500);
/** Longest time for which a watch may miss changes. */
constexpr Duration MaxWatchLag = std::chrono::milliseconds(1000);
/** How long the endpoints of a returning zone count as cold if they can't be listed, and the delay between attempts to list them. */
constexpr Duration MaxColdAfterReturn = std::chrono::seconds(5);
constexpr Duration ReturnListRetryDelay = std::chrono::milliseconds(250);
/** How often the list of entries is read: later, at startup, and until the first read succeeds. */
constexpr Duration EntryListPeriod = std::chrono::seconds(5);
constexpr Duration InitialEntryListPeriod = std::chrono::seconds(1);
constexpr Duration EntryListRetryPeriod = std::chrono::milliseconds(500);
constexpr u32 InitialEntryListReads = 4;
/** How often expired connections and peer reports are removed and the log is flushed. */
constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(100);
/** How often the number of calls to the platform's store is logged. */
constexpr Duration StoreCallsPeriod = std::chrono::seconds(5);
/** Time in which callers get the answers to requests that are given up at the end of the grace period. */
constexpr Duration LastAnswersTime = std::chrono::milliseconds(100);
constexpr Duration DrainPollPeriod = std::chrono::milliseconds(50);
/** Timeout for sending one chunk of a response to the caller and for receiving one request body. */
constexpr Duration CallerIoTimeout = std::chrono::seconds(15);
constexpr u16 StatusOk = 200;
constexpr u16 StatusUnavailable = 503;
/** Bytes that a link of 1 Mbit/s carries in 1 ms. */
constexpr double BytesPerMsAndMegabit = 125.0;
/** Metric value of an unknown age. */
constexpr double UnknownAge = -1;

constexpr const char *LoadAddressField = "load_address";

std::string formatAddress(const http::Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

std::string formatTotals(const std::map<std::string, double> &totals)
{
    std::string text;
    for (const auto &[name, total] : totals) {
        text += text.empty() ? "" : ",";
        text += name + ":" + std::to_string(static_cast<u64>(total));
    }
    return text;
}

} // namespace

class Gateway::Impl : public http::Handler, private http::ConnectionGate
{
public:
    Impl(const GatewayDependencies &dependencies, const GatewaySettings &settings)
        : m_dependencies(dependencies)
        , m_settings(settings)
        , m_state(settings.name, settings.responseBytes, settings.clientBudget.messageBytes)
        , m_pool(settings.clientBudget.endpointConnections)
        , m_peerSocket(dependencies.context, settings.loadAddress)
        , m_origins(m_dependencies, m_settings, m_state, m_peerSocket)
        , m_limitObserver(m_dependencies, m_state)
        , m_noticeObserver(m_dependencies, m_state)
        , m_permits(m_dependencies, m_settings, m_state, m_peerSocket, m_limitObserver)
        , m_reading(m_dependencies, m_settings, m_state, m_peerSocket)
        , m_rollouts(m_dependencies, m_settings, m_state)
        , m_software(m_dependencies, m_settings, m_state, m_reading)
        , m_softwareController(m_dependencies, m_settings, m_state, m_rollouts, m_reading)
        , m_loadExchange(m_dependencies, m_settings, m_state, m_peerSocket, m_origins, m_permits, m_reading, m_rollouts)
        , m_rolloutController(m_dependencies, m_settings, m_state, m_limitObserver, m_permits)
        , m_readinessHandler(std::string(dependencies.codec.readinessPath()), [this] { return readinessResponse(); })
        , m_metricsHandler("/metrics", [this] { return metricsResponse(); })
        , m_callerServer(dependencies.context, settings.callerAddress, callerLimits({}), *this, http::ListenMode::Immediate, this)
        , m_readinessServer(dependencies.context, settings.readinessAddress, http::operatorLimits(m_operatorMemory), m_readinessHandler)
        , m_metricsServer(dependencies.context, settings.metricsAddress, http::operatorLimits(m_operatorMemory), m_metricsHandler)
    {
        m_state.bootId = dependencies.random.word();
        m_state.endpoints.coldAdmission().setLimit({settings.coldFactor, settings.coldSlack});
        addWatcher(ObjectKind::Configuration, ConfigurationWait, configurationHandlers());
        addWatcher(ObjectKind::Endpoints, EndpointWait, endpointHandlers());
        addWatcher(ObjectKind::Evacuations, EvacuationWait, evacuationHandlers());
        addWatcher(ObjectKind::Weights, WeightWait, weightHandlers());
    }

    void start()
    {
        for (const auto &watcher : m_watchers) {
            spawn(watcher->run());
        }
        spawn(m_rolloutController.run());
        spawn(m_software.run());
        if (m_settings.followsRollouts) {
            spawn(m_softwareController.follow());
            spawn(m_softwareController.decide());
            spawn(m_softwareController.write());
        }
        spawn(housekeeping());
        spawn(logStoreCalls());
        spawn(maintainEntryList());
        spawn(m_loadExchange.send());
        spawn(m_loadExchange.receive());
        spawn(m_reading.askOthers());
    }

    void drain()
    {
        if (!m_state.isDraining) {
            m_state.isDraining = true;
            m_state.stop.emplace(m_dependencies.clock.now(), m_settings.gracePeriod);
            m_callerServer.closeAfterAnswers();
            spawn(drainAndStop());
        }
    }

    boost::asio::awaitable<void> handle(const http::Request &request, http::Reply &reply) override
    {
        RequestForwarder forwarder(m_dependencies, m_settings, m_state, m_services, request, reply);
        const ForwarderEntry entry(m_forwarders, forwarder);
        co_await forwarder.run();
    }

    boost::asio::awaitable<void> refuseUnread(const http::Request &request, http::Reply &reply) override
    {
        RequestForwarder forwarder(m_dependencies, m_settings, m_state, m_services, request, reply);
        co_await forwarder.refuseUnread();
    }

private:
    /** @brief Lists a forwarder among the active ones during its lifetime. */
    class ForwarderEntry
    {
    public:
        ForwarderEntry(std::set<RequestForwarder *> &forwarders, RequestForwarder &forwarder)
            : m_forwarders(forwarders)
            , m_position(forwarders.insert(&forwarder).first)
        {
        }

        ~ForwarderEntry()
        {
            m_forwarders.erase(m_position);
        }

        ForwarderEntry(const ForwarderEntry &) = delete;
        ForwarderEntry &operator=(const ForwarderEntry &) = delete;

    private:
        std::set<RequestForwarder *> &m_forwarders;
        std::set<RequestForwarder *>::iterator m_position;
    };

    void addWatcher(ObjectKind kind, Duration wait, ObjectHandlers handlers)
    {
        m_watchers.emplace_back(std::make_unique<ObjectWatcher>(m_dependencies, kind, wait, std::move(handlers), m_reading));
    }

    [[nodiscard]] bool tryAdmit() override
    {
        const bool isAdmitted = !m_state.connectionShedding.mustClose();
        if (!isAdmitted) {
            m_dependencies.metrics.count("burdock_connections_turned_away_total", {{"reason", "overload"}});
        }
        return isAdmitted;
    }

    void noteFull() override
    {
        m_dependencies.metrics.count("burdock_connections_turned_away_total", {{"reason", "full"}});
    }

    void noteClosedForRoom(admission::ClientPhase phase) override
    {
        m_dependencies.metrics.count("burdock_connections_closed_total", {{"phase", std::string(toString(phase))}});
    }

    // Measured by this timer, as all handlers of the process wait in one queue.
    void measureOverload(TimePoint due)
    {
        const auto &peers = m_state.endpoints.peers();
        m_state.connectionShedding.setPeers(peers.peerCount(), peers.calmPeerCount());
        m_state.connectionShedding.noteLateness(m_dependencies.clock.now() - due);
        const bool isOverloaded = m_state.connectionShedding.isOverloaded();
        if (std::exchange(m_wasOverloaded, isOverloaded) != isOverloaded) {
            m_dependencies.logger.event(LogLevel::Warning, "overload",
                                        {{"has_begun", isOverloaded}, {"under_way", u64{m_state.activeRequests}}});
        }
    }

    void spawn(boost::asio::awaitable<void> work)
    {
        boost::asio::co_spawn(m_dependencies.context, std::move(work), [this](const std::exception_ptr &failure) {
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
            m_dependencies.logger.event(LogLevel::Error, "task_failed", {{"reason", std::string_view(error.what())}});
        }
        // A gateway that no longer follows the platform must not keep serving.
        m_dependencies.context.stop();
    }

    [[nodiscard]] http::ServerLimits callerLimits(const routing::CallerLimits &limits)
    {
        http::ServerLimits server;
        server.memory = &m_state.clientMemory;
        server.connections = m_settings.clientBudget.connections;
        server.headerBytes = limits.headerBytes;
        server.bodyBytes = limits.bodyBytes;
        server.headerTimeout = limits.headerTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.ioTimeout = CallerIoTimeout;
        return server;
    }

    [[nodiscard]] bool isReady() const
    {
        const bool hasLists = m_state.routes && m_state.endpointsKnownSince && m_state.hasEvacuationList && m_state.hasWeightList;
        return hasLists && m_rollouts.isReady() && !m_state.isDraining && m_state.areKeysCurrent(m_dependencies.clock.now(), m_settings);
    }

    [[nodiscard]] http::Response readinessResponse() const
    {
        http::Response response;
        response.status = isReady() ? StatusOk : StatusUnavailable;
        return response;
    }

    [[nodiscard]] http::Response metricsResponse()
    {
        m_dependencies.metrics.set("burdock_requests_under_way", m_state.activeRequests);
        m_dependencies.metrics.set("burdock_entries", m_state.entryCount);
        m_dependencies.metrics.set("burdock_limited_endpoints", static_cast<double>(m_state.endpoints.permits().limits().inForceCount()));
        const auto noticeCount = m_state.endpoints.notices().countInForce(m_dependencies.clock.now());
        m_dependencies.metrics.set("burdock_resting_endpoints", static_cast<double>(noticeCount));
        m_dependencies.metrics.set("burdock_crash_causes", static_cast<double>(m_state.crashes.causeCount(m_dependencies.clock.now())));
        if (m_state.routes) {
            m_dependencies.metrics.set("burdock_configuration_version", static_cast<double>(m_state.routes->configuration().version));
            const auto age = m_dependencies.clock.now() - m_state.configurationAsOf;
            m_dependencies.metrics.set("burdock_configuration_age_seconds", toMilliseconds(age) / 1000.0);
        }
        for (const auto &store : m_state.parts.stores()) {
            m_dependencies.metrics.set("burdock_kept_tokens", static_cast<double>(m_state.parts.storedTokens(store.address)),
                                       {{"store", store.address}});
            const double percent = m_state.fetchCosts.percentOfPrefill(store.address, m_dependencies.clock.now());
            m_dependencies.metrics.set("burdock_fetch_percent_of_reading", percent, {{"store", store.address}});
        }
        for (const auto &[model, announced] : m_state.weights) {
            for (const auto &announcement : announced.effectiveHistory()) {
                const auto age = m_dependencies.clock.now().time_since_epoch() - announcement.notBefore.value_or(Duration::zero());
                m_dependencies.metrics.set("burdock_named_weights_age_seconds",
                                           announcement.notBefore ? toMilliseconds(age) / 1000.0 : UnknownAge,
                                           {{"model", model}, {"version", std::to_string(announcement.version)}});
            }
        }
        http::Response response;
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = m_dependencies.metrics.text();
        return response;
    }

    ObjectHandlers configurationHandlers()
    {
        const auto applyAll = [this](const std::vector<StoredObject> &items) {
            for (const auto &item : items) {
                applyConfiguration(item);
            }
        };
        return {applyAll, [applyAll](const ObjectChanges &changes) { applyAll(changes.changed); },
                [this](TimePoint asOf, SyncSource /*source*/) { confirmConfiguration(asOf); }, nullptr,
                [this] {
                    return mustConfirmKeys();
                }};
    }

    // After this process was suspended, its keys are out of date. Waiting for a full long poll would reject requests with keys_unconfirmed
    // meanwhile, although the store responds; so the next watch returns at once. If the newest configuration is unreadable, no response
    // confirms it, and asking at once doesn't help.
    [[nodiscard]] bool mustConfirmKeys() const
    {
        return m_isNewestConfigurationReadable && !m_state.areKeysCurrent(m_dependencies.clock.now(), m_settings);
    }

    // An unreadable configuration may have revoked a key, which would stay valid for as long as the previous configuration is in force. So
    // the previous one isn't confirmed any more, and all keys are rejected once it is too old.
    void confirmConfiguration(TimePoint asOf)
    {
        if (m_isNewestConfigurationReadable) {
            m_state.configurationAsOf = std::max(m_state.configurationAsOf, asOf);
        }
    }

    void applyConfiguration(const StoredObject &object)
    {
        auto parsed = m_dependencies.codec.readConfiguration(object.spec);
        m_isNewestConfigurationReadable = parsed.has_value();
        if (!parsed) {
            m_dependencies.logger.event(LogLevel::Error, "configuration_unreadable",
                                        {{"name", object.name}, {"revision", object.revision}});
            m_dependencies.metrics.count("burdock_configurations_unreadable_total");
            return;
        }
        const u64 currentVersion = m_state.routes ? m_state.routes->configuration().version : 0;
        // A list may be older than the configuration in force; the version must not go back.
        if (parsed->version <= currentVersion) {
            return;
        }
        m_dependencies.logger.event(LogLevel::Info, "configuration_taken",
                                    {{"version", parsed->version},
                                     {"before", currentVersion},
                                     {"revision", object.revision},
                                     {"routes", u64{parsed->routes.size()}},
                                     {"customers", u64{parsed->customers.size()}}});
        m_state.routes = std::make_shared<const routing::RouteTable>(std::move(*parsed));
        applyServices(m_state.routes->configuration());
        forgetAnswerTimes(m_state.routes->configuration());
        m_callerServer.setLimits(callerLimits(m_state.routes->configuration().limits));
    }

    /** @brief Forgets the answer times of routes that are gone. */
    void forgetAnswerTimes(const routing::Configuration &configuration)
    {
        std::set<std::string_view> names;
        for (const auto &route : configuration.routes) {
            names.insert(route.name);
        }
        m_state.answerTimes.keepOnly([&names](std::string_view route) { return names.count(route) > 0; });
    }

    /** @brief Returns the size of a cached token, by the first engines that give it; zero if none do. */
    static double cachedTokenBytes(const routing::Configuration &configuration)
    {
        for (const auto &service : configuration.services) {
            if (service.engine && service.engine->tokenBytes > 0) {
                return service.engine->tokenBytes;
            }
        }
        return 0;
    }

    void applyServices(const routing::Configuration &configuration)
    {
        std::vector<cache::PartStore> stores;
        const double tokenBytes = cachedTokenBytes(configuration);
        for (const auto &service : configuration.services) {
            const u64 cacheTokens = service.engine ? service.engine->cacheTokens : 0;
            m_state.endpoints.setServiceLimits(service.name, cacheTokens, service.coldRequestsPerSecond);
            if (service.cacheStore && service.cacheStore->isManaged) {
                const auto &store = *service.cacheStore;
                const double tokensPerMs = tokenBytes > 0 ? store.linkMegabitsPerSecond * BytesPerMsAndMegabit / tokenBytes : 0;
                stores.push_back({store.address, store.zone, store.cacheTokens, tokensPerMs, store.transferDelay});
            }
        }
        m_state.parts.setStores(stores);
        for (const auto &store : stores) {
            if (m_followedStores.insert(store.address).second) {
                spawn(followStore(store.address));
            }
        }
    }

    boost::asio::awaitable<void> followStore(std::string address)
    {
        CacheFollower follower(m_dependencies, m_settings, m_state, address);
        co_await follower.run();
        m_followedStores.erase(address);
    }

    ObjectHandlers endpointHandlers()
    {
        const auto applyList = [this](const std::vector<StoredObject> &items) {
            std::set<std::string, std::less<>> ids;
            for (const auto &item : items) {
                ids.insert(item.name);
                applyRegistration(item);
            }
            const auto now = m_dependencies.clock.now();
            m_state.endpoints.keepOnly(ids, now);
            // What came and went between the last change and a list isn't known.
            m_state.endpointsKnownSince = now;
        };
        const auto applyChanges = [this](const ObjectChanges &changes) {
            for (const auto &object : changes.superseded) {
                if (const auto registration = m_dependencies.codec.readRegistration(object.name, object.spec)) {
                    m_state.endpoints.noteSoftwareSeen(*registration, m_dependencies.clock.now());
                }
            }
            for (const auto &object : changes.changed) {
                applyRegistration(object);
            }
            for (const auto &id : changes.removed) {
                m_dependencies.logger.event(LogLevel::Info, "endpoint_gone", {{"endpoint", id}, {"revision", changes.revision}});
                m_state.endpoints.remove(id, m_dependencies.clock.now());
                m_pool.discard(id);
            }
        };
        return {applyList, applyChanges};
    }

    void applyRegistration(const StoredObject &object)
    {
        const auto registration = m_dependencies.codec.readRegistration(object.name, object.spec);
        if (!registration) {
            m_dependencies.logger.event(LogLevel::Warning, "endpoint_unreadable",
                                        {{"endpoint", object.name}, {"revision", object.revision}});
            m_state.endpoints.remove(object.name, m_dependencies.clock.now());
            return;
        }
        const auto *known = m_state.endpoints.find(registration->id);
        const bool isNew = known == nullptr || known->registration.startTimeMs != registration->startTimeMs;
        if (isNew || known->registration.isDraining != registration->isDraining || registration->remainingColdTime > Duration::zero()) {
            m_dependencies.logger.event(LogLevel::Info, "endpoint_seen",
                                        {{"endpoint", registration->id},
                                         {"address", registration->address},
                                         {"zone", registration->zone},
                                         {"service", registration->service},
                                         {"software", registration->softwareVersion},
                                         {"draining", registration->isDraining},
                                         {"cold_ms", toMilliseconds(registration->remainingColdTime)},
                                         {"born_ms", registration->startTimeMs},
                                         {"revision", object.revision}});
        }
        if (isNew) {
            m_pool.discard(registration->id);
        }
        m_state.endpoints.setRegistration(*registration, m_dependencies.clock.now());
    }

    ObjectHandlers evacuationHandlers()
    {
        const auto applyList = [this](const std::vector<StoredObject> &items) {
            std::set<std::string, std::less<>> listed;
            for (const auto &item : items) {
                listed.insert(item.name);
            }
            for (const auto &zone : std::exchange(m_evacuatedZones, listed)) {
                if (listed.count(zone) == 0) {
                    startZoneReturn(zone);
                }
            }
            applyEvacuations();
            m_state.hasEvacuationList = true;
        };
        const auto applyChanges = [this](const ObjectChanges &changes) {
            for (const auto &object : changes.changed) {
                m_evacuatedZones.insert(object.name);
            }
            for (const auto &name : changes.removed) {
                if (m_evacuatedZones.erase(name) > 0) {
                    startZoneReturn(name);
                }
            }
            applyEvacuations();
        };
        return {applyList, applyChanges};
    }

    // The endpoints of a returning zone may have become cold. If the watch of evacuations is answered before that of endpoints, cold
    // endpoints would receive a full load at once. So they count as cold until a list that is read after the return says otherwise.
    void startZoneReturn(const std::string &zone)
    {
        m_returningZones.insert(zone);
        applyReturningZones();
        spawn(listReturnedEndpoints(zone));
    }

    boost::asio::awaitable<void> listReturnedEndpoints(std::string zone)
    {
        const auto until = m_dependencies.clock.now() + MaxColdAfterReturn;
        while (m_dependencies.clock.now() < until) {
            const auto list = co_await m_dependencies.store.list(ObjectKind::Endpoints, Freshness::Current);
            if (list.status == StoreResult::Found) {
                noteColdTimes(list);
                break;
            }
            co_await runtime::sleepFor(ReturnListRetryDelay);
        }
        m_returningZones.erase(m_returningZones.find(zone));
        applyReturningZones();
    }

    // The watch may have received newer changes than this list, so only the cold times are taken from it.
    void noteColdTimes(const ObjectList &list)
    {
        for (const auto &item : list.items) {
            if (const auto registration = m_dependencies.codec.readRegistration(item.name, item.spec)) {
                m_state.endpoints.noteCold(registration->id, registration->remainingColdTime, m_dependencies.clock.now());
            }
        }
    }

    void applyReturningZones()
    {
        m_state.endpoints.setReturningZones({m_returningZones.begin(), m_returningZones.end()});
    }

    void applyEvacuations()
    {
        for (const auto &zone : m_evacuatedZones) {
            m_dependencies.logger.event(LogLevel::Info, "zone_out", {{"zone", zone}});
        }
        m_state.endpoints.setEvacuatedZones(m_evacuatedZones);
    }

    ObjectHandlers weightHandlers()
    {
        const auto applyAll = [this](const std::vector<StoredObject> &items) {
            for (const auto &item : items) {
                applyWeights(item);
            }
        };
        const auto applyList = [this, applyAll](const std::vector<StoredObject> &items) {
            applyAll(items);
            m_state.hasWeightList = true;
        };
        // Watches may miss changes for a moment before the store drops its history.
        const auto onSynced = [this](TimePoint asOf, SyncSource source) {
            m_state.weightsAsOf = std::max(m_state.weightsAsOf, source == SyncSource::Watch ? asOf - MaxWatchLag : asOf);
        };
        const auto onIdleWatch = [onSynced](TimePoint until) {
            onSynced(until, SyncSource::Watch);
        };
        return {applyList, [applyAll](const ObjectChanges &changes) { applyAll(changes.changed); }, onSynced, onIdleWatch};
    }

    void applyWeights(const StoredObject &object)
    {
        const auto announced = m_dependencies.codec.readAnnouncedWeights(object.spec);
        if (!announced) {
            m_dependencies.logger.event(LogLevel::Error, "weights_unreadable", {{"name", object.name}, {"revision", object.revision}});
            return;
        }
        // The age counts from the latest time up to which nothing newer is known to have been announced, as a process that was suspended or
        // cut off receives announcements late. The store doesn't say when weights were announced before this process started.
        const auto now = m_dependencies.clock.now();
        const auto notBefore = m_state.hasWeightList ? std::optional(m_state.weightsAsOf) : std::nullopt;
        if (m_state.weights[announced->model].noteAnnounced(announced->version, notBefore, now)) {
            m_dependencies.logger.event(LogLevel::Info, "weights_named",
                                        {{"model", announced->model},
                                         {"version", announced->version},
                                         {"is_age_known", notBefore.has_value()},
                                         {"age_ms", toMilliseconds(now - notBefore.value_or(now))}});
        }
    }

    boost::asio::awaitable<void> housekeeping()
    {
        while (true) {
            const auto due = m_dependencies.clock.now() + HousekeepingPeriod;
            co_await runtime::sleepFor(HousekeepingPeriod);
            measureOverload(due);
            m_pool.closeExpired(m_dependencies.clock.now());
            m_state.endpoints.peers().expire(m_dependencies.clock.now());
            updatePermits();
            logCrashCauses();
            m_dependencies.logger.flush();
        }
    }

    void updatePermits()
    {
        const auto now = m_dependencies.clock.now();
        auto &permits = m_state.endpoints.permits();
        const auto isKnown = [this](u64 endpoint) {
            return m_state.endpoints.findByHash(endpoint) != nullptr;
        };
        permits.limits().expire(isKnown, now);
        permits.update(now);
        m_state.endpoints.notices().expire(isKnown, now);
    }

    void logCrashCauses()
    {
        const auto count = m_state.crashes.causeCount(m_dependencies.clock.now());
        if (std::exchange(m_loggedCrashCauses, count) != count) {
            m_dependencies.logger.event(LogLevel::Warning, "crash_causes", {{"count", u64{count}}});
        }
    }

    boost::asio::awaitable<void> logStoreCalls()
    {
        while (true) {
            co_await runtime::sleepFor(StoreCallsPeriod);
            const auto kinds = formatTotals(m_dependencies.metrics.totals("burdock_store_calls_total", "kind"));
            const auto methods = formatTotals(m_dependencies.metrics.totals("burdock_store_calls_total", "method"));
            m_dependencies.logger.event(LogLevel::Info, "store_calls",
                                        {{"kinds", std::string_view(kinds)}, {"methods", std::string_view(methods)}});
        }
    }

    // Registers this entry in the platform's list of entries, and reads the list, as limits that hold for all entries together are divided
    // among them.
    boost::asio::awaitable<void> maintainEntryList()
    {
        bool isRegistered = false;
        u32 reads = 0;
        while (!m_state.isDraining) {
            if (!isRegistered) {
                const boost::json::value spec{{"zone", m_settings.zone}, {LoadAddressField, formatAddress(m_settings.loadAddress)}};
                const auto result = co_await m_dependencies.store.write(ObjectKind::Entries, m_settings.name, spec, std::nullopt);
                isRegistered = result.status == StoreResult::Written || result.status == StoreResult::Conflict;
            }
            const auto list = co_await m_dependencies.store.list(ObjectKind::Entries, Freshness::MayBeStale);
            if (list.status == StoreResult::Found) {
                applyEntryList(list);
                ++reads;
                // A removal by the predecessor on this VM may have been executed late. The first lists may be older than the entry.
                isRegistered = isRegistered && (reads < InitialEntryListReads || isOwnEntryListed());
            }
            co_await runtime::sleepFor(entryListPause(reads));
        }
    }

    [[nodiscard]] bool isOwnEntryListed() const
    {
        return std::find(m_state.entryNames.begin(), m_state.entryNames.end(), m_settings.name) != m_state.entryNames.end();
    }

    static Duration entryListPause(u32 reads)
    {
        if (reads == 0) {
            return EntryListRetryPeriod;
        }
        // When all VMs start together, the other entries register within moments.
        return reads <= InitialEntryListReads ? InitialEntryListPeriod : EntryListPeriod;
    }

    void applyEntryList(const ObjectList &list)
    {
        m_state.entryNames.clear();
        std::map<std::string, std::string, std::less<>> peers;
        for (const auto &item : list.items) {
            m_state.entryNames.push_back(item.name);
            const auto *spec = item.spec.if_object();
            if (spec != nullptr && item.name != m_settings.name) {
                peers[item.name] = clients::textOf(*spec, LoadAddressField);
            }
        }
        m_peerSocket.setPeers(peers);
        m_state.setEntryCount(static_cast<u32>(list.items.size()));
        m_state.endpoints.peers().setListed(m_state.entryNames);
        m_state.endpoints.coldAdmission().setEntries(m_settings.name, m_state.entryNames);
        m_state.crashes.setMembers(m_settings.name, m_state.entryNames);
        const auto reportPeriod = endpoints::LoadReporter::period(peers.size());
        m_reading.setEntries(m_state.entryNames, reportPeriod);
        m_state.endpoints.turns().setEntries(list.items.size(), reportPeriod);
        m_state.endpoints.notices().setEntryCount(list.items.size());
        std::vector<u64> entries;
        for (const auto &name : m_state.entryNames) {
            entries.push_back(hash::hash64(name));
        }
        m_state.endpoints.permits().coordinators().setEntries(entries, reportPeriod);
    }

    boost::asio::awaitable<void> drainAndStop()
    {
        m_dependencies.logger.event(LogLevel::Info, "draining", {{"under_way", u64{m_state.activeRequests}}});
        const auto started = m_dependencies.clock.now();
        const auto end = m_state.stop->cutAt();
        static_cast<void>(co_await m_dependencies.store.remove(ObjectKind::Entries, m_settings.name));
        co_await waitUntilIdle(m_state.stop->takeUntil(), end);
        m_callerServer.stopListening();
        co_await waitUntilIdle(started, end);
        m_callerServer.closeIdle();
        co_await waitUntilIdle(started, end);
        m_dependencies.logger.event(LogLevel::Info, "drained", {{"cut", u64{m_callerServer.busyConnections()}}});
        cutOffRequests();
        co_await waitUntilIdle(started, m_dependencies.clock.now() + LastAnswersTime);
        // What requests hold must be returned while this object exists; the context outlives it.
        m_callerServer.cancelAll();
        co_await waitUntilIdle(started, m_dependencies.clock.now() + LastAnswersTime);
        m_dependencies.context.stop();
    }

    void cutOffRequests()
    {
        for (auto *forwarder : m_forwarders) {
            forwarder->cutOff();
        }
    }

    /** @brief Waits until atLeast, and then until no request is active, but no longer than until atMost. */
    boost::asio::awaitable<void> waitUntilIdle(TimePoint atLeast, TimePoint atMost)
    {
        TimePoint now;
        do {
            co_await runtime::sleepFor(DrainPollPeriod);
            now = m_dependencies.clock.now();
        } while (now < atMost && (now < atLeast || m_callerServer.busyConnections() > 0));
    }

    const GatewayDependencies m_dependencies;
    const GatewaySettings m_settings;
    GatewayState m_state;
    ConnectionPool m_pool;
    PeerSocket m_peerSocket;
    OriginExchange m_origins;
    LimitObserver m_limitObserver;
    NoticeObserver m_noticeObserver;
    PermitExchange m_permits;
    ReadingExchange m_reading;
    RolloutTracker m_rollouts;
    SoftwareKeeper m_software;
    RolloutController m_softwareController;
    const ForwardingServices m_services{m_pool,    m_origins,  m_limitObserver, m_noticeObserver,
                                        m_permits, m_rollouts, m_software,      m_callerServer};
    std::set<RequestForwarder *> m_forwarders; ///< of the requests under way
    LoadExchange m_loadExchange;
    WeightRolloutController m_rolloutController;
    std::set<std::string, std::less<>> m_evacuatedZones;
    std::multiset<std::string, std::less<>> m_returningZones; ///< once per return after which its endpoints haven't been listed yet
    bool m_isNewestConfigurationReadable = false;
    std::size_t m_loggedCrashCauses = 0;
    bool m_wasOverloaded = false;
    std::set<std::string> m_followedStores;
    std::vector<std::unique_ptr<ObjectWatcher>> m_watchers;
    PathHandler m_readinessHandler;
    PathHandler m_metricsHandler;
    admission::ClientMemory m_operatorMemory{http::OperatorMessageBytes};
    http::Server m_callerServer;
    http::Server m_readinessServer;
    http::Server m_metricsServer;
};

Gateway::Gateway(const GatewayDependencies &dependencies, const GatewaySettings &settings)
    : m_impl(std::make_unique<Impl>(dependencies, settings))
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
