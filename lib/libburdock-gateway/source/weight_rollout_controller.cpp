#include "weight_rollout_controller.hpp"

#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace burdock::gateway {

namespace {

namespace http = runtime::http;
using runtime::LogLevel;

/** Period of the main loop, with and without replicas to update. */
constexpr Duration BusyPeriod = std::chrono::milliseconds(100);
constexpr Duration IdlePeriod = std::chrono::milliseconds(300);
/** Time after which a replica that still lacks the ordered weights is ordered again. */
constexpr Duration OrderRetryDelay = std::chrono::milliseconds(4000);
/** How often replicas with a pending order are polled for their status. */
constexpr Duration StatusPollPeriod = std::chrono::milliseconds(150);
constexpr Duration CallTimeout = std::chrono::milliseconds(800);
/** Attempts to read the lease record at startup; it doesn't exist until the first weights are announced. */
constexpr u32 LeaseReadAttempts = 3;
/** Maximum difference between the wall clocks of two VMs. */
constexpr Duration MaxClockSkew = std::chrono::milliseconds(2500);
constexpr const char *LeaseName = "weights";

u64 weightVersionOf(const endpoints::Endpoint &endpoint, std::string_view model)
{
    const auto version = endpoint.registration.weightVersions.find(model);
    return version == endpoint.registration.weightVersions.end() ? 0 : version->second;
}

/** @brief Returns how far the wall clock is ahead of a clock that shows the given time. */
Duration wallClockOffset(TimePoint now)
{
    const auto timeOfDay = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(timeOfDay) - now.time_since_epoch();
}

} // namespace

WeightRolloutController::WeightRolloutController(const GatewayDependencies &dependencies, const GatewaySettings &settings,
                                                 GatewayState &state, LimitObserver &limits, PermitExchange &permits)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_limits(limits)
    , m_permits(permits)
    , m_keeper(dependencies, settings, state, LeaseName)
    , m_vmName(settings.name)
{
}

boost::asio::awaitable<void> WeightRolloutController::run()
{
    co_await loadAnnouncementTimes();
    while (true) {
        if (!hasOutdatedReplicas() || m_state.isDraining) {
            m_state.endpoints.setLoading({});
            co_await runtime::sleepFor(IdlePeriod);
            continue;
        }
        const auto orders = dueOrders();
        co_await m_keeper.maintain(subjectsOf(orders));
        m_isLeader = m_keeper.noteLeadership();
        if (m_isLeader) {
            pollOrderedReplicas();
            sendOrders(orders);
        }
        updateLoading();
        co_await runtime::sleepFor(BusyPeriod);
    }
}

// After all processes were killed at once, no process knows when weights were announced; the lease record holds approximate times.
boost::asio::awaitable<void> WeightRolloutController::loadAnnouncementTimes()
{
    for (u32 tries = 0; tries < LeaseReadAttempts && m_keeper.lease().record() == nullptr; ++tries) {
        co_await m_keeper.read();
        co_await runtime::sleepFor(IdlePeriod);
    }
    while (!m_state.hasWeightList) {
        co_await runtime::sleepFor(IdlePeriod);
    }
    if (m_keeper.lease().record() == nullptr) {
        co_return;
    }
    const auto now = m_dependencies.clock.now();
    for (const auto &[model, announced] : m_keeper.lease().record()->announced) {
        const auto estimate = weights::shiftedBy(announced, -wallClockOffset(now) - MaxClockSkew);
        m_state.weights[model].setEstimate(estimate, now);
        m_dependencies.logger.event(LogLevel::Info, "weights_age_learnt",
                                    {{"model", model}, {"told_by", LeaseName}, {"versions", u64{estimate.size()}}});
    }
}

std::vector<weights::ReplicaWeights> WeightRolloutController::replicasOf(std::string_view model) const
{
    std::vector<weights::ReplicaWeights> replicas;
    for (const auto &[id, endpoint] : m_state.endpoints.all()) {
        const auto version = endpoint.registration.weightVersions.find(model);
        const bool isServing = !endpoint.isDeregistered && !endpoint.registration.isDraining;
        if (isServing && version != endpoint.registration.weightVersions.end()) {
            replicas.push_back({id, version->second, m_state.endpoints.loadAt(endpoint).memory});
        }
    }
    return replicas;
}

bool WeightRolloutController::hasOutdatedReplicas() const
{
    for (const auto &[model, announced] : m_state.weights) {
        for (const auto &replica : replicasOf(model)) {
            if (replica.version < announced.wanted()) {
                return true;
            }
        }
    }
    return false;
}

std::vector<std::string> WeightRolloutController::subjectsOf(const std::vector<DueOrder> &orders)
{
    std::vector<std::string> subjects;
    for (const auto &order : orders) {
        subjects.push_back(order.endpoint);
    }
    return subjects;
}

std::vector<WeightRolloutController::DueOrder> WeightRolloutController::dueOrders()
{
    const auto now = m_dependencies.clock.now();
    std::vector<DueOrder> orders;
    for (const auto &[model, announced] : m_state.weights) {
        m_keeper.lease().setAnnounced(model, weights::shiftedBy(announced.history(), wallClockOffset(now)));
        auto &rollout = m_rollouts.try_emplace(model, OrderRetryDelay).first->second;
        auto replicas = replicasOf(model);
        for (const auto &id : rollout.nextReplicas(announced.wanted(), replicas, now)) {
            if (!m_keeper.lease().isBlocked(id, now)) {
                orders.push_back({id, model, announced.wanted()});
            }
        }
    }
    return orders;
}

void WeightRolloutController::sendOrders(const std::vector<DueOrder> &orders)
{
    const auto now = m_dependencies.clock.now();
    for (const auto &order : orders) {
        const auto *endpoint = m_state.endpoints.find(order.endpoint);
        if (endpoint == nullptr || !m_keeper.lease().mayActOn(order.endpoint, now)) {
            continue;
        }
        m_keeper.lease().noteAct(order.endpoint, now);
        m_rollouts.at(order.model).noteOrdered(order.endpoint, order.version, now);
        auto work = sendOrder(order.endpoint, endpoint->registration.address, order.model, order.version);
        boost::asio::co_spawn(m_dependencies.context, std::move(work), boost::asio::detached);
    }
}

// Marks replicas as loading, so that no entry sends them requests that they would decline.
void WeightRolloutController::updateLoading()
{
    std::unordered_set<u64> loading;
    for (const auto &[model, rollout] : m_rollouts) {
        for (const auto &id : rollout.pendingReplicas()) {
            const auto *endpoint = m_state.endpoints.find(id);
            const auto version = endpoint == nullptr ? 0 : weightVersionOf(*endpoint, model);
            if (m_isLeader && endpoint != nullptr && version < m_state.wantedVersion(model)) {
                loading.insert(endpoint->hash);
            }
        }
    }
    m_state.endpoints.setLoading(std::move(loading));
}

void WeightRolloutController::pollOrderedReplicas()
{
    const auto now = m_dependencies.clock.now();
    if (now - m_lastPolledAt < StatusPollPeriod) {
        return;
    }
    m_lastPolledAt = now;
    for (const auto &[model, rollout] : m_rollouts) {
        for (const auto &id : rollout.pendingReplicas()) {
            boost::asio::co_spawn(m_dependencies.context, pollReplica(id, model), boost::asio::detached);
        }
    }
}

boost::asio::awaitable<void> WeightRolloutController::sendOrder(std::string id, std::string address, std::string model, u64 version)
{
    const auto status = co_await readStatus(id, address);
    auto &rollout = m_rollouts.at(model);
    if (!status || status->isBusy) {
        rollout.noteRefused(id, m_dependencies.clock.now());
        co_return;
    }
    if (!m_keeper.lease().mayActOn(id, m_dependencies.clock.now())) {
        rollout.noteRefused(id, m_dependencies.clock.now());
        co_return;
    }
    const WeightOrder order{model, version, m_vmName, m_keeper.lease().token(), status->acceptedOrders, id};
    const auto request = m_dependencies.codec.orderRequest(order);
    const auto result = co_await callEngine(id, address, request);
    const auto orderResult = result.progress == http::Progress::Answered ? m_dependencies.codec.readOrderResult(result.response.status)
                                                                         : WeightOrderResult::Unknown;
    m_dependencies.logger.event(LogLevel::Info, "weights_ordered",
                                {{"endpoint", id},
                                 {"model", model},
                                 {"version", version},
                                 {"token", order.token},
                                 {"orders_taken", order.acceptedOrders},
                                 {"status", u64{result.progress == http::Progress::Answered ? result.response.status : u16{0}}}});
    m_dependencies.metrics.count("burdock_weight_orders_total");
    if (orderResult == WeightOrderResult::Rejected) {
        rollout.noteRefused(id, m_dependencies.clock.now());
    }
    if (orderResult == WeightOrderResult::AlreadyLoaded) {
        m_state.endpoints.noteWeights(id, model, version);
    }
}

// Weights must be loaded in time whatever limit an engine names, so these calls don't wait for permits. But they count.
boost::asio::awaitable<http::Exchange> WeightRolloutController::callEngine(std::string id, std::string address, http::Request request)
{
    const auto *endpoint = m_state.endpoints.find(id);
    const LimitSource source{id, endpoint == nullptr ? 0 : endpoint->registration.startTimeMs, m_dependencies.clock.now()};
    m_permits.countUnconditional(id);
    auto result = co_await http::exchange(http::parseAddress(address), request, CallTimeout);
    if (result.progress == http::Progress::Answered && endpoint != nullptr) {
        m_limits.noteResponse(source, m_dependencies.codec.readResponse(result.response));
    }
    co_return result;
}

boost::asio::awaitable<std::optional<EngineStatus>> WeightRolloutController::readStatus(const std::string &id, const std::string &address)
{
    const auto request = m_dependencies.codec.engineStatusRequest();
    const auto result = co_await callEngine(id, address, request);
    if (result.progress != http::Progress::Answered) {
        co_return std::nullopt;
    }
    auto status = m_dependencies.codec.readEngineStatus(result.response.body);
    if (status) {
        for (const auto &[model, version] : status->weightVersions) {
            m_state.endpoints.noteWeights(id, model, version);
        }
    }
    co_return status;
}

boost::asio::awaitable<void> WeightRolloutController::pollReplica(std::string id, std::string model)
{
    const auto *endpoint = m_state.endpoints.find(id);
    if (endpoint == nullptr) {
        co_return;
    }
    const std::string address = endpoint->registration.address;
    const auto status = co_await readStatus(id, address);
    if (status && status->isBusy && status->running == 0) {
        m_rollouts.at(model).noteLoading(id);
    }
}

} // namespace burdock::gateway
