#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace experiment {

namespace {

// 32 KiB of cache per token, as for a model with grouped-query attention; 25 GB of cache memory per replica; 10 GbE to each store VM.
constexpr u64 BlockBytes = 64ULL << 20U;
constexpr u32 ReplicaMemoryBlocks = 400;
constexpr u64 TenGigabitBytesPerSecond = 1'250'000'000;

// Long drafts whose next turn comes after a long pause. Recomputation and link traffic weigh more than the first token: recomputing
// a draft takes only a tenth of a second per block, and its editor has just returned.
Deployment errata()
{
    Deployment out;
    out.name = "errata";
    out.zones = 4;
    out.replicas = 12;
    out.memoryBlocks = ReplicaMemoryBlocks;
    out.blockBytes = BlockBytes;
    out.storeBytesPerSecond = TenGigabitBytesPerSecond;
    out.endpointBytesPerSecond = TenGigabitBytesPerSecond;
    out.prefillTokensPerSecond = 20'000;
    out.firstTokenObjectiveMs = 3000;
    out.weights = {1.0, 300.0, 1.0};
    out.newPromptsPerSecond = 0.35;
    out.minInitialBlocks = 4;
    out.maxInitialBlocks = 20;
    out.maxAddedTokens = 3000;
    out.returnProbability = 0.8;
    out.minGapSeconds = 60;
    out.maxGapSeconds = 1800;
    out.outputTokens = 400;
    return out;
}

// Short lists that clerks work on while visitors arrive. The first token weighs more, as visitors queue while a clerk waits.
Deployment badgeworks()
{
    Deployment out;
    out.name = "badgeworks";
    out.zones = 3;
    out.replicas = 18;
    out.memoryBlocks = ReplicaMemoryBlocks;
    out.blockBytes = BlockBytes;
    out.storeBytesPerSecond = TenGigabitBytesPerSecond;
    out.endpointBytesPerSecond = TenGigabitBytesPerSecond;
    out.prefillTokensPerSecond = 20'000;
    out.firstTokenObjectiveMs = 1000;
    out.weights = {4.0, 30.0, 0.5};
    out.newPromptsPerSecond = 1.2;
    out.minInitialBlocks = 1;
    out.maxInitialBlocks = 8;
    out.maxAddedTokens = 800;
    out.returnProbability = 0.85;
    out.minGapSeconds = 20;
    out.maxGapSeconds = 600;
    out.outputTokens = 80;
    out.burstStartSecond = 1800; // coincides with the faults in a run of 60 minutes, as they start half way
    out.burstSeconds = 120;
    out.burstFactor = 4;
    return out;
}

constexpr u32 LargeCustomerCount = 3;
constexpr double LargeCustomerShare = 0.7;

} // namespace

Deployment createDeployment(const std::string &name)
{
    return name == "errata" ? errata() : badgeworks();
}

double uniform(Random &random, double low, double high)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return low + (high - low) * static_cast<double>(random() >> 11U) * Scale;
}

std::vector<cache::BlockKey> blockKeysOf(const Deployment &deployment, const Prompt &prompt)
{
    std::vector<cache::BlockKey> keys;
    const auto session = std::to_string(prompt.session);
    for (u32 block = 0; block < prompt.tokens / deployment.blockTokens; ++block) {
        // All prompts of a customer start with its instructions and so share the first block.
        const auto root = block == 0 ? "customer " + std::to_string(prompt.customer) : session;
        keys.push_back(hash::digest128({root, std::to_string(block)}));
    }
    return keys;
}

Prompt newPrompt(const Deployment &deployment, u64 session, Random &random)
{
    Prompt prompt;
    prompt.session = session;
    const bool isLarge = uniform(random, 0, 1) < LargeCustomerShare;
    prompt.customer
        = static_cast<u32>(isLarge ? uniform(random, 0, LargeCustomerCount) : uniform(random, LargeCustomerCount, deployment.customers));
    const double blocks = uniform(random, deployment.minInitialBlocks, deployment.maxInitialBlocks + 1);
    prompt.tokens = static_cast<u32>(blocks * deployment.blockTokens);
    return prompt;
}

Prompt nextTurn(const Deployment &deployment, const Prompt &prompt, Random &random)
{
    Prompt next = prompt;
    ++next.turn;
    next.tokens += deployment.outputTokens + static_cast<u32>(uniform(random, 0, deployment.maxAddedTokens));
    return next;
}

} // namespace experiment
