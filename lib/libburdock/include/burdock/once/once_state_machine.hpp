#pragma once

#include <burdock/hash/digest.hpp>
#include <burdock/store_result.hpp>
#include <burdock/verdict.hpp>

#include <optional>
#include <string>

/** @brief At-most-once execution of non-repeatable calls, based on a store with conditional writes. */
namespace burdock::once {

using Nonce = std::array<u8, 16>;

/** @brief State of a record in the store. */
enum class RecordState : u8 {
    Claimed, ///< one attempt may run or may have run
    Free, ///< the claiming attempt provably never ran
    Done, ///< ran; the record holds the outcome
};

/** @brief Stored record of one call. */
struct Record
{
    RecordState state = RecordState::Claimed;
    Nonce nonce{};
    hash::Digest256 requestDigest{};
};

/** @brief Next step for the caller of the state machine. */
enum class Action : u8 {
    CreateRecord, ///< write the claim if no record exists
    ReadRecord,
    ReplaceFree, ///< replace the free record that was read by the claim, if it is unchanged
    Run, ///< send the call to the back end once
    ReturnRecorded, ///< answer with the recorded outcome
    Refuse, ///< answer with refusal()
    RefuseAndRelease, ///< like Refuse, and free the claim later if the write turns out to have taken effect
};

/**
 * @brief Decides whether this attempt of a call may run.
 *
 * Only the attempt whose nonce is in the record runs, at most once, and a claimed record is never taken over, so a holder that is paused
 * for any length of time is harmless. Performs no I/O; the caller carries out each returned action.
 */
class OnceStateMachine
{
public:
    OnceStateMachine(const Nonce &nonce, const hash::Digest256 &requestDigest);

    /** @brief Returns the first action. */
    [[nodiscard]] Action start();

    /** @brief Processes the result of CreateRecord or ReplaceFree. */
    [[nodiscard]] Action handleClaimResult(StoreResult result);

    /** @brief Processes the result of ReadRecord, with the record if one was found. */
    [[nodiscard]] Action handleReadResult(StoreResult result, const std::optional<Record> &record);

    /** @brief Reason of the last Refuse or RefuseAndRelease. */
    [[nodiscard]] RefusalReason refusal() const;

private:
    [[nodiscard]] Action refuse(RefusalReason reason, Action action);
    [[nodiscard]] Action evaluateRecord(const Record &record);

    Nonce m_nonce;
    hash::Digest256 m_requestDigest;
    RefusalReason m_refusal = RefusalReason::None;
    bool m_hasSentClaim = false;
    bool m_hasRun = false;
    u32 m_storeResults = 0;
};

} // namespace burdock::once
