#pragma once

#include <burdock/types.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** @brief HTTP/1.1, without its library in the interface. */
namespace burdock::runtime::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request
{
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;

    /** @brief The first header of this name, in any case, or empty. */
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /** @brief The target without its query. */
    [[nodiscard]] std::string_view path() const;

    /** @brief The value of a query parameter as it stands there, or empty. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
};

struct Response
{
    u16 status = 200;
    Headers headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/** @brief IP and port. */
struct Address
{
    std::string ip;
    u16 port = 0;
};

/** @brief Reads `IP:port`; port 0 if it is malformed. */
[[nodiscard]] Address parseAddress(std::string_view text);

} // namespace burdock::runtime::http
