#include "disturbances.hpp"

#include <algorithm>

namespace soak {

Disturbances::Disturbances(Duration calmAfter)
    : m_calmAfter(calmAfter)
{
}

void Disturbances::begin(const std::string &subject, Plan plan, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_spans.push_back({subject, plan, at, std::nullopt});
}

void Disturbances::end(const std::string &subject, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    // Disturbances of one subject may overlap; the earliest open one ends, so that the subject stays disturbed until the last has.
    const auto open = std::find_if(m_spans.begin(), m_spans.end(), [&](const Span &span) { return span.subject == subject && !span.to; });
    if (open != m_spans.end()) {
        open->to = at;
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
