#pragma once

#include <burdock/cache/engine_cache_estimate.hpp>
#include <burdock/endpoints/peer_loads.hpp>
#include <burdock/limits/token_bucket.hpp>
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

/** @brief What one entry knows of the endpoints that it sends requests to, and where it sends the next one. */
namespace burdock::endpoints {

/** @brief One endpoint as it registered itself. */
struct Registration
{
    std::string id; ///< of this start of the endpoint, most often new after a restart
    std::string service;
    std::string address; ///< IP:port
    std::string zone;
    u32 slots = 1;
    bool isDraining = false;
    Duration coldLeft{}; ///< how long it still bears little work
    u64 bornMs = 0; ///< Unix time of its start in ms; tells two starts under one id apart
    std::map<std::string, u64, std::less<>> weightVersions; ///< by model
};

/** @brief How a request at an endpoint ended, as far as it tells of the endpoint. */
enum class Outcome : u8 {
    Answered, ///< whole answer
    Declined, ///< not run, and said so
    Failed, ///< an error of the endpoint's own
    Broken, ///< connection lost or answer unusable
    Unreachable, ///< no connection
    Abandoned, ///< the caller left or the time was up; says nothing of the endpoint
    Expired, ///< cut off, as the endpoint's weights expired before it began; says nothing of the endpoint
};

[[nodiscard]] std::string_view toString(Outcome outcome);

/** @brief Figures of the choice of endpoints. */
struct Policy
{
    /** Share of an engine's memory that all entries give out, in percent. Above it prompts wait inside the engine, or put others out. */
    u32 roomPercent = 100;
    /** Requests under way at a plain endpoint, in percent of its slots. */
    u32 slotPercent = 150;
    /** Silence of an endpoint with requests under way after which it gets no more. */
    Duration silenceLimit = std::chrono::milliseconds(700);
    /** Other entries that must find an endpoint unresponsive until this one believes it. */
    std::size_t believedReports = 2;
    /** First time for which an endpoint that failed is left out; doubles with each further one. */
    Duration firstEjection = std::chrono::milliseconds(500);
    Duration longestEjection = std::chrono::seconds(8);
    /** Time for which an endpoint that declined a request is left out: it is full, or loads weights. */
    Duration declinePause = std::chrono::milliseconds(250);
    /** Share of failed requests above which an endpoint is left out, of the latest ones. */
    double failureShare = 0.5;
    /** Time to the first event of a prompt at an idle engine of reference pace, and for each prompt token that it reads. */
    Duration baseDelay = std::chrono::milliseconds(50);
    double delayPerTokenMs = 0.0095;
    /** Delay at an engine with older weights than wanted that counts as equal to none at one with the wanted ones. */
    Duration oldWeightsPenalty = std::chrono::milliseconds(120);
    /** Differences of expected delay below this don't count. */
    Duration equalWithin = std::chrono::milliseconds(30);
    /** Longest expected delay with which a prompt is let in, in percent of the time in which callers want its first event. */
    u32 admitPercent = 100;
    /** Time within which prompts begin, with few exceptions: a share of the delay that is expected, and a part that it does not tell. */
    u32 beginPercent = 200;
    Duration beginSlack = std::chrono::milliseconds(350);
};

/** @brief Work that a request means to an endpoint. */
struct Work
{
    u64 memory = 0; ///< tokens of the prompt and its answer; zero for a call of a plain service
    u64 prefill = 0; ///< prompt tokens that the engine has to read
};

struct Endpoint;

/** @brief A request that needs an endpoint. */
struct Need
{
    std::string_view service;
    u64 home = 0; ///< equal for prompts that share their parts; breaks ties always the same way
    u64 random = 0;
    u64 memory = 0; ///< tokens of a prompt with its answer; zero for a call of a plain service
    std::function<u64(const Endpoint &)> prefill; ///< prompt tokens that an engine would have to read; for prompts
    /** Prompt tokens that an engine holds already, so that they take no further memory there. Empty if there are none. */
    std::function<u64(const Endpoint &)> inPlace;
    std::string_view model;
    u64 wantedVersion = 0; ///< newest weights of the model
    /** Until when the request may begin on a version of the model; nothing for no bound. Empty if there is none for any version. */
    std::function<std::optional<TimePoint>(u64 version)> expiry;
    Duration target{}; ///< in which the caller wants the first event; zero for no bound
    std::set<std::string, std::less<>> tried;
};

/** @brief Why no endpoint was chosen. */
enum class NoChoice : u8 {
    None,
    NoEndpoint, ///< none is known, or none that takes work
    NoRoom, ///< all are full
    TooSlow, ///< all would take longer than the caller wants
};

[[nodiscard]] std::string_view toString(NoChoice reason);

/** @brief How a prompt stands to the endpoints with the wanted weights. */
enum class NewestWeights : u8 {
    Chosen, ///< it goes to one, or no weights are wanted
    NoneServes, ///< none has them and takes work
    NoRoom, ///< all that have them are full
    TooSlow, ///< all that have them would take longer than the caller wants
    Later, ///< another one begins so much sooner
};

[[nodiscard]] std::string_view toString(NewestWeights newest);

struct Choice
{
    std::string id;
    NoChoice reason = NoChoice::None;
    Work work;
    Duration expectedDelay{}; ///< to the first event; for prompts
    u64 bornMs = 0; ///< tells the starts of the endpoint apart
    NewestWeights newest = NewestWeights::Chosen;
};

/** @brief Whether the delay of a prompt's first event tells of the engine's pace. */
enum class DelayLesson : u8 {
    Learn,
    Ignore, ///< something else may explain it
};

/** @brief One endpoint with what was learnt of it. */
struct Endpoint
{
    Registration registration;
    u64 hash = 0; ///< of its id
    Load own; ///< of this entry
    TimePoint lastHeard{};
    std::optional<TimePoint> waitingSince; ///< first send after it was last heard
    TimePoint ejectedUntil{};
    bool isEjectedAsUnresponsive = false; ///< the last time, in place of for failed requests
    Duration lastEjection{};
    double failureShare = 0; ///< moving average
    u32 samples = 0;
    double slowness = 1; ///< moving average of delays, against those expected at reference pace
    TimePoint slownessAt{};
    TimePoint coldUntil{};
    std::optional<limits::TokenBucket> coldBucket;
    cache::EngineCacheEstimate memory;
    bool hasLeft = false; ///< gone from the list, kept while requests are under way
};

/**
 * @brief The endpoints known to one entry. Not thread-safe.
 */
class EndpointTable
{
public:
    explicit EndpointTable(const Policy &policy);

    /** @brief Takes over an endpoint's registration; an older start of the same endpoint is forgotten. */
    void setRegistration(const Registration &registration, TimePoint now);
    void remove(std::string_view id);

    /** @brief Forgets all that are not in the list, which is complete. */
    void keepOnly(const std::set<std::string, std::less<>> &ids);

    void setEvacuated(std::set<std::string, std::less<>> zones);

    /** @brief Sets zones that were out, whose endpoints may have become cold since they were heard of. */
    void setReturning(std::set<std::string, std::less<>> zones);

    /** @brief Sets what endpoints of a service bear. */
    void setServiceLimits(std::string_view service, u64 cacheTokens, double coldPerSecond);

    /** @brief Sets among how many entries the sums over all entries are shared. */
    void setEntryCount(u32 entries);

    [[nodiscard]] const Policy &policy() const;

    [[nodiscard]] Choice choose(const Need &need, TimePoint now);

    void noteSent(std::string_view id, const Work &work, TimePoint now);
    void noteHeard(std::string_view id, TimePoint now);

    /** @brief Takes note of the first event of a prompt, so that its prompt is read. */
    void noteFirstEvent(std::string_view id, const Choice &choice, Duration delay, DelayLesson lesson, TimePoint now);

    /**
     * @param bornMs of the start that the request was sent to
     * @param left work of the request that was not taken off by noteFirstEvent()
     * @return for how long the endpoint is left out from now on, if it is for what it did
     */
    Duration noteEnd(std::string_view id, u64 bornMs, const Work &left, Outcome outcome, TimePoint now);

    /** @brief Takes note of a part that a prompt brings into an engine's memory, at this entry or another. */
    void notePart(u64 endpoint, u64 part, u64 tokens);

    /**
     * @brief An engine from whose memory another one may fetch a part, as far as guessed; null if none is known.
     *
     * One of the fetching engine's zone comes first.
     */
    [[nodiscard]] const Endpoint *sourceOf(u64 part, const Endpoint &fetching, TimePoint now) const;

    /** @brief Sets which endpoints this process has told to load weights, and that take no work meanwhile. */
    void setLoading(std::unordered_set<u64> endpoints);
    [[nodiscard]] const std::unordered_set<u64> &loading() const;

    /** @brief What the other entries say of their work. */
    [[nodiscard]] PeerLoads &peers();

    /**
     * @brief Takes over what another entry says.
     * @return ids of endpoints that enough entries find unresponsive from now on
     */
    std::vector<std::string> takeReport(const std::string &entry, PeerLoads::Report report, TimePoint now);

    /** @brief The work of this entry, for the others. */
    [[nodiscard]] LoadsById ownLoads() const;

    /** @brief Endpoints that this entry gets no sign of life from, by hash, for the others. */
    [[nodiscard]] std::vector<u64> unresponsive(TimePoint now) const;

    /** @brief Work at an endpoint, of all entries. */
    [[nodiscard]] Load loadAt(const Endpoint &endpoint) const;

    /** @brief Takes over the weights that an endpoint named in an answer. */
    void noteWeights(std::string_view id, std::string_view model, u64 version);

    /** @brief Takes over how long an endpoint says that it is cold. */
    void noteCold(std::string_view id, Duration left, TimePoint now);

    [[nodiscard]] const Endpoint *find(std::string_view id) const;
    [[nodiscard]] const std::map<std::string, Endpoint, std::less<>> &all() const;

private:
    struct ServiceLimits
    {
        u64 cacheTokens = 0;
        double coldPerSecond = 0;
    };
    using Endpoints = std::map<std::string, Endpoint, std::less<>>;

    /** @brief An endpoint that may be chosen. */
    struct Candidate
    {
        Endpoint *endpoint = nullptr;
        u64 memory = 0; ///< tokens that the prompt takes there
        u64 prefill = 0;
        Duration delay{};
        Duration score{}; ///< delay with penalties
        u64 rank = 0; ///< among equals
    };

    [[nodiscard]] bool isEligible(const Endpoint &endpoint, const Need &need, TimePoint now) const;
    [[nodiscard]] bool hasExpiredWeights(const Endpoint &endpoint, const Need &need, TimePoint begin) const;
    [[nodiscard]] bool isSilent(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool isSilentToOthers(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool hasMemory(const Endpoint &endpoint, u64 needed) const;
    [[nodiscard]] bool bearsMore(Endpoint &endpoint, TimePoint now);
    [[nodiscard]] Choice choosePlain(const Need &need, TimePoint now);
    [[nodiscard]] Choice choosePrompt(const Need &need, TimePoint now);
    [[nodiscard]] NewestWeights newestWeights(const Candidate &chosen, const std::vector<Candidate> &candidates, const Need &need,
                                              TimePoint now) const;
    [[nodiscard]] Candidate candidateOf(Endpoint &endpoint, u64 memory, const Need &need, TimePoint now) const;
    [[nodiscard]] Duration delayAt(const Endpoint &endpoint, u64 tokens, TimePoint now) const;
    [[nodiscard]] Duration referenceDelay(u64 tokens) const;
    [[nodiscard]] const ServiceLimits &limitsOf(const std::string &service) const;
    [[nodiscard]] Duration eject(Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool maySend(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] Endpoints::iterator findStart(std::string_view id, u64 bornMs);
    void dropIfDone(Endpoints::iterator endpoint);

    Policy m_policy;
    u32 m_entries = 0; ///< zero: not known yet
    Endpoints m_endpoints;
    std::unordered_map<u64, Endpoint *> m_byHash;
    std::set<std::string, std::less<>> m_evacuated;
    std::set<std::string, std::less<>> m_returning;
    std::map<std::string, ServiceLimits, std::less<>> m_limits;
    PeerLoads m_peers;
    std::unordered_set<u64> m_loading;
    placement::LeastLoadedPolicy m_leastLoaded;
};

} // namespace burdock::endpoints
