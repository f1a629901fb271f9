#include "crash_guard.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <utility>

namespace burdock::gateway {

namespace {

using endpoints::Outcome;

/** Longer pauses between the events of an answer are not counted: this process may not have run while the endpoint crashed. */
constexpr Duration MaxEventGap = std::chrono::milliseconds(100);

} // namespace

CrashGuard::CrashGuard(retry::CrashAttribution &crashes, u64 requestHash, const std::vector<cache::PromptPart> &parts)
    : m_crashes(crashes)
    , m_parts(parts)
    , m_features{retry::requestFeature(requestHash)}
{
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        m_features.push_back(retry::partFeature(hash::hash64(parts[i].id)));
    }
}

bool CrashGuard::tryBegin(TimePoint now)
{
    m_permission = m_crashes.tryBegin(m_features, now);
    return m_permission != retry::RunPermission::Refused;
}

bool CrashGuard::mayTryElsewhere(TimePoint now)
{
    return m_crashes.blamed(m_features, now).empty();
}

void CrashGuard::noteEvent(TimePoint now)
{
    if (!m_firstEventAt) {
        m_firstEventAt = now;
        m_lastEventAt = now;
    }
    m_answeredFor += std::min(now - m_lastEventAt, MaxEventGap);
    m_lastEventAt = now;
    if (!m_isProgressNoted && m_answeredFor > m_crashes.earlyTime()) {
        m_isProgressNoted = true;
        m_crashes.noteProgress(m_features, *m_firstEventAt, now);
    }
}

void CrashGuard::noteNotSent(TimePoint now)
{
    returnPermission(now);
}

// A request that was under way before its features were blamed holds no permission, and must not make room for another test.
void CrashGuard::returnPermission(TimePoint now)
{
    if (std::exchange(m_permission, retry::RunPermission::Free) > retry::RunPermission::Free) {
        m_crashes.returnPermission(m_features, now);
    }
}

void CrashGuard::noteEnd(const RunEnd &end, TimePoint now)
{
    m_firstEventAt.reset();
    m_answeredFor = Duration::zero();
    m_isProgressNoted = false;
    if (end.outcome == Outcome::Broken) {
        m_crashes.noteCrash(hash::hash64(end.endpoint), m_features, end.begunAt, now, end.sentAt);
        return;
    }
    if (end.outcome == Outcome::Answered && end.isSuccess) {
        m_crashes.noteSuccess(m_features, end.begunAt.value_or(end.sentAt), now);
        return;
    }
    returnPermission(now);
}

Duration CrashGuard::timeUntilTrial(TimePoint now)
{
    return m_crashes.timeUntilTrial(m_features, now);
}

std::string CrashGuard::blamed(TimePoint now)
{
    std::string names;
    for (const u64 feature : m_crashes.blamed(m_features, now)) {
        const auto position = static_cast<std::size_t>(std::find(m_features.begin(), m_features.end(), feature) - m_features.begin());
        names += names.empty() ? "" : ",";
        names += position == 0 ? "request" : m_parts[position - 1].id;
    }
    return names;
}

} // namespace burdock::gateway
