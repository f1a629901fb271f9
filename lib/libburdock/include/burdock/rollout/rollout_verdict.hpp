#pragma once

#include <burdock/rollout/evidence.hpp>

#include <array>
#include <deque>
#include <map>
#include <string_view>
#include <utility>

namespace burdock::rollout {

/** @brief What is known of the target version. */
enum class Judgement : u8 {
    Undecided,
    Bad,
    Good,
};

[[nodiscard]] std::string_view toString(Judgement judgement);

/** @brief What a version was found to be worse in. */
enum class Fault : u8 {
    None,
    Failures,
    Slowness,
    TooFewRequests,
};

[[nodiscard]] std::string_view toString(Fault fault);

/** @brief Figures of a group of requests that decided, or come closest to it. */
struct Finding
{
    Fault fault = Fault::None;
    u64 route = 0; ///< hash of the route's name; zero for all routes together
    double statistic = 0; ///< logarithm of a likelihood ratio
    double bound = 0; ///< from which the version is bad
    u64 targetSamples = 0;
    u64 targetHits = 0; ///< failures or slow answers
    u64 otherSamples = 0;
    u64 otherHits = 0;
};

/**
 * @brief Judges the target version from the evidence of all gateways. Not thread-safe.
 *
 * CUSUM of Bernoulli likelihood ratios: shares of failures and of slow answers some steps above those of the other versions at the same
 * time, against equal shares; for each route and for all together. The sums don't fall below zero, so a version that was sound for long is
 * still found when it turns bad.
 */
class RolloutVerdict
{
public:
    /** @brief Takes the evidence since the order; a version that was once found bad stays so. */
    Judgement update(const Evidence &totals, TimePoint now);

    [[nodiscard]] bool isBad() const;

    /** @brief Judges finally: what isn't bad by now is good, unless too few requests reached it. */
    [[nodiscard]] Judgement conclude() const;

    /** @brief Figures of the verdict if the target is bad, else of the group that comes closest to it. */
    [[nodiscard]] const Finding &finding() const;

    /** @brief Requests that reached the target. */
    [[nodiscard]] u64 targetSamples() const;

private:
    static constexpr std::size_t MaxAlternatives = 3;

    struct Tally
    {
        u64 samples = 0;
        u64 hits = 0;
    };

    struct TallyAt
    {
        TimePoint at{};
        Tally tally;
    };

    /** @brief The test of one group for one kind of fault. */
    struct Test
    {
        std::deque<TallyAt> others; ///< of the last seconds, the oldest first
        Tally target;
        std::array<double, MaxAlternatives> sums{};
    };

    /** @brief Assumptions about one kind of fault. */
    struct FaultModel
    {
        Fault fault = Fault::None;
        double usualShare = 0; ///< until the other versions' share is known
        std::array<double, MaxAlternatives> excess{}; ///< of the alternatives' shares; zero for none
    };

    static const std::array<FaultModel, 2> Models;

    static Tally tallyOf(const VersionCounts &counts, Fault fault);
    static double baseline(const Test &test, const FaultModel &model, TimePoint now);
    static Tally during(const Test &test, Duration time, TimePoint now);
    void updateTest(u64 route, const FaultModel &model, const VersionCounts &target, const VersionCounts &others, double bound,
                    TimePoint now);

    std::map<std::pair<u64, Fault>, Test> m_tests; ///< by route
    Finding m_finding;
    bool m_isBad = false;
    u64 m_targetSamples = 0;
};

} // namespace burdock::rollout
