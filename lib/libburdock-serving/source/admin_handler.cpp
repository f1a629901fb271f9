#include <burdock/serving/admin_handler.hpp>

namespace burdock::serving {

AdminHandler::AdminHandler(Process &process, std::function<bool()> isReady, std::function<std::string()> status)
    : m_process(process)
    , m_isReady(std::move(isReady))
    , m_status(std::move(status))
{
}

boost::asio::awaitable<void> AdminHandler::handle(const runtime::http::Request &request, runtime::http::Reply &reply)
{
    const auto path = request.path();
    runtime::http::Response response;
    if (path == "/metrics") {
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = m_process.metrics.text();
    } else if (path == "/statusz") {
        response.headers.emplace_back("Content-Type", "application/json");
        response.body = m_status();
    } else if (path == "/tracez") {
        response.headers.emplace_back("Content-Type", "application/jsonlines");
        response.body = m_process.tracer.lines(request.query("trace"));
    } else if (path == "/readyz") {
        response.status = m_isReady() ? 200 : 503;
    } else if (path != "/healthz") {
        response.status = 404;
    }
    co_await reply.send(response);
}

} // namespace burdock::serving
