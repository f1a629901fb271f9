#pragma once

#include <burdock/types.hpp>

namespace burdock {

/** @brief What is known after a call to a store with conditional updates. */
enum class StoreResult : u8 {
    Written, ///< the write took effect
    Conflict, ///< the condition did not hold
    Found, ///< a read found a value
    Absent, ///< a read found none
    Unknown, ///< no answer: a write may or may not have taken effect, or may yet
    Unreachable, ///< provably not received by the store
};

} // namespace burdock
