#include <burdock/run/stream_origins.hpp>

namespace burdock::run {

StreamOrigins::StreamOrigins(Duration retention, std::size_t capacity)
    : m_retention(retention)
    , m_capacity(capacity)
{
}

void StreamOrigins::note(u64 stream, u64 software, TimePoint now)
{
    forgetExpired(now);
    if (m_software.emplace(stream, software).second) {
        m_records.push_back({stream, now});
    }
}

std::optional<u64> StreamOrigins::find(u64 stream) const
{
    const auto found = m_software.find(stream);
    return found == m_software.end() ? std::nullopt : std::optional(found->second);
}

void StreamOrigins::forgetExpired(TimePoint now)
{
    while (!m_records.empty() && (m_records.size() >= m_capacity || now - m_records.front().notedAt > m_retention)) {
        m_software.erase(m_records.front().stream);
        m_records.pop_front();
    }
}

std::optional<u64> softwareToContinueWith(const OriginKnowledge &known)
{
    if (known.recorded) {
        return known.recorded;
    }
    const bool mayBeRecorded = known.isNamed && !known.haveAllAnswered;
    return mayBeRecorded ? std::nullopt : known.soleAllAlong;
}

} // namespace burdock::run
