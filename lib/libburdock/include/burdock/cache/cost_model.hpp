#pragma once

#include <burdock/types.hpp>

namespace burdock::cache {

/** @brief Cost weights of a deployment, from its configuration bundle. */
struct CostWeights
{
    double firstTokenMs = 1.0; ///< cost of one millisecond of time to first token
    double recomputedKiloToken = 1.0; ///< cost of recomputing 1000 prompt tokens
    double linkMebibyte = 1.0; ///< cost of transferring one mebibyte over the cache link
};

/** @brief Inputs of the decision whether to import the stored blocks of a prompt. */
struct ImportInputs
{
    u32 tokens = 0; ///< prompt tokens covered by the stored blocks
    u64 bytes = 0; ///< size of the stored blocks
    u64 linkBytesPerSecond = 1; ///< measured throughput of the link to the store VM
    u64 linkQueuedBytes = 0; ///< bytes already queued for the link
    u32 prefillTokensPerSecond = 1; ///< recomputation speed
};

/** @brief Returns the weighted cost of importing the stored blocks. */
[[nodiscard]] double importCost(const CostWeights &weights, const ImportInputs &inputs);

/** @brief Returns the weighted cost of recomputing the same tokens. */
[[nodiscard]] double recomputeCost(const CostWeights &weights, const ImportInputs &inputs);

/**
 * @brief Returns the time after which a slow import is abandoned in favour of recomputation.
 *
 * After this time the import has cost as much as recomputation would have.
 */
[[nodiscard]] Duration importBudget(const CostWeights &weights, const ImportInputs &inputs);

/** @brief Decides whether the stored blocks of a prompt are imported. */
class ImportPolicy
{
public:
    virtual ~ImportPolicy() = default;
    [[nodiscard]] virtual bool shouldImport(const ImportInputs &inputs) const = 0;
};

/** @brief Imports if that costs less than recomputation. */
class CostBasedImport : public ImportPolicy
{
public:
    explicit CostBasedImport(const CostWeights &weights);
    [[nodiscard]] bool shouldImport(const ImportInputs &inputs) const override;

private:
    CostWeights m_weights;
};

/** @brief Baseline that imports all stored blocks. */
class AlwaysImport : public ImportPolicy
{
public:
    [[nodiscard]] bool shouldImport(const ImportInputs &inputs) const override;
};

/** @brief Baseline that always recomputes. */
class NeverImport : public ImportPolicy
{
public:
    [[nodiscard]] bool shouldImport(const ImportInputs &inputs) const override;
};

} // namespace burdock::cache
