#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <memory>

namespace burdock::admission {

/** @brief What a client's message is to a process. */
enum class ClientMessage : u8 {
    Request,
    Answer, ///< finds room that requests leave
};

/** @brief How much of a process its clients may take together. */
struct ClientBudget
{
    u32 connections = 0; ///< zero means unlimited
    u32 endpointConnections = 0; ///< for their requests, idle ones included; zero means unlimited
    u64 messageBytes = 0; ///< for heads, bodies and answers of all connections
};

/**
 * @brief Divides a process among its clients, so that it stays within its limits at the most connections.
 * @param descriptors     that the process may open; zero if unknown
 * @param memoryMegabytes that the process may take; zero if unknown
 */
[[nodiscard]] ClientBudget clientBudget(u32 descriptors, u32 memoryMegabytes);

/** Memory of a connection without a message: of the process, and the most that the kernel holds unread and unsent. */
inline constexpr u64 ConnectionBytes = 32 * 1024;
/** Sizes of a connection's buffers in the kernel. */
inline constexpr u32 ConnectionBufferBytes = 8 * 1024;

/** @brief Returns the memory of a request's head, with the copies that are made of it. */
[[nodiscard]] u64 headBytes(u64 fields, u64 textBytes);

/** @brief Returns the memory of a request's body, with the copy that is forwarded. */
[[nodiscard]] u64 bodyBytes(u64 bytes);

/** @brief The memory for the messages of all clients of a process. Thread-safe. */
class ClientMemory
{
public:
    explicit ClientMemory(u64 totalBytes);

    [[nodiscard]] u64 usedBytes() const;

private:
    friend class ClientShare;

    [[nodiscard]] bool fits(u64 bytes, u64 used, ClientMessage message) const;

    u64 m_totalBytes;
    std::shared_ptr<std::atomic<u64>> m_usedBytes = std::make_shared<std::atomic<u64>>(0); // connections may outlive the process's parts
};

/** @brief The part of the memory that the messages of one connection take; it is returned at the end. Not thread-safe. */
class ClientShare
{
public:
    explicit ClientShare(ClientMemory &memory);
    ~ClientShare();
    ClientShare(const ClientShare &) = delete;
    ClientShare &operator=(const ClientShare &) = delete;

    /** @brief Takes or returns memory, so that the connection has this much; returns false if it would be too much. */
    [[nodiscard]] bool tryResize(u64 bytes, ClientMessage message);

    /** @brief Returns all memory. */
    void clear();

    [[nodiscard]] u64 bytes() const;

private:
    ClientMemory &m_memory;
    std::shared_ptr<std::atomic<u64>> m_usedBytes;
    u64 m_bytes = 0;
};

} // namespace burdock::admission
