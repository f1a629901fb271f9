#pragma once

#include <burdock/types.hpp>

namespace burdock::admission {

/** @brief Concurrency that an endpoint bears, from its pool in the bundle. */
struct WarmUpPolicy
{
    u32 coldLimit = 1;
    u32 warmLimit = 1;
    /** False keeps the limit at warmLimit from the start; only for comparison. */
    bool ramps = true;
};

/**
 * @brief Concurrency limit of one endpoint, which starts at the cold limit and doubles per healthy round up to the warm one.
 *
 * A round is as many successes as the limit allows at once, so load rises only as fast as the endpoint proves to bear it.
 * Not thread-safe.
 */
class WarmUpLimit
{
public:
    explicit WarmUpLimit(const WarmUpPolicy &policy);

    [[nodiscard]] u32 limit() const;
    [[nodiscard]] bool isCold() const;

    /** @brief A run ended well. */
    void noteSuccess();

    /**
     * @brief The endpoint showed a sign of a restart.
     *
     * Guards against an endpoint that turns cold without warning: it shows as a changed boot id, a reset or a refused
     * connection. Falling back at the first sign holds because all work of the endpoint passes through this object.
     */
    void noteRestart();

    /** @brief Takes over a changed policy; a warm endpoint stays warm. */
    void setPolicy(const WarmUpPolicy &policy);

private:
    WarmUpPolicy m_policy;
    u32 m_limit;
    u32 m_successesInRound = 0;
    bool m_hasWarmedUp = false; // by successes; a policy whose limits are equal proves nothing
};

} // namespace burdock::admission
