#pragma once

#include <burdock/wire/head_rules.hpp>

#include <cstddef>

namespace burdock::wire {

/**
 * @brief Checks the bytes of one message before a parser sees them.
 *
 * Parsers of HTTP are lenient, each in its own way, and a message on which two of them differ can carry another one. So every message that
 * is received passes through this class, and only lines that it has seen to their end are released to the parser.
 */
class MessageScanner
{
public:
    /** @param maxHeadBytes of the head, of the trailers, and of the line before a chunk */
    MessageScanner(MessageKind kind, std::size_t maxHeadBytes);

    /**
     * @brief Checks bytes of the message.
     * @param bytes begin after the last byte that was released
     * @return how many of them are released; never a byte after the end of the message
     */
    [[nodiscard]] std::size_t scan(std::string_view bytes);

    [[nodiscard]] MessageFault fault() const;
    [[nodiscard]] bool isHeadComplete() const;
    [[nodiscard]] bool isComplete() const;
    /** @brief How the end of the body is marked; valid once the head is complete. */
    [[nodiscard]] run::BodyFraming framing() const;

private:
    /** @brief What the next byte belongs to. */
    enum class Part : u8 {
        StartLine,
        Field,
        Body, ///< of a known length, or up to the end of the connection
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Nothing, ///< the message is complete
    };

    [[nodiscard]] std::size_t scanPart(std::string_view bytes);
    [[nodiscard]] std::size_t scanData(std::string_view bytes);
    [[nodiscard]] std::size_t scanLine(std::string_view bytes);
    void checkNewBytes(std::string_view bytes);
    void takeLine(std::string_view line);
    void takeChunkSize(std::string_view line);
    void endHead();
    [[nodiscard]] bool isLine() const;

    HeadRules m_rules;
    std::size_t m_maxHeadBytes;
    Part m_part = Part::StartLine;
    MessageFault m_fault = MessageFault::None;
    std::size_t m_sectionBytes = 0; // complete lines of the head, or of the trailers
    std::size_t m_checked = 0; // bytes of the incomplete line that hold no fault
    u64 m_remaining = 0; // bytes of the body or the chunk
};

} // namespace burdock::wire
