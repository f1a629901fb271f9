#pragma once

#include <burdock/run/answer_transfer.hpp>
#include <burdock/serving/entry/run_coordinator.hpp>

#include <memory>
#include <string>
#include <vector>

namespace burdock::serving::detail {

/** @brief The part of a response that was sent to the caller, over all attempts. */
struct DeliveredResponse
{
    std::string text; ///< only for prompts, so that a later attempt can continue the text
    u64 bytes = 0;
    bool hasHead = false;
};

enum class AttemptStatus : u8 {
    Complete,
    NotSent, ///< provably not received by an endpoint process
    NotRun, ///< refused by an endpoint process or its back end; Refusal::mayHaveRun tells whether it had begun
    Lost, ///< may have run in full or in part
    NoResponse, ///< like Lost, but nothing was received in time; the run may still be active
    CallerDisconnected,
};

struct AttemptResult
{
    AttemptStatus status = AttemptStatus::NotSent;
    Refusal refusal;
    schema::RunEnd end; ///< if Complete
};

/** @brief Decides whether a run may fail over to another endpoint. */
class FailoverPolicy
{
public:
    virtual ~FailoverPolicy() = default;

    /** @brief Takes a retry from the budget. False if the run is not repeatable, no retry is left, or no better endpoint exists. */
    [[nodiscard]] virtual bool tryReserveRetry() = 0;
};

/**
 * @brief State machine of one attempt, from the sent request to its end.
 *
 * Runs no coroutine of its own: the coroutine of the run passes events in and acts on the results. Not thread-safe.
 */
class Attempt
{
public:
    Attempt(Process &process, Fleet &fleet, const RunSpec &spec, DeliveredResponse &delivery, std::shared_ptr<runtime::link::Client> link,
            const schema::RunRef &ref, Duration acceptTimeout, FailoverPolicy &failover);

    using Outcome = std::optional<AttemptResult>; // empty while the attempt continues

    /** @brief Time at which onTimeout() has to be called if no event arrived before. */
    [[nodiscard]] TimePoint eventDeadline() const;

    /** @brief Handles that no event arrived before eventDeadline(). */
    [[nodiscard]] Outcome onTimeout();
    [[nodiscard]] Outcome onPeerDead();
    void onLinkReplaced();

    /** @brief Records a message of the endpoint process about this attempt; called before the functions below. */
    void noteHeard();
    [[nodiscard]] Outcome onRefused(const schema::RunRefused &refused);

    /** @brief The part of a chunk that was not yet sent to the caller; empty if there is none. */
    [[nodiscard]] std::string_view newData(const schema::RunChunk &chunk);

    /** @brief Records that the result of newData() was sent to the caller. */
    void noteDelivered(std::string_view data);
    [[nodiscard]] Outcome onEnd(const schema::RunEnd &end);
    [[nodiscard]] AttemptResult callerDisconnected();

private:
    void resume();
    [[nodiscard]] Outcome onUnknown();
    [[nodiscard]] Outcome onBroken(const schema::RunEnd &end);
    [[nodiscard]] AttemptResult notRun(AttemptStatus status, RefusalReason reason, Duration retryAfter) const;
    [[nodiscard]] AttemptResult lost(RefusalReason reason);
    void acknowledge();

    Process &m_process;
    Fleet &m_fleet;
    const RunSpec &m_spec;
    DeliveredResponse &m_delivery;
    std::shared_ptr<runtime::link::Client> m_link; // shared, because the link can be removed from the table first
    schema::RunRef m_ref;
    FailoverPolicy &m_failover;
    u64 m_bootIdAtSend;
    TimePoint m_sentAt;
    TimePoint m_acceptDeadline;
    bool m_isAccepted = false;
    run::AnswerCursor m_cursor;
    u64 m_acknowledged = 0;
};

} // namespace burdock::serving::detail
