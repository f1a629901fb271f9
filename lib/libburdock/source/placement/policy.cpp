#include <burdock/placement/policy.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace burdock::placement {

namespace {

// Combines two words with the finalizer of SplitMix64, for its avalanche effect.
u64 mix(u64 left, u64 right)
{
    u64 word = left ^ (right * 0x9e3779b97f4a7c15ULL);
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
    return word ^ (word >> 31);
}

// Maps a uniformly distributed word to (0, 1].
double toUnitInterval(u64 word)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((word >> 11) + 1) * Scale;
}

double relativeLoad(const EndpointView &view)
{
    return static_cast<double>(view.load) / std::max<u32>(1, view.limit);
}

struct ScoredEndpoint
{
    bool isLastResort;
    double score;
    u32 index;
};

bool isBetter(const ScoredEndpoint &left, const ScoredEndpoint &right)
{
    return left.isLastResort != right.isLastResort ? right.isLastResort : left.score > right.score;
}

// Returns the indices of the `count` best endpoints, best first; endpoints with zero weight are excluded.
template <typename Score>
Order rankBy(std::span<const EndpointView> endpoints, u32 count, Score score)
{
    std::vector<ScoredEndpoint> scored;
    scored.reserve(endpoints.size());
    for (u32 index = 0; index < endpoints.size(); ++index) {
        if (endpoints[index].weight > 0) {
            scored.push_back({endpoints[index].isLastResort, score(endpoints[index]), index});
        }
    }
    const auto kept = std::min<std::size_t>(count, scored.size());
    const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(scored.begin(), middle, scored.end(), isBetter);
    Order order;
    order.reserve(kept);
    std::transform(scored.begin(), middle, std::back_inserter(order), [](const ScoredEndpoint &entry) { return entry.index; });
    return order;
}

double meanRelativeLoad(std::span<const EndpointView> endpoints)
{
    double load = 0;
    double limit = 0;
    for (const auto &view : endpoints) {
        if (view.weight > 0) {
            load += view.load;
            limit += view.limit;
        }
    }
    return limit > 0 ? load / limit : 0;
}

// Moves endpoints that exceed the load bound behind those that do not; keeps the order within both groups.
void moveOverloadedBack(Order &order, std::span<const EndpointView> endpoints, u32 boundPercent)
{
    const double mean = meanRelativeLoad(endpoints);
    const auto isWithinBound = [&](u32 index) {
        const auto &view = endpoints[index];
        // One request more than the bound is always allowed, as in consistent hashing with bounded loads. Otherwise every request
        // to an idle fleet, whose mean load is zero, would be moved off its home.
        const double allowed = std::ceil(mean * view.limit * boundPercent / 100.0) + 1;
        return view.load < allowed || view.load < view.limit;
    };
    // Endpoints of last resort stay last: their load may be zero only because no requests reach them.
    const auto firstLastResort = std::find_if(order.begin(), order.end(), [&](u32 index) { return endpoints[index].isLastResort; });
    std::stable_partition(order.begin(), firstLastResort, isWithinBound);
}

void moveHintToFront(Order &order, std::span<const EndpointView> endpoints, u64 hint)
{
    const auto found = std::find_if(order.begin(), order.end(), [&](u32 index) { return endpoints[index].id == hint; });
    if (found != order.end() && !endpoints[*found].isLastResort && relativeLoad(endpoints[*found]) < 1.0) {
        std::rotate(order.begin(), found, found + 1);
    }
}

constexpr std::array<std::string_view, 5> PolicyNames{"random", "least-loaded", "home", "home-bound", "home-bound-hints"};

} // namespace

Order RandomPolicy::order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const
{
    return rankBy(endpoints, count, [&](const EndpointView &view) { return toUnitInterval(mix(request.random, view.id)); });
}

Order LeastLoadedPolicy::order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const
{
    return rankBy(endpoints, count, [&](const EndpointView &view) {
        // The random term only breaks ties.
        constexpr double TieBreakScale = 1e-6;
        return TieBreakScale * toUnitInterval(mix(request.random, view.id)) - relativeLoad(view);
    });
}

HomePolicy::HomePolicy(const HomePolicyOptions &options)
    : m_options(options)
{
}

Order HomePolicy::order(const PlacementRequest &request, std::span<const EndpointView> endpoints, u32 count) const
{
    auto order = rankBy(endpoints, count, [&](const EndpointView &view) {
        // Weighted rendezvous hashing: -weight / ln(u) gives each endpoint a share of homes in proportion to its weight.
        return -view.weight / std::log(toUnitInterval(mix(request.homeHash, view.id)) * (1.0 - 1e-12));
    });
    if (m_options.hints == HintUse::Follow && request.hint != 0) {
        moveHintToFront(order, endpoints, request.hint);
    }
    if (m_options.bound == LoadBound::Bounded) {
        moveOverloadedBack(order, endpoints, m_options.boundPercent);
    }
    return order;
}

std::unique_ptr<PlacementPolicy> createPolicy(std::string_view name, u32 boundPercent)
{
    if (name == "random") {
        return std::make_unique<RandomPolicy>();
    }
    if (name == "least-loaded") {
        return std::make_unique<LeastLoadedPolicy>();
    }
    if (name == "home") {
        return std::make_unique<HomePolicy>(HomePolicyOptions{LoadBound::None, HintUse::Ignore, boundPercent});
    }
    if (name == "home-bound") {
        return std::make_unique<HomePolicy>(HomePolicyOptions{LoadBound::Bounded, HintUse::Ignore, boundPercent});
    }
    if (name == "home-bound-hints") {
        return std::make_unique<HomePolicy>(HomePolicyOptions{LoadBound::Bounded, HintUse::Follow, boundPercent});
    }
    return nullptr;
}

std::span<const std::string_view> policyNames()
{
    return PolicyNames;
}

} // namespace burdock::placement
