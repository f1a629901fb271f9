#include <burdock/endpoints/prompt_memory.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

constexpr u64 GuessFactor = 2;
/** Sizes beyond this mean the same: larger than any engine. */
constexpr u64 LargestSize = u64{1} << 40;

} // namespace

u64 promptMemory(const DeclaredSize &size)
{
    const u64 most = std::min(size.mostAnswer, LargestSize);
    const u64 guess = std::min(size.expectedAnswer.value_or(0), LargestSize);
    const u64 answer = guess == 0 ? most : std::min(most, guess * GuessFactor);
    return std::max<u64>(1, std::min(size.prompt, LargestSize) + answer);
}

} // namespace burdock::endpoints
