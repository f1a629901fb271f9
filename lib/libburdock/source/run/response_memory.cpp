#include <burdock/run/response_memory.hpp>

namespace burdock::run {

namespace {

constexpr u64 BytesPerMegabyte = 1024 * 1024;
constexpr u64 DefaultBytes = 64 * BytesPerMegabyte;
/** Share of a process's memory. Strings take up to twice their size while they grow, and responses are copied to be sent. */
constexpr u64 MemoryShare = 8;
/** Share of the free memory to which one response may grow. */
constexpr u64 GrowthShare = 4;
constexpr u64 BytesPerHttpChunk = 64;

} // namespace

ResponseMemory::ResponseMemory(u64 totalBytes)
    : m_totalBytes(totalBytes)
{
}

u64 ResponseMemory::usedBytes() const
{
    return m_usedBytes;
}

ResponseShare::ResponseShare(ResponseMemory &memory)
    : m_memory(memory)
{
}

ResponseShare::~ResponseShare()
{
    m_memory.m_usedBytes -= m_bytes;
}

bool ResponseShare::tryResize(u64 bytes)
{
    u64 before = m_memory.m_usedBytes;
    u64 used = 0;
    do {
        used = before - m_bytes + bytes;
        const bool isTooMuch = bytes > m_bytes && (used > m_memory.m_totalBytes || bytes > (m_memory.m_totalBytes - used) / GrowthShare);
        if (isTooMuch) {
            return false;
        }
    } while (!m_memory.m_usedBytes.compare_exchange_weak(before, used));
    m_bytes = bytes;
    return true;
}

bool ResponseShare::tryResize(u64 bytes, u64 httpChunks)
{
    return tryResize(bytes + httpChunks * BytesPerHttpChunk);
}

u64 responseMemoryBytes(u32 memoryMegabytes)
{
    return memoryMegabytes == 0 ? DefaultBytes : memoryMegabytes * BytesPerMegabyte / MemoryShare;
}

} // namespace burdock::run
