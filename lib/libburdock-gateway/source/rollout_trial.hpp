#pragma once

#include "rollout_tracker.hpp"

namespace burdock::gateway {

/** @brief What one caller's request tells about the versions of an undecided order. */
class RolloutTrial
{
public:
    explicit RolloutTrial(RolloutTracker &tracker);

    /** @brief Records that the request is sent to an endpoint, for the first time or again. */
    void noteSent(const endpoints::Endpoint &endpoint, std::string_view route, const RequestMetadata &request,
                  const endpoints::Selection &selection, TimePoint now);

    /** @brief Records that a part of a stream was received. */
    void noteEvent(TimePoint now);

    /** @brief Records the end of the request at the endpoint. */
    void noteEnd(endpoints::Outcome outcome, bool isCallerGone, TimePoint now);

private:
    RolloutTracker &m_tracker;
    std::optional<RolloutTracker::Ticket> m_ticket;
    rollout::Observation m_observation;
    bool m_hasReadAnew = false; ///< the engine had to process parts that others keep
    std::optional<TimePoint> m_firstEventAt;
    TimePoint m_lastEventAt{};
    bool m_isAnswerCounted = false;
};

} // namespace burdock::gateway
