#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

/** @brief Behaviour of a plain service. */
enum class ServiceMode : u8 {
    Respond,
    ExecuteAndClose, ///< executes the request, then closes the connection without a response
    ExecuteAndWait, ///< executes the request, then responds only after release()
};

/** @brief Plain service that counts the requests it has executed. */
class Service : private runtime::http::Handler
{
public:
    Service(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(ServiceMode mode);
    /** @brief Sends the responses held back by ServiceMode::ExecuteAndWait. */
    void release();

    /** @brief Number of requests executed with this body. */
    [[nodiscard]] u32 executionCount(const std::string &body) const;
    [[nodiscard]] u32 totalExecutions() const;

private:
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

    std::atomic<ServiceMode> m_mode{ServiceMode::Respond};
    mutable std::mutex m_mutex;
    std::map<std::string, u32> m_executions;
    u32 m_totalExecutions = 0;
    runtime::http::Server m_server;
};

} // namespace standins
