#pragma once

#include <burdock/types.hpp>

namespace burdock::admission {

/** @brief Concurrency limits of an endpoint, from its pool in the configuration bundle. */
struct WarmUpPolicy
{
    u32 coldLimit = 1;
    u32 warmLimit = 1;
    /** If false, the limit is always warmLimit; used only in comparative benchmarks. */
    bool isRampEnabled = true;
};

/**
 * @brief Concurrency limit of one endpoint, which starts at the cold limit and doubles after each successful round up to the warm limit.
 *
 * A round is as many successful runs as the current limit, so load rises only as fast as the endpoint is shown to handle it.
 * Not thread-safe.
 */
class WarmUpLimit
{
public:
    explicit WarmUpLimit(const WarmUpPolicy &policy);

    [[nodiscard]] u32 limit() const;
    [[nodiscard]] bool isCold() const;

    /** @brief Records a successful run. */
    void noteSuccess();

    /**
     * @brief Records a sign of a restart and falls back to the cold limit.
     *
     * Signs are a changed boot id and a reset or refused connection. The limit drops at the first sign, as a restarted engine is cold
     * and all work of the endpoint passes through this limit.
     */
    void noteRestart();

    /** @brief Applies a changed policy; a warm endpoint stays warm. */
    void setPolicy(const WarmUpPolicy &policy);

private:
    WarmUpPolicy m_policy;
    u32 m_limit;
    u32 m_successesInRound = 0;
    bool m_hasWarmedUp = false; // set by successful runs only; with equal limits isCold() is false from the start
};

} // namespace burdock::admission
