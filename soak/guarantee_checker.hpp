#pragma once

#include "disturbances.hpp"

#include <map>
#include <set>

namespace soak {

enum class CallKind : u8 {
    AtMostOnce,
    Read,
    Prompt,
    ResumablePrompt, ///< a prompt whose stream its caller takes up once if it breaks off
    Poison, ///< a read that crashes each endpoint that executes it
    PoisonedPrompt, ///< a prompt with a part that crashes each engine that begins to answer it, unlike any other as a whole
};

[[nodiscard]] std::string_view toString(CallKind kind);

/** @brief Number of events in the response to a prompt. */
inline constexpr u32 EventsPerPrompt = 6;

/** @brief Subject names for Disturbances. */
[[nodiscard]] std::string gatewaySubject(u32 gateway);
/** Faults that keep a gateway from receiving or applying platform updates: no connection to the store, a frozen process. */
[[nodiscard]] std::string platformUpdateSubject(u32 gateway);
/** Faults that keep an engine from noticing that the connection of a prompt was closed. */
[[nodiscard]] std::string linkSubject(const std::string &endpoint);
inline const std::string StoreSubject = "store";

/** @brief A call as a caller sent it. */
struct SentCall
{
    CallKind kind = CallKind::Read;
    u32 gateway = 0;
    u32 incarnation = 0; ///< of the gateway process
    TimePoint startedAt{}; ///< just before the process started
    std::string key;
    TimePoint at{};
};

/** @brief Outcome of a call for its caller. */
struct CallOutcome
{
    u16 status = 0; ///< 0 without a response
    bool isComplete = false;
    std::string body;
    bool isAbandoned = false; ///< the caller closed the connection before a response
    TimePoint at{};
};

/** @brief Start of the execution of a call at an endpoint. */
struct CallExecution
{
    std::string attempt;
    std::string endpoint;
    std::string customer;
    u64 weightVersion = 0; ///< version that a prompt runs on
    TimePoint received{}; ///< before waiting inside the endpoint
    TimePoint at{};
};

/** @brief A weight order as an endpoint received it. */
struct ReceivedOrder
{
    std::string endpoint;
    std::string holder;
    u64 token = 0;
    TimePoint at{};
};

/** @brief Time bounds that the checks enforce. */
struct Bounds
{
    Duration maxRevocationDelay = std::chrono::milliseconds(4000); ///< of keys; equals the setting of the gateways
    Duration maxConfigurationDelay = std::chrono::milliseconds(2000);
    Duration maxDrainDelay = std::chrono::milliseconds(2000);
    Duration maxEvacuationDelay = std::chrono::milliseconds(5000);
    /** Equals the setting of the gateways. Short enough to pass within a run, longer than a starting gateway might assume. */
    Duration maxStaleWeightTime = std::chrono::milliseconds(7000);
    /** Time after a process has shown that it knows a version in which older behavior does not count as a rollback. */
    Duration rollbackTolerance = std::chrono::milliseconds(250);
};

/**
 * @brief Checks what callers and endpoints observe against the guarantees, during the run.
 *
 * Each violation is kept as one line with the details needed to trace it. Thread-safe.
 */
class GuaranteeChecker
{
public:
    GuaranteeChecker(const Bounds &bounds, Disturbances &disturbances);

    void noteSent(const std::string &attempt, const SentCall &call);
    void noteExecution(const CallExecution &call);
    void noteOutcome(const std::string &attempt, const CallOutcome &outcome);
    void notePoisonRun(const std::string &endpoint, TimePoint at);
    /** @brief Records that an engine began to answer a prompt with the part that crashes engines, and crashed; it is back later. */
    void notePoisonedPromptRun(const std::string &engine, TimePoint at, TimePoint backAt);
    void noteOrder(const ReceivedOrder &order);

    /** @brief Changes by the operator, at the time when the store acknowledged them. */
    void noteKeyAdded(const std::string &key, u64 version, TimePoint at);
    void noteKeyRemoved(const std::string &key, u64 version, TimePoint at);
    void noteDraining(const std::string &endpoint, TimePoint at);
    void noteWeightsAnnounced(u64 version, TimePoint at);
    void noteZone(const std::string &endpoint, const std::string &zone);
    void noteZoneEvacuated(const std::string &zone, TimePoint at);
    void noteZoneRestored(const std::string &zone);

    /** @brief Records a violation that was detected outside this class. */
    void reportViolation(const std::string &guarantee, const std::string &detail);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::map<std::string, u64> counts() const;

private:
    struct Attempt
    {
        SentCall sent;
        std::vector<CallExecution> executions;
        std::optional<CallOutcome> outcome;
    };

    /** Configuration version that added or removed a key, and when. */
    struct KeyChange
    {
        u64 version = 0;
        TimePoint at{};
    };

    using Process = std::pair<u32, u32>; ///< gateway and incarnation

    void checkExecution(const Attempt &attempt, const CallExecution &call);
    void checkKey(const Attempt &attempt, const CallExecution &call);
    void checkEndpoint(const Attempt &attempt, const CallExecution &call);
    void checkWeights(const Attempt &attempt, const CallExecution &call);
    void checkResponse(const std::string &id, const Attempt &attempt);
    void checkResumableStream(const std::string &id, const CallOutcome &outcome);
    void checkNotRunRefusal(const std::string &id, const Attempt &attempt);
    void checkLostCall(const std::string &id, const Attempt &attempt);
    void checkUnknownKey(const std::string &id, const Attempt &attempt);
    void checkRollback(const Attempt &attempt, const CallExecution &call);
    void noteRemovalFromRefusal(const Attempt &attempt);
    void noteKnownVersion(const SentCall &sent, u64 version, TimePoint at);
    [[nodiscard]] bool hasKnownVersion(const SentCall &sent, u64 version, Duration before) const;
    [[nodiscard]] bool mustKnowKey(const KeyChange &added, const SentCall &sent) const;
    [[nodiscard]] bool mustBeInForce(const KeyChange &added, const SentCall &sent) const;
    void addViolation(const std::string &guarantee, const std::string &detail);

    const Bounds m_bounds;
    Disturbances &m_disturbances;
    mutable std::mutex m_mutex;
    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, KeyChange> m_keysAdded;
    std::map<std::string, KeyChange> m_keysRemoved;
    std::map<Process, std::map<u64, TimePoint>> m_knownVersions; ///< versions that a process has shown to know, and when first
    std::map<std::string, TimePoint> m_draining;
    std::map<u64, TimePoint> m_weightAnnouncements;
    std::map<std::string, std::string> m_endpointZones; ///< by endpoint
    std::map<std::string, TimePoint> m_evacuatedZones;
    std::map<std::string, ReceivedOrder> m_latestOrders; ///< by endpoint
    std::map<u64, std::string> m_tokenHolders; ///< by fencing token
    std::vector<std::string> m_violations;
    std::map<std::string, u64> m_counts;
};

} // namespace soak
