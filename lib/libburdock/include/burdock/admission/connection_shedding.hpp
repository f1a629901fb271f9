#pragma once

#include <burdock/types.hpp>

#include <deque>

namespace burdock::admission {

/** @brief Parameters of ConnectionShedding. */
struct ConnectionSheddingPolicy
{
    /** A process that is late for longer than this has more work than it can do. A request waits for several times its lag. */
    Duration maxLag = std::chrono::milliseconds(50);
    /** Number of successive measurements most of which must show it, so that a single pause doesn't. */
    std::size_t measurements = 3;
    /** Growth of the share of connections that are closed, per measurement and maxLag of lag, and its decrease per measurement below. */
    double growth = 0.3;
    double decrease = 0.03;
    /** Some connections are always accepted, as they show when the process can take more. */
    double maxShare = 0.98;
};

/**
 * @brief Decides which new connections of callers an overloaded process closes before it reads their requests.
 *
 * A load balancer may send most new connections to one process. Callers whose connection is closed with the request unread can send it to
 * another process at once, also if it must not run twice; those that wait at an overloaded one can't. If the other processes are overloaded
 * too, closing connections helps nobody. Not thread-safe.
 */
class ConnectionShedding
{
public:
    explicit ConnectionShedding(const ConnectionSheddingPolicy &policy);

    /** @brief Records by how much a periodic timer was late. */
    void noteLateness(Duration lateness);

    /**
     * @brief Records how many other processes are known and how many of them are not overloaded.
     */
    void setPeers(std::size_t known, std::size_t calm);

    /** @brief Whether the process has more work than it can do. */
    [[nodiscard]] bool isOverloaded() const;

    /** @brief Whether to close the next connection. */
    [[nodiscard]] bool mustClose();

private:
    /** @brief Median of the most recent measurements. */
    [[nodiscard]] Duration lag() const;

    ConnectionSheddingPolicy m_policy;
    std::deque<Duration> m_lateness; ///< of the most recent measurements
    double m_share = 0; ///< of the new connections, to be closed
    double m_due = 0; ///< connections that should have been closed by now
    bool m_canOthersServe = false;
};

} // namespace burdock::admission
