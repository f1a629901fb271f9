#pragma once

#include <burdock/types.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/** @brief Chooses the endpoints at which a request is proposed; the endpoint process has the last word. */
namespace burdock::placement {

/** @brief What an entry knows, perhaps out of date, about one endpoint. */
struct EndpointView
{
    u64 id = 0; ///< hash of the VM's name
    double weight = 1; ///< share of work, from the availability zone; zero takes no new work
    u32 load = 0; ///< requests running and queued there
    u32 limit = 1; ///< requests that it runs at once
    bool isLastResort = false; ///< asked only where nobody else is left
};

/** @brief What placement needs to know of a request. */
struct PlacementRequest
{
    u64 home = 0; ///< see cache::homeHash()
    u64 hint = 0; ///< id of an endpoint believed to hold the prompt's blocks in memory, or zero
    u64 random = 0; ///< random bits of this request
};

/** @brief Indices into the given views, best first. */
using Order = std::vector<u32>;

/** @brief Orders endpoints for a request. Implementations are stateless and thread-safe. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * @brief The endpoints to ask, best first.
     * @param count length of the order at most
     */
    [[nodiscard]] virtual Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const = 0;
};

/** @brief Baseline: any endpoint. */
class RandomPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;
};

/** @brief Baseline: the endpoint with the least load for its limit. */
class LeastLoadedPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;
};

/** @brief Whether load may push a request off its home. */
enum class LoadBound : u8 {
    None,
    Bounded,
};

/** @brief Whether hints may reorder the first candidates. */
enum class HintUse : u8 {
    Ignore,
    Follow,
};

struct HomePolicyOptions
{
    LoadBound bound = LoadBound::Bounded;
    HintUse hints = HintUse::Follow;
    /** Load that a home may carry, in percent of the mean load for its limit. */
    u32 boundPercent = 150;
};

/**
 * @brief Computes homes by weighted rendezvous hashing, with bounded load.
 *
 * A returning prompt finds the same home without an index: each endpoint gets a score from (home hash, endpoint id), and the
 * best scores are the homes in order. When an endpoint goes, only its own prompts move.
 */
class HomePolicy : public PlacementPolicy
{
public:
    explicit HomePolicy(const HomePolicyOptions &options);
    [[nodiscard]] Order order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const override;

private:
    HomePolicyOptions m_options;
};

/** @brief The policy of this name (random, least-loaded, home, home-bound, home-bound-hints), or null. */
[[nodiscard]] std::unique_ptr<PlacementPolicy> createPolicy(std::string_view name, u32 boundPercent);

/** @brief All names that createPolicy() knows. */
[[nodiscard]] std::span<const std::string_view> policyNames();

} // namespace burdock::placement
