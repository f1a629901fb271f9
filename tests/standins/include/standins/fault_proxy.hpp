#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace standins {

using namespace burdock;

/** @brief A TCP proxy that breaks connections in chosen ways. */
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &workers, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] std::string address() const;

    /** @brief Cuts all open connections. */
    void closeConnections();

    /** @brief Silently stops forwarding on all open connections, for good; new ones work. */
    void stallConnections();

    /** @brief Closes new connections at once while set. */
    void setRefusing(bool isRefusing);

    /** @brief Forwards requests but cuts the connection in place of each answer while set. */
    void setDroppingResponses(bool isLosing);

    /** @brief Delays each piece in both directions. */
    void setDelay(Duration delay);

    /** @brief Cuts each connection after so many bytes of answer; 0 for never. */
    void setCutAfter(u64 bytes);

    [[nodiscard]] u64 connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // shared with the connections' coroutines
};

} // namespace standins
