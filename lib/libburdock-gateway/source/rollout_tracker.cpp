#include "rollout_tracker.hpp"

#include <burdock/hash/digest.hpp>
#include <burdock/schema/rollout_news.hpp>

#include <algorithm>
#include <set>

namespace burdock::gateway {

namespace {

using endpoints::Endpoint;
using endpoints::SelectionFailure;
using rollout::TargetUse;
using runtime::LogLevel;

/** Time in which all entries learn that the same order was given again. */
constexpr Duration RepeatedOrderPause = std::chrono::seconds(3);

u64 orderHash(const rollout::OrderRecord &record)
{
    const u64 what = hash::hash64(record.target, hash::hash64(record.service));
    return hash::mix64(what ^ hash::mix64(record.createdRevision ^ hash::mix64(static_cast<u64>(record.duration.count()))));
}

u64 softwareOf(std::string_view service, std::string_view version)
{
    return hash::hash64(version, hash::hash64(service));
}

std::string_view nameOf(rollout::RolloutTable::Event event)
{
    switch (event) {
    case rollout::RolloutTable::Event::Started:
        return "started";
    case rollout::RolloutTable::Event::Replaced:
        return "replaced";
    case rollout::RolloutTable::Event::Withdrawn:
        return "withdrawn";
    default:
        return "known";
    }
}

} // namespace

RolloutTracker::RolloutTracker(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
{
}

bool RolloutTracker::isReady() const
{
    return m_isListed || !m_settings.followsRollouts;
}

void RolloutTracker::applyList(const std::vector<StoredObject> &objects)
{
    std::set<std::string, std::less<>> names;
    for (const auto &object : objects) {
        names.insert(object.name);
        apply(object);
    }
    for (const auto &service : services()) {
        if (names.count(service) == 0) {
            remove(service);
        }
    }
    m_isListed = true;
}

void RolloutTracker::apply(const StoredObject &object)
{
    const auto record = m_dependencies.codec.readRolloutOrder(object);
    if (!record) {
        noteRejected(object);
        return;
    }
    m_rejected.erase(object.name);
    const auto now = m_dependencies.clock.now();
    const auto event = m_table.observe(*record, now);
    const auto known = m_tracked.find(object.name);
    if (event == rollout::RolloutTable::Event::Known) {
        if (known != m_tracked.end() && object.revision >= known->second.stored.revision) {
            known->second.stored = object;
        }
        return;
    }
    const u64 order = orderHash(*record);
    const bool isRepeated = known != m_tracked.end() && known->second.order == order;
    const auto deafUntil = isRepeated ? now + RepeatedOrderPause : now;
    m_tracked.insert_or_assign(object.name, Tracked{order, object, rollout::OrderParticipant(m_settings.rolloutShare, now, deafUntil)});
    noteServing(object.name);
    m_dependencies.logger.event(LogLevel::Info, "rollout_seen",
                                {{"service", record->service},
                                 {"target", record->target},
                                 {"change", nameOf(event)},
                                 {"state", toString(m_table.find(object.name)->state())},
                                 {"duration_ms", toMilliseconds(record->duration)},
                                 {"revision", object.revision}});
}

void RolloutTracker::remove(const std::string &name)
{
    m_rejected.erase(name);
    if (m_table.remove(name, m_dependencies.clock.now()) == rollout::RolloutTable::Event::Withdrawn) {
        m_dependencies.logger.event(LogLevel::Info, "rollout_seen",
                                    {{"service", name}, {"change", nameOf(rollout::RolloutTable::Event::Withdrawn)}});
    }
}

void RolloutTracker::noteRejected(const StoredObject &object)
{
    const auto known = m_rejected.find(object.name);
    if (known != m_rejected.end() && known->second == object.revision) {
        return;
    }
    remove(object.name);
    m_rejected[object.name] = object.revision;
    m_dependencies.logger.event(LogLevel::Error, "rollout_unreadable", {{"name", object.name}, {"revision", object.revision}});
    m_dependencies.metrics.count("burdock_rollouts_unreadable_total");
}

endpoints::Selection RolloutTracker::choose(endpoints::SelectionRequest request)
{
    const auto now = m_dependencies.clock.now();
    if (!isReady()) {
        endpoints::Selection none;
        none.reason = SelectionFailure::NoEndpoint;
        return none;
    }
    const auto rule = ruleFor(request.service);
    if (rule.use == TargetUse::Unrestricted && rule.excluded.empty()) {
        return m_state.endpoints.choose(request, now);
    }
    const u64 target = softwareOf(request.service, rule.target);
    std::set<u64> excluded;
    for (const auto &version : rule.excluded) {
        excluded.insert(softwareOf(request.service, version));
    }
    const auto *own = tracked(request.service);
    const bool mayUseTarget
        = rule.use == TargetUse::Only || (rule.use == TargetUse::Limited && own != nullptr && own->participant.maySend(now));
    if (mayUseTarget) {
        request.mayUse = [target](const Endpoint &endpoint) {
            return endpoint.software == target;
        };
        auto selection = m_state.endpoints.choose(request, now);
        if (selection.reason == SelectionFailure::None) {
            return selection;
        }
    }
    // Where the others are about to end, or there are none, those that still take requests are better than none.
    const bool isTargetExcluded = rule.use == TargetUse::Limited || rule.use == TargetUse::None;
    request.mayUse = [target, isTargetExcluded, excluded = std::move(excluded)](const Endpoint &endpoint) {
        return excluded.count(endpoint.software) == 0 && (!isTargetExcluded || endpoint.software != target);
    };
    return m_state.endpoints.choose(request, now);
}

std::optional<RolloutTracker::Ticket> RolloutTracker::noteSent(const Endpoint &endpoint)
{
    const auto &registration = endpoint.registration;
    auto *order = m_table.find(registration.service);
    auto *own = tracked(registration.service);
    if (order == nullptr || own == nullptr || order->state() != rollout::OrderState::Active) {
        return std::nullopt;
    }
    const bool isTarget = registration.softwareVersion == order->record().target;
    if (isTarget) {
        own->participant.noteSent();
    }
    m_dependencies.metrics.count("burdock_rollout_requests_total",
                                 {{"service", registration.service}, {"version", isTarget ? "target" : "others"}});
    const u64 replica = hash::mix64(endpoint.hash ^ hash::mix64(registration.startTimeMs));
    return Ticket{registration.service, own->order, isTarget ? rollout::Side::Target : rollout::Side::Others, replica};
}

void RolloutTracker::noteEnd(const Ticket &ticket, const rollout::Observation &observation, bool isAnswer)
{
    auto *own = tracked(ticket.service);
    if (own == nullptr || own->order != ticket.order) {
        return;
    }
    if (isAnswer) {
        own->participant.noteAnswered(observation.sentAt);
    }
    own->participant.note(observation, m_dependencies.clock.now());
}

void RolloutTracker::update()
{
    const auto now = m_dependencies.clock.now();
    for (const auto &service : services()) {
        auto *order = m_table.find(service);
        auto *own = tracked(service);
        if (own == nullptr) {
            continue;
        }
        if (order->state() == rollout::OrderState::Active) {
            noteServing(service);
            own->participant.judge(m_settings.name, m_state.bootId, *order, now);
            m_dependencies.metrics.set("burdock_rollout_statistic", own->participant.verdict().finding().statistic, {{"service", service}});
        }
        if (order->isOver(now)) {
            m_tracked.erase(service);
        }
    }
    m_table.removeOld(now);
}

void RolloutTracker::addNews(schema::EntryLoad &message) const
{
    const auto now = m_dependencies.clock.now();
    for (const auto &[service, own] : m_tracked) {
        const auto *order = m_table.find(service);
        if (order != nullptr && !order->record().isDecided()) {
            *message.add_rollouts() = schema::toMessage(own.order, own.participant.news(*order, now));
        }
    }
}

void RolloutTracker::applyNews(const schema::EntryLoad &message)
{
    const auto now = m_dependencies.clock.now();
    for (const auto &item : message.rollouts()) {
        const auto known
            = std::find_if(m_tracked.begin(), m_tracked.end(), [&item](const auto &entry) { return entry.second.order == item.order(); });
        const auto news = schema::toNews(item);
        if (!news) {
            m_dependencies.metrics.count("burdock_loads_unreadable_total");
            continue;
        }
        auto *order = known == m_tracked.end() ? nullptr : m_table.find(known->first);
        if (order != nullptr) {
            known->second.participant.take(message.entry(), message.boot_id(), *news, *order, now);
        }
    }
}

bool RolloutTracker::needsHolder() const
{
    return std::any_of(m_tracked.begin(), m_tracked.end(), [this](const auto &entry) {
        const auto *order = m_table.find(entry.first);
        const bool isOpen = order != nullptr && (order->mustRead() || order->dueWrite() || !order->record().isDecided());
        return isOpen && !order->isWithdrawn();
    });
}

std::vector<std::string> RolloutTracker::services() const
{
    return m_table.services();
}

rollout::RolloutOrder *RolloutTracker::order(std::string_view service)
{
    return m_table.find(service);
}

RolloutTracker::Tracked *RolloutTracker::tracked(std::string_view service)
{
    const auto known = m_tracked.find(service);
    return known == m_tracked.end() ? nullptr : &known->second;
}

rollout::SoftwareRule RolloutTracker::ruleFor(std::string_view service)
{
    const auto now = m_dependencies.clock.now();
    auto rule = m_table.rule(service, now);
    const auto *order = m_table.find(service);
    const bool isUndecided = order != nullptr && order->state() == rollout::OrderState::Active;
    if (rule.use == TargetUse::Unrestricted && isUndecided) {
        noteServing(service);
        rule = m_table.rule(service, now);
    }
    return rule;
}

void RolloutTracker::noteServing(std::string_view service)
{
    for (const auto &[id, endpoint] : m_state.endpoints.all()) {
        const auto &registration = endpoint.registration;
        if (registration.service == service && !registration.isDraining && !endpoint.isDeregistered) {
            m_table.noteServing(service, registration.softwareVersion, m_dependencies.clock.now());
        }
    }
}

} // namespace burdock::gateway
