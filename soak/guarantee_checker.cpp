#include "guarantee_checker.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace soak {

namespace {

constexpr std::array<std::string_view, 6> KindNames{"once", "read", "prompt", "resumable prompt", "poison", "poisoned prompt"};
constexpr u16 Ok = 200;
constexpr u16 Unauthorized = 401;
constexpr u16 NotFound = 404;
constexpr std::array<u16, 4> NotRunStatuses{408, 421, 429, 503};
/** Caller, operator and endpoint read the clock at slightly different moments of the same event. */
constexpr Duration ClockTolerance = std::chrono::milliseconds(150);
/** Transit time of a request over loopback. */
constexpr Duration RequestTransitTime = std::chrono::milliseconds(10);

bool isNotRunStatus(u16 status)
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

std::string platformUpdateSubject(u32 gateway)
{
    return "hearing-" + std::to_string(gateway);
}

std::string linkSubject(const std::string &endpoint)
{
    return "link-" + endpoint;
}

GuaranteeChecker::GuaranteeChecker(const Bounds &bounds, Disturbances &disturbances)
    : m_bounds(bounds)
    , m_disturbances(disturbances)
{
}

void GuaranteeChecker::noteSent(const std::string &attempt, const SentCall &call)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[attempt].sent = call;
    ++m_counts["sent"];
}

void GuaranteeChecker::noteExecution(const CallExecution &call)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(call.attempt);
    if (found == m_attempts.end()) {
        addViolation("endpoints execute only calls that callers sent",
                     fmt::format("{} executed unknown call {}", call.endpoint, call.attempt));
        return;
    }
    found->second.executions.push_back(call);
    ++m_counts["begun"];
    checkExecution(found->second, call);
    checkNotRunRefusal(call.attempt, found->second);
}

void GuaranteeChecker::noteOutcome(const std::string &attempt, const CallOutcome &outcome)
{
    const std::lock_guard lock(m_mutex);
    auto &recorded = m_attempts.at(attempt);
    recorded.outcome = outcome;
    ++m_counts[outcome.isAbandoned ? "left" : "status " + std::to_string(outcome.status)];
    checkResponse(attempt, recorded);
    checkNotRunRefusal(attempt, recorded);
    if (recorded.sent.kind != CallKind::Poison && recorded.sent.kind != CallKind::PoisonedPrompt) {
        checkLostCall(attempt, recorded);
    }
    checkUnknownKey(attempt, recorded);
}

void GuaranteeChecker::checkExecution(const Attempt &attempt, const CallExecution &call)
{
    if (attempt.sent.kind == CallKind::AtMostOnce && attempt.executions.size() > 1) {
        addViolation("a non-repeatable call is executed at most once",
                     fmt::format("{} was executed at {} and at {}", call.attempt, attempt.executions.front().endpoint, call.endpoint));
    }
    if (call.customer != "desk") {
        addViolation("endpoints receive the customer of the API key",
                     fmt::format("{} was executed for customer '{}'", call.attempt, call.customer));
    }
    checkKey(attempt, call);
    checkRollback(attempt, call);
    checkEndpoint(attempt, call);
    checkWeights(attempt, call);
}

// A revoked key must be refused by all gateways, including disturbed ones.
void GuaranteeChecker::checkKey(const Attempt &attempt, const CallExecution &call)
{
    const auto removed = m_keysRemoved.find(attempt.sent.key);
    if (removed == m_keysRemoved.end()) {
        return;
    }
    if (attempt.sent.at > removed->second.at + m_bounds.maxRevocationDelay + ClockTolerance) {
        addViolation("a revoked key admits no call",
                     fmt::format("{} of gateway {} was executed; it was sent {} ms after its key was revoked", call.attempt,
                                 attempt.sent.gateway, toMilliseconds(attempt.sent.at - removed->second.at)));
    }
}

// Detects a process that reverts to an older configuration by a call that only the older one admits.
void GuaranteeChecker::checkRollback(const Attempt &attempt, const CallExecution &call)
{
    const auto removed = m_keysRemoved.find(attempt.sent.key);
    if (removed != m_keysRemoved.end() && hasKnownVersion(attempt.sent, removed->second.version, m_bounds.rollbackTolerance)) {
        addViolation("a gateway never reverts to an older configuration",
                     fmt::format("{}: gateway {} admitted a key that version {} removed, although it knew that version", call.attempt,
                                 attempt.sent.gateway, removed->second.version));
    }
    const auto added = m_keysAdded.find(attempt.sent.key);
    if (added != m_keysAdded.end()) {
        noteKnownVersion(attempt.sent, added->second.version, call.received);
    }
}

// A refusal shows that a process knows of the removal only if it knew the key before; otherwise the key may be too new for it.
void GuaranteeChecker::noteRemovalFromRefusal(const Attempt &attempt)
{
    const auto &sent = attempt.sent;
    const auto added = m_keysAdded.find(sent.key);
    if (added != m_keysAdded.end() && mustKnowKey(added->second, sent)) {
        noteKnownVersion(sent, m_keysRemoved.at(sent.key).version, attempt.outcome->at);
    }
}

void GuaranteeChecker::noteKnownVersion(const SentCall &sent, u64 version, TimePoint at)
{
    auto &first = m_knownVersions[{sent.gateway, sent.incarnation}].try_emplace(version, at).first->second;
    first = std::min(first, at);
}

// Whether the process had shown that it knows this version or a later one for longer than `before` when the call was sent.
bool GuaranteeChecker::hasKnownVersion(const SentCall &sent, u64 version, Duration before) const
{
    const auto knownVersions = m_knownVersions.find({sent.gateway, sent.incarnation});
    return knownVersions != m_knownVersions.end()
        && std::any_of(knownVersions->second.lower_bound(version), knownVersions->second.end(),
                       [&](const auto &learned) { return sent.at > learned.second + before; });
}

// Whether the process knew the key when the call was sent, unless it reverted. One that started after the addition has read it.
bool GuaranteeChecker::mustKnowKey(const KeyChange &added, const SentCall &sent) const
{
    return sent.startedAt > added.at || hasKnownVersion(sent, added.version, Duration::zero()) || mustBeInForce(added, sent);
}

// Whether the gateway was undisturbed for long enough to know the key when the call was sent.
bool GuaranteeChecker::mustBeInForce(const KeyChange &added, const SentCall &sent) const
{
    return sent.at > added.at + m_bounds.maxConfigurationDelay + ClockTolerance
        && m_disturbances.wasUndisturbed(gatewaySubject(sent.gateway), added.at, sent.at)
        && m_disturbances.hadNoUnplanned(StoreSubject, added.at, sent.at);
}

void GuaranteeChecker::checkEndpoint(const Attempt &attempt, const CallExecution &call)
{
    const auto subject = gatewaySubject(attempt.sent.gateway);
    const auto draining = m_draining.find(call.endpoint);
    if (draining != m_draining.end() && call.received > draining->second + m_bounds.maxDrainDelay + ClockTolerance
        && m_disturbances.wasUndisturbed(subject, draining->second, call.received)
        && m_disturbances.hadNoUnplanned(StoreSubject, draining->second, call.received)) {
        addViolation("a draining endpoint receives no new calls",
                     fmt::format("{} reached {} {} ms after it started to drain, through gateway {}", call.attempt, call.endpoint,
                                 toMilliseconds(call.received - draining->second), attempt.sent.gateway));
    }
    const auto zone = m_endpointZones.find(call.endpoint);
    const auto out = zone == m_endpointZones.end() ? m_evacuatedZones.end() : m_evacuatedZones.find(zone->second);
    if (out != m_evacuatedZones.end() && call.received > out->second + m_bounds.maxEvacuationDelay + ClockTolerance
        && m_disturbances.wasUndisturbed(subject, out->second, call.received)
        && m_disturbances.hadNoUnplanned(StoreSubject, out->second, call.received)) {
        addViolation("an evacuated zone receives no new calls",
                     fmt::format("{} reached {} {} ms after the evacuation", call.attempt, call.endpoint,
                                 toMilliseconds(call.received - out->second)));
    }
}

// Also applies to gateways that were killed, stopped or restarted in between.
void GuaranteeChecker::checkWeights(const Attempt &attempt, const CallExecution &call)
{
    if (attempt.sent.kind != CallKind::Prompt) {
        return;
    }
    const auto nextVersion = m_weightAnnouncements.upper_bound(call.weightVersion);
    if (nextVersion == m_weightAnnouncements.end()) {
        return;
    }
    ++m_counts["on old weights"];
    if (call.at <= nextVersion->second + m_bounds.maxStaleWeightTime + RequestTransitTime) {
        return;
    }
    ++m_counts["past the weights' bound"];
    const auto subject = platformUpdateSubject(attempt.sent.gateway);
    if (m_disturbances.wasUndisturbed(subject, nextVersion->second, call.at)
        && m_disturbances.hadNoUnplanned(StoreSubject, nextVersion->second, call.at)
        && m_disturbances.wasUndisturbed(linkSubject(call.endpoint), attempt.sent.at, call.at)) {
        addViolation("no prompt starts on superseded weights after their time bound",
                     fmt::format("{} of gateway {} started at {} on version {}, {} ms after version {} was announced", call.attempt,
                                 attempt.sent.gateway, call.endpoint, call.weightVersion, toMilliseconds(call.at - nextVersion->second),
                                 nextVersion->first));
    }
}

void GuaranteeChecker::checkResponse(const std::string &id, const Attempt &attempt)
{
    const auto &outcome = *attempt.outcome;
    if (attempt.sent.kind == CallKind::ResumablePrompt) {
        checkResumableStream(id, outcome);
        return;
    }
    if (outcome.status != Ok || !outcome.isComplete || outcome.isAbandoned) {
        return;
    }
    const bool isPrompt = attempt.sent.kind == CallKind::Prompt;
    std::string expected = "done " + id;
    if (isPrompt) {
        expected.clear();
        for (u32 event = 1; event <= EventsPerPrompt; ++event) {
            expected += fmt::format("id: {}\ndata: {}\n\n", event, id);
        }
    }
    if (outcome.body != expected) {
        addViolation("each caller receives the complete response to its own call",
                     fmt::format("{} received '{}'", id, outcome.body.substr(0, 200)));
    }
    if (attempt.executions.empty()) {
        addViolation("a successful call was executed", id + " succeeded, but no endpoint executed it");
    }
}

// The data of each event is the software version of the endpoint that wrote it. The body includes the events from before a break.
void GuaranteeChecker::checkResumableStream(const std::string &id, const CallOutcome &outcome)
{
    if (outcome.status != Ok || outcome.isAbandoned) {
        return;
    }
    const auto isStreamOf = [&outcome](const std::string &software) {
        std::string events;
        for (u32 event = 1; event <= EventsPerPrompt; ++event) {
            events += fmt::format("id: {}\ndata: {}\n\n", event, software);
        }
        return outcome.isComplete ? outcome.body == events : events.starts_with(outcome.body);
    };
    if (!isStreamOf("v1") && !isStreamOf("v2")) {
        addViolation("a stream has all its events in order, from endpoints with one software version",
                     fmt::format("{} received '{}', complete: {}", id, outcome.body.substr(0, 200), outcome.isComplete));
    }
    m_counts["streams complete"] += outcome.isComplete ? 1 : 0;
}

void GuaranteeChecker::checkNotRunRefusal(const std::string &id, const Attempt &attempt)
{
    if (attempt.sent.kind == CallKind::AtMostOnce && attempt.outcome && isNotRunStatus(attempt.outcome->status)
        && !attempt.executions.empty()) {
        addViolation("a call that is refused as not executed was not executed",
                     fmt::format("{} was refused with status {}, but executed at {}", id, attempt.outcome->status,
                                 attempt.executions.front().endpoint));
    }
}

// A call gets a complete response unless its endpoint or the store was disturbed, or the gateway by an unplanned disturbance.
void GuaranteeChecker::checkLostCall(const std::string &id, const Attempt &attempt)
{
    const auto &outcome = *attempt.outcome;
    if (outcome.isAbandoned || (outcome.status != 0 && outcome.isComplete)) {
        return;
    }
    const auto from = attempt.sent.at;
    const bool isEndpointUndisturbed = std::all_of(attempt.executions.begin(), attempt.executions.end(), [&](const CallExecution &call) {
        return m_disturbances.wasUndisturbed(call.endpoint, from, outcome.at);
    });
    if (!attempt.executions.empty() && isEndpointUndisturbed
        && m_disturbances.hadNoUnplanned(gatewaySubject(attempt.sent.gateway), from, outcome.at)
        && m_disturbances.hadNoUnplanned(StoreSubject, from, outcome.at)) {
        addViolation("only a fault interrupts a call",
                     fmt::format("{} ({}) of gateway {} was interrupted with status {} after {} ms", id, toString(attempt.sent.kind),
                                 attempt.sent.gateway, outcome.status, toMilliseconds(outcome.at - from)));
    }
}

void GuaranteeChecker::checkUnknownKey(const std::string &id, const Attempt &attempt)
{
    const auto &sent = attempt.sent;
    const u16 status = attempt.outcome->status;
    if (status != Unauthorized && status != NotFound) {
        return;
    }
    if (m_keysRemoved.count(sent.key) > 0) {
        noteRemovalFromRefusal(attempt);
        return;
    }
    const auto added = m_keysAdded.find(sent.key);
    if (added != m_keysAdded.end() && mustBeInForce(added->second, sent)) {
        addViolation("an accepted configuration takes effect within its time bound",
                     fmt::format("{} got status {} from gateway {}", id, status, sent.gateway));
    }
}

// Counts as a disturbance of the endpoint, like any crash.
void GuaranteeChecker::notePoisonRun(const std::string &endpoint, TimePoint at)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts["poison runs"];
    }
    m_disturbances.begin(endpoint, DisturbanceKind::Unplanned, at);
    m_disturbances.end(endpoint, at);
}

void GuaranteeChecker::notePoisonedPromptRun(const std::string &engine, TimePoint at, TimePoint backAt)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts["poisoned prompt runs"];
    }
    m_disturbances.begin(engine, DisturbanceKind::Unplanned, at);
    m_disturbances.end(engine, backAt);
}

void GuaranteeChecker::noteOrder(const ReceivedOrder &order)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts["orders"];
    const auto holder = m_tokenHolders.try_emplace(order.token, order.holder).first->second;
    if (holder != order.holder) {
        addViolation("each fencing token belongs to one lease holder",
                     fmt::format("token {} of {} and {}", order.token, holder, order.holder));
    }
    const auto last = m_latestOrders.find(order.endpoint);
    const bool wasDisturbed = !m_disturbances.wasUndisturbed(order.endpoint, order.at, order.at);
    if (last != m_latestOrders.end() && order.token < last->second.token && !wasDisturbed) {
        addViolation("fencing tokens of weight orders never decrease",
                     fmt::format("{}: token {} of {} after {} of {}", order.endpoint, order.token, order.holder, last->second.token,
                                 last->second.holder));
    }
    m_latestOrders[order.endpoint] = order;
}

void GuaranteeChecker::noteKeyAdded(const std::string &key, u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysAdded[key] = {version, at};
}

void GuaranteeChecker::noteKeyRemoved(const std::string &key, u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_keysRemoved[key] = {version, at};
}

void GuaranteeChecker::noteDraining(const std::string &endpoint, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_draining[endpoint] = at;
}

void GuaranteeChecker::noteWeightsAnnounced(u64 version, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_weightAnnouncements[version] = at;
}

void GuaranteeChecker::noteZone(const std::string &endpoint, const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_endpointZones[endpoint] = zone;
}

void GuaranteeChecker::noteZoneEvacuated(const std::string &zone, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_evacuatedZones[zone] = at;
}

void GuaranteeChecker::noteZoneRestored(const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_evacuatedZones.erase(zone);
}

void GuaranteeChecker::reportViolation(const std::string &guarantee, const std::string &detail)
{
    const std::lock_guard lock(m_mutex);
    addViolation(guarantee, detail);
}

std::vector<std::string> GuaranteeChecker::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::map<std::string, u64> GuaranteeChecker::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void GuaranteeChecker::addViolation(const std::string &guarantee, const std::string &detail)
{
    m_violations.push_back(guarantee + ": " + detail);
}

} // namespace soak
