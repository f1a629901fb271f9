#pragma once

#include <burdock/runtime/http/server.hpp>
#include <burdock/serving/process.hpp>

#include <functional>
#include <string>

namespace burdock::serving {

/** @brief Serves the admin endpoints /metrics, /healthz, /readyz, /statusz and /tracez. Thread-safe. */
class AdminHandler : public runtime::http::Handler
{
public:
    /**
     * @param isReady whether the process accepts new work; decides the status code of /readyz
     * @param status  returns the state of the process as a JSON document
     */
    AdminHandler(Process &process, std::function<bool()> isReady, std::function<std::string()> status);

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

private:
    Process &m_process;
    std::function<bool()> m_isReady;
    std::function<std::string()> m_status;
};

} // namespace burdock::serving
