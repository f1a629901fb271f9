#pragma once

#include "disturbances.hpp"

#include <map>
#include <set>

namespace soak {

enum class CallKind : u8 {
    Once,
    Read,
    Prompt,
    Poison, ///< a read that crashes each endpoint which runs it
};

[[nodiscard]] std::string_view toString(CallKind kind);

/** @brief Events of each prompt's answer. */
inline constexpr u32 EventsOfPrompt = 6;

/** @brief Subjects of disturbances. */
[[nodiscard]] std::string gatewaySubject(u32 gateway);
/** What keeps a gateway from hearing of the platform or from acting on it: a broken way to the store, a frozen process. */
[[nodiscard]] std::string hearingSubject(u32 gateway);
/** What keeps an engine from hearing that a prompt was cut off. */
[[nodiscard]] std::string linkSubject(const std::string &endpoint);
inline const std::string StoreSubject = "store";

/** @brief One attempt of a caller, as it was sent. */
struct SentCall
{
    CallKind kind = CallKind::Read;
    u32 gateway = 0;
    u32 incarnation = 0; ///< of the gateway's process
    TimePoint startedAt{}; ///< just before the process
    std::string key;
    TimePoint at{};
};

/** @brief How an attempt ended for its caller. */
struct EndedCall
{
    u16 status = 0; ///< 0 without an answer
    bool isWhole = false;
    std::string body;
    bool hasLeft = false; ///< the caller gave up
    TimePoint at{};
};

/** @brief An attempt as an endpoint began to run it. */
struct BegunCall
{
    std::string attempt;
    std::string endpoint;
    std::string customer;
    u64 weights = 0; ///< on which a prompt runs
    TimePoint received{}; ///< before a wait inside the endpoint
    TimePoint at{};
};

/** @brief An order as an endpoint received it. */
struct ReceivedOrder
{
    std::string endpoint;
    std::string holder;
    u64 token = 0;
    TimePoint at{};
};

/** @brief The bounds that the checks ask for. */
struct Bounds
{
    Duration revocation = std::chrono::milliseconds(4000); ///< keys, as in the gateways' settings
    Duration configuration = std::chrono::milliseconds(2000);
    Duration draining = std::chrono::milliseconds(2000);
    Duration evacuation = std::chrono::milliseconds(5000);
    /** As in the gateways' settings: reached in a short run, and longer than a gateway that starts might assume. */
    Duration weights = std::chrono::milliseconds(7000);
    Duration configurationBack = std::chrono::milliseconds(250);
};

/**
 * @brief What callers and endpoints saw, held against the promises while the run goes on.
 *
 * Thread-safe. A broken promise is kept as one line with what it needs to be traced.
 */
class Ledger
{
public:
    Ledger(const Bounds &bounds, Disturbances &disturbances);

    void noteSent(const std::string &attempt, const SentCall &call);
    void noteBegun(const BegunCall &call);
    void noteEnded(const std::string &attempt, const EndedCall &end);
    void notePoisonRun(const std::string &endpoint, TimePoint at);
    void noteOrder(const ReceivedOrder &order);

    /** @brief Writes of the operator, at the time of their acknowledgement. */
    void noteKeyAdded(const std::string &key, u64 version, TimePoint at);
    void noteKeyRemoved(const std::string &key, u64 version, TimePoint at);
    void noteDraining(const std::string &endpoint, TimePoint at);
    void noteWeightsNamed(u64 version, TimePoint at);
    void noteZone(const std::string &endpoint, const std::string &zone);
    void noteZoneOut(const std::string &zone, TimePoint at);
    void noteZoneBack(const std::string &zone);

    void broken(const std::string &promise, const std::string &detail);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::map<std::string, u64> counts() const;

private:
    struct Attempt
    {
        SentCall sent;
        std::vector<BegunCall> begun;
        std::optional<EndedCall> end;
    };

    /** The version of the configuration that added or removed a key. */
    struct KeyChange
    {
        u64 version = 0;
        TimePoint at{};
    };

    using Process = std::pair<u32, u32>; ///< gateway and incarnation

    void checkBegun(const Attempt &attempt, const BegunCall &call);
    void checkKey(const Attempt &attempt, const BegunCall &call);
    void checkEndpoint(const Attempt &attempt, const BegunCall &call);
    void checkWeights(const Attempt &attempt, const BegunCall &call);
    void checkAnswer(const std::string &id, const Attempt &attempt);
    void checkRefusal(const std::string &id, const Attempt &attempt);
    void checkLoss(const std::string &id, const Attempt &attempt);
    void checkUnknownKey(const std::string &id, const Attempt &attempt);
    void checkBack(const Attempt &attempt, const BegunCall &call);
    void learnFromRefusal(const Attempt &attempt);
    void learn(const SentCall &sent, u64 version, TimePoint at);
    [[nodiscard]] bool hasShown(const SentCall &sent, u64 version, Duration before) const;
    [[nodiscard]] bool mustKnow(const KeyChange &added, const SentCall &sent) const;
    [[nodiscard]] bool isInForce(const KeyChange &added, const SentCall &sent) const;
    void add(const std::string &promise, const std::string &detail);

    const Bounds m_bounds;
    Disturbances &m_disturbances;
    mutable std::mutex m_mutex;
    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, KeyChange> m_keysAdded;
    std::map<std::string, KeyChange> m_keysRemoved;
    std::map<Process, std::map<u64, TimePoint>> m_shown; ///< versions that a process has shown it knows, and when first
    std::map<std::string, TimePoint> m_draining;
    std::map<u64, TimePoint> m_weights;
    std::map<std::string, std::string> m_zones; ///< by endpoint
    std::map<std::string, TimePoint> m_zonesOut;
    std::map<std::string, ReceivedOrder> m_orders; ///< the latest of each endpoint
    std::map<u64, std::string> m_holders; ///< by token
    std::vector<std::string> m_violations;
    std::map<std::string, u64> m_counts;
};

} // namespace soak
