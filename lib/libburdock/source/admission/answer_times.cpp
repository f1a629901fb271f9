#include <burdock/admission/answer_times.hpp>

namespace burdock::admission {

namespace {

/** Weights of a new sample, as divisors, and deviations from the mean that count as usual. */
constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;
constexpr int UsualDeviations = 4;

} // namespace

void AnswerTimes::note(std::string_view kind, Duration time)
{
    const auto found = m_estimates.find(kind);
    if (found == m_estimates.end()) {
        m_estimates.emplace(kind, Estimate{time, Duration::zero()});
        return;
    }
    auto &estimate = found->second;
    const auto error = time - estimate.mean;
    const auto distance = error < Duration::zero() ? -error : error;
    estimate.mean += error / MeanDivisor;
    estimate.deviation += (distance - estimate.deviation) / DeviationDivisor;
}

Duration AnswerTimes::usual(std::string_view kind) const
{
    const auto found = m_estimates.find(kind);
    return found == m_estimates.end() ? Duration::zero() : found->second.mean + UsualDeviations * found->second.deviation;
}

void AnswerTimes::keepOnly(const std::function<bool(std::string_view)> &isKnown)
{
    std::erase_if(m_estimates, [&isKnown](const auto &item) { return !isKnown(item.first); });
}

} // namespace burdock::admission
