#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace experiment {

namespace {

// 32 KiB a token, as of a model with grouped attention heads; 25 GB of a replica's memory for cache; 10 GbE to each store VM.
constexpr u64 BlockBytes = 64ULL << 20U;
constexpr u32 ReplicaMemoryBlocks = 400;
constexpr u64 TenGigabit = 1'250'000'000;

// Long drafts that come back after lunch. The desk weighs recomputation and links more than the first token: a draft is
// recomputed at a tenth of a second a block, and its editor has just sat down again.
Deployment errata()
{
    Deployment out;
    out.name = "errata";
    out.zones = 4;
    out.replicas = 12;
    out.memoryBlocks = ReplicaMemoryBlocks;
    out.blockBytes = BlockBytes;
    out.storeBytesPerSecond = TenGigabit;
    out.endpointBytesPerSecond = TenGigabit;
    out.prefillTokensPerSecond = 20'000;
    out.objectiveMs = 3000;
    out.weights = {1.0, 300.0, 1.0};
    out.newPromptsPerSecond = 0.35;
    out.firstBlocksLow = 4;
    out.firstBlocksHigh = 20;
    out.addedTokensHigh = 3000;
    out.returnChance = 0.8;
    out.gapSecondsLow = 60;
    out.gapSecondsHigh = 1800;
    out.outputTokens = 400;
    return out;
}

// Lists that a clerk returns to between arrivals. Tanglaw weighs the first token more: queues form at the doors.
Deployment badgeworks()
{
    Deployment out;
    out.name = "badgeworks";
    out.zones = 3;
    out.replicas = 18;
    out.memoryBlocks = ReplicaMemoryBlocks;
    out.blockBytes = BlockBytes;
    out.storeBytesPerSecond = TenGigabit;
    out.endpointBytesPerSecond = TenGigabit;
    out.prefillTokensPerSecond = 20'000;
    out.objectiveMs = 1000;
    out.weights = {4.0, 30.0, 0.5};
    out.newPromptsPerSecond = 1.2;
    out.firstBlocksLow = 1;
    out.firstBlocksHigh = 8;
    out.addedTokensHigh = 800;
    out.returnChance = 0.85;
    out.gapSecondsLow = 20;
    out.gapSecondsHigh = 600;
    out.outputTokens = 80;
    out.burstBeginSecond = 1800; // together with the faults, which begin half way
    out.burstSeconds = 120;
    out.burstFactor = 4;
    return out;
}

constexpr u32 LargeCustomers = 3;
constexpr double LargeShare = 0.7;

} // namespace

Deployment deploymentNamed(const std::string &name)
{
    return name == "errata" ? errata() : badgeworks();
}

double uniform(Random &random, double low, double high)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return low + (high - low) * static_cast<double>(random() >> 11U) * Scale;
}

std::vector<cache::BlockKey> keysOf(const Deployment &deployment, const Prompt &prompt)
{
    std::vector<cache::BlockKey> keys;
    const auto session = std::to_string(prompt.session);
    for (u32 block = 0; block < prompt.tokens / deployment.blockTokens; ++block) {
        // The first block of all prompts of a customer is the same: its instructions.
        const auto root = block == 0 ? "customer " + std::to_string(prompt.customer) : session;
        keys.push_back(hash::digest128({root, std::to_string(block)}));
    }
    return keys;
}

Prompt newPrompt(const Deployment &deployment, u64 session, Random &random)
{
    Prompt prompt;
    prompt.session = session;
    const bool isLarge = uniform(random, 0, 1) < LargeShare;
    prompt.customer
        = static_cast<u32>(isLarge ? uniform(random, 0, LargeCustomers) : uniform(random, LargeCustomers, deployment.customers));
    const double blocks = uniform(random, deployment.firstBlocksLow, deployment.firstBlocksHigh + 1);
    prompt.tokens = static_cast<u32>(blocks * deployment.blockTokens);
    return prompt;
}

Prompt nextTurn(const Deployment &deployment, const Prompt &prompt, Random &random)
{
    Prompt next = prompt;
    ++next.turn;
    next.tokens += deployment.outputTokens + static_cast<u32>(uniform(random, 0, deployment.addedTokensHigh));
    return next;
}

} // namespace experiment
