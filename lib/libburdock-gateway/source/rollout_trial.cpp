#include "rollout_trial.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

using endpoints::Outcome;
using rollout::End;

End endOf(Outcome outcome, bool isCallerGone)
{
    switch (outcome) {
    case Outcome::Answered:
        return End::Answered;
    case Outcome::Failed:
    case Outcome::TooLong:
        return End::Failed;
    case Outcome::Broken:
    case Outcome::Unreachable:
        return End::Lost;
    case Outcome::Abandoned:
        return isCallerGone ? End::NoEvidence : End::Failed;
    default:
        return End::NoEvidence;
    }
}

} // namespace

RolloutTrial::RolloutTrial(RolloutTracker &tracker)
    : m_tracker(tracker)
{
}

void RolloutTrial::noteSent(const endpoints::Endpoint &endpoint, std::string_view route, const RequestMetadata &request,
                            const endpoints::Selection &selection, TimePoint now)
{
    m_ticket = m_tracker.noteSent(endpoint);
    m_firstEventAt.reset();
    if (!m_ticket) {
        return;
    }
    u64 sharedTokens = 0;
    for (const auto &part : request.parts) {
        sharedTokens += part.tokens;
    }
    m_hasReadAnew = selection.cost.prefill + std::min(sharedTokens, request.promptTokens) > request.promptTokens && sharedTokens > 0;
    m_observation = {};
    m_observation.route = hash::hash64(route);
    m_observation.side = m_ticket->side;
    m_observation.replica = m_ticket->replica;
    m_observation.isCold = now < endpoint.coldUntil;
    m_observation.sentAt = now;
}

void RolloutTrial::noteEvent(TimePoint now)
{
    if (!m_ticket) {
        return;
    }
    if (m_firstEventAt) {
        m_observation.longestPause = std::max(m_observation.longestPause.value_or(Duration::zero()), now - m_lastEventAt);
    }
    m_firstEventAt = m_firstEventAt.value_or(now);
    m_lastEventAt = now;
}

void RolloutTrial::noteEnd(Outcome outcome, bool isCallerGone, TimePoint now)
{
    if (!m_ticket) {
        return;
    }
    m_observation.end = endOf(outcome, isCallerGone);
    if (!m_hasReadAnew) {
        m_observation.firstEvent = m_firstEventAt.value_or(now) - m_observation.sentAt;
    }
    const bool isAnswer = !m_isAnswerCounted && (outcome == Outcome::Answered || outcome == Outcome::Failed);
    m_isAnswerCounted = m_isAnswerCounted || isAnswer;
    m_tracker.noteEnd(*m_ticket, m_observation, isAnswer);
    m_ticket.reset();
}

} // namespace burdock::gateway
