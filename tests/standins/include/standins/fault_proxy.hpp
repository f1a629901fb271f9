#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
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

    [[nodiscard]] u64 connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the coroutines of the connections
};

} // namespace standins
