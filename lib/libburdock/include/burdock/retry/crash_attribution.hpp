#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::retry {

/** @brief Parameters of CrashAttribution. */
struct CrashAttributionPolicy
{
    /** Crashes that nothing else explains from which requests with a feature are refused; more if such a request succeeded recently. */
    u32 crashThreshold = 3;
    u32 crashThresholdAfterSuccess = 5;
    /** Time since the last crash until a single request with a refused feature is tried; triples after each failed trial. */
    Duration initialTrialDelay = std::chrono::seconds(10);
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
 * Crashes are identified by endpoint and time, so processes that observe the same crash count it once, and crashes that each of many
 * processes observed alone add up. Not thread-safe.
 */
class CrashAttribution
{
public:
    using Features = std::vector<u64>;

    explicit CrashAttribution(const CrashAttributionPolicy &policy);

    /** @brief Sets the processes that share trials: each blamed feature is tried by only one of them, chosen by hash. */
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
     */
    void noteCrash(u64 endpoint, const Features &features, std::optional<TimePoint> begun, TimePoint now);

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

    /** @brief Merges what another process has observed; returns true if it contained new information. */
    bool merge(const FeatureRecord &record, TimePoint now);

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
    };
    struct Feature
    {
        std::vector<Sighting> crashes; ///< the earliest first
        std::optional<TimePoint> clearedAt; ///< start of the newest request that succeeded after crashes
        u64 clearSequence = 0; ///< of that success; zero if another process observed it
        TimePoint clearNotedAt{}; ///< end of that request, if this process observed it
        std::optional<TimePoint> trialAt;
        std::optional<TimePoint> testAt;
    };
    using FeatureMap = std::unordered_map<u64, Feature>;
    using CrashTimes = std::unordered_map<u64, std::vector<TimePoint>>; ///< by endpoint
    /** @brief Features with the same crashes, one of which is their cause. */
    using Cause = Features;

    [[nodiscard]] const std::vector<Cause> &causes(TimePoint now);
    void findCauses();
    [[nodiscard]] bool areClose(TimePoint left, TimePoint right) const;
    [[nodiscard]] bool isKnown(const CrashTimes &crashes, const Sighting &sighting) const;
    [[nodiscard]] std::vector<Sighting> without(const std::vector<Sighting> &crashes, const CrashTimes &explained) const;
    [[nodiscard]] static bool isRefutable(u64 feature);
    [[nodiscard]] static std::pair<std::size_t, std::size_t> weightOf(const std::vector<Sighting> &crashes);
    [[nodiscard]] bool areEqual(const std::vector<Sighting> &left, const std::vector<Sighting> &right) const;
    [[nodiscard]] u32 thresholdOf(u64 feature) const;
    [[nodiscard]] Duration trialDelayOf(const Feature &feature) const;
    [[nodiscard]] Duration timeUntilTrialOf(const Cause &cause, TimePoint now) const;
    [[nodiscard]] bool isTrialOwner(const Cause &cause) const;
    [[nodiscard]] bool isTested(const Cause &cause, const Features &features, TimePoint now) const;
    [[nodiscard]] FeatureRecord toRecord(u64 feature, const std::vector<Sighting> &crashes, TimePoint now) const;
    bool addSighting(u64 feature, const Sighting &sighting);
    bool clear(Feature &feature, TimePoint begun);
    void noteChange(const Feature &feature);
    void noteRecentSuccess(u64 feature, TimePoint now);
    void forgetOld(TimePoint now);
    void evict();

    CrashAttributionPolicy m_policy;
    std::string m_ownName;
    std::vector<std::string> m_members; ///< empty while unknown
    FeatureMap m_features;
    std::deque<std::pair<u64, TimePoint>> m_recentLosses; ///< endpoints and when they were lost, the earliest first
    std::unordered_set<u64> m_succeeded; ///< features of requests that succeeded since m_successesSince
    std::unordered_set<u64> m_succeededBefore; ///< the same for the period before
    TimePoint m_successesSince{};
    std::vector<Cause> m_causes;
    bool m_mustFindCauses = false;
    TimePoint m_oldForgottenAt{};
    TimePoint m_lastObservationAt{}; ///< of this process
    u64 m_sequence = 0;
};

} // namespace burdock::retry
