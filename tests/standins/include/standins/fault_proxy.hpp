#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
#include <limits>
#include <memory>
#include <string>

namespace standins {

using namespace burdock;

/** @brief TCP proxy that injects connection faults. */
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &workers, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] std::string address() const;

    /** @brief Closes all open connections. */
    void closeConnections();

    /** @brief Permanently stops forwarding on all open connections without closing them; new connections work. */
    void stallConnections();

    /** @brief While set, closes new connections immediately. */
    void setRefusing(bool isRefusing);

    /** @brief While set, forwards requests but closes the connection instead of forwarding the response. */
    void setDroppingResponses(bool isDroppingResponses);

    /** @brief Delays each chunk of data in both directions. */
    void setDelay(Duration delay);

    /** @brief Closes each connection after this many response bytes; 0 for never. */
    void setCloseAfter(u64 bytes);

    /**
     * @brief Holds requests that begin with `start` (such as "GET /v1/state") until releaseRequests(start), at most `maxRequests` of them.
     *
     * While the first request of a connection is held, the connection to the server is not opened; it never is if the caller has left.
     */
    void holdRequests(const std::string &start, u32 maxRequests = std::numeric_limits<u32>::max());
    void releaseRequests(const std::string &start);
    /** @brief Number of requests that holdRequests(start) has held; 0 after their release. */
    [[nodiscard]] u32 heldRequests(const std::string &start) const;

    /** @brief On all connections open now, keeps responses and the end of the connection from the caller until releaseResponses(). */
    void holdResponses();
    void releaseResponses();

    [[nodiscard]] u64 connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the coroutines of the connections
};

} // namespace standins
