#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

/** @brief How a plain service treats the next calls. */
enum class ServiceMode : u8 {
    Respond,
    ExecuteAndClose, ///< carries the call out, then cuts the connection without an answer
    ExecuteAndWait, ///< carries the call out, then answers only after release()
};

/** @brief A plain service that counts what it carried out. */
class Service : private runtime::http::Handler
{
public:
    Service(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(ServiceMode mode);
    void release();

    /** @brief Calls carried out with this body. */
    [[nodiscard]] u32 executionCount(const std::string &body) const;
    [[nodiscard]] u32 totalExecutions() const;

private:
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

    std::atomic<ServiceMode> m_mode{ServiceMode::Respond};
    mutable std::mutex m_mutex;
    std::map<std::string, u32> m_carriedOut;
    u32 m_total = 0;
    runtime::http::Server m_server;
};

} // namespace standins
