#pragma once

#include <burdock/types.hpp>

namespace burdock {

/** @brief Result of a call to a store with conditional updates. */
enum class StoreResult : u8 {
    Written, ///< the write took effect
    Conflict, ///< the condition was not met
    Found, ///< a read found a value
    Absent, ///< a read found no value
    Unknown, ///< no answer; a write may have taken effect or may still do so
    Unreachable, ///< provably not received by the store
};

} // namespace burdock
