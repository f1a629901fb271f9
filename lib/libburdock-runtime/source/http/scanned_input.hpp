#pragma once

#include <burdock/wire/message_scanner.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace burdock::runtime::http::detail {

/** @brief The error by which the rest of the program tells what is wrong with a message. */
[[nodiscard]] boost::system::error_code toErrorCode(wire::MessageFault fault);

/** @brief Passes what was received of one message to a parser once it is known to be sound. */
class ScannedInput
{
public:
    ScannedInput(wire::MessageKind kind, std::size_t maxHeadBytes)
        : m_scanner(kind, maxHeadBytes)
    {
    }

    /**
     * @brief Parses what the buffer holds of the message, as far as it is complete.
     * @return `need_more` if that isn't enough for the parser to get any further
     */
    template <typename Parser>
    [[nodiscard]] boost::system::error_code parse(boost::beast::flat_buffer &buffer, Parser &parser)
    {
        const auto bytes = buffer.cdata();
        const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
        m_released += m_scanner.scan(text.substr(m_released));
        if (m_scanner.fault() != wire::MessageFault::None) {
            return toErrorCode(m_scanner.fault());
        }
        boost::system::error_code error = boost::beast::http::error::need_more;
        if (m_released > 0) {
            const auto consumed = parser.put(boost::asio::buffer(bytes.data(), m_released), error);
            buffer.consume(consumed);
            m_released -= consumed;
        }
        return error;
    }

    [[nodiscard]] const wire::MessageScanner &scanner() const
    {
        return m_scanner;
    }

private:
    wire::MessageScanner m_scanner;
    std::size_t m_released = 0; // bytes at the front of the buffer that the parser hasn't taken yet
};

} // namespace burdock::runtime::http::detail
