#pragma once

#include <burdock/types.hpp>

/** @brief Decides how a service is moved to another software version: whom to send how much, and whether the version is sound. */
namespace burdock::rollout {

/**
 * @brief Limits the requests that one gateway sends to the target version of an undecided order. Not thread-safe.
 *
 * Only the gateway's own requests count, so the sum over all gateways stays within the share without any message. The clock must include
 * time in which the VM was suspended.
 */
class ExposureLimit
{
public:
    /**
     * @param share largest share of the service's requests that may be sent to the target
     * @param learntAt when this gateway learnt of the order
     */
    ExposureLimit(double share, TimePoint learntAt);

    /** @brief Records that a request was sent to the target, for the first time or again. */
    void noteSent();

    /**
     * @brief Records that a replica of the service answered a request.
     * @param sentAt when the request was sent; those sent before the order was learnt don't count
     */
    void noteAnswered(TimePoint sentAt);

    /** @brief Records that at the given time a gateway with a word in the decision knew the order to be undecided. */
    void noteUndecided(TimePoint asOf);

    /** @brief Records that the order is decided or withdrawn: nothing more is sent, whatever is heard later. */
    void end();

    /** @brief Returns whether a request may be sent to the target now. */
    [[nodiscard]] bool maySend(TimePoint now) const;

    [[nodiscard]] u64 sent() const;
    [[nodiscard]] u64 answered() const;

private:
    [[nodiscard]] bool isPermitted(TimePoint now) const;

    double m_share;
    TimePoint m_learntAt;
    TimePoint m_permittedUntil{};
    u64 m_sent = 0;
    u64 m_answered = 0;
    bool m_hasEnded = false;
};

} // namespace burdock::rollout
