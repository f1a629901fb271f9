#pragma once

#include <burdock/types.hpp>

namespace burdock::run {

/**
 * @brief Says when nothing has been under way for a while, from one look after the other.
 *
 * Guards against a process that stops in the midst of its work because it stood still: it shows as answers that are cut off at a planned
 * stop on a busy machine. Counting looks rather than time holds, as nothing is looked at while the process stands still. Not thread-safe.
 */
class IdleDetector
{
public:
    /** @param looks  how many looks in a row must find nothing under way */
    explicit IdleDetector(u32 looks);

    /** @brief Takes one look into account; true once enough of them in a row have found nothing. */
    [[nodiscard]] bool addSample(bool isBusy);

private:
    u32 m_needed;
    u32 m_quiet = 0;
};

} // namespace burdock::run
