#pragma once

#include <burdock/types.hpp>

#include <atomic>

namespace burdock::run {

/**
 * @brief Shares the memory for responses that are read before they are forwarded. Thread-safe.
 *
 * A response may grow to a quarter of what is free, so that many long ones at once leave room for short ones.
 */
class ResponseMemory
{
public:
    explicit ResponseMemory(u64 totalBytes);

    [[nodiscard]] u64 usedBytes() const;

private:
    friend class ResponseShare;

    u64 m_totalBytes;
    std::atomic<u64> m_usedBytes{0};
};

/** @brief The memory of one response, which is returned at the end. Not thread-safe. */
class ResponseShare
{
public:
    explicit ResponseShare(ResponseMemory &memory);
    ~ResponseShare();
    ResponseShare(const ResponseShare &) = delete;
    ResponseShare &operator=(const ResponseShare &) = delete;

    /** @brief Takes or returns memory, so that the response has this much; returns false if it would be too much. */
    [[nodiscard]] bool tryResize(u64 bytes);

    /**
     * @brief As tryResize(), for bytes that came in that many HTTP chunks.
     *
     * A chunk takes as much processor time as some bytes, so it counts as these: many responses in tiny chunks don't keep a process busy.
     */
    [[nodiscard]] bool tryResize(u64 bytes, u64 httpChunks);

private:
    ResponseMemory &m_memory;
    u64 m_bytes = 0;
};

/** @brief Memory for responses of a process with this much memory; zero means that the memory isn't known. */
[[nodiscard]] u64 responseMemoryBytes(u32 memoryMegabytes);

} // namespace burdock::run
