#include <burdock/cache/block_keys.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

// A prompt that grows, such as a draft, keeps its beginning. The second block distinguishes prompts that share the customer's
// instructions in the first block, and it exists before a prompt is long enough for recomputation to be expensive.
constexpr std::size_t HomeBlockIndex = 1;

} // namespace

std::vector<BlockKey> blockKeys(const BlockScope &scope, std::string_view prompt, u32 blockBytes)
{
    std::vector<BlockKey> keys;
    keys.reserve(prompt.size() / blockBytes);
    auto previous = hash::digest128({scope.customer, scope.model, scope.adapter, scope.weightVersion});
    for (std::size_t begin = 0; begin + blockBytes <= prompt.size(); begin += blockBytes) {
        previous = hash::digest128({hash::asBytes(previous), prompt.substr(begin, blockBytes)});
        keys.push_back(previous);
    }
    return keys;
}

u64 homeHash(const BlockScope &scope, std::string_view prompt, const std::vector<BlockKey> &keys)
{
    if (!keys.empty()) {
        return hash::hash64(hash::asBytes(keys[std::min(HomeBlockIndex, keys.size() - 1)]));
    }
    const auto root = hash::digest128({scope.customer, scope.model, scope.adapter, scope.weightVersion, prompt});
    return hash::hash64(hash::asBytes(root));
}

} // namespace burdock::cache
