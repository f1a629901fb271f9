#pragma once

#include <burdock/types.hpp>

#include <string>
#include <string_view>

/** @brief Transfer of one answer as a byte stream that can be resumed. */
namespace burdock::run {

/** @brief Sender's buffer of the part of an answer that the receiver has not acknowledged. Not thread-safe. */
class RetransmitBuffer
{
public:
    /** @param capacity bytes at which hasRoom() turns false and the sender should stop reading from its source */
    explicit RetransmitBuffer(std::size_t capacity);

    void append(std::string_view data);

    /** @brief Discards everything before the offset. Offsets out of range are ignored. */
    void acknowledge(u64 offset);

    /** @brief The buffered bytes from an offset on; empty if the offset is out of range. */
    [[nodiscard]] std::string_view from(u64 offset) const;

    /** @brief True if from() can serve this offset; also true for the offset after the last byte. */
    [[nodiscard]] bool holds(u64 offset) const;

    [[nodiscard]] bool hasRoom() const;

    /** @brief Bytes appended so far, including discarded ones. */
    [[nodiscard]] u64 length() const;

private:
    std::size_t m_capacity;
    u64 m_begin = 0;
    std::string m_data;
};

/** @brief How a received chunk relates to the data received so far. */
enum class ChunkStatus : u8 {
    New, ///< contains new data
    Duplicate, ///< contains no new data
    Gap, ///< earlier data is missing; request a resume from position()
};

/** @brief Receiver's position in an answer; drops duplicates and detects gaps. Not thread-safe. */
class AnswerCursor
{
public:
    /** @brief Processes a chunk; on New, `data` is reduced to the new part. */
    [[nodiscard]] ChunkStatus accept(u64 offset, std::string_view &data);

    /** @brief Bytes received without a gap. */
    [[nodiscard]] u64 position() const;

private:
    u64 m_position = 0;
};

} // namespace burdock::run
