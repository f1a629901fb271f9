#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/cache/cost_model.hpp>

#include <pcg_random.hpp>
#include <string>
#include <vector>

/** @brief Simulates two deployments with the production code for placement, import and admission decisions. */
namespace experiment {

using namespace burdock;

/** @brief Sizes, rates and workload of one deployment. */
struct Deployment
{
    std::string name;
    u32 zones = 1;
    u32 replicas = 1;
    u32 entries = 4;
    u32 stores = 2;
    u32 memoryBlocks = 1; ///< capacity of one replica's memory in cache blocks
    u32 blockTokens = 2048;
    u64 blockBytes = 1;
    u64 storeBytesPerSecond = 1; ///< link rate of one store VM
    u64 endpointBytesPerSecond = 1; ///< export budget of one endpoint
    u32 prefillTokensPerSecond = 1;
    u32 coldLimit = 2;
    u32 warmLimit = 16;
    u32 queueLimit = 32;
    double firstTokenObjectiveMs = 1; ///< objective for the time to the first token
    cache::CostWeights weights;
    u32 customers = 10;
    double newPromptsPerSecond = 1;
    u32 minInitialBlocks = 1;
    u32 maxInitialBlocks = 1;
    u32 maxAddedTokens = 1; ///< a returning prompt grows by at most this beyond the previous output
    double returnProbability = 0.5;
    double minGapSeconds = 1;
    double maxGapSeconds = 1;
    u32 outputTokens = 100;
    double tokenMs = 20;
    double burstStartSecond = 0; ///< start of a burst of new prompts
    double burstSeconds = 0;
    double burstFactor = 1;
};

/** @brief Returns the deployment `errata`; any other name gives `badgeworks`. */
[[nodiscard]] Deployment createDeployment(const std::string &name);

/** @brief One prompt; later turns of a session extend its earlier prompt. */
struct Prompt
{
    u64 session = 0;
    u32 customer = 0;
    u32 tokens = 0;
    u32 turn = 0;
};

using Random = pcg64;

[[nodiscard]] double uniform(Random &random, double low, double high);

/** @brief Returns the keys of the prompt's complete blocks. */
[[nodiscard]] std::vector<cache::BlockKey> blockKeysOf(const Deployment &deployment, const Prompt &prompt);

/** @brief Returns the first prompt of a session from a random customer; a few large customers send most of the prompts. */
[[nodiscard]] Prompt newPrompt(const Deployment &deployment, u64 session, Random &random);

/** @brief Returns the next turn of a session: the prompt, its output and added text. */
[[nodiscard]] Prompt nextTurn(const Deployment &deployment, const Prompt &prompt, Random &random);

} // namespace experiment
