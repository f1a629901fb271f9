#pragma once

#include <burdock/hash/digest.hpp>
#include <burdock/store_result.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <string>

/** @brief At-most-once execution of calls that may not be repeated, on a store with conditional creation. */
namespace burdock::once {

using Nonce = std::array<u8, 16>;

/** @brief State of a record in the store. */
enum class RecordState : u8 {
    Claimed, ///< one attempt may run, or may have run
    Free, ///< the claiming attempt proved that it never ran
    Done, ///< ran, with its outcome
};

/** @brief What the store keeps about one call. */
struct Record
{
    RecordState state = RecordState::Claimed;
    Nonce nonce{};
    hash::Digest256 requestDigest{};
};

/** @brief What the caller of the machine does next. */
enum class Action : u8 {
    CreateRecord, ///< write the claim, only if no record is there
    ReadRecord, ///< read the record
    ReplaceFree, ///< write the claim over the free record that was read, only if unchanged
    Run, ///< send the call to the back end, once
    ReturnRecorded, ///< answer with the recorded outcome
    Refuse, ///< answer with refusal()
    RefuseAndRelease, ///< as Refuse, and free the claim later if it turns out to have taken effect
};

/**
 * @brief Decides whether this attempt of a call may run.
 *
 * Only the attempt whose nonce stands in the record runs, at most once, and nobody takes a claimed record over; so a holder that
 * is paused for any time stays harmless. Pure: the caller does the input and output that each action names.
 */
class OnceStateMachine
{
public:
    OnceStateMachine(const Nonce &nonce, const hash::Digest256 &requestDigest);

    /** @brief The first action. */
    [[nodiscard]] Action start();

    /** @brief The answer to CreateRecord or ReplaceFree. */
    [[nodiscard]] Action handleClaimResult(StoreResult answer);

    /** @brief The answer to ReadRecord, with the record if one was found. */
    [[nodiscard]] Action handleReadResult(StoreResult answer, const std::optional<Record> &record);

    /** @brief Why the last action refuses. */
    [[nodiscard]] RefusalReason refusal() const;

private:
    [[nodiscard]] Action refuse(RefusalReason reason, Action action);
    [[nodiscard]] Action found(const Record &record);

    Nonce m_nonce;
    hash::Digest256 m_requestDigest;
    RefusalReason m_refusal = RefusalReason::None;
    bool m_claimSent = false;
    bool m_hasRun = false;
    u32 m_steps = 0;
};

} // namespace burdock::once
