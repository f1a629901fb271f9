#include "weight_duty.hpp"

#include <burdock/clients/json_fields.hpp>
#include <burdock/hash/digest.hpp>
#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using runtime::LogLevel;

/** How often the duty is looked at, with and without something to do. */
constexpr Duration BusyPeriod = std::chrono::milliseconds(100);
constexpr Duration IdlePeriod = std::chrono::milliseconds(300);
/** How often others than the holder read the lease while there is something to do. */
constexpr Duration LeaseReadPeriod = std::chrono::milliseconds(400);
/** Time after which a replica without the ordered weights is ordered again. */
constexpr Duration OrderAgainAfter = std::chrono::milliseconds(4000);
/** How often replicas that load weights are asked how far they are. */
constexpr Duration LookPeriod = std::chrono::milliseconds(150);
constexpr Duration CallTimeout = std::chrono::milliseconds(800);
/** Reads of the record at the start; there is none before the first weights are named. */
constexpr u32 NamingTimeTries = 3;
/** How far the times of day of two VMs may lie apart. */
constexpr Duration ClockDisagreement = std::chrono::milliseconds(2500);
constexpr const char *LeaseName = "weights";

boost::json::array toJson(const weights::AnnouncementHistory &history)
{
    boost::json::array items;
    for (const auto &naming : history) {
        boost::json::object item{{"version", naming.version}};
        if (naming.notBefore) {
            item["unix_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*naming.notBefore).count();
        }
        items.push_back(std::move(item));
    }
    return items;
}

weights::AnnouncementHistory historyFrom(const boost::json::array &items)
{
    weights::AnnouncementHistory history;
    for (const auto &value : items) {
        if (const auto *item = value.if_object()) {
            const u64 unixMs = clients::numberOf(*item, "unix_ms");
            const auto notBefore = unixMs > 0 ? std::optional<Duration>(std::chrono::milliseconds(unixMs)) : std::nullopt;
            history.push_back({clients::numberOf(*item, "version"), notBefore});
        }
    }
    return history;
}

boost::json::value toJson(const weights::LeaseRecord &record)
{
    boost::json::object named;
    for (const auto &[model, naming] : record.announced) {
        named[model] = toJson(naming);
    }
    boost::json::array subjects(record.subjects.begin(), record.subjects.end());
    return {{"vm", record.vm},         {"boot", record.bootId},           {"token", record.token},
            {"beat", record.renewals}, {"subjects", std::move(subjects)}, {"named", std::move(named)}};
}

std::optional<weights::LeaseRecord> leaseFrom(const boost::json::value &spec)
{
    const auto *object = spec.if_object();
    if (object == nullptr || clients::textOf(*object, "vm").empty()) {
        return std::nullopt;
    }
    weights::LeaseRecord record{clients::textOf(*object, "vm"),
                                clients::numberOf(*object, "boot"),
                                clients::numberOf(*object, "token"),
                                clients::numberOf(*object, "beat"),
                                {},
                                {}};
    for (const auto &subject : clients::arrayOf(*object, "subjects")) {
        if (const auto *text = subject.if_string()) {
            record.subjects.emplace(*text);
        }
    }
    for (const auto &[model, value] : clients::objectOf(*object, "named")) {
        if (const auto *namings = value.if_array()) {
            record.announced[std::string(model)] = historyFrom(*namings);
        }
    }
    return record;
}

u64 weightsOf(const endpoints::Endpoint &endpoint, std::string_view model)
{
    const auto version = endpoint.registration.weightVersions.find(model);
    return version == endpoint.registration.weightVersions.end() ? 0 : version->second;
}

/** @brief How far the time of day is ahead of a clock that shows the given time. */
Duration timeOfDayAhead(TimePoint now)
{
    const auto timeOfDay = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(timeOfDay) - now.time_since_epoch();
}

} // namespace

WeightDuty::WeightDuty(const GatewayParts &parts, const GatewaySettings &settings, State &state)
    : m_parts(parts)
    , m_state(state)
    , m_lease(settings.name, parts.random.word() >> 1, settings.orderPause)
    , m_holder(settings.name)
{
}

boost::asio::awaitable<void> WeightDuty::run()
{
    co_await learnNamingTimes();
    while (true) {
        if (!isWanted() || m_state.isDraining) {
            m_state.endpoints.setLoading({});
            co_await runtime::sleepFor(IdlePeriod);
            continue;
        }
        const auto due = dueOrders();
        co_await keepLease(due);
        noteHolding();
        if (m_isHolding) {
            lookAtOrdered();
            giveOrders(due);
        }
        markLoading();
        co_await runtime::sleepFor(BusyPeriod);
    }
}

// Where all processes were killed at once, nobody remembers since when weights are named; the record of the duty says about when.
boost::asio::awaitable<void> WeightDuty::learnNamingTimes()
{
    for (u32 tries = 0; tries < NamingTimeTries && m_lease.record() == nullptr; ++tries) {
        co_await readLease();
        co_await runtime::sleepFor(IdlePeriod);
    }
    while (!m_state.hasWeights) {
        co_await runtime::sleepFor(IdlePeriod);
    }
    if (m_lease.record() == nullptr) {
        co_return;
    }
    const auto now = m_parts.clock.now();
    for (const auto &[model, named] : m_lease.record()->announced) {
        const auto estimate = weights::shiftedBy(named, -timeOfDayAhead(now) - ClockDisagreement);
        m_state.weights[model].setEstimate(estimate, now);
        m_parts.logger.event(LogLevel::Info, "weights_age_learnt",
                             {{"model", model}, {"told_by", LeaseName}, {"versions", u64{estimate.size()}}});
    }
}

std::vector<weights::ReplicaWeights> WeightDuty::replicasOf(std::string_view model) const
{
    std::vector<weights::ReplicaWeights> replicas;
    for (const auto &[id, endpoint] : m_state.endpoints.all()) {
        const auto version = endpoint.registration.weightVersions.find(model);
        const bool isServing = !endpoint.hasLeft && !endpoint.registration.isDraining;
        if (isServing && version != endpoint.registration.weightVersions.end()) {
            replicas.push_back({id, version->second, m_state.endpoints.loadAt(endpoint).memory});
        }
    }
    return replicas;
}

bool WeightDuty::isWanted() const
{
    for (const auto &[model, wanted] : m_state.weights) {
        for (const auto &replica : replicasOf(model)) {
            if (replica.version < wanted.wanted()) {
                return true;
            }
        }
    }
    return false;
}

boost::asio::awaitable<void> WeightDuty::keepLease(const std::vector<DueOrder> &due)
{
    std::vector<std::string> subjects;
    for (const auto &order : due) {
        subjects.push_back(order.endpoint);
    }
    const auto now = m_parts.clock.now();
    // Among many entries, those that come first by hash look more often, so that calls don't grow with the entries.
    if (!m_lease.mayAct(now) && now - m_leaseReadAt >= LeaseReadPeriod * (1 + rank())) {
        co_await readLease();
    }
    const auto write = m_lease.nextWrite(subjects, m_parts.clock.now());
    if (write) {
        co_await writeLease(*write);
    }
}

int WeightDuty::rank() const
{
    const auto score = [](const std::string &entry) {
        return hash::fast(entry);
    };
    return static_cast<int>(std::count_if(m_state.entries.begin(), m_state.entries.end(),
                                          [&](const std::string &entry) { return score(entry) > score(m_holder); }));
}

boost::asio::awaitable<void> WeightDuty::readLease()
{
    m_leaseReadAt = m_parts.clock.now();
    const auto list = co_await m_parts.store.list(ObjectKind::Duties, Freshness::Current);
    if (list.answer != StoreAnswer::Found) {
        co_return;
    }
    std::optional<weights::LeaseRecord> record;
    u64 revision = 0;
    for (const auto &item : list.items) {
        if (item.name == LeaseName) {
            record = leaseFrom(item.spec);
            revision = item.revision;
        }
    }
    m_lease.observe(record, revision, m_parts.clock.now());
}

boost::asio::awaitable<void> WeightDuty::writeLease(const weights::LeaderLease::Write &write)
{
    const auto started = m_parts.clock.now();
    const auto spec = toJson(write.record);
    const auto result = co_await m_parts.store.write(ObjectKind::Duties, LeaseName, spec, write.revision);
    const auto now = m_parts.clock.now();
    if (result.answer == StoreAnswer::Written) {
        m_lease.noteWritten(write.record, result.revision, started, now);
    } else if (result.present) {
        m_lease.observe(leaseFrom(result.present->spec), result.present->revision, now);
    }
}

void WeightDuty::noteHolding()
{
    const bool isHolding = m_lease.mayAct(m_parts.clock.now());
    if (isHolding != m_isHolding) {
        m_isHolding = isHolding;
        m_parts.logger.event(LogLevel::Info, isHolding ? "duty_gained" : "duty_lost", {{"duty", LeaseName}, {"token", m_lease.token()}});
    }
}

std::vector<WeightDuty::DueOrder> WeightDuty::dueOrders()
{
    const auto now = m_parts.clock.now();
    std::vector<DueOrder> orders;
    for (const auto &[model, named] : m_state.weights) {
        m_lease.setAnnounced(model, weights::shiftedBy(named.history(), timeOfDayAhead(now)));
        auto &rollout = m_rollouts.try_emplace(model, OrderAgainAfter).first->second;
        auto replicas = replicasOf(model);
        for (const auto &id : rollout.nextReplicas(named.wanted(), replicas, now)) {
            if (!m_lease.isBlocked(id, now)) {
                orders.push_back({id, model, named.wanted()});
            }
        }
    }
    return orders;
}

void WeightDuty::giveOrders(const std::vector<DueOrder> &due)
{
    const auto now = m_parts.clock.now();
    for (const auto &order : due) {
        const auto *endpoint = m_state.endpoints.find(order.endpoint);
        if (endpoint == nullptr || !m_lease.mayActOn(order.endpoint, now)) {
            continue;
        }
        m_lease.noteAct(order.endpoint, now);
        m_rollouts.at(order.model).noteOrdered(order.endpoint, order.version, now);
        auto work = this->order(order.endpoint, endpoint->registration.address, order.model, order.version);
        boost::asio::co_spawn(m_parts.context, std::move(work), boost::asio::detached);
    }
}

// So that no entry sends requests where they would only be declined.
void WeightDuty::markLoading()
{
    std::unordered_set<u64> loading;
    for (const auto &[model, rollout] : m_rollouts) {
        for (const auto &id : rollout.pendingReplicas()) {
            const auto *endpoint = m_state.endpoints.find(id);
            const auto version = endpoint == nullptr ? 0 : weightsOf(*endpoint, model);
            if (m_isHolding && endpoint != nullptr && version < m_state.wantedVersion(model)) {
                loading.insert(endpoint->hash);
            }
        }
    }
    m_state.endpoints.setLoading(std::move(loading));
}

void WeightDuty::lookAtOrdered()
{
    const auto now = m_parts.clock.now();
    if (now - m_lookedAt < LookPeriod) {
        return;
    }
    m_lookedAt = now;
    for (const auto &[model, rollout] : m_rollouts) {
        for (const auto &id : rollout.pendingReplicas()) {
            boost::asio::co_spawn(m_parts.context, look(id, model), boost::asio::detached);
        }
    }
}

boost::asio::awaitable<void> WeightDuty::order(std::string id, std::string address, std::string model, u64 version)
{
    const auto state = co_await report(id, address);
    auto &rollout = m_rollouts.at(model);
    if (!state || state->isBusy) {
        rollout.noteRefused(id, m_parts.clock.now());
        co_return;
    }
    if (!m_lease.mayActOn(id, m_parts.clock.now())) {
        rollout.noteRefused(id, m_parts.clock.now());
        co_return;
    }
    const WeightOrder order{model, version, m_holder, m_lease.token(), state->ordersTaken, id};
    const auto request = m_parts.dialect.orderRequest(order);
    const auto result = co_await http::exchange(http::parseAddress(address), request, CallTimeout);
    const auto answer
        = result.progress == http::Progress::Answered ? m_parts.dialect.readOrderAnswer(result.response.status) : OrderAnswer::Unknown;
    m_parts.logger.event(LogLevel::Info, "weights_ordered",
                         {{"endpoint", id},
                          {"model", model},
                          {"version", version},
                          {"token", order.token},
                          {"orders_taken", order.ordersTaken},
                          {"status", u64{result.progress == http::Progress::Answered ? result.response.status : u16{0}}}});
    m_parts.metrics.count("burdock_weight_orders_total");
    if (answer == OrderAnswer::Refused) {
        rollout.noteRefused(id, m_parts.clock.now());
    }
    if (answer == OrderAnswer::AlreadyHolds) {
        m_state.endpoints.noteWeights(id, model, version);
    }
}

boost::asio::awaitable<std::optional<EngineReport>> WeightDuty::report(const std::string &id, const std::string &address)
{
    const auto request = m_parts.dialect.reportRequest();
    const auto result = co_await http::exchange(http::parseAddress(address), request, CallTimeout);
    if (result.progress != http::Progress::Answered) {
        co_return std::nullopt;
    }
    auto state = m_parts.dialect.readReport(result.response.body);
    if (state) {
        for (const auto &[model, version] : state->weightVersions) {
            m_state.endpoints.noteWeights(id, model, version);
        }
    }
    co_return state;
}

boost::asio::awaitable<void> WeightDuty::look(std::string id, std::string model)
{
    const auto *endpoint = m_state.endpoints.find(id);
    if (endpoint == nullptr) {
        co_return;
    }
    const std::string address = endpoint->registration.address;
    const auto state = co_await report(id, address);
    if (state && state->isBusy && state->running == 0) {
        m_rollouts.at(model).noteLoading(id);
    }
}

} // namespace burdock::gateway
