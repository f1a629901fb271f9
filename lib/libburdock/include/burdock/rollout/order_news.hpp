#pragma once

#include <burdock/rollout/evidence.hpp>
#include <burdock/rollout/rollout_order.hpp>

#include <optional>

namespace burdock::rollout {

/** @brief That the holder of the lease knew an order to be undecided at some time. */
struct UndecidedWord
{
    u64 holderBootId = 0;
    u64 token = 0; ///< fencing token of the lease; a later holder's is greater
    Duration toldAt{}; ///< on the holder's clock

    [[nodiscard]] bool isNewerThan(const UndecidedWord &other) const
    {
        return token != other.token ? token > other.token : toldAt > other.toldAt;
    }
};

/** @brief What one gateway tells the others of an order. */
struct OrderNews
{
    OrderState state = OrderState::Active;
    Duration knownFor{}; ///< time since the first gateway learnt of the order
    std::optional<UndecidedWord> word; ///< the newest that the gateway knows, also of another gateway
    Evidence evidence; ///< what the gateway observed itself
};

} // namespace burdock::rollout
