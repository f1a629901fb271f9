#include <burdock/rollout/slowness_baseline.hpp>

#include <algorithm>
#include <vector>

namespace burdock::rollout {

namespace {

constexpr Duration MaxSampleAge = std::chrono::seconds(20);
constexpr std::size_t MaxSamples = 400;
/** Fewer samples give no quartile. */
constexpr std::size_t MinSamples = 8;
/** What an answer may take beyond the third quartile: a part of it that callers don't notice, and the time of a new connection. */
constexpr int TolerancePercent = 25;
constexpr Duration Tolerance = std::chrono::milliseconds(2);
/** How long a quartile is used before it is computed anew. */
constexpr Duration QuartileLifetime = std::chrono::milliseconds(100);

} // namespace

void SlownessBaseline::add(Duration time, TimePoint now)
{
    m_samples.push_back({now, time});
    removeOld(now);
}

std::optional<bool> SlownessBaseline::isSlow(Duration time, TimePoint now)
{
    if (!m_quartile || now - m_quartileAt >= QuartileLifetime) {
        removeOld(now);
        m_quartileAt = now;
        m_quartile.reset();
        if (m_samples.size() >= MinSamples) {
            std::vector<Duration> times;
            times.reserve(m_samples.size());
            for (const auto &sample : m_samples) {
                times.push_back(sample.time);
            }
            const auto quartile = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 3 / 4);
            std::nth_element(times.begin(), quartile, times.end());
            m_quartile = *quartile;
        }
    }
    return m_quartile ? std::optional(time > *m_quartile + *m_quartile * TolerancePercent / 100 + Tolerance) : std::nullopt;
}

void SlownessBaseline::removeOld(TimePoint now)
{
    while (!m_samples.empty() && (m_samples.size() > MaxSamples || now - m_samples.front().at > MaxSampleAge)) {
        m_samples.pop_front();
    }
}

} // namespace burdock::rollout
