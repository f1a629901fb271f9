#pragma once

#include <burdock/types.hpp>

#include <atomic>

namespace burdock::run {

/**
 * @brief Shares the memory for responses that are read before they are forwarded. Thread-safe.
 *
 * A message may grow to a part of what is free, so that many long ones at once leave room for short ones.
 */
class MessageMemory
{
public:
    /** @param growthShare divisor of the free memory to which one message may grow */
    explicit MessageMemory(u64 totalBytes, u64 growthShare = DefaultGrowthShare);

    [[nodiscard]] u64 usedBytes() const;

    /** @brief Whether a message of this size doesn't fit even if there are no others. */
    [[nodiscard]] bool isTooLong(u64 bytes, u64 httpChunks) const;

private:
    friend class MessageShare;

    [[nodiscard]] bool isTooMuch(u64 bytes, u64 used) const;

    static constexpr u64 DefaultGrowthShare = 4;

    u64 m_totalBytes;
    u64 m_growthShare;
    std::atomic<u64> m_usedBytes{0};
};

/** @brief The memory of one message, which is returned at the end. Not thread-safe. */
class MessageShare
{
public:
    explicit MessageShare(MessageMemory &memory);
    ~MessageShare();
    MessageShare(const MessageShare &) = delete;
    MessageShare &operator=(const MessageShare &) = delete;

    /** @brief Takes or returns memory, so that the message has this much; returns false if it would be too much. */
    [[nodiscard]] bool tryResize(u64 bytes);

    /**
     * @brief As tryResize(), for bytes that came in that many HTTP chunks.
     *
     * A chunk takes as much processor time as some bytes, so it counts as these: many messages in tiny chunks don't keep a process busy.
     */
    [[nodiscard]] bool tryResize(u64 bytes, u64 httpChunks);

private:
    MessageMemory &m_memory;
    u64 m_bytes = 0;
};

/** @brief Memory for responses of a process with this much memory; zero means that the memory isn't known. */
[[nodiscard]] u64 responseMemoryBytes(u32 memoryMegabytes);

} // namespace burdock::run
