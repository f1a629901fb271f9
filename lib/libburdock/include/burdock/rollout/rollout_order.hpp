#pragma once

#include <burdock/rollout/rollout_verdict.hpp>
#include <burdock/types.hpp>

#include <optional>
#include <string>

namespace burdock::rollout {

/** @brief State of an order as its status tells it. */
enum class OrderState : u8 {
    Active,
    Completed,
    Reverted,
};

[[nodiscard]] std::string_view toString(OrderState state);

/** @brief What a record of the store holds about an order. */
struct OrderRecord
{
    std::string service;
    std::string target; ///< software version
    Duration duration{};
    std::optional<OrderState> state; ///< nothing until a status is written
    std::string stateTarget; ///< version that the state is about
    u64 createdRevision = 0; ///< of the store when the record was created; another one means another order
    u64 revision = 0; ///< of the record's last change

    [[nodiscard]] bool isDecided() const;
    /** @brief Returns whether the records hold the same order, whatever its state. */
    [[nodiscard]] bool isSameOrder(const OrderRecord &other) const;
};

/** @brief Which replicas of a service a request may be sent to. */
enum class TargetUse : u8 {
    Unrestricted, ///< there is no order
    Limited, ///< to the target as far as ExposureLimit permits
    None, ///< to all but the target
    Only, ///< only to the target, as the others are about to end
};

/**
 * @brief One gateway's view of the order for one service, and the status to write if the gateway decides about it. Not thread-safe.
 *
 * A decision is final: once a gateway has decided or heard of a decision it stays, and a record with a decided state wins over what this
 * gateway would decide.
 */
class RolloutOrder
{
public:
    /** @param learntAt when this gateway learnt of the order */
    RolloutOrder(OrderRecord record, TimePoint learntAt);

    /** @brief What happened to the order by a record that was read or returned by the store. */
    enum class Change : u8 {
        None, ///< the same order; its state may be newer
        Replaced, ///< another order: this object is of no more use
    };

    /**
     * @brief Takes a record. Older ones than the known one are ignored.
     */
    Change observe(const OrderRecord &record, TimePoint now);

    /** @brief Records that the order is no more. Its target gets nothing until the deadline. */
    void noteWithdrawn();

    /** @brief Records that another gateway learnt of the order earlier. */
    void noteKnownSince(TimePoint time);

    /** @brief Records a decision that another gateway tells of, before it stands in the record. */
    void noteDecided(OrderState state);

    /** @brief Decides if the judgement or the time calls for it; only a gateway that holds the lease may call this. */
    void decide(const RolloutVerdict &verdict, TimePoint now);

    /** @brief Returns the decision, or Active if there is none. */
    [[nodiscard]] OrderState state() const;

    /**
     * @brief Returns the status to write, under the condition that the record has the revision of record().
     *
     * Nothing is to be written while the outcome of an earlier write isn't known.
     */
    [[nodiscard]] std::optional<OrderState> dueWrite() const;

    /** @brief Returns whether the record must be read before anything is written. */
    [[nodiscard]] bool mustRead() const;

    /** @brief Records that a status is being written. */
    void noteWriting();
    /** @brief Records that a write was acknowledged. */
    void noteWritten(OrderState state, u64 revision, TimePoint now);
    /** @brief Records that the record had changed; observe() follows if the store returned it. */
    void noteConflict();

    /** @brief Returns which replicas may be used now. */
    [[nodiscard]] TargetUse targetUse(TimePoint now) const;

    [[nodiscard]] bool isWithdrawn() const;

    /** @brief Returns whether the order has no effect any more. */
    [[nodiscard]] bool isOver(TimePoint now) const;

    [[nodiscard]] const OrderRecord &record() const;
    [[nodiscard]] TimePoint deadline() const;

private:
    void noteRecord(TimePoint now);

    OrderRecord m_record;
    TimePoint m_knownSince;
    std::optional<TimePoint> m_settledAt; ///< when the decision was first seen in the record
    OrderState m_state = OrderState::Active;
    bool m_isWithdrawn = false;
    bool m_mustRead = false;
};

} // namespace burdock::rollout
