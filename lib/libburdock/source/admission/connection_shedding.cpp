#include <burdock/admission/connection_shedding.hpp>

#include <algorithm>

namespace burdock::admission {

namespace {

/** Shares of the descriptors for callers' connections and for those to endpoints, in percent; the rest is for the platform and files. */
constexpr u32 DescriptorPercent = 60;
constexpr u32 EndpointDescriptorPercent = 30;
/** Share of the memory that callers' connections may take, in percent, and what one of them takes. */
constexpr u64 MemoryPercent = 40;
constexpr u64 ConnectionKilobytes = 24;
constexpr u64 KilobytesPerMegabyte = 1024;
constexpr u64 Percent = 100;

} // namespace

ConnectionShedding::ConnectionShedding(const ConnectionSheddingPolicy &policy)
    : m_policy(policy)
{
}

void ConnectionShedding::noteLateness(Duration lateness)
{
    m_lateness.push_back(lateness);
    if (m_lateness.size() > m_policy.measurements) {
        m_lateness.pop_front();
    }
    if (!isOverloaded()) {
        m_share = std::max(0.0, m_share - m_policy.decrease);
        return;
    }
    m_share = std::min(m_policy.maxShare, m_share + m_policy.growth * toMilliseconds(lag()) / toMilliseconds(m_policy.maxLag));
}

void ConnectionShedding::setPeers(std::size_t known, std::size_t calm)
{
    m_canOthersServe = 2 * calm > known;
}

bool ConnectionShedding::isOverloaded() const
{
    return m_lateness.size() >= m_policy.measurements && lag() > m_policy.maxLag;
}

Duration ConnectionShedding::lag() const
{
    auto sorted = m_lateness;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

bool ConnectionShedding::mustClose()
{
    if (!m_canOthersServe) {
        return false;
    }
    m_due += m_share;
    if (m_due < 1) {
        return false;
    }
    m_due -= 1;
    return true;
}

u32 connectionLimit(u32 descriptors, u32 memoryMegabytes)
{
    const u64 byDescriptors = u64{descriptors} * DescriptorPercent / Percent;
    const u64 byMemory = memoryMegabytes * KilobytesPerMegabyte * MemoryPercent / Percent / ConnectionKilobytes;
    if (descriptors == 0 || memoryMegabytes == 0) {
        return static_cast<u32>(std::max(byDescriptors, byMemory));
    }
    return static_cast<u32>(std::min(byDescriptors, byMemory));
}

u32 endpointConnectionLimit(u32 descriptors)
{
    return static_cast<u32>(u64{descriptors} * EndpointDescriptorPercent / Percent);
}

} // namespace burdock::admission
