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
    m_mode = ServiceMode::Answer;
}

u32 Service::carriedOut(const std::string &body) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_carriedOut.find(body);
    return found == m_carriedOut.end() ? 0 : found->second;
}

u32 Service::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

boost::asio::awaitable<void> Service::handle(const runtime::http::Request &request, runtime::http::Reply &reply)
{
    u32 number = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_carriedOut[request.body];
        number = ++m_total;
    }
    if (m_mode == ServiceMode::TakeAndCut) {
        co_return;
    }
    while (m_mode == ServiceMode::TakeAndWait) {
        co_await runtime::sleepFor(std::chrono::milliseconds(10));
    }
    runtime::http::Response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = boost::json::serialize(
        boost::json::object{{"number", number}, {"method", request.method}, {"path", request.target}, {"echo", request.body}});
    co_await reply.send(response);
}

} // namespace standins
