#pragma once

#include <burdock/types.hpp>

#include <string>
#include <string_view>

/** @brief Positions in the byte stream of one answer. */
namespace burdock::run {

/** @brief The part of an answer that the receiver has not acknowledged, held by the sender. Not thread-safe. */
class RetransmitBuffer
{
public:
    /** @param capacity bytes held before the sender should stop reading from its source */
    explicit RetransmitBuffer(std::size_t capacity);

    void append(std::string_view data);

    /** @brief Forgets everything before the offset. Offsets out of range are ignored. */
    void acknowledge(u64 offset);

    /** @brief The held bytes from an offset on; empty if the offset is out of range. */
    [[nodiscard]] std::string_view from(u64 offset) const;

    [[nodiscard]] bool holds(u64 offset) const;
    [[nodiscard]] bool hasRoom() const;
    [[nodiscard]] u64 length() const;

private:
    std::size_t m_capacity;
    u64 m_begin = 0;
    std::string m_data;
};

/** @brief What the receiver does with a chunk. */
enum class ChunkStatus : u8 {
    Deliver, ///< take fresh()
    Duplicate, ///< all of it was there before
    Gap, ///< something before it is missing; ask to resume from position()
};

/** @brief Receiver's position in an answer; drops duplicates and finds gaps. Not thread-safe. */
class AnswerCursor
{
public:
    /** @brief Takes a chunk; on Deliver, `data` is cut to the part that is new. */
    [[nodiscard]] ChunkStatus accept(u64 offset, std::string_view &data);

    [[nodiscard]] u64 position() const;

private:
    u64 m_position = 0;
};

} // namespace burdock::run
