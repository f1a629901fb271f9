#include <burdock/weights/kept_promise.hpp>

namespace burdock::weights {

namespace {

/** Longest pause between two checks; after a longer one, the promise may have been interrupted unnoticed. */
constexpr Duration MaxCheckPause = std::chrono::milliseconds(1000);

} // namespace

void KeptPromise::note(u64 version, u64 generation, TimePoint now)
{
    const bool isContinued = version == m_version && generation == m_generation && now - m_checkedAt < MaxCheckPause;
    if (!isContinued) {
        m_since = version > 0 ? std::optional(now) : std::nullopt;
    }
    m_version = version;
    m_generation = generation;
    m_checkedAt = now;
}

u64 KeptPromise::version() const
{
    return m_version;
}

std::optional<TimePoint> KeptPromise::since() const
{
    return m_since;
}

} // namespace burdock::weights
