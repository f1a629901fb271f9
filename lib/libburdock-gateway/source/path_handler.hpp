#pragma once

#include <burdock/runtime/http/server.hpp>

#include <functional>
#include <string>

namespace burdock::gateway {

/** @brief Serves a single path with the response that a function returns. */
class PathHandler : public runtime::http::Handler
{
public:
    PathHandler(std::string path, std::function<runtime::http::Response()> makeResponse);

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

private:
    std::string m_path;
    std::function<runtime::http::Response()> m_makeResponse;
};

} // namespace burdock::gateway
