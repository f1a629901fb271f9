#include <burdock/cache/cost_model.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

constexpr double BytesPerMebibyte = 1024.0 * 1024.0;
constexpr double MillisecondsPerSecond = 1000.0;
constexpr double TokensPerKiloToken = 1000.0;
constexpr double LongestBudgetMs = 60'000.0;

} // namespace

double importCost(const CostWeights &weights, const ImportInputs &facts)
{
    const auto bytesAhead = static_cast<double>(facts.bytes + facts.linkQueuedBytes);
    const double waitMs = MillisecondsPerSecond * bytesAhead / static_cast<double>(facts.linkBytesPerSecond);
    return weights.firstTokenMs * waitMs + weights.linkMebibyte * static_cast<double>(facts.bytes) / BytesPerMebibyte;
}

double recomputeCost(const CostWeights &weights, const ImportInputs &facts)
{
    const double waitMs = MillisecondsPerSecond * facts.tokens / facts.prefillTokensPerSecond;
    return weights.firstTokenMs * waitMs + weights.recomputedKiloToken * facts.tokens / TokensPerKiloToken;
}

Duration importBudget(const CostWeights &weights, const ImportInputs &facts)
{
    const double linkCost = weights.linkMebibyte * static_cast<double>(facts.bytes) / BytesPerMebibyte;
    const double worthMs = recomputeCost(weights, facts) - linkCost;
    if (weights.firstTokenMs * LongestBudgetMs <= worthMs) {
        return fromMilliseconds(LongestBudgetMs);
    }
    return fromMilliseconds(std::max(0.0, worthMs / weights.firstTokenMs));
}

CostBasedImport::CostBasedImport(const CostWeights &weights)
    : m_weights(weights)
{
}

bool CostBasedImport::shouldImport(const ImportInputs &facts) const
{
    return facts.tokens > 0 && importCost(m_weights, facts) < recomputeCost(m_weights, facts);
}

bool AlwaysImport::shouldImport(const ImportInputs &facts) const
{
    return facts.tokens > 0;
}

bool NeverImport::shouldImport(const ImportInputs & /*facts*/) const
{
    return false;
}

} // namespace burdock::cache
