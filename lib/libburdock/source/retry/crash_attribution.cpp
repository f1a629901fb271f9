#include <burdock/retry/crash_attribution.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/membership/rendezvous.hpp>

#include <algorithm>

namespace burdock::retry {

namespace {

/** Maximum number of crashes that are remembered of one feature, and how many of them are sent to processes that started later. */
constexpr std::size_t MaxCrashesOfFeature = 64;
constexpr std::size_t MaxCrashesInRecord = 8;
constexpr std::size_t MaxEndpointCrashes = 1024;
/** Keeps the delay between trials from overflowing. */
constexpr u32 MaxFailedTrials = 7;
constexpr u32 TrialDelayFactor = 3;
/** A test that has no result for this long makes room for another. */
constexpr Duration TestTimeout = std::chrono::seconds(5);
/** How long successes are remembered at least, and the maximum number of features for which they are. */
constexpr Duration SuccessPeriod = std::chrono::minutes(1);
constexpr std::size_t MaxSucceeded = 20'000;
constexpr Duration ForgetPeriod = std::chrono::seconds(1);

bool contains(const CrashAttribution::Features &features, u64 feature)
{
    return std::find(features.begin(), features.end(), feature) != features.end();
}

std::size_t commonCount(const CrashAttribution::Features &left, const CrashAttribution::Features &right)
{
    return static_cast<std::size_t>(std::count_if(left.begin(), left.end(), [&right](u64 feature) { return contains(right, feature); }));
}

} // namespace

CrashAttribution::CrashAttribution(const CrashAttributionPolicy &policy)
    : m_policy(policy)
{
}

void CrashAttribution::setMembers(std::string ownName, std::vector<std::string> members)
{
    m_ownName = std::move(ownName);
    m_members = std::move(members);
}

RunPermission CrashAttribution::tryBegin(const Features &features, TimePoint now)
{
    auto permission = RunPermission::Free;
    Features begun;
    for (const auto &cause : causes(now)) {
        const auto common = commonCount(cause, features);
        if (common == 0) {
            continue;
        }
        const bool isWhole = common == cause.size();
        const bool isAllowed = isWhole ? timeUntilTrialOf(cause, now) == Duration::zero() : !isTested(cause, features, now);
        if (!isAllowed) {
            return RunPermission::Refused;
        }
        permission = isWhole ? RunPermission::Trial : std::max(permission, RunPermission::Test);
        std::copy_if(cause.begin(), cause.end(), std::back_inserter(begun), [&](u64 feature) { return contains(features, feature); });
    }
    for (const u64 blamedFeature : begun) {
        auto &feature = m_features.at(blamedFeature);
        (permission == RunPermission::Trial ? feature.trialAt : feature.testAt) = now;
        feature.hasHadFirstTrial = feature.hasHadFirstTrial || permission == RunPermission::Trial;
    }
    return permission;
}

bool CrashAttribution::isRefused(const Features &features, TimePoint now)
{
    const auto &known = causes(now);
    return std::any_of(known.begin(), known.end(),
                       [&features](const Cause &cause) { return commonCount(cause, features) == cause.size(); });
}

CrashAttribution::Features CrashAttribution::blamed(const Features &features, TimePoint now)
{
    Features found;
    for (const auto &cause : causes(now)) {
        std::copy_if(cause.begin(), cause.end(), std::back_inserter(found), [&](u64 feature) { return contains(features, feature); });
    }
    return found;
}

Duration CrashAttribution::timeUntilTrial(const Features &features, TimePoint now)
{
    auto longest = Duration::zero();
    for (const auto &cause : causes(now)) {
        if (commonCount(cause, features) == cause.size()) {
            longest = std::max(longest, timeUntilTrialOf(cause, now));
        }
    }
    return longest;
}

void CrashAttribution::returnPermission(const Features &features, TimePoint now)
{
    for (const u64 id : blamed(features, now)) {
        auto &feature = m_features.at(id);
        feature.trialAt.reset();
        feature.testAt.reset();
    }
}

void CrashAttribution::noteCrash(u64 endpoint, const Features &features, std::optional<TimePoint> begun, TimePoint now,
                                 std::optional<TimePoint> sentAt)
{
    if (features.empty()) {
        return;
    }
    forgetOld(now);
    ++m_sequence;
    m_lastObservationAt = now;
    const bool isEarly = !begun || now - *begun <= m_policy.earlyTime;
    bool isNew = false;
    for (const u64 feature : features) {
        const u64 repeatedRun = sentAt ? repeatedRunOf(feature, endpoint, *sentAt, now) : 0;
        isNew = addSighting(feature, {endpoint, now, m_sequence, isEarly, repeatedRun}, now) || isNew;
    }
    if (isNew) {
        m_recentLosses.emplace_back(endpoint, now);
    }
    evict();
}

// Requests also break for reasons that end no other request of the endpoint. Data that was received before a crash may be read shortly
// after it, and an endpoint that restarts may be back under its id some seconds later.
void CrashAttribution::noteAlive(u64 endpoint, TimePoint now)
{
    while (!m_recentLosses.empty() && now - m_recentLosses.front().second > m_policy.maxAliveDelay) {
        m_recentLosses.pop_front();
    }
    const auto isRefuted = [this, now](TimePoint lostAt) {
        return now - lostAt >= m_policy.minAliveDelay && now - lostAt <= m_policy.maxAliveDelay;
    };
    const auto loss = std::find_if(m_recentLosses.begin(), m_recentLosses.end(),
                                   [&](const auto &recent) { return recent.first == endpoint && isRefuted(recent.second); });
    if (loss == m_recentLosses.end()) {
        return;
    }
    const auto isSameLoss = [&, lostAt = loss->second](const auto &crash) {
        return crash.endpoint == endpoint && areClose(crash.at, lostAt) && now - crash.at >= m_policy.minAliveDelay;
    };
    m_recentLosses.erase(loss);
    m_recentSurvivals.emplace_back(endpoint, now);
    while (now - m_recentSurvivals.front().second > m_policy.sameCrashWindow) {
        m_recentSurvivals.pop_front();
    }
    std::erase_if(m_endpointCrashes, isSameLoss);
    for (auto &[id, feature] : m_features) {
        if (isPart(id)) {
            noteChange(feature);
            std::erase_if(feature.crashes, isSameLoss);
        }
    }
}

void CrashAttribution::noteSuccess(const Features &features, TimePoint begun, TimePoint now)
{
    for (const u64 id : features) {
        noteRecentSuccess(id, begun, now);
        const auto found = m_features.find(id);
        if (found == m_features.end()) {
            continue;
        }
        found->second.testAt.reset();
        noteCleared(found->second, begun, now);
    }
}

// A part of a prompt crashes endpoints as they begin to answer it; a request as a whole may do so at any time.
void CrashAttribution::noteProgress(const Features &features, TimePoint begun, TimePoint now)
{
    for (const u64 id : features) {
        if (!isPart(id)) {
            continue;
        }
        const auto found = m_features.find(id);
        if (found == m_features.end()) {
            noteRecentSuccess(id, TimePoint{}, now);
            continue;
        }
        const auto &crashes = found->second.crashes;
        if (std::all_of(crashes.begin(), crashes.end(), [](const Sighting &crash) { return crash.isEarly; })) {
            noteRecentSuccess(id, TimePoint{}, now);
            noteCleared(found->second, begun, now);
        }
    }
}

bool CrashAttribution::merge(const FeatureRecord &record, TimePoint now)
{
    forgetOld(now);
    bool isNew = false;
    for (const auto &crash : record.crashes) {
        const auto at = now - crash.age;
        if (crash.age < m_policy.retention && addSighting(record.feature, {crash.endpoint, at, 0, crash.isEarly, crash.repeatedRun}, now)) {
            m_recentLosses.emplace_back(crash.endpoint, at);
            isNew = true;
        }
    }
    const auto found = m_features.find(record.feature);
    if (record.clearedAge && found != m_features.end()) {
        noteRecentSuccess(record.feature, TimePoint{}, now);
        isNew = clear(found->second, now - *record.clearedAge) || isNew;
    }
    evict();
    return isNew;
}

Duration CrashAttribution::earlyTime() const
{
    return m_policy.earlyTime;
}

u64 CrashAttribution::sequence() const
{
    return m_sequence;
}

std::vector<FeatureRecord> CrashAttribution::observations(u64 after, TimePoint now) const
{
    std::vector<FeatureRecord> records;
    for (const auto &[id, feature] : m_features) {
        std::vector<Sighting> crashes;
        std::copy_if(feature.crashes.begin(), feature.crashes.end(), std::back_inserter(crashes),
                     [after](const Sighting &crash) { return crash.sequence > after; });
        const bool isCleared = feature.clearedAt && feature.clearSequence > after;
        if (crashes.empty() && !isCleared) {
            continue;
        }
        records.push_back(toRecord(id, crashes, now));
        if (isCleared) {
            records.back().clearedAge = now - *feature.clearedAt;
        }
    }
    return records;
}

std::vector<FeatureRecord> CrashAttribution::observationsSince(TimePoint time, TimePoint now) const
{
    std::vector<FeatureRecord> records;
    if (m_lastObservationAt < time) {
        return records;
    }
    for (const auto &[id, feature] : m_features) {
        std::vector<Sighting> crashes;
        std::copy_if(feature.crashes.begin(), feature.crashes.end(), std::back_inserter(crashes),
                     [time](const Sighting &crash) { return crash.sequence > 0 && crash.at >= time; });
        const bool isCleared = feature.clearSequence > 0 && feature.clearNotedAt >= time;
        if (crashes.empty() && !isCleared) {
            continue;
        }
        records.push_back(toRecord(id, crashes, now));
        if (isCleared) {
            records.back().clearedAge = now - *feature.clearedAt;
        }
    }
    std::sort(records.begin(), records.end(), [this](const FeatureRecord &left, const FeatureRecord &right) {
        const auto crashesOf = [this](const FeatureRecord &record) {
            return m_features.at(record.feature).crashes.size();
        };
        return crashesOf(left) > crashesOf(right);
    });
    return records;
}

std::vector<FeatureRecord> CrashAttribution::blamedRecords(TimePoint now)
{
    std::vector<FeatureRecord> records;
    for (const auto &cause : causes(now)) {
        for (const u64 id : cause) {
            const auto &crashes = m_features.at(id).crashes;
            const auto count = static_cast<std::ptrdiff_t>(std::min(crashes.size(), MaxCrashesInRecord));
            records.push_back(toRecord(id, {crashes.end() - count, crashes.end()}, now));
        }
    }
    return records;
}

std::size_t CrashAttribution::causeCount(TimePoint now)
{
    return causes(now).size();
}

const std::vector<CrashAttribution::Cause> &CrashAttribution::causes(TimePoint now)
{
    forgetOld(now);
    if (m_mustFindCauses || (m_causesValidUntil && now >= *m_causesValidUntil)) {
        findCauses(now);
        m_mustFindCauses = false;
    }
    return m_causes;
}

// Takes the most likely feature as the cause of all its crashes, and then the most likely one for the rest.
void CrashAttribution::findCauses(TimePoint now)
{
    m_causes.clear();
    m_causesValidUntil.reset();
    std::vector<u64> candidates;
    for (const auto &[id, feature] : m_features) {
        if (canBeCause(id, feature.crashes, now)) {
            candidates.push_back(id);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    CrashTimes explained;
    while (true) {
        std::vector<Sighting> most;
        std::vector<std::pair<u64, std::vector<Sighting>>> unexplained;
        for (const u64 id : candidates) {
            auto crashes = without(m_features.at(id).crashes, explained);
            if (!canBeCause(id, crashes, now)) {
                continue;
            }
            if (weightOf(crashes) > weightOf(most)) {
                most = crashes;
            }
            unexplained.emplace_back(id, std::move(crashes));
        }
        if (most.empty()) {
            return;
        }
        Cause cause;
        for (const auto &[id, crashes] : unexplained) {
            if (areEqual(crashes, most)) {
                cause.push_back(id);
            }
        }
        m_causes.push_back(std::move(cause));
        for (const auto &crash : most) {
            explained[crash.endpoint].push_back(crash.at);
        }
    }
}

bool CrashAttribution::areClose(TimePoint left, TimePoint right) const
{
    return std::max(left, right) - std::min(left, right) <= m_policy.sameCrashWindow;
}

bool CrashAttribution::isKnown(const CrashTimes &crashes, const Sighting &sighting) const
{
    const auto found = crashes.find(sighting.endpoint);
    return found != crashes.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](TimePoint at) { return areClose(at, sighting.at); });
}

std::vector<CrashAttribution::Sighting> CrashAttribution::without(const std::vector<Sighting> &crashes, const CrashTimes &explained) const
{
    std::vector<Sighting> rest;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(rest),
                 [&](const Sighting &crash) { return !isKnown(explained, crash); });
    return rest;
}

bool CrashAttribution::isPart(u64 feature)
{
    return feature == partFeature(feature);
}

std::pair<std::size_t, std::size_t> CrashAttribution::weightOf(const std::vector<Sighting> &crashes)
{
    const auto early = std::count_if(crashes.begin(), crashes.end(), [](const Sighting &crash) { return crash.isEarly; });
    return {static_cast<std::size_t>(early), crashes.size()};
}

bool CrashAttribution::areEqual(const std::vector<Sighting> &left, const std::vector<Sighting> &right) const
{
    CrashTimes times;
    for (const auto &crash : left) {
        times[crash.endpoint].push_back(crash.at);
    }
    return weightOf(left) == weightOf(right) && without(right, times).empty();
}

bool CrashAttribution::hasSucceededRecently(u64 feature) const
{
    return m_succeeded.count(feature) > 0 || m_succeededBefore.count(feature) > 0;
}

// Counts crashes at moments at which at least half of the endpoints that crashed had the feature.
std::size_t CrashAttribution::evidenceOf(const std::vector<Sighting> &crashes) const
{
    std::size_t count = 0;
    for (auto first = crashes.begin(); first != crashes.end();) {
        const auto end
            = std::find_if(first, crashes.end(), [&](const Sighting &crash) { return crash.at - first->at > m_policy.massCrashTime; });
        const auto explained = static_cast<std::size_t>(end - first);
        const auto all = endpointsCrashedNear(first->at);
        if (2 * explained >= all) {
            count += all >= m_policy.massCrashSize ? 1 : explained;
        }
        first = end;
    }
    return count;
}

std::size_t CrashAttribution::endpointsCrashedNear(TimePoint moment) const
{
    const auto end = firstEndpointCrashSince(moment + m_policy.massCrashTime + Duration(1));
    return static_cast<std::size_t>(end - firstEndpointCrashSince(moment - m_policy.massCrashTime));
}

std::vector<CrashAttribution::EndpointCrash>::const_iterator CrashAttribution::firstEndpointCrashSince(TimePoint time) const
{
    return std::lower_bound(m_endpointCrashes.begin(), m_endpointCrashes.end(), time,
                            [](const EndpointCrash &crash, TimePoint at) { return crash.at < at; });
}

// Processes with little processor time notice a crash late, so the earliest report of it counts.
TimePoint CrashAttribution::noteEndpointCrash(u64 endpoint, TimePoint at)
{
    const auto first = firstEndpointCrashSince(at - m_policy.sameCrashWindow);
    const auto known = std::find_if(first, m_endpointCrashes.cend(),
                                    [&](const EndpointCrash &crash) { return crash.endpoint == endpoint && areClose(crash.at, at); });
    if (known != m_endpointCrashes.cend()) {
        if (known->at <= at) {
            return known->at;
        }
        m_endpointCrashes.erase(known);
    }
    m_endpointCrashes.insert(firstEndpointCrashSince(at), {endpoint, at});
    if (m_endpointCrashes.size() > MaxEndpointCrashes) {
        m_endpointCrashes.erase(m_endpointCrashes.begin());
    }
    return at;
}

// A feature that many requests have succeeds between most crashes, but not while all of its requests take longer than the time between
// crashes.
bool CrashAttribution::canBeCause(u64 feature, const std::vector<Sighting> &crashes, TimePoint now)
{
    const bool hasSucceeded = hasSucceededRecently(feature);
    const u32 threshold = hasSucceeded ? m_policy.crashThresholdAfterSuccess : m_policy.crashThreshold;
    // Requests that are equal as a whole seldom run at many endpoints at once.
    const bool isShared = isPart(feature);
    if (crashes.size() < threshold || (isShared && evidenceOf(crashes) < threshold)) {
        return false;
    }
    const auto timeToHear = isShared ? m_policy.timeToHear : Duration::zero();
    const auto decidedAt = crashes.front().at + (hasSucceeded ? m_policy.timeToSucceed : timeToHear);
    if (decidedAt > now) {
        m_causesValidUntil = std::min(decidedAt, m_causesValidUntil.value_or(decidedAt));
    }
    return decidedAt <= now;
}

// Requests with a blamed feature are refused, so a crash long after the previous one comes from a trial, here or in another process.
Duration CrashAttribution::trialDelayOf(u64 id) const
{
    const auto &feature = m_features.at(id);
    if (hasSucceededRecently(id) && !feature.hasHadFirstTrial) {
        return m_policy.trialDelayAfterSuccess;
    }
    auto delay = m_policy.initialTrialDelay;
    u32 failedTrials = 0;
    for (std::size_t i = m_policy.crashThreshold; i < feature.crashes.size() && failedTrials < MaxFailedTrials; ++i) {
        if (feature.crashes[i].at - feature.crashes[i - 1].at >= m_policy.initialTrialDelay / 2) {
            ++failedTrials;
            delay *= TrialDelayFactor;
        }
    }
    return delay;
}

Duration CrashAttribution::timeUntilTrialOf(const Cause &cause, TimePoint now) const
{
    TimePoint dueAt{}; // for all processes
    TimePoint earliest = now; // for this one
    for (const u64 id : cause) {
        const auto &feature = m_features.at(id);
        const auto delay = trialDelayOf(id);
        dueAt = std::max(dueAt, feature.crashes.back().at + delay);
        earliest = std::max(earliest, feature.trialAt.value_or(TimePoint{}) + delay);
    }
    earliest = std::max(earliest, dueAt);
    return earliest - now + timeUntilTurn(cause, earliest - dueAt);
}

// The processes take turns, since the one whose turn is first may get no requests with these features, or may have ended.
Duration CrashAttribution::timeUntilTurn(const Cause &cause, Duration sinceDue) const
{
    if (m_members.size() <= 1) {
        return Duration::zero();
    }
    const bool isPartOnly = std::all_of(cause.begin(), cause.end(), isPart);
    const auto turn = isPartOnly ? m_policy.partTrialTurn : m_policy.requestTrialTurn;
    const auto order = membership::responsibleMembers(cause.front(), m_members, m_members.size());
    const auto rank = std::find(order.begin(), order.end(), m_ownName) - order.begin();
    const auto round = turn * static_cast<i64>(order.size());
    const auto inRound = sinceDue % round;
    const auto begin = turn * rank;
    const bool isListed = begin < round;
    if (!isListed) {
        return round - inRound;
    }
    if (inRound >= begin && inRound < begin + turn) {
        return Duration::zero();
    }
    return (begin - inRound + round) % round;
}

bool CrashAttribution::isTested(const Cause &cause, const Features &features, TimePoint now) const
{
    return std::any_of(cause.begin(), cause.end(), [&](u64 id) {
        const auto &testAt = m_features.at(id).testAt;
        return contains(features, id) && testAt && now - *testAt < TestTimeout;
    });
}

FeatureRecord CrashAttribution::toRecord(u64 feature, const std::vector<Sighting> &crashes, TimePoint now) const
{
    FeatureRecord record;
    record.feature = feature;
    for (const auto &crash : crashes) {
        record.crashes.push_back({crash.endpoint, std::max(Duration::zero(), now - crash.at), crash.isEarly, crash.repeatedRun});
    }
    return record;
}

bool CrashAttribution::hasSurvived(u64 endpoint, TimePoint lostAt) const
{
    return std::any_of(m_recentSurvivals.begin(), m_recentSurvivals.end(),
                       [&](const auto &survival) { return survival.first == endpoint && survival.second > lostAt; });
}

// The same request may break its connection to an endpoint time and again while the endpoint serves others. What is known of a loss may
// come late, but never too early, so a request that was sent after it was lost by itself.
u64 CrashAttribution::repeatedRunOf(u64 feature, u64 endpoint, TimePoint sentAt, TimePoint now) const
{
    const auto found = m_features.find(feature);
    if (isPart(feature) || found == m_features.end()) {
        return 0;
    }
    bool isAfterCrash = false;
    for (const auto &crash : found->second.crashes) {
        if (crash.endpoint != endpoint || !areClose(crash.at, now)) {
            continue;
        }
        if (crash.at >= sentAt || !hasSurvived(endpoint, crash.at)) {
            return 0;
        }
        isAfterCrash = true;
    }
    const auto moment = static_cast<u64>(now.time_since_epoch().count());
    return isAfterCrash ? hash::hash64(m_ownName, endpoint ^ moment) : 0;
}

bool CrashAttribution::areSameCrash(const Sighting &left, const Sighting &right) const
{
    if (left.repeatedRun != right.repeatedRun) {
        return false;
    }
    return left.endpoint == right.endpoint && (left.repeatedRun != 0 || areClose(left.at, right.at));
}

bool CrashAttribution::addSighting(u64 feature, Sighting sighting, TimePoint now)
{
    auto &entry = m_features[feature];
    if (sighting.repeatedRun == 0) {
        sighting.at = noteEndpointCrash(sighting.endpoint, sighting.at);
    }
    // Such a request may have succeeded before the crash is reported.
    const auto succeeded = std::max(lastSuccessOf(m_succeeded, feature), lastSuccessOf(m_succeededBefore, feature));
    if (succeeded >= sighting.at && (!entry.clearedAt || *entry.clearedAt < sighting.at)) {
        clear(entry, succeeded);
        noteClearedHere(entry, now);
    }
    if (entry.clearedAt && sighting.at <= *entry.clearedAt) {
        return false;
    }
    const auto seen
        = std::find_if(entry.crashes.begin(), entry.crashes.end(), [&](const Sighting &crash) { return areSameCrash(crash, sighting); });
    if (seen != entry.crashes.end()) {
        const bool isNews = sighting.isEarly && !seen->isEarly;
        if (isNews) {
            *seen = {seen->endpoint, seen->at, sighting.sequence, true, seen->repeatedRun};
            noteChange(entry);
        }
        return isNews;
    }
    const auto position = std::upper_bound(entry.crashes.begin(), entry.crashes.end(), sighting,
                                           [](const Sighting &left, const Sighting &right) { return left.at < right.at; });
    entry.crashes.insert(position, sighting);
    if (entry.crashes.size() > MaxCrashesOfFeature) {
        // The first one stays, as it tells for how long no request with the feature has succeeded.
        entry.crashes.erase(entry.crashes.begin() + 1);
    }
    entry.testAt.reset();
    noteChange(entry);
    return true;
}

void CrashAttribution::noteCleared(Feature &feature, TimePoint begun, TimePoint now)
{
    if (clear(feature, begun)) {
        noteClearedHere(feature, now);
    }
}

void CrashAttribution::noteClearedHere(Feature &feature, TimePoint now)
{
    feature.clearSequence = ++m_sequence;
    feature.clearNotedAt = now;
    m_lastObservationAt = now;
}

// The mark stays when no crash is left, so that a late report of an earlier crash doesn't count.
bool CrashAttribution::clear(Feature &feature, TimePoint begun)
{
    noteChange(feature);
    const auto count = std::erase_if(feature.crashes, [begun](const Sighting &crash) { return crash.at <= begun; });
    feature.clearedAt = std::max(begun, feature.clearedAt.value_or(begun));
    feature.hasHadFirstTrial = feature.hasHadFirstTrial && !feature.crashes.empty();
    return count > 0;
}

// A feature with few crashes neither is a cause nor explains any crash.
void CrashAttribution::noteChange(const Feature &feature)
{
    m_mustFindCauses = m_mustFindCauses || feature.crashes.size() >= m_policy.crashThreshold;
}

TimePoint CrashAttribution::lastSuccessOf(const SuccessTimes &successes, u64 feature)
{
    const auto found = successes.find(feature);
    return found == successes.end() ? TimePoint{} : found->second;
}

void CrashAttribution::noteRecentSuccess(u64 feature, TimePoint begun, TimePoint now)
{
    if (m_succeeded.size() >= MaxSucceeded || now - m_successesSince > SuccessPeriod) {
        m_succeededBefore = std::move(m_succeeded);
        m_succeeded.clear();
        m_successesSince = now;
    }
    auto &last = m_succeeded[feature];
    last = std::max(last, begun);
}

void CrashAttribution::forgetOld(TimePoint now)
{
    if (now - m_oldForgottenAt < ForgetPeriod) {
        return;
    }
    m_oldForgottenAt = now;
    const auto count = std::erase_if(m_features, [this, now](const auto &item) {
        const auto &feature = item.second;
        const auto last = feature.crashes.empty() ? feature.clearedAt.value_or(TimePoint{}) : feature.crashes.back().at;
        return now - last > (feature.crashes.empty() ? SuccessPeriod : m_policy.retention);
    });
    m_mustFindCauses = m_mustFindCauses || count > 0;
}

void CrashAttribution::evict()
{
    if (m_features.size() <= m_policy.capacity) {
        return;
    }
    std::vector<std::pair<std::pair<std::size_t, TimePoint>, u64>> order;
    for (const auto &[id, feature] : m_features) {
        const auto last = feature.crashes.empty() ? TimePoint{} : feature.crashes.back().at;
        order.push_back({{feature.crashes.size(), last}, id});
    }
    std::sort(order.begin(), order.end());
    // Some room is left, so that not every further crash sorts all features.
    const auto excess = m_features.size() - m_policy.capacity + m_policy.capacity / 16;
    for (std::size_t i = 0; i < std::min(excess, order.size()); ++i) {
        m_features.erase(order[i].second);
    }
    m_mustFindCauses = true;
}

} // namespace burdock::retry
