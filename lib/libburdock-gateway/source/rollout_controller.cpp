#include "rollout_controller.hpp"

#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

using rollout::OrderState;
using runtime::LogLevel;

constexpr Duration Period = std::chrono::milliseconds(100);
constexpr Duration WatchTime = std::chrono::milliseconds(3500);
constexpr const char *LeaseName = "rollouts";

} // namespace

RolloutController::RolloutController(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                                     RolloutTracker &tracker, ReadingExchange &reading)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_tracker(tracker)
    , m_keeper(dependencies, settings, state, LeaseName)
    , m_watcher(dependencies, ObjectKind::Rollouts, WatchTime, handlers(), reading)
{
}

boost::asio::awaitable<void> RolloutController::follow()
{
    co_await m_watcher.run();
}

ObjectHandlers RolloutController::handlers()
{
    const auto applyList = [this](const std::vector<StoredObject> &items) {
        m_tracker.applyList(items);
    };
    const auto applyChanges = [this](const ObjectChanges &changes) {
        for (const auto &object : changes.changed) {
            m_tracker.apply(object);
        }
        for (const auto &name : changes.removed) {
            m_tracker.remove(name);
        }
    };
    return {applyList, applyChanges};
}

boost::asio::awaitable<void> RolloutController::decide()
{
    while (true) {
        m_tracker.update();
        for (const auto &service : m_tracker.services()) {
            decide(service);
        }
        co_await runtime::sleepFor(Period);
    }
}

void RolloutController::decide(const std::string &service)
{
    const auto now = m_dependencies.clock.now();
    auto *order = m_tracker.order(service);
    auto *tracked = m_tracker.tracked(service);
    const bool isOpen = order != nullptr && tracked != nullptr && order->state() == OrderState::Active;
    if (!isOpen || !m_keeper.lease().mayAct(now)) {
        return;
    }
    auto &participant = tracked->participant;
    order->decide(participant.verdict(), now);
    if (order->state() == OrderState::Active) {
        participant.noteOwnWord(m_state.bootId, m_keeper.lease().token(), now);
        return;
    }
    const auto &finding = participant.verdict().finding();
    const bool isTooFew = order->state() == OrderState::Reverted && !participant.verdict().isBad();
    m_dependencies.logger.event(LogLevel::Info, "rollout_decided",
                                {{"service", service},
                                 {"target", order->record().target},
                                 {"state", toString(order->state())},
                                 {"fault", toString(isTooFew ? rollout::Fault::TooFewRequests : finding.fault)},
                                 {"route", finding.route},
                                 {"statistic", finding.statistic},
                                 {"bound", finding.bound},
                                 {"target_samples", finding.targetSamples},
                                 {"target_hits", finding.targetHits},
                                 {"other_samples", finding.otherSamples},
                                 {"other_hits", finding.otherHits},
                                 {"target_requests", participant.verdict().targetSamples()},
                                 {"left_ms", toMilliseconds(order->deadline() - now)},
                                 {"token", m_keeper.lease().token()}});
    m_dependencies.metrics.count("burdock_rollouts_decided_total",
                                 {{"service", service}, {"state", std::string(toString(order->state()))}});
}

boost::asio::awaitable<void> RolloutController::write()
{
    while (true) {
        if (m_tracker.needsHolder() && !m_state.isDraining) {
            co_await m_keeper.maintain({});
            m_keeper.noteLeadership();
            for (const auto &service : m_tracker.services()) {
                co_await writeDue(service);
            }
        }
        co_await runtime::sleepFor(Period);
    }
}

boost::asio::awaitable<void> RolloutController::writeDue(std::string service)
{
    auto *order = m_tracker.order(service);
    if (order != nullptr && order->mustRead()) {
        co_await readOrders();
        order = m_tracker.order(service);
    }
    const auto *tracked = m_tracker.tracked(service);
    const auto state = order == nullptr ? std::nullopt : order->dueWrite();
    if (!state || tracked == nullptr || !m_keeper.lease().mayAct(m_dependencies.clock.now())) {
        co_return;
    }
    const u64 written = tracked->order;
    const auto stored = tracked->stored;
    const auto target = order->record().target;
    order->noteWriting();
    const auto status = m_dependencies.codec.rolloutStatus(*state, target);
    const auto result = co_await m_dependencies.store.writeStatus(ObjectKind::Rollouts, stored, status);
    m_dependencies.logger.event(LogLevel::Info, "rollout_status_written",
                                {{"service", service},
                                 {"target", target},
                                 {"state", toString(*state)},
                                 {"done", result.status == StoreResult::Written},
                                 {"revision", result.revision}});
    // The order may have been replaced meanwhile.
    order = m_tracker.order(service);
    auto *current = m_tracker.tracked(service);
    if (order == nullptr || current == nullptr || current->order != written) {
        co_return;
    }
    if (result.status == StoreResult::Written) {
        order->noteWritten(*state, result.revision, m_dependencies.clock.now());
        current->stored.revision = std::max(current->stored.revision, result.revision);
    } else if (result.present) {
        m_tracker.apply(*result.present);
    }
}

// After a write without an answer, the record says whether it was carried out.
boost::asio::awaitable<void> RolloutController::readOrders()
{
    const auto list = co_await m_dependencies.store.list(ObjectKind::Rollouts, Freshness::Current);
    if (list.status == StoreResult::Found) {
        m_tracker.applyList(list.items);
    }
}

} // namespace burdock::gateway
