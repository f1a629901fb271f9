#include <burdock/endpoints/prompt_memory.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

constexpr u64 ExpectedAnswerFactor = 2;
/** Declared sizes are clamped to this, which exceeds the memory of any engine. */
constexpr u64 MaxTokens = u64{1} << 40;

} // namespace

u64 promptMemory(const DeclaredSize &size)
{
    const u64 maxAnswer = std::min(size.maxAnswerTokens, MaxTokens);
    const u64 expectedAnswer = std::min(size.expectedAnswerTokens.value_or(0), MaxTokens);
    const u64 answer = expectedAnswer == 0 ? maxAnswer : std::min(maxAnswer, expectedAnswer * ExpectedAnswerFactor);
    return std::max<u64>(1, std::min(size.promptTokens, MaxTokens) + answer);
}

} // namespace burdock::endpoints
