#pragma once

#include <burdock/types.hpp>

namespace burdock::run {

/**
 * @brief Detects that a process is idle after enough consecutive samples without work in progress.
 *
 * Samples are counted instead of time, because no samples are taken while the process itself is stalled. With elapsed time, a planned stop
 * on a busy machine could end a process that has work in progress and cut off its answers. Not thread-safe.
 */
class IdleDetector
{
public:
    /** @param requiredSamples  consecutive idle samples after which the process is considered idle */
    explicit IdleDetector(u32 requiredSamples);

    /** @brief Adds a sample; returns true once enough consecutive samples were idle. */
    [[nodiscard]] bool addSample(bool isBusy);

private:
    u32 m_requiredSamples;
    u32 m_idleSamples = 0;
};

} // namespace burdock::run
