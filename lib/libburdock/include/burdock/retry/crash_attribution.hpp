#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock::retry {

/** @brief Parameters of CrashAttribution. */
struct CrashAttributionPolicy
{
    /** Crashes that nothing else explains from which requests with a feature are refused; more if such a request succeeded recently. */
    u32 crashThreshold = 3;
    u32 crashThresholdAfterSuccess = 5;
    /** So many endpoints that crash within this time are likely to have one cause, such as a power failure, and count as one crash. */
    std::size_t massCrashSize = 5;
    Duration massCrashTime = std::chrono::milliseconds(200);
    /** Time in which other processes tell what they have observed; a feature isn't blamed sooner after the first of its crashes. */
    Duration timeToHear = std::chrono::milliseconds(400);
    /**
     * Time in which requests with an innocent feature succeed somewhere. A feature that requests succeeded with recently is blamed only if
     * none that began after the first of its crashes has succeeded for so long.
     */
    Duration timeToSucceed = std::chrono::milliseconds(1500);
    /** Time since the last crash until a single request with a refused feature is tried; triples after each failed trial. */
    Duration initialTrialDelay = std::chrono::seconds(10);
    /** The same for the first trial of a feature that requests succeeded with recently. */
    Duration trialDelayAfterSuccess = std::chrono::seconds(1);
    /**
     * Time in which one process may try a refused feature before the next may; all hear in it of a trial that crashed an endpoint. A
     * request as a whole may crash its endpoint late.
     */
    Duration partTrialTurn = std::chrono::seconds(1);
    Duration requestTrialTurn = std::chrono::seconds(5);
    /** Losses of connections to one endpoint within this time count as one crash. */
    Duration sameCrashWindow = std::chrono::milliseconds(1500);
    /** An endpoint that is heard from within this time after the loss of a connection, but not immediately, has not crashed. */
    Duration minAliveDelay = std::chrono::milliseconds(200);
    Duration maxAliveDelay = std::chrono::milliseconds(1000);
    /** A request that an endpoint has answered for longer than this is less likely to be what crashed it. */
    Duration earlyTime = std::chrono::milliseconds(500);
    /** Time since the last crash after which a feature is forgotten. */
    Duration retention = std::chrono::minutes(30);
    /** Maximum number of features with crashes that are remembered. */
    std::size_t capacity = 8192;
};

/** @brief Whether a request may run, given what is known of its features. */
enum class RunPermission : u8 {
    Free,
    Test, ///< as the only request with a feature that may be innocent; its result shows whether it is
    Trial, ///< as the only request with a feature that crashed endpoints, to find out whether it still does
    Refused,
};

/** @brief What one process has observed of a feature. */
struct FeatureRecord
{
    /** @brief A crash of an endpoint that was running requests with the feature. */
    struct Crash
    {
        u64 endpoint = 0; ///< hash of the endpoint's id
        Duration age{};
        bool isEarly = false; ///< the endpoint had hardly begun to answer a request with the feature, or not yet
        u64 repeatedRun = 0; ///< unless zero: identifies the run, which the endpoint began after it had survived an earlier loss
    };
    u64 feature = 0;
    std::vector<Crash> crashes;
    std::optional<Duration> clearedAge; ///< age of the newest request with the feature that succeeded after crashes, at its start
};

/** @brief Feature of a request as a whole, given a hash of its content. */
[[nodiscard]] constexpr u64 requestFeature(u64 hash)
{
    return hash | 1;
}

/** @brief Feature of a part of a prompt, given a hash of the part. */
[[nodiscard]] constexpr u64 partFeature(u64 hash)
{
    return hash & ~u64{1};
}

/**
 * @brief Finds out what the requests that crash endpoints have in common, and refuses further ones.
 *
 * A request is described by features: hashes of its whole content and of each part of its prompt that other requests may share. A crash
 * ends all requests that the endpoint was running, most of which are innocent and share features with many others. What causes crashes is
 * in every crashing request, and no request with it succeeds after it began to crash endpoints. So a feature is blamed for the crashes
 * since the last success of a request that had it, except for those that a feature with more crashes explains. Features with the same
 * crashes are blamed together: requests with all of them are refused, and of those with some of them one at a time is tested.
 *
 * When many endpoints crash at once, each feature that many requests share is in most of the crashes. Such crashes count as one, and not
 * at all for a feature that few of the endpoints had. A feature that requests succeeded with before is blamed only once further ones have
 * had time to succeed elsewhere.
 *
 * Crashes are identified by endpoint and time, so processes that observe the same crash count it once, and crashes that each of many
 * processes observed alone add up. Not thread-safe.
 */
class CrashAttribution
{
public:
    using Features = std::vector<u64>;

    explicit CrashAttribution(const CrashAttributionPolicy &policy);

    /** @brief Sets the processes that share trials: each blamed feature is tried by one of them at a time, in turns ordered by hash. */
    void setMembers(std::string ownName, std::vector<std::string> members);

    /** @brief Whether a request may run. Starts the test or trial that it returns. */
    [[nodiscard]] RunPermission tryBegin(const Features &features, TimePoint now);

    /** @brief Whether a request has all features of a cause of crashes. */
    [[nodiscard]] bool isRefused(const Features &features, TimePoint now);

    /** @brief The features of a request that are blamed for crashes. */
    [[nodiscard]] Features blamed(const Features &features, TimePoint now);

    /** @brief Time until a refused request may be tried; zero if it may run now. */
    [[nodiscard]] Duration timeUntilTrial(const Features &features, TimePoint now);

    /** @brief Ends a test or trial whose request was not run or ended without evidence, so that another request may take its place. */
    void returnPermission(const Features &features, TimePoint now);

    /**
     * @brief Records that an endpoint was lost while it was running a request.
     * @param begun when the endpoint began to answer it; nothing if it had not yet
     * @param sentAt when it was sent to the endpoint, if known; a request as a whole that was sent after an earlier loss, and was lost
     * after the endpoint had been heard from, counts again
     */
    void noteCrash(u64 endpoint, const Features &features, std::optional<TimePoint> begun, TimePoint now,
                   std::optional<TimePoint> sentAt = std::nullopt);

    /**
     * @brief Records that an endpoint is alive; refutes crashes that were assumed shortly before.
     *
     * Only parts of prompts are cleared of them: a request as a whole also counts as a cause if it breaks no connection but its own.
     */
    void noteAlive(u64 endpoint, TimePoint now);

    /**
     * @brief Records a request that succeeded.
     * @param begun when the endpoint began to answer it; crashes since then may still be due to its features
     */
    void noteSuccess(const Features &features, TimePoint begun, TimePoint now);

    /**
     * @brief Records that an endpoint has gone on answering a request for longer than earlyTime.
     *
     * Clears the parts of its prompt of crashes that happened to requests which endpoints had hardly begun to answer.
     */
    void noteProgress(const Features &features, TimePoint begun, TimePoint now);

    /** @brief Merges what another process has observed; returns true if it contained new information. */
    bool merge(const FeatureRecord &record, TimePoint now);

    /** @brief Time after which an answer in progress counts for noteProgress(). */
    [[nodiscard]] Duration earlyTime() const;

    /** @brief Sequence number of the last observation of this process. */
    [[nodiscard]] u64 sequence() const;

    /** @brief This process's observations after a sequence number. */
    [[nodiscard]] std::vector<FeatureRecord> observations(u64 after, TimePoint now) const;

    /** @brief This process's observations since a time, those of the features with the most crashes first. */
    [[nodiscard]] std::vector<FeatureRecord> observationsSince(TimePoint time, TimePoint now) const;

    /** @brief What is known of all blamed features, for processes that started later. */
    [[nodiscard]] std::vector<FeatureRecord> blamedRecords(TimePoint now);

    /** @brief Number of causes of crashes that are currently known. */
    [[nodiscard]] std::size_t causeCount(TimePoint now);

private:
    struct Sighting
    {
        u64 endpoint = 0;
        TimePoint at{};
        u64 sequence = 0; ///< zero if another process observed it
        bool isEarly = false;
        u64 repeatedRun = 0;
    };
    struct EndpointCrash
    {
        u64 endpoint = 0;
        TimePoint at{};
    };
    struct Feature
    {
        std::vector<Sighting> crashes; ///< the earliest first
        std::optional<TimePoint> clearedAt; ///< start of the newest request that succeeded after crashes
        u64 clearSequence = 0; ///< of that success; zero if another process observed it
        TimePoint clearNotedAt{}; ///< end of that request, if this process observed it
        std::optional<TimePoint> trialAt;
        bool hasHadFirstTrial = false; ///< since it was last cleared
        std::optional<TimePoint> testAt;
    };
    using FeatureMap = std::unordered_map<u64, Feature>;
    using SuccessTimes = std::unordered_map<u64, TimePoint>; ///< by feature: when the last request that succeeded began; zero if unknown
    using CrashTimes = std::unordered_map<u64, std::vector<TimePoint>>; ///< by endpoint
    /** @brief Features with the same crashes, one of which is their cause. */
    using Cause = Features;

    [[nodiscard]] const std::vector<Cause> &causes(TimePoint now);
    void findCauses(TimePoint now);
    [[nodiscard]] bool areClose(TimePoint left, TimePoint right) const;
    [[nodiscard]] bool isKnown(const CrashTimes &crashes, const Sighting &sighting) const;
    [[nodiscard]] std::vector<Sighting> without(const std::vector<Sighting> &crashes, const CrashTimes &explained) const;
    [[nodiscard]] static bool isPart(u64 feature);
    [[nodiscard]] static std::pair<std::size_t, std::size_t> weightOf(const std::vector<Sighting> &crashes);
    [[nodiscard]] bool areEqual(const std::vector<Sighting> &left, const std::vector<Sighting> &right) const;
    [[nodiscard]] bool hasSucceededRecently(u64 feature) const;
    [[nodiscard]] std::size_t evidenceOf(const std::vector<Sighting> &crashes) const;
    [[nodiscard]] std::size_t endpointsCrashedNear(TimePoint moment) const;
    [[nodiscard]] std::vector<EndpointCrash>::const_iterator firstEndpointCrashSince(TimePoint time) const;
    TimePoint noteEndpointCrash(u64 endpoint, TimePoint at);
    [[nodiscard]] bool canBeCause(u64 feature, const std::vector<Sighting> &crashes, TimePoint now);
    [[nodiscard]] Duration trialDelayOf(u64 id) const;
    [[nodiscard]] Duration timeUntilTrialOf(const Cause &cause, TimePoint now) const;
    [[nodiscard]] Duration timeUntilTurn(const Cause &cause, Duration sinceDue) const;
    [[nodiscard]] bool isTested(const Cause &cause, const Features &features, TimePoint now) const;
    [[nodiscard]] FeatureRecord toRecord(u64 feature, const std::vector<Sighting> &crashes, TimePoint now) const;
    [[nodiscard]] bool hasSurvived(u64 endpoint, TimePoint lostAt) const;
    [[nodiscard]] u64 repeatedRunOf(u64 feature, u64 endpoint, TimePoint sentAt, TimePoint now) const;
    [[nodiscard]] bool areSameCrash(const Sighting &left, const Sighting &right) const;
    bool addSighting(u64 feature, Sighting sighting, TimePoint now);
    bool clear(Feature &feature, TimePoint begun);
    void noteCleared(Feature &feature, TimePoint begun, TimePoint now);
    void noteClearedHere(Feature &feature, TimePoint now);
    void noteChange(const Feature &feature);
    void noteRecentSuccess(u64 feature, TimePoint begun, TimePoint now);
    [[nodiscard]] static TimePoint lastSuccessOf(const SuccessTimes &successes, u64 feature);
    void forgetOld(TimePoint now);
    void evict();

    CrashAttributionPolicy m_policy;
    std::string m_ownName;
    std::vector<std::string> m_members; ///< empty while unknown
    FeatureMap m_features;
    std::deque<std::pair<u64, TimePoint>> m_recentLosses; ///< endpoints and when they were lost, the earliest first
    std::deque<std::pair<u64, TimePoint>> m_recentSurvivals; ///< endpoints that were heard from after a loss, and when, the earliest first
    std::vector<EndpointCrash> m_endpointCrashes; ///< the earliest first
    SuccessTimes m_succeeded; ///< since m_successesSince
    SuccessTimes m_succeededBefore; ///< in the period before
    TimePoint m_successesSince{};
    std::vector<Cause> m_causes;
    bool m_mustFindCauses = false;
    std::optional<TimePoint> m_causesValidUntil; ///< when another feature can be a cause though nothing new is observed
    TimePoint m_oldForgottenAt{};
    TimePoint m_lastObservationAt{}; ///< of this process
    u64 m_sequence = 0;
};

} // namespace burdock::retry
