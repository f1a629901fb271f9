#pragma once

#include <burdock/limits/token_bucket.hpp>
#include <burdock/placement/policy.hpp>
#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
};

[[nodiscard]] std::string_view toString(Outcome outcome);

/** @brief Figures of the choice of endpoints. */
struct Policy
{
    /** Share of an engine's memory that this entry and its peers give out, in percent. Above 100, as prompts share parts. */
    u32 roomPercent = 120;
    /** Requests under way at a plain endpoint, in percent of its slots. */
    u32 slotPercent = 150;
    /** Silence of an endpoint with requests under way after which it gets no more. */
    Duration silenceLimit = std::chrono::milliseconds(700);
    /** First time for which an endpoint that failed is left out; doubles with each further one. */
    Duration firstEjection = std::chrono::milliseconds(500);
    Duration longestEjection = std::chrono::seconds(8);
    /** Share of failed requests above which an endpoint is left out, of the latest ones. */
    double failureShare = 0.5;
    /** Length of the homes' order that is looked at for room. */
    u32 candidates = 6;
};

/** @brief A request that needs an endpoint. */
struct Need
{
    std::string_view service;
    u64 home = 0; ///< see cache::homeHash(); equal for prompts that share their parts
    u64 random = 0;
    u64 tokens = 0; ///< memory of a prompt with its answer; zero for a call of a plain service
    std::string_view model;
    u64 wantedVersion = 0; ///< newest weights of the model; endpoints with older ones come last
    u32 priority = 0;
    bool isProbe = false; ///< may be sent to an endpoint that is suspected
    std::set<std::string, std::less<>> tried;
};

/** @brief Why no endpoint was chosen. */
enum class NoChoice : u8 {
    None,
    NoEndpoint, ///< none is known, or none that takes work
    NoRoom, ///< all are full
};

struct Choice
{
    std::string id;
    NoChoice reason = NoChoice::None;
};

/** @brief One endpoint with what was learnt of it. */
struct Endpoint
{
    Registration registration;
    u32 running = 0; ///< requests of this entry under way
    u64 tokens = 0; ///< their memory
    u32 othersRunning = 0; ///< as told by the other entries
    u64 othersTokens = 0;
    TimePoint lastHeard{};
    std::optional<TimePoint> waitingSince; ///< first send after it was last heard
    TimePoint ejectedUntil{};
    Duration lastEjection{};
    double failureShare = 0; ///< moving average
    u32 samples = 0;
    TimePoint coldUntil{};
    std::optional<limits::TokenBucket> coldBucket;
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

    /** @brief Sets what endpoints of a service bear. */
    void setServiceLimits(std::string_view service, u64 cacheTokens, double coldPerSecond);

    /** @brief Sets among how many entries the sums over all entries are shared. */
    void setEntryCount(u32 entries);

    [[nodiscard]] Choice choose(const Need &need, TimePoint now);

    void noteSent(std::string_view id, u64 tokens, TimePoint now);
    void noteHeard(std::string_view id, TimePoint now);
    void noteEnd(std::string_view id, u64 tokens, Outcome outcome, TimePoint now);

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

    [[nodiscard]] bool isEligible(const Endpoint &endpoint, const Need &need, TimePoint now) const;
    [[nodiscard]] bool isSilent(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool hasRoom(const Endpoint &endpoint, const Need &need) const;
    [[nodiscard]] bool bearsMore(Endpoint &endpoint, TimePoint now);
    [[nodiscard]] placement::EndpointView viewOf(const Endpoint &endpoint, const Need &need) const;
    [[nodiscard]] const ServiceLimits &limitsOf(const std::string &service) const;
    void eject(Endpoint &endpoint, TimePoint now) const;
    void dropIfDone(Endpoints::iterator endpoint);

    Policy m_policy;
    u32 m_entries = 1;
    Endpoints m_endpoints;
    std::set<std::string, std::less<>> m_evacuated;
    std::map<std::string, ServiceLimits, std::less<>> m_limits;
    placement::HomePolicy m_homes;
    placement::LeastLoadedPolicy m_leastLoaded;
};

} // namespace burdock::endpoints
