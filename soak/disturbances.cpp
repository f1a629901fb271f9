#include "disturbances.hpp"

#include <algorithm>

namespace soak {

Disturbances::Disturbances(Duration recoveryTime)
    : m_recoveryTime(recoveryTime)
{
}

void Disturbances::begin(const std::string &subject, DisturbanceKind kind, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_spans.push_back({subject, kind, at, std::nullopt});
}

void Disturbances::end(const std::string &subject, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    // Disturbances of a subject may overlap. Closing the earliest open one keeps the subject disturbed until the last one ends.
    const auto open = std::find_if(m_spans.begin(), m_spans.end(), [&](const Span &span) { return span.subject == subject && !span.to; });
    if (open != m_spans.end()) {
        open->to = at;
    }
}

bool Disturbances::hadNoUnplanned(const std::string &subject, TimePoint from, TimePoint to) const
{
    return hadNoDisturbance(subject, from, to, false);
}

bool Disturbances::wasUndisturbed(const std::string &subject, TimePoint from, TimePoint to) const
{
    return hadNoDisturbance(subject, from, to, true);
}

bool Disturbances::hadNoDisturbance(const std::string &subject, TimePoint from, TimePoint to, bool includesPlanned) const
{
    const std::lock_guard lock(m_mutex);
    return std::none_of(m_spans.begin(), m_spans.end(), [&](const Span &span) {
        const bool isCounted = includesPlanned || span.kind == DisturbanceKind::Unplanned;
        const bool isOver = span.to && *span.to + m_recoveryTime <= from;
        return span.subject == subject && isCounted && span.from <= to && !isOver;
    });
}

} // namespace soak
