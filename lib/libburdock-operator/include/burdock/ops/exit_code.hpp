#pragma once

#include <burdock/types.hpp>

/** @brief What operators do, apart from how they type it. */
namespace burdock::ops {

/** @brief Exit codes of the operators' command; docs/OPERATING.md lists them. */
enum class ExitCode : u8 {
    Ok = 0,
    Failed = 1, ///< the platform or a file could not be used; nothing has changed
    BadInput = 2, ///< faults in a document or on the command line
    Conflict = 3, ///< another change was accepted first; nothing of this one is in force
    NotEverywhere = 4, ///< accepted, but some processes had not taken it over in time
    Unknown = 5, ///< no answer told whether the change was accepted; ask `rollout status`
};

} // namespace burdock::ops
