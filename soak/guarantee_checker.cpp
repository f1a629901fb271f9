#include "guarantee_checker.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace soak {

namespace {

constexpr std::array<std::string_view, 4> KindNames{"once", "read", "prompt", "poison"};
constexpr u16 Ok = 200;
constexpr u16 Unauthorized = 401;
constexpr u16 NotFound = 404;
constexpr std::array<u16, 4> NotRunStatuses{408, 421, 429, 503};
/** Differences of the moments at which a caller, the operator and an endpoint look at their clocks. */
constexpr Duration Slack = std::chrono::milliseconds(150);
/** The path of a request on loopback. */
constexpr Duration WeightsSlack = std::chrono::milliseconds(10);

bool saysNotRun(u16 status)
{
    return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status) != NotRunStatuses.end();
}

} // namespace

std::string_view toString(CallKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

std::string gatewaySubject(u32 gateway)
{
    return "gateway-" + std::to_string(gateway);
}

std::string hearingSubject(u32 gateway)
{
    return "hearing-" + std::to_string(gateway);
}

std::string linkSubject(const std::string &endpoint)
{
    return "link-" + endpoint;
}

Ledger::Ledger(const Bounds &bounds, Disturbances &disturbances)
    : m_bounds(bounds)
    , m_disturbances(disturbances)
{
}

void Ledger::noteSent(const std::string &attempt, const SentCall &call)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[attempt].sent = call;
    ++m_counts["sent"];
}

void Ledger::noteBegun(const BegunCall &call)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(call.attempt);
    if (found == m_attempts.end()) {
        add("only what callers sent runs", fmt::format("{} ran {}", call.endpoint, call.attempt));
        return;
    }
    found->second.begun.push_back(call);
    ++m_counts["begun"];
    checkBegun(found->second, call);
    checkRefusal(call.attempt, found->second);
}

void Ledger::noteEnded(const std::string &attempt, const EndedCall &end)
{
    const std::lock_guard lock(m_mutex);
    auto &held = m_attempts.at(attempt);
    held.end = end;
    ++m_counts[end.hasLeft ? "left" : "status " + std::to_string(end.status)];
    checkAnswer(attempt, held);
    checkRefusal(attempt, held);
    if (held.sent.kind != CallKind::Poison) {
        checkLoss(attempt, held);
    }
    checkUnknownKey(attempt, held);
}

void Ledger::checkBegun(const Attempt &attempt, const BegunCall &call)
{
    if (attempt.sent.kind == CallKind::Once && attempt.begun.size() > 1) {
        add("a call that may not be repeated runs at most once",
            fmt::format("{} ran at {} and at {}", call.attempt, attempt.begun.front().endpoint, call.endpoint));
    }
    if (call.customer != "desk") {
        add("endpoints hear the customer of the key", fmt::format("{} ran for '{}'", call.attempt, call.customer));
    }
    checkKey(attempt, call);
    checkBack(attempt, call);
    checkEndpoint(attempt, call);
    checkWeights(attempt, call);
}

// A key that was taken away binds all gateways, disturbed or not.
void Ledger::checkKey(const Attempt &attempt, const BegunCall &call)
{
    const auto removed = m_keysRemoved.find(attempt.sent.key);
    if (removed == m_keysRemoved.end()) {
        return;
    }
    if (attempt.sent.at > removed->second.at + m_bounds.revocation + Slack) {
        add("a key that was taken away runs nothing",
            fmt::format("{} of gateway {} ran {} ms after the key was taken away", call.attempt, attempt.sent.gateway,
                        toMilliseconds(attempt.sent.at - removed->second.at)));
    }
}

// Guards against a process that goes back to an older configuration, by what only that one or an older one runs.
void Ledger::checkBack(const Attempt &attempt, const BegunCall &call)
{
    const auto removed = m_keysRemoved.find(attempt.sent.key);
    if (removed != m_keysRemoved.end() && hasShown(attempt.sent, removed->second.version, m_bounds.configurationBack)) {
        add("a configuration never goes back",
            fmt::format("{}: gateway {} ran a key that version {} removed, which it knew", call.attempt, attempt.sent.gateway,
                        removed->second.version));
    }
    const auto added = m_keysAdded.find(attempt.sent.key);
    if (added != m_keysAdded.end()) {
        learn(attempt.sent, added->second.version, call.received);
    }
}

// A refused key shows that a process knows of its removal only if it knew of the key: to another, the key may still be new.
void Ledger::learnFromRefusal(const Attempt &attempt)
{
    const auto &sent = attempt.sent;
    const auto added = m_keysAdded.find(sent.key);
    if (added != m_keysAdded.end() && mustKnow(added->second, sent)) {
        learn(sent, m_keysRemoved.at(sent.key).version, attempt.end->at);
    }
}

void Ledger::learn(const SentCall &sent, u64 version, TimePoint at)
{
    auto &first = m_shown[{sent.gateway, sent.incarnation}].try_emplace(version, at).first->second;
    first = std::min(first, at);
}

// Whether the process had shown that it knows the version, or a later one, for so long before the call was sent.
bool Ledger::hasShown(const SentCall &sent, u64 version, Duration before) const
{
    const auto shown = m_shown.find({sent.gateway, sent.incarnation});
    return shown != m_shown.end() && std::any_of(shown->second.lower_bound(version), shown->second.end(), [&](const auto &known) {
               return sent.at > known.second + before;
           });
}

// Whether the process knew of the key when the call was sent, or it has gone back. One that started later has read a newer list.
bool Ledger::mustKnow(const KeyChange &added, const SentCall &sent) const
{
    return sent.startedAt > added.at || hasShown(sent, added.version, Duration::zero()) || isInForce(added, sent);
}

// Whether a gateway that was left alone must have known of the key when the call was sent.
bool Ledger::isInForce(const KeyChange &added, const SentCall &sent) const
{
    return sent.at > added.at + m_bounds.configuration + Slack
        && m_disturbances.wasUntouched(gatewaySubject(sent.gateway), added.at, sent.at)
        && m_disturbances.wasCalm(StoreSubject, added.at, sent.at);
}

void Ledger::checkEndpoint(const Attempt &attempt, const BegunCall &call)
{
    const auto subject = gatewaySubject(attempt.sent.gateway);
    const auto draining = m_draining.find(call.endpoint);
    if (draining != m_draining.end() && call.received > draining->second + m_bounds.draining + Slack
        && m_disturbances.wasUntouched(subject, draining->second, call.received)
        && m_disturbances.wasCalm(StoreSubject, draining->second, call.received)) {
        add("a leaving endpoint gets no new work",
            fmt::format("{} reached {} {} ms after it said so, through gateway {}", call.attempt, call.endpoint,
                        toMilliseconds(call.received - draining->second), attempt.sent.gateway));
    }
    const auto zone = m_zones.find(call.endpoint);
    const auto out = zone == m_zones.end() ? m_zonesOut.end() : m_zonesOut.find(zone->second);
    if (out != m_zonesOut.end() && call.received > out->second + m_bounds.evacuation + Slack
        && m_disturbances.wasUntouched(subject, out->second, call.received)
        && m_disturbances.wasCalm(StoreSubject, out->second, call.received)) {
        add("a zone that is out gets no new work",
            fmt::format("{} reached {} {} ms after", call.attempt, call.endpoint, toMilliseconds(call.received - out->second)));
    }
}

// Binds gateways that were killed, stopped or restarted meanwhile, too.
void Ledger::checkWeights(const Attempt &attempt, const BegunCall &call)
{
    if (attempt.sent.kind != CallKind::Prompt) {
        return;
    }
    const auto newer = m_weights.upper_bound(call.weights);
    if (newer == m_weights.end()) {
        return;
    }
    ++m_counts["on old weights"];
    if (call.at <= newer->second + m_bounds.weights + WeightsSlack) {
        return;
    }
    ++m_counts["past the weights' bound"];
    const auto subject = hearingSubject(attempt.sent.gateway);
    if (m_disturbances.wasUntouched(subject, newer->second, call.at) && m_disturbances.wasCalm(StoreSubject, newer->second, call.at)
        && m_disturbances.wasUntouched(linkSubject(call.endpoint), attempt.sent.at, call.at)) {
        add("no prompt begins on old weights after the bound",
            fmt::format("{} of gateway {} began at {} on version {}, {} ms after version {} was named", call.attempt, attempt.sent.gateway,
                        call.endpoint, call.weights, toMilliseconds(call.at - newer->second), newer->first));
    }
}

void Ledger::checkAnswer(const std::string &id, const Attempt &attempt)
{
    const auto &end = *attempt.end;
    if (end.status != Ok || !end.isWhole || end.hasLeft) {
        return;
    }
    const bool isPrompt = attempt.sent.kind == CallKind::Prompt;
    std::string expected = "done " + id;
    if (isPrompt) {
        expected.clear();
        for (u32 event = 1; event <= EventsOfPrompt; ++event) {
            expected += fmt::format("id: {}\ndata: {}\n\n", event, id);
        }
    }
    if (end.body != expected) {
        add("each caller gets its own whole answer", fmt::format("{} got '{}'", id, end.body.substr(0, 200)));
    }
    if (attempt.begun.empty()) {
        add("a success stands for a run", id + " ran nowhere");
    }
}

void Ledger::checkRefusal(const std::string &id, const Attempt &attempt)
{
    if (attempt.sent.kind == CallKind::Once && attempt.end && saysNotRun(attempt.end->status) && !attempt.begun.empty()) {
        add("a refusal that says not run is true",
            fmt::format("{} was refused with {} and began at {}", id, attempt.end->status, attempt.begun.front().endpoint));
    }
}

// Without any disturbance but planned ones of the gateway, a call ends with an answer.
void Ledger::checkLoss(const std::string &id, const Attempt &attempt)
{
    const auto &end = *attempt.end;
    if (end.hasLeft || (end.status != 0 && end.isWhole)) {
        return;
    }
    const auto from = attempt.sent.at;
    const bool isEndpointCalm = std::all_of(attempt.begun.begin(), attempt.begun.end(), [&](const BegunCall &call) {
        return m_disturbances.wasUntouched(call.endpoint, from, end.at);
    });
    if (!attempt.begun.empty() && isEndpointCalm && m_disturbances.wasCalm(gatewaySubject(attempt.sent.gateway), from, end.at)
        && m_disturbances.wasCalm(StoreSubject, from, end.at)) {
        add("nothing is lost but by a fault",
            fmt::format("{} ({}) of gateway {} ended with status {} after {} ms, cut off", id, toString(attempt.sent.kind),
                        attempt.sent.gateway, end.status, toMilliseconds(end.at - from)));
    }
}

void Ledger::checkUnknownKey(const std::string &id, const Attempt &attempt)
{
    const auto &sent = attempt.sent;
    const u16 status = attempt.end->status;
    if (status != Unauthorized && status != NotFound) {
        return;
    }
    if (m_keysRemoved.count(sent.key) > 0) {
        learnFromRefusal(attempt);
        return;
    }
    const auto added = m_keysAdded.find(sent.key);
    if (added != m_keysAdded.end() && isInForce(added->second, sent)) {
        add("an accepted configuration is in force within seconds", fmt::format("{} got {} at gateway {}", id, status, sent.gateway));
    }
}

// A poisonous request disturbs the endpoint that it crashes, like any crash.
void Ledger::notePoisonRun(const std::string &endpoint, TimePoint at)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts["poison runs"];
    }
    m_disturbances.begin(endpoint, Plan::Unplanned, at);
    m_disturbances.end(endpoint, at);
}

void Ledger::noteOrder(const ReceivedOrder &order)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts["orders"];
    const auto holder = m_holders.try_emplace(order.token, order.holder).first->second;
    if (holder != order.holder) {
        add("one holder gives orders", fmt::format("token {} of {} and of {}", order.token, holder, order.holder));
    }
    const auto last = m_orders.find(order.endpoint);
    const bool isHeldUp = !m_disturbances.wasUntouched(order.endpoint, order.at, order.at);
    if (last != m_orders.end() && order.token < last->second.token && !isHeldUp) {
        add("orders never go back to an earlier holder",
            fmt::format("{}: token {} of {} after {} of {}", order.endpoint, order.token, order.holder, last->second.token,
                        last->second.holder));
    }
    m_orders[order.endpoint] = order;
}

void Ledger::noteKeyAdded(const std::string &key, u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysAdded[key] = {version, at};
}

void Ledger::noteKeyRemoved(const std::string &key, u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysRemoved[key] = {version, at};
}

void Ledger::noteDraining(const std::string &endpoint, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_draining[endpoint] = at;
}

void Ledger::noteWeightsNamed(u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_weights[version] = at;
}

void Ledger::noteZone(const std::string &endpoint, const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_zones[endpoint] = zone;
}

void Ledger::noteZoneOut(const std::string &zone, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_zonesOut[zone] = at;
}

void Ledger::noteZoneBack(const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_zonesOut.erase(zone);
}

void Ledger::broken(const std::string &promise, const std::string &detail)
{
    const std::lock_guard lock(m_mutex);
    add(promise, detail);
}

std::vector<std::string> Ledger::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::map<std::string, u64> Ledger::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void Ledger::add(const std::string &promise, const std::string &detail)
{
    m_violations.push_back(promise + ": " + detail);
}

} // namespace soak
