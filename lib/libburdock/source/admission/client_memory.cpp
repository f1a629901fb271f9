#include <burdock/admission/client_memory.hpp>

#include <algorithm>

namespace burdock::admission {

namespace {

constexpr u64 BytesPerMegabyte = 1024 * 1024;
constexpr u64 Percent = 100;
/** Shares of the descriptors for clients' connections and for those to endpoints; the rest is for the platform, operators and files. */
constexpr u64 DescriptorPercent = 60;
constexpr u64 EndpointDescriptorPercent = 30;
/** Shares of the memory that connections, and these with their messages may take; the rest is for endpoints' answers and the process. */
constexpr u64 ConnectionPercent = 40;
constexpr u64 ClientPercent = 64;
constexpr u64 DefaultMessageBytes = 256 * BytesPerMegabyte;
/** Share of the memory for messages that requests may take together; the rest is for answers. */
constexpr u64 RequestPercent = 87;
/** Share of what others leave of it to which one request may grow, so that long ones leave room for short ones. */
constexpr u64 RequestGrowthPercent = 60;
/** The parsed head, the request that is handled, the one that is forwarded and the message being sent. */
constexpr u64 HeadCopies = 4;
constexpr u64 FieldBytes = 400;
constexpr u64 BodyCopies = 2;

} // namespace

ClientBudget clientBudget(u32 descriptors, u32 memoryMegabytes)
{
    const u64 memory = memoryMegabytes * BytesPerMegabyte;
    const u64 byDescriptors = descriptors * DescriptorPercent / Percent;
    const u64 byMemory = memory / Percent * ConnectionPercent / ConnectionBytes;
    const bool areBothKnown = descriptors > 0 && memoryMegabytes > 0;
    const u64 connections = areBothKnown ? std::min(byDescriptors, byMemory) : std::max(byDescriptors, byMemory);
    const u64 messages = memoryMegabytes > 0 ? memory / Percent * ClientPercent - connections * ConnectionBytes : DefaultMessageBytes;
    const u64 endpointConnections = descriptors * EndpointDescriptorPercent / Percent;
    return {static_cast<u32>(connections), static_cast<u32>(endpointConnections), messages};
}

u64 headBytes(u64 fields, u64 textBytes)
{
    return fields * FieldBytes + textBytes * HeadCopies;
}

u64 bodyBytes(u64 bytes)
{
    return bytes * BodyCopies;
}

ClientMemory::ClientMemory(u64 totalBytes)
    : m_totalBytes(totalBytes)
{
}

u64 ClientMemory::usedBytes() const
{
    return *m_usedBytes;
}

bool ClientMemory::fits(u64 bytes, u64 used, ClientMessage message) const
{
    if (message == ClientMessage::Answer) {
        return used <= m_totalBytes;
    }
    const u64 forRequests = m_totalBytes / Percent * RequestPercent;
    const u64 others = used - bytes;
    return used <= forRequests && bytes <= (forRequests - others) / Percent * RequestGrowthPercent;
}

ClientShare::ClientShare(ClientMemory &memory)
    : m_memory(memory)
    , m_usedBytes(memory.m_usedBytes)
{
}

ClientShare::~ClientShare()
{
    clear();
}

bool ClientShare::tryResize(u64 bytes, ClientMessage message)
{
    u64 before = *m_usedBytes;
    u64 used = 0;
    do {
        used = before - m_bytes + bytes;
        if (bytes > m_bytes && !m_memory.fits(bytes, used, message)) {
            return false;
        }
    } while (!m_usedBytes->compare_exchange_weak(before, used));
    m_bytes = bytes;
    return true;
}

void ClientShare::clear()
{
    *m_usedBytes -= m_bytes;
    m_bytes = 0;
}

u64 ClientShare::bytes() const
{
    return m_bytes;
}

} // namespace burdock::admission
