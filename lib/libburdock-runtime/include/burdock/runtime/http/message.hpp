#pragma once

#include <burdock/types.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** @brief HTTP/1.1; the interfaces don't expose Boost.Beast. */
namespace burdock::runtime::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request
{
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;

    /** @brief The value of the first header with this name (case-insensitive), or empty. */
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /** @brief The target without its query. */
    [[nodiscard]] std::string_view path() const;

    /** @brief The value of a query parameter without percent-decoding, or empty. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
};

struct Response
{
    u16 status = 200;
    Headers headers;
    std::string body;

    /** @brief The value of the first header with this name (case-insensitive), or empty. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/** @brief IP address and port. */
struct Address
{
    std::string ip;
    u16 port = 0;
};

/** @brief Parses `IP:port`; the port is 0 if the text is malformed. */
[[nodiscard]] Address parseAddress(std::string_view text);

} // namespace burdock::runtime::http
