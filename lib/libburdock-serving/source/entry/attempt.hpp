#pragma once

#include <burdock/run/answer_transfer.hpp>
#include <burdock/serving/entry/run_driver.hpp>

#include <memory>
#include <string>
#include <vector>

namespace burdock::serving::detail {

/** @brief What a caller has been sent of an answer, over all attempts. */
struct Delivery
{
    std::string text; ///< of a prompt's answer, for an attempt that continues it
    u64 bytes = 0;
    bool hasHead = false;
};

enum class AttemptKind : u8 {
    Complete,
    NotSent, ///< provably reached no endpoint process
    NotRun, ///< refused by an endpoint process, or by its back end
    Lost, ///< may have run, or ran in part
    Silent, ///< as lost, but only because nothing was heard; the run may be under way
    CallerGone,
};

struct AttemptResult
{
    AttemptKind kind = AttemptKind::NotSent;
    Refusal refusal;
    schema::RunEnd end; ///< if Complete
};

/** @brief Pays for going elsewhere. */
class RetryPayer
{
public:
    virtual ~RetryPayer() = default;

    /** @brief False if the run must not be repeated, there is no retry left, or nowhere better to go. */
    [[nodiscard]] virtual bool pay() = 0;
};

/**
 * @brief What one attempt has come to, from its request, which is on its way, to its end.
 *
 * Holds no coroutine: the run's own feeds it events and does what it says. Not thread-safe.
 */
class Attempt
{
public:
    Attempt(Process &process, Fleet &fleet, const RunSpec &spec, Delivery &delivery, std::shared_ptr<runtime::link::Client> link,
            const schema::RunRef &ref, Duration acceptTimeout, RetryPayer &payer);

    using Outcome = std::optional<AttemptResult>; // none while the attempt goes on

    /** @brief How long to wait for the next event. */
    [[nodiscard]] TimePoint waitUntil() const;

    /** @brief No event came in time. */
    [[nodiscard]] Outcome onSilence();
    [[nodiscard]] Outcome onPeerDead();
    void onLinkReplaced();

    /** @brief Any message of the endpoint process about this attempt; before the calls below. */
    void noteHeard();
    [[nodiscard]] Outcome onRefused(const schema::RunRefused &refused);

    /** @brief The part of a chunk that the caller has not been sent; empty if there is none. */
    [[nodiscard]] std::string_view fresh(const schema::RunChunk &chunk);

    /** @brief The caller has been sent what fresh() gave. */
    void noteDelivered(std::string_view data);
    [[nodiscard]] Outcome onEnd(const schema::RunEnd &end);
    [[nodiscard]] AttemptResult callerGone();

private:
    void resume();
    [[nodiscard]] Outcome onUnknown();
    [[nodiscard]] Outcome onBroken(const schema::RunEnd &end);
    [[nodiscard]] AttemptResult notRun(AttemptKind kind, RefusalReason reason, Duration retryAfter) const;
    [[nodiscard]] AttemptResult lost(RefusalReason reason);
    void acknowledge();

    Process &m_process;
    Fleet &m_fleet;
    const RunSpec &m_spec;
    Delivery &m_delivery;
    std::shared_ptr<runtime::link::Client> m_link; // shared: the link's place in the table may go first
    schema::RunRef m_ref;
    RetryPayer &m_payer;
    u64 m_bootAtSend;
    TimePoint m_sentAt;
    TimePoint m_acceptDeadline;
    bool m_isAccepted = false;
    run::AnswerCursor m_cursor;
    u64 m_acknowledged = 0;
};

} // namespace burdock::serving::detail
