#pragma once

#include "client_connection.hpp"
#include "scanned_input.hpp"

#include <burdock/runtime/http/server.hpp>

#include <boost/beast/http.hpp>

namespace burdock::runtime::http::detail {

/** @brief Reads one request from a connection, within the limits and the memory for it. */
class RequestReader
{
public:
    /** @param limits must outlive the reader */
    RequestReader(ClientConnection &connection, const ServerLimits &limits);

    /** @brief Waits for the first byte of the request; `end_of_stream` if none comes. */
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> waitForRequest();

    /** @brief Reads the request after its first byte; `no_memory` if it doesn't fit into the memory that is free. */
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> read();

    /** @brief The request as far as it was read. */
    [[nodiscard]] const Request &request() const;

    /** @brief Whether the client keeps the connection open after the response. */
    [[nodiscard]] bool keepsAlive() const;

    /** @brief The status for a request that could not be read; 0 if no response can be sent. */
    [[nodiscard]] static u16 statusFor(const boost::system::error_code &error);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Result = boost::asio::awaitable<boost::system::error_code>;

    [[nodiscard]] Result readFirstBytes();
    [[nodiscard]] Result readHead();
    [[nodiscard]] Result readBody();
    [[nodiscard]] Result advance();
    [[nodiscard]] Result readMore();
    /** @brief Takes the head from the parser, so that trailers don't become a part of it; returns whether there is memory for it. */
    [[nodiscard]] bool takeHead();
    [[nodiscard]] bool hasForbiddenBody() const;

    ClientConnection &m_connection;
    const ServerLimits &m_limits; // may change while the connection waits for a request
    std::optional<ScannedInput> m_input; // from read() on
    Parser m_parser;
    Request m_request;
    bool m_isHeadCut = false; // fields were dropped
    u64 m_headBytes = 0; // of memory
    u64 m_bodyBytes = 0; // of memory
};

} // namespace burdock::runtime::http::detail
