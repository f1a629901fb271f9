#include <burdock/cache/cost_model.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

constexpr double BytesPerMebibyte = 1024.0 * 1024.0;
constexpr double MillisecondsPerSecond = 1000.0;
constexpr double TokensPerKiloToken = 1000.0;
constexpr double MaxBudgetMs = 60'000.0;

} // namespace

double importCost(const CostWeights &weights, const ImportInputs &inputs)
{
    const auto bytesAhead = static_cast<double>(inputs.bytes + inputs.linkQueuedBytes);
    const double waitMs = MillisecondsPerSecond * bytesAhead / static_cast<double>(inputs.linkBytesPerSecond);
    return weights.firstTokenMs * waitMs + weights.linkMebibyte * static_cast<double>(inputs.bytes) / BytesPerMebibyte;
}

double recomputeCost(const CostWeights &weights, const ImportInputs &inputs)
{
    const double waitMs = MillisecondsPerSecond * inputs.tokens / inputs.prefillTokensPerSecond;
    return weights.firstTokenMs * waitMs + weights.recomputedKiloToken * inputs.tokens / TokensPerKiloToken;
}

Duration importBudget(const CostWeights &weights, const ImportInputs &inputs)
{
    const double linkCost = weights.linkMebibyte * static_cast<double>(inputs.bytes) / BytesPerMebibyte;
    const double maxWaitCost = recomputeCost(weights, inputs) - linkCost;
    if (weights.firstTokenMs * MaxBudgetMs <= maxWaitCost) {
        return fromMilliseconds(MaxBudgetMs);
    }
    return fromMilliseconds(std::max(0.0, maxWaitCost / weights.firstTokenMs));
}

CostBasedImport::CostBasedImport(const CostWeights &weights)
    : m_weights(weights)
{
}

bool CostBasedImport::shouldImport(const ImportInputs &inputs) const
{
    return inputs.tokens > 0 && importCost(m_weights, inputs) < recomputeCost(m_weights, inputs);
}

bool AlwaysImport::shouldImport(const ImportInputs &inputs) const
{
    return inputs.tokens > 0;
}

bool NeverImport::shouldImport(const ImportInputs & /*inputs*/) const
{
    return false;
}

} // namespace burdock::cache
