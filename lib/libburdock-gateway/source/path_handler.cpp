#include "path_handler.hpp"

namespace burdock::gateway {

namespace {

constexpr u16 StatusNotFound = 404;

} // namespace

PathHandler::PathHandler(std::string path, std::function<runtime::http::Response()> makeResponse)
    : m_path(std::move(path))
    , m_makeResponse(std::move(makeResponse))
{
}

boost::asio::awaitable<void> PathHandler::handle(const runtime::http::Request &request, runtime::http::Reply &reply)
{
    runtime::http::Response response;
    response.status = StatusNotFound;
    if (request.path() == m_path) {
        response = m_makeResponse();
    }
    co_await reply.send(response);
}

} // namespace burdock::gateway
