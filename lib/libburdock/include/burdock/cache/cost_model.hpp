#pragma once

#include <burdock/types.hpp>

namespace burdock::cache {

/** @brief Costs of one deployment, from its bundle. */
struct CostWeights
{
    double firstTokenMs = 1.0; ///< cost of one millisecond until the first token
    double recomputedKiloToken = 1.0; ///< cost of a thousand prompt tokens computed again
    double linkMebibyte = 1.0; ///< cost of a mebibyte over the cache link
};

/** @brief What is known when a prompt with kept blocks arrives. */
struct ImportInputs
{
    u32 tokens = 0; ///< prompt tokens that the kept blocks cover
    u64 bytes = 0; ///< size of the kept blocks
    u64 linkBytesPerSecond = 1; ///< measured speed of the link to the store VM
    u64 linkQueuedBytes = 0; ///< bytes that wait for the link
    u32 prefillTokensPerSecond = 1; ///< speed of recomputation
};

/** @brief Weighted cost of importing kept blocks. */
[[nodiscard]] double importCost(const CostWeights &weights, const ImportInputs &facts);

/** @brief Weighted cost of computing the same tokens again. */
[[nodiscard]] double recomputeCost(const CostWeights &weights, const ImportInputs &facts);

/**
 * @brief Time after which an import that goes slower than expected is given up for recomputation.
 *
 * Once so much time has passed, the import has cost as much as recomputation would have.
 */
[[nodiscard]] Duration importBudget(const CostWeights &weights, const ImportInputs &facts);

/** @brief What to do with kept blocks of a prompt. */
class ImportPolicy
{
public:
    virtual ~ImportPolicy() = default;
    [[nodiscard]] virtual bool shouldImport(const ImportInputs &facts) const = 0;
};

/** @brief Imports when that costs less than recomputation. */
class CostBasedImport : public ImportPolicy
{
public:
    explicit CostBasedImport(const CostWeights &weights);
    [[nodiscard]] bool shouldImport(const ImportInputs &facts) const override;

private:
    CostWeights m_weights;
};

/** @brief Baseline: imports whatever is kept. */
class AlwaysImport : public ImportPolicy
{
public:
    [[nodiscard]] bool shouldImport(const ImportInputs &facts) const override;
};

/** @brief Baseline: recomputes always. */
class NeverImport : public ImportPolicy
{
public:
    [[nodiscard]] bool shouldImport(const ImportInputs &facts) const override;
};

} // namespace burdock::cache
