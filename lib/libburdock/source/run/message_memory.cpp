#include <burdock/run/message_memory.hpp>

namespace burdock::run {

namespace {

constexpr u64 BytesPerMegabyte = 1024 * 1024;
constexpr u64 DefaultBytes = 64 * BytesPerMegabyte;
/** Share of a process's memory. Strings take up to twice their size while they grow, and responses are copied to be sent. */
constexpr u64 MemoryShare = 8;
constexpr u64 BytesPerHttpChunk = 64;

} // namespace

MessageMemory::MessageMemory(u64 totalBytes, u64 growthShare)
    : m_totalBytes(totalBytes)
    , m_growthShare(growthShare)
{
}

u64 MessageMemory::usedBytes() const
{
    return m_usedBytes;
}

bool MessageMemory::isTooLong(u64 bytes, u64 httpChunks) const
{
    const u64 counted = bytes + httpChunks * BytesPerHttpChunk;
    return isTooMuch(counted, counted);
}

bool MessageMemory::isTooMuch(u64 bytes, u64 used) const
{
    return used > m_totalBytes || bytes > (m_totalBytes - used) / m_growthShare;
}

MessageShare::MessageShare(MessageMemory &memory)
    : m_memory(memory)
{
}

MessageShare::~MessageShare()
{
    m_memory.m_usedBytes -= m_bytes;
}

bool MessageShare::tryResize(u64 bytes)
{
    u64 before = m_memory.m_usedBytes;
    u64 used = 0;
    do {
        used = before - m_bytes + bytes;
        if (bytes > m_bytes && m_memory.isTooMuch(bytes, used)) {
            return false;
        }
    } while (!m_memory.m_usedBytes.compare_exchange_weak(before, used));
    m_bytes = bytes;
    return true;
}

bool MessageShare::tryResize(u64 bytes, u64 httpChunks)
{
    return tryResize(bytes + httpChunks * BytesPerHttpChunk);
}

u64 responseMemoryBytes(u32 memoryMegabytes)
{
    return memoryMegabytes == 0 ? DefaultBytes : memoryMegabytes * BytesPerMegabyte / MemoryShare;
}

} // namespace burdock::run
