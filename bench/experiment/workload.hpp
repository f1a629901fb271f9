#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/cache/cost_model.hpp>

#include <pcg_random.hpp>
#include <string>
#include <vector>

/** @brief A small model of both deployments around the real decision code. */
namespace experiment {

using namespace burdock;

/** @brief Sizes, speeds and habits of one deployment. */
struct Deployment
{
    std::string name;
    u32 zones = 1;
    u32 replicas = 1;
    u32 entries = 4;
    u32 stores = 2;
    u32 memoryBlocks = 1; ///< cache blocks in one replica's memory
    u32 blockTokens = 2048;
    u64 blockBytes = 1;
    u64 storeBytesPerSecond = 1; ///< link of one store VM
    u64 endpointBytesPerSecond = 1; ///< export budget of one endpoint
    u32 prefillTokensPerSecond = 1;
    u32 coldLimit = 2;
    u32 warmLimit = 16;
    u32 queueLimit = 32;
    double objectiveMs = 1; ///< first token within
    cache::CostWeights weights;
    u32 customers = 10;
    double newPromptsPerSecond = 1;
    u32 firstBlocksLow = 1;
    u32 firstBlocksHigh = 1;
    u32 addedTokensHigh = 1; ///< a returning prompt is longer by up to this
    double returnChance = 0.5;
    double gapSecondsLow = 1;
    double gapSecondsHigh = 1;
    u32 outputTokens = 100;
    double tokenMs = 20;
    double burstBeginSecond = 0; ///< of the door-opening burst
    double burstSeconds = 0;
    double burstFactor = 1;
};

/** @brief The deployment of this name (errata, badgeworks). */
[[nodiscard]] Deployment deploymentNamed(const std::string &name);

/** @brief One prompt, perhaps the return of an earlier one. */
struct Prompt
{
    u64 session = 0;
    u32 customer = 0;
    u32 tokens = 0;
    u32 turn = 0;
};

using Random = pcg64;

[[nodiscard]] double uniform(Random &random, double low, double high);

/** @brief Keys of the prompt's whole blocks. */
[[nodiscard]] std::vector<cache::BlockKey> keysOf(const Deployment &deployment, const Prompt &prompt);

/** @brief A new prompt of a random customer; a few customers are large. */
[[nodiscard]] Prompt newPrompt(const Deployment &deployment, u64 session, Random &random);

/** @brief The next turn of a prompt. */
[[nodiscard]] Prompt nextTurn(const Deployment &deployment, const Prompt &prompt, Random &random);

} // namespace experiment
