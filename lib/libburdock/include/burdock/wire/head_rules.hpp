#pragma once

#include <burdock/run/body_framing.hpp>
#include <burdock/types.hpp>
#include <burdock/wire/message_fault.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace burdock::wire {

enum class MessageKind : u8 {
    Request,
    Answer,
    AnswerToHead, ///< has no body, whatever its fields say
};

/** @brief Checks the lines of one head, and tells how the body that follows is framed. */
class HeadRules
{
public:
    explicit HeadRules(MessageKind kind);

    /** @param line without its end and without control bytes but tabs, as in all functions of this class */
    [[nodiscard]] MessageFault checkStartLine(std::string_view line);
    [[nodiscard]] MessageFault checkField(std::string_view line);
    /** @brief Checks what depends on the whole head, after its last line. */
    [[nodiscard]] MessageFault checkEnd() const;

    /** @brief Checks one field of the trailers. They are dropped, but must not hold what belongs into the head. */
    [[nodiscard]] static MessageFault checkTrailer(std::string_view line);

    /** @brief Whether a body may follow; valid after checkEnd(), as are the functions below. */
    [[nodiscard]] bool hasBody() const;
    [[nodiscard]] run::BodyFraming framing() const;
    [[nodiscard]] u64 contentLength() const;

private:
    [[nodiscard]] MessageFault checkRequestLine(std::string_view line);
    [[nodiscard]] MessageFault checkStatusLine(std::string_view line);
    [[nodiscard]] MessageFault noteVersion(std::string_view text);
    [[nodiscard]] MessageFault noteContentLength(std::string_view value);
    [[nodiscard]] MessageFault noteTransferCoding(std::string_view value);
    [[nodiscard]] MessageFault noteHost(std::string_view value);
    [[nodiscard]] bool isBodiless() const;

    MessageKind m_kind;
    u32 m_status = 0; // of an answer
    bool m_isVersion11 = false;
    bool m_hasHost = false;
    bool m_isChunked = false;
    std::optional<u64> m_contentLength;
};

} // namespace burdock::wire
