#pragma once

#include <burdock/types.hpp>

/** @brief Implementation of the operators' commands, independent of command-line parsing. */
namespace burdock::ops {

/** @brief Exit codes of the operators' program, documented in docs/OPERATING.md. */
enum class ExitCode : u8 {
    Ok = 0,
    Failed = 1, ///< the platform or a file is not accessible; nothing was changed
    BadInput = 2, ///< errors in a document or on the command line
    Conflict = 3, ///< another change was accepted first; no part of this one is applied
    PartiallyApplied = 4, ///< accepted, but some processes did not apply it before the timeout
    Unknown = 5, ///< the platform did not confirm whether the change was accepted; check with `rollout status`
};

} // namespace burdock::ops
