#pragma once

#include <burdock/cache/engine_cache_estimate.hpp>
#include <burdock/endpoints/cold_admission.hpp>
#include <burdock/endpoints/endpoint_notices.hpp>
#include <burdock/endpoints/peer_loads.hpp>
#include <burdock/endpoints/placement_turns.hpp>
#include <burdock/endpoints/software_history.hpp>
#include <burdock/limits/endpoint_permits.hpp>
#include <burdock/limits/refusal_schedule.hpp>
#include <burdock/placement/policy.hpp>
#include <burdock/types.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/** @brief Tracks the endpoints known to one entry and selects an endpoint for each request. */
namespace burdock::endpoints {

/** @brief An endpoint's own registration. */
struct Registration
{
    std::string id; ///< usually changes when the endpoint restarts
    std::string service;
    std::string address; ///< IP:port
    std::string zone;
    std::string softwareVersion; ///< of the endpoint's program, not of its weights; versions have no order
    u32 slots = 1;
    bool isDraining = false;
    Duration remainingColdTime{}; ///< remaining warm-up time, in which it can take only little work
    u64 startTimeMs = 0; ///< Unix time in ms; distinguishes two instances that use the same id
    std::map<std::string, u64, std::less<>> weightVersions; ///< by model
};

/** @brief Result of a request at an endpoint, as far as it allows conclusions about the endpoint. */
enum class Outcome : u8 {
    Answered, ///< complete answer
    Declined, ///< the endpoint reported that it did not run the request
    Failed, ///< the endpoint answered with an error of its own
    Broken, ///< connection lost or answer invalid
    Unreachable, ///< connecting failed
    Abandoned, ///< the caller disconnected, the deadline passed or memory was short; no conclusion about the endpoint
    Expired, ///< cancelled because the endpoint's weights expired before it started; no conclusion about the endpoint
    TooLong, ///< the answer was longer than any answer may be, or had no end; the endpoint is in trouble, whatever the request
};

[[nodiscard]] std::string_view toString(Outcome outcome);

/** @brief Parameters of endpoint selection. */
struct Policy
{
    /** Share of an engine's memory that all entries may allocate, in percent. Beyond it prompts queue inside the engine or evict others. */
    u32 memoryLimitPercent = 100;
    /** Maximum number of requests in progress at an endpoint without an engine, in percent of its slots. */
    u32 slotLimitPercent = 150;
    /** An endpoint with requests in progress that sends nothing for longer than this gets no new requests. */
    Duration silenceTimeout = std::chrono::milliseconds(700);
    /** Number of other entries that must report an endpoint as unresponsive before this entry avoids it. */
    std::size_t unresponsiveQuorum = 2;
    /** Duration of the first ejection of a failing endpoint; doubles with each consecutive ejection. */
    Duration minEjection = std::chrono::milliseconds(500);
    Duration maxEjection = std::chrono::seconds(8);
    /** How long an endpoint is skipped after it declined a request, because it is full or loads weights. */
    Duration declinedEjection = std::chrono::milliseconds(250);
    /** An endpoint is ejected when its moving average of failed requests exceeds this. */
    double maxFailureRate = 0.5;
    /** Time to the first event of a prompt at an idle engine of reference speed: a constant part, and one per prompt token to process. */
    Duration baseDelay = std::chrono::milliseconds(50);
    double delayPerTokenMs = 0.0095;
    /** Assumed time for which a prompt takes a slot of an engine, until the first one has ended. */
    Duration initialRunTime = std::chrono::seconds(1);
    /** Delay that is added to the score of an engine with older weights than wanted. */
    Duration oldWeightsPenalty = std::chrono::milliseconds(120);
    /** Width of the bands of expected delay within which engines count as equally fast. */
    Duration delayTolerance = std::chrono::milliseconds(30);
    /** Maximum expected delay at which a prompt is admitted, in percent of the target time to its first event. */
    u32 admissionPercent = 100;
    /** The same limits for the rest of a stream, which only engines with its software can take and which new prompts would keep out. */
    u32 continuationMemoryLimitPercent = 115;
    u32 continuationAdmissionPercent = 200;
    /** Time within which nearly all prompts start: a percentage of the expected delay, plus a constant that the estimate does not cover. */
    u32 startDelayPercent = 200;
    Duration startDelaySlack = std::chrono::milliseconds(350);
};

/** @brief Load that one request puts on an endpoint. */
struct RequestCost
{
    u64 memory = 0; ///< tokens of the prompt and its answer; zero for a service without engines
    u64 prefill = 0; ///< prompt tokens that the engine has to process
};

struct Endpoint;

/** @brief Properties of a request that decide which endpoint it is sent to. */
struct SelectionRequest
{
    std::string_view service;
    u64 affinityHash = 0; ///< equal for prompts that share parts; breaks ties between endpoints consistently for them
    u64 random = 0;
    u64 memory = 0; ///< tokens of the prompt with its answer; zero for a service without engines
    std::function<u64(const Endpoint &)> prefill; ///< prompt tokens that an engine would have to process; must be set for prompts
    /** Prompt tokens that are already in an engine's memory and take no further memory there. May be empty, which means none. */
    std::function<u64(const Endpoint &)> residentTokens;
    /** Time for which a request to an endpoint occupies links that other requests need too. May be empty, which means none. */
    std::function<Duration(const Endpoint &)> sharedLinkTime;
    std::string_view model;
    u64 wantedVersion = 0; ///< newest weight version of the model
    /** Time from which the request may no longer start on a weight version; nullopt for no limit. May be empty if no version has one. */
    std::function<std::optional<TimePoint>(u64 version)> expiry;
    Duration target{}; ///< target time to the first event; zero for no limit
    Duration timeOfDay{}; ///< wall-clock time, by which entries take turns at cold endpoints
    std::set<std::string, std::less<>> tried; ///< ids of endpoints that must not be selected again
    u32 priority = 0; ///< 0 is the most urgent
    bool mayAskPermit = false; ///< whether the caller can ask another entry for a permit
    std::optional<u64> software; ///< if set, only endpoints with this Endpoint::software are selected
    /** Whether a stream may begin with an endpoint's software. May be empty, which means that it may. */
    std::function<bool(const Endpoint &)> mayBegin;
    /** Whether an endpoint's software version may be used at all. May be empty, which means that all may. */
    std::function<bool(const Endpoint &)> mayUse;

    /** @brief Returns whether the request may be sent to an endpoint with that software. */
    [[nodiscard]] bool acceptsSoftwareOf(const Endpoint &endpoint) const;
};

/** @brief Why no endpoint was selected. */
enum class SelectionFailure : u8 {
    None,
    NoEndpoint, ///< no endpoint is known that accepts requests
    NoRoom, ///< all endpoints are at a limit, or their weights expire too soon
    TooSlow, ///< the expected delay exceeds the target at the endpoints that are not at a limit
    Limited, ///< all endpoints limit the requests that they take, and this one would be too many
    Resting, ///< all endpoints that would accept the request have asked for rest
};

[[nodiscard]] std::string_view toString(SelectionFailure reason);

/** @brief Why a prompt was not sent to an endpoint with the wanted weights. */
enum class NewestWeightsResult : u8 {
    Chosen, ///< it was, or it needs no specific weights
    NoneServes, ///< no endpoint with these weights accepts requests
    NoRoom, ///< all endpoints with these weights are at their limit
    TooSlow, ///< the expected delay exceeds the target at the endpoints with these weights that are not at a limit
    Later, ///< an endpoint with older weights is expected to start much sooner
};

[[nodiscard]] std::string_view toString(NewestWeightsResult newest);

/** @brief The selected endpoint, or the reason why there is none. */
struct Selection
{
    std::string id;
    SelectionFailure reason = SelectionFailure::None;
    RequestCost cost;
    Duration expectedDelay{}; ///< to the first event; only for prompts
    u64 startTimeMs = 0; ///< identifies the instance of the endpoint, see Registration::startTimeMs
    NewestWeightsResult newest = NewestWeightsResult::Chosen;
    /** Hash of the id of an endpoint that needs a permit of another entry. If set, that entry has to be asked, and the choice made again.
     */
    std::optional<u64> permitNeededFor = std::nullopt;
    Duration retryAfter{}; ///< when the caller should come back; only if the reason is Limited or Resting
};

/** @brief Whether the measured delay of a first event is used to estimate the engine's speed. */
enum class DelaySample : u8 {
    Use,
    Ignore, ///< the delay may have another cause
};

/** @brief An endpoint with its state as observed by this entry. */
struct Endpoint
{
    Registration registration;
    u64 hash = 0; ///< hash of the id
    u64 software = 0; ///< hash of service and software version
    Load ownLoad; ///< load caused by this entry
    TimePoint lastHeard{};
    std::optional<TimePoint> waitingSince; ///< start of the current silence while requests are in progress
    TimePoint ejectedUntil{};
    bool isEjectedAsUnresponsive = false; ///< reason of the last ejection: unresponsive rather than failed requests
    Duration lastEjection{};
    double failureRate = 0; ///< exponential moving average
    u32 sampleCount = 0;
    double slowdown = 1; ///< exponential moving average of measured delay divided by the delay expected at reference speed
    TimePoint slowdownUpdatedAt{};
    TimePoint coldUntil{};
    ColdQuota coldQuota;
    cache::EngineCacheEstimate memory;
    bool isDeregistered = false; ///< gets no new requests; kept until its requests in progress have ended
};

/** @brief The endpoints known to one entry. Not thread-safe. */
class EndpointTable
{
public:
    /** @param own distinguishes this entry from the others */
    explicit EndpointTable(const Policy &policy, u64 own = 0);

    /** @brief Adds or updates an endpoint; discards the state of an earlier instance with the same id. */
    void setRegistration(const Registration &registration, TimePoint now);
    /** @brief Removes an endpoint once it has no more requests in progress; it gets no new ones. */
    void remove(std::string_view id, TimePoint now);

    /** @brief Removes all endpoints whose id is not in the complete list `ids`, like remove(). */
    void keepOnly(const std::set<std::string, std::less<>> &ids, TimePoint now);

    void setEvacuatedZones(std::set<std::string, std::less<>> zones);

    /** @brief Sets the zones that return from an evacuation, whose endpoints may have become cold since their last registration. */
    void setReturningZones(std::set<std::string, std::less<>> zones);

    /**
     * @brief Sets the limits of each endpoint of a service.
     * @param cacheTokens memory of an engine in tokens; zero for no limit
     * @param coldRequestsPerSecond requests that a cold endpoint can take from all entries together; zero for no limit
     */
    void setServiceLimits(std::string_view service, u64 cacheTokens, double coldRequestsPerSecond);

    /** @brief Decides which requests go to cold endpoints; must know the entries before any does. */
    [[nodiscard]] ColdAdmission &coldAdmission();

    /** @brief Decides which requests go to endpoints that limit the requests of all entries together. */
    [[nodiscard]] limits::EndpointPermits &permits();

    /** @brief Which endpoints want to rest, or leave, by their own answers. */
    [[nodiscard]] EndpointNotices &notices();

    /** @brief Decides to which engines this entry may send prompts between two reports of the other entries. */
    [[nodiscard]] PlacementTurns &turns();

    [[nodiscard]] const Policy &policy() const;

    /** @brief Which Endpoint::software the registered endpoints have and had. */
    [[nodiscard]] const SoftwareHistory &softwareHistory() const;

    /** @brief Records the software of an endpoint that was registered at a time, without following the endpoint. */
    void noteSoftwareSeen(const Registration &registration, TimePoint now);

    /** @brief Selects an endpoint. The caller records the request with noteSent(). */
    [[nodiscard]] Selection choose(const SelectionRequest &request, TimePoint now);

    /** @brief Adds the load of a request that is sent to an endpoint. */
    void noteSent(std::string_view id, const RequestCost &cost, TimePoint now);
    /** @brief Records that an endpoint sent any data, which shows that it is responsive. */
    void noteHeard(std::string_view id, TimePoint now);

    /** @brief Records the first event of a prompt, which shows that the engine has processed its tokens. */
    void noteFirstEvent(std::string_view id, const Selection &selection, Duration delay, DelaySample sample, TimePoint now);

    /**
     * @brief Records the end of a request.
     * @param startTimeMs identifies the instance that the request was sent to
     * @param remaining load of the request that noteFirstEvent() has not subtracted yet
     * @return how long the endpoint is ejected from now on; zero if it is not
     */
    Duration noteEnd(std::string_view id, u64 startTimeMs, const RequestCost &remaining, Outcome outcome, TimePoint now);

    /** @brief Records for how long an answered prompt took a slot of an engine. */
    void noteRunTime(std::string_view service, Duration time);

    /** @brief Records that a prompt of this entry or another one loads a part into an engine's memory. */
    void notePart(u64 endpoint, u64 part, u64 tokens);

    /**
     * @brief An engine that probably has a part in memory and can serve it to the fetching engine; null if none is known.
     *
     * Prefers engines of the fetching engine's zone.
     */
    [[nodiscard]] const Endpoint *fetchSourceFor(u64 part, const Endpoint &fetching, TimePoint now) const;

    /** @brief Sets the endpoints that load weights by order of this process and get no requests until they are done. */
    void setLoading(std::unordered_set<u64> endpoints);
    [[nodiscard]] const std::unordered_set<u64> &loading() const;

    /** @brief Load reported by the other entries. */
    [[nodiscard]] PeerLoads &peers();

    /**
     * @brief Applies a report of another entry.
     * @return ids of the endpoints for which this report completes the quorum of entries that find them unresponsive
     */
    std::vector<std::string> applyReport(const std::string &entry, PeerLoads::Report report, TimePoint now);

    /** @brief Load caused by this entry, to be reported to the others. */
    [[nodiscard]] LoadsById ownLoads() const;

    /** @brief Hashes of the endpoints that do not respond to this entry, to be reported to the others. */
    [[nodiscard]] std::vector<u64> unresponsive(TimePoint now) const;

    /** @brief Expected time to the first event of a prompt with this many tokens to process, behind those that are queued. */
    [[nodiscard]] Duration expectedDelay(const Endpoint &endpoint, u64 tokens, TimePoint now) const;

    /** @brief Load of an endpoint, summed over all entries. */
    [[nodiscard]] Load loadAt(const Endpoint &endpoint) const;

    /** @brief Records the weight version that an endpoint reported in an answer. */
    void noteWeights(std::string_view id, std::string_view model, u64 version);

    /** @brief Records the remaining warm-up time that an endpoint reported. */
    void noteCold(std::string_view id, Duration remaining, TimePoint now);

    [[nodiscard]] const Endpoint *find(std::string_view id) const;
    /** @param hash hash of the endpoint's id */
    [[nodiscard]] const Endpoint *findByHash(u64 hash) const;
    [[nodiscard]] const std::map<std::string, Endpoint, std::less<>> &all() const;

private:
    struct ServiceLimits
    {
        u64 cacheTokens = 0;
        double coldRequestsPerSecond = 0;
    };
    using Endpoints = std::map<std::string, Endpoint, std::less<>>;

    /** @brief Whether a request may be sent to the endpoint that was chosen for it. */
    enum class Admission : u8 {
        Admitted,
        MustAsk, ///< if another entry permits it
        Refused,
    };

    /** @brief An endpoint that may be selected. */
    struct Candidate
    {
        Endpoint *endpoint = nullptr;
        u64 memory = 0; ///< tokens that the prompt takes in the engine's memory
        u64 prefill = 0;
        Duration delay{};
        Duration score{}; ///< delay plus penalties; lower is better
        bool isOpen = true; ///< false if other entries should use the engine until their next reports
        u64 rank = 0; ///< orders candidates whose scores are in the same band; lower is better
    };

    [[nodiscard]] bool isServing(const Endpoint &endpoint, const SelectionRequest &request) const;
    [[nodiscard]] bool isEligible(const Endpoint &endpoint, const SelectionRequest &request, TimePoint now) const;
    [[nodiscard]] bool hasExpiredWeights(const Endpoint &endpoint, const SelectionRequest &request, TimePoint start) const;
    [[nodiscard]] bool isSilent(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool isUnresponsiveToPeers(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool hasMemory(const Endpoint &endpoint, u64 needed, u32 limitPercent) const;
    [[nodiscard]] Admission tryAdmit(Endpoint &endpoint, const SelectionRequest &request, TimePoint now);
    [[nodiscard]] bool isLimited(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] Selection chosen(const Endpoint &endpoint, Admission admission, TimePoint now);
    void applyLimits(Selection &selection, const SelectionRequest &request, TimePoint now);
    void applyRests(Selection &selection, const SelectionRequest &request, TimePoint now) const;
    void ignoreCachesOfLimited(std::vector<Candidate> &candidates, const SelectionRequest &request, TimePoint now) const;
    [[nodiscard]] Selection choosePlain(const SelectionRequest &request, TimePoint now);
    [[nodiscard]] Selection choosePrompt(const SelectionRequest &request, TimePoint now);
    [[nodiscard]] NewestWeightsResult newestWeights(const Candidate &chosen, const std::vector<Candidate> &candidates,
                                                    const SelectionRequest &request, TimePoint now) const;
    [[nodiscard]] Candidate makeCandidate(Endpoint &endpoint, u64 memory, const SelectionRequest &request, TimePoint now) const;
    void closeEngines(std::vector<Candidate> &candidates, const SelectionRequest &request, TimePoint now) const;
    [[nodiscard]] Duration delayAt(const Endpoint &endpoint, u64 tokens, TimePoint now) const;
    [[nodiscard]] Duration referenceDelay(u64 tokens) const;
    [[nodiscard]] Duration slotDelay(const Endpoint &endpoint) const;
    [[nodiscard]] const ServiceLimits &limitsOf(const std::string &service) const;
    [[nodiscard]] Duration eject(Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool canServeFetch(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] Endpoints::iterator findInstance(std::string_view id, u64 startTimeMs);
    void eraseIfUnused(Endpoints::iterator endpoint);

    Policy m_policy;
    ColdAdmission m_coldAdmission;
    limits::EndpointPermits m_permits;
    std::map<std::string, limits::RefusalSchedule, std::less<>> m_refusals; ///< for want of permits, by service
    EndpointNotices m_notices;
    PlacementTurns m_turns;
    Endpoints m_endpoints;
    SoftwareHistory m_softwareHistory;
    std::unordered_map<u64, Endpoint *> m_byHash;
    std::set<std::string, std::less<>> m_evacuatedZones;
    std::set<std::string, std::less<>> m_returningZones;
    std::map<std::string, ServiceLimits, std::less<>> m_serviceLimits;
    std::map<std::string, Duration, std::less<>> m_runTimes; ///< moving average of the time in a slot, by service
    PeerLoads m_peers;
    std::unordered_set<u64> m_loading;
    placement::LeastLoadedPolicy m_leastLoaded;
};

} // namespace burdock::endpoints
