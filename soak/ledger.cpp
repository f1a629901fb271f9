#include "ledger.hpp"

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
    if (attempt.sent.at > removed->second + m_bounds.revocation + Slack) {
        add("a key that was taken away runs nothing",
            fmt::format("{} of gateway {} ran {} ms after the key was taken away", call.attempt, attempt.sent.gateway,
                        toMilliseconds(attempt.sent.at - removed->second)));
    }
    const auto refused = m_refusedKeys.find({attempt.sent.gateway, attempt.sent.key});
    const bool isSameProcess = refused != m_refusedKeys.end() && refused->second.first == attempt.sent.incarnation;
    if (isSameProcess && attempt.sent.at > refused->second.second + m_bounds.configurationBack) {
        add("a configuration never goes back", fmt::format("{}: gateway {} took a key again", call.attempt, attempt.sent.gateway));
    }
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
        m_refusedKeys.try_emplace({sent.gateway, sent.key}, sent.incarnation, attempt.end->at);
        return;
    }
    const auto added = m_keysAdded.find(sent.key);
    const bool isInForce = added != m_keysAdded.end() && sent.at > added->second + m_bounds.configuration + Slack;
    if (isInForce && m_disturbances.wasUntouched(gatewaySubject(sent.gateway), added->second, sent.at)
        && m_disturbances.wasCalm(StoreSubject, added->second, sent.at)) {
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

void Ledger::noteKeyAdded(const std::string &key, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysAdded[key] = at;
}

void Ledger::noteKeyRemoved(const std::string &key, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysRemoved[key] = at;
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
