#pragma once

#include "platform_store.hpp"
#include "record.hpp"

#include <atomic>

namespace review {

/** @brief An order that reached a replica. */
struct Order
{
    Clock::time_point at;
    std::string holder;
    std::int64_t token = 0;
    std::int64_t version = 0;
    int status = 0; ///< 0: left unanswered, to be carried out later
};

/** @brief A part of a prompt that a request found in a replica's cache. */
struct CacheUse
{
    Clock::time_point at;
    std::string attempt;
    std::string tenant;
    std::string part;
    std::string madeBy; ///< tenant whose request made the part
};

struct ReplicaOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::string model; ///< empty for a replica of a plain service
    Milliseconds loadTime{1300};
    Milliseconds workTime{30};
};

/** @brief Stand-in for a replica: runs requests, and as a model replica also takes orders to load other weights. */
class Replica
{
public:
    Replica(const ReplicaOptions &options, PlatformStore &store, Record &record);

    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<Order> orders() const;
    [[nodiscard]] std::int64_t version() const;
    [[nodiscard]] std::vector<std::string> runAttempts() const;
    [[nodiscard]] std::vector<CacheUse> cacheUses() const;

    /** @brief The next order gets no answer and is carried out after the given time. */
    void leaveNextOrderUnanswered(Milliseconds carryOutAfter);
    /** @brief Sets how long a request runs. */
    void setWorkTime(Milliseconds time);
    /** @brief From now on, so many of ten requests fail with the given status. */
    void failRequests(int status, int ofTen);

    /** @brief Streams have neither a length nor chunks and end with their connection, as the pages allow. */
    void endStreamsWithConnection();

    void enterList();
    void setDraining();

    /** @brief Tells whether the connection of a stream is reset after its last event. Set before the first machine starts. */
    std::function<bool(const Message &)> mustReset;
    /** @brief Called when an order has arrived, before it is answered. Set before the first machine starts. */
    std::function<void(const Replica &, const Order &)> onOrder;

private:
    Next handle(const Message &request, Peer &peer);
    Next takeOrder(const Message &request, Peer &peer);
    void load(std::int64_t version, std::int64_t expectedSeq, Milliseconds delay);
    Next run(const Message &request, Peer &peer);
    Next answerStream(const Message &request, Peer &peer, std::int64_t version);
    void useCache(const Message &request);

    ReplicaOptions m_options;
    PlatformStore &m_store;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::vector<Order> m_orders;
    std::vector<std::string> m_attempts;
    std::map<std::pair<std::string, std::string>, std::string> m_cache; ///< maker of each part, by salt and part
    std::vector<CacheUse> m_cacheUses;
    std::int64_t m_version = 1;
    std::int64_t m_seq = 0;
    bool m_isBusy = false;
    bool m_isDraining = false;
    bool m_endsStreamsWithConnection = false;
    std::optional<Milliseconds> m_carryOutAfter;
    int m_failureStatus = 0;
    int m_failuresOfTen = 0;
    int m_requestCount = 0;
    std::int64_t m_bornMs;
    Listener m_listener;
};

} // namespace review
