#pragma once

#include <burdock/types.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/** @brief Ranks the endpoints to which a request is proposed; the endpoint process decides whether to accept it. */
namespace burdock::placement {

/** @brief State of one endpoint as known to an entry; may be out of date. */
struct EndpointView
{
    u64 id = 0; ///< hash of the VM's name
    double weight = 1; ///< relative share of requests, set by the availability zone; zero excludes the endpoint
    u32 load = 0; ///< running and queued requests
    u32 limit = 1; ///< maximum number of concurrent requests
    bool isLastResort = false; ///< ranked behind all others, to be used only if none of them is left
};

/** @brief Properties of a request that determine its placement. */
struct PlacementRequest
{
    u64 homeHash = 0; ///< hash that determines the home endpoints, see cache::homeHash()
    u64 hint = 0; ///< id of an endpoint that probably has the prompt's blocks in memory, or zero
    u64 random = 0; ///< random bits of this request
};

/** @brief Indices into the given views, best first. */
using Order = std::vector<u32>;

/** @brief Ranks endpoints for a request. Implementations are stateless and thread-safe. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * @brief The endpoints to try, best first.
     * @param count maximum length of the result
     */
    [[nodiscard]] virtual Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const = 0;
};

/** @brief Baseline: a random order. */
class RandomPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;
};

/** @brief Baseline: orders by load relative to the limit, least loaded first. */
class LeastLoadedPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;
};

/** @brief Whether a request may move off its home endpoint because of load. */
enum class LoadBound : u8 {
    None,
    Bounded,
};

/** @brief Whether the endpoint named by PlacementRequest::hint may move to the front. */
enum class HintUse : u8 {
    Ignore,
    Follow,
};

struct HomePolicyOptions
{
    LoadBound bound = LoadBound::Bounded;
    HintUse hints = HintUse::Follow;
    /** Load up to which an endpoint keeps its rank, in percent of the mean load in proportion to its limit. */
    u32 boundPercent = 150;
};

/**
 * @brief Ranks endpoints by weighted rendezvous hashing, optionally with bounded load.
 *
 * Each endpoint gets a score from (home hash, endpoint id), and the endpoints with the best scores are the homes, in this order. A
 * recurring prompt thus finds the same home without an index, and when an endpoint is removed only its own prompts move.
 */
class HomePolicy : public PlacementPolicy
{
public:
    explicit HomePolicy(const HomePolicyOptions &options);
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;

private:
    HomePolicyOptions m_options;
};

/** @brief Creates the policy with this name (random, least-loaded, home, home-bound, home-bound-hints); null if the name is unknown. */
[[nodiscard]] std::unique_ptr<PlacementPolicy> createPolicy(std::string_view name, u32 boundPercent);

/** @brief All names that createPolicy() accepts. */
[[nodiscard]] std::span<const std::string_view> policyNames();

} // namespace burdock::placement
