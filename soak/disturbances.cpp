#include "disturbances.hpp"

#include <algorithm>

namespace soak {

Disturbances::Disturbances(Duration calmAfter)
    : m_calmAfter(calmAfter)
{
}

void Disturbances::begin(const std::string &subject, Plan plan, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_spans.push_back({subject, plan, now, std::nullopt});
}

void Disturbances::end(const std::string &subject, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    // Disturbances of one subject may overlap; the earliest open one ends, so that the subject stays disturbed until the last has.
    const auto open = std::find_if(m_spans.begin(), m_spans.end(), [&](const Span &span) { return span.subject == subject && !span.to; });
    if (open != m_spans.end()) {
        open->to = now;
    }
}

bool Disturbances::wasCalm(const std::string &subject, TimePoint from, TimePoint to) const
{
    return isFree(subject, from, to, false);
}

bool Disturbances::wasUntouched(const std::string &subject, TimePoint from, TimePoint to) const
{
    return isFree(subject, from, to, true);
}

std::optional<Duration> Disturbances::calmFor(const std::string &subject, TimePoint at) const
{
    const std::lock_guard lock(m_mutex);
    std::optional<Duration> calm;
    for (const auto &span : m_spans) {
        if (span.subject == subject && span.plan == Plan::Unplanned && span.from <= at) {
            const auto since = span.to && *span.to < at ? at - *span.to : Duration::zero();
            calm = calm ? std::min(*calm, since) : since;
        }
    }
    return calm;
}

bool Disturbances::isFree(const std::string &subject, TimePoint from, TimePoint to, bool countsPlanned) const
{
    const std::lock_guard lock(m_mutex);
    return std::none_of(m_spans.begin(), m_spans.end(), [&](const Span &span) {
        const bool isCounted = countsPlanned || span.plan == Plan::Unplanned;
        const bool isOver = span.to && *span.to + m_calmAfter <= from;
        return span.subject == subject && isCounted && span.from <= to && !isOver;
    });
}

} // namespace soak
