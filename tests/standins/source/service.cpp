#include <standins/service.hpp>

#include <burdock/runtime/sleep.hpp>

#include <boost/json.hpp>

namespace standins {

Service::Service(boost::asio::io_context &workers, const std::string &address)
    : m_server(workers, runtime::http::parseAddress(address), {}, *this)
{
}

std::string Service::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Service::setMode(ServiceMode mode)
{
    m_mode = mode;
}

void Service::release()
{
    m_mode = ServiceMode::Respond;
}

u32 Service::executionCount(const std::string &body) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_executions.find(body);
    return found == m_executions.end() ? 0 : found->second;
}

u32 Service::totalExecutions() const
{
    const std::lock_guard lock(m_mutex);
    return m_totalExecutions;
}

boost::asio::awaitable<void> Service::handle(const runtime::http::Request &request, runtime::http::Reply &reply)
{
    u32 number = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[request.body];
        number = ++m_totalExecutions;
    }
    if (m_mode == ServiceMode::ExecuteAndClose) {
        co_return;
    }
    while (m_mode == ServiceMode::ExecuteAndWait) {
        co_await runtime::sleepFor(std::chrono::milliseconds(10));
    }
    runtime::http::Response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = boost::json::serialize(
        boost::json::object{{"number", number}, {"method", request.method}, {"path", request.target}, {"echo", request.body}});
    co_await reply.send(response);
}

} // namespace standins
