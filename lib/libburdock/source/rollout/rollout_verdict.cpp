#include <burdock/rollout/rollout_verdict.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace burdock::rollout {

namespace {

constexpr std::array<std::string_view, 3> JudgementNames{"undecided", "bad", "good"};
constexpr std::array<std::string_view, 4> FaultNames{"none", "failures", "slowness", "too_few_requests"};

/** The bound for one group; the logarithm of the number of groups is added. */
constexpr double Bound = 13;
/** With fewer requests nothing is known of a version. */
constexpr u64 MinTargetSamples = 20;
/** Periods over which the other versions' share is averaged. The greatest average counts: trouble of all versions begins at once. */
constexpr Duration LongPeriod = std::chrono::seconds(8);
constexpr std::array<Duration, 2> ShortPeriods{std::chrono::milliseconds(150), std::chrono::seconds(1)};
/** Weights of the usual share in the long average, and of the long average in the short ones, in samples. */
constexpr double UsualWeight = 25;
constexpr double LongWeight = 10;
constexpr double MinShare = 0.001;
constexpr double MaxShare = 0.95;
/** With fewer samples of the other versions in the long period, there is nothing to compare with. */
constexpr u64 MinOtherSamples = 10;
/** Tallies closer than this are kept as one. */
constexpr Duration MinTallyDistance = std::chrono::milliseconds(40);

} // namespace

std::string_view toString(Judgement judgement)
{
    return JudgementNames.at(static_cast<std::size_t>(judgement));
}

std::string_view toString(Fault fault)
{
    return FaultNames.at(static_cast<std::size_t>(fault));
}

const std::array<RolloutVerdict::FaultModel, 2> RolloutVerdict::Models{{
    {Fault::Failures, 0.02, {0.03, 0.10, 0.40}},
    {Fault::Slowness, 0.10, {0.20, 0.45, 0}},
}};

Judgement RolloutVerdict::update(const Evidence &totals, TimePoint now)
{
    if (m_isBad) {
        return Judgement::Bad;
    }
    std::map<u64, std::array<VersionCounts, 2>> groups; // by route; zero is all of them
    for (const auto &[cell, counts] : totals) {
        const auto side = static_cast<std::size_t>(cell.second);
        groups[cell.first].at(side).add(counts);
        groups[0].at(side).add(counts);
    }
    const double bound = Bound + std::log(static_cast<double>(std::max<std::size_t>(1, groups.size())));
    m_finding = {};
    for (const auto &[route, counts] : groups) {
        for (const auto &model : Models) {
            updateTest(route, model, counts.at(static_cast<std::size_t>(Side::Target)), counts.at(static_cast<std::size_t>(Side::Others)),
                       bound, now);
        }
    }
    if (groups.count(0) > 0) {
        m_targetSamples = std::max(m_targetSamples, groups.at(0).at(static_cast<std::size_t>(Side::Target)).observed());
    }
    m_isBad = m_finding.fault != Fault::None && m_finding.statistic >= m_finding.bound;
    return m_isBad ? Judgement::Bad : Judgement::Undecided;
}

bool RolloutVerdict::isBad() const
{
    return m_isBad;
}

Judgement RolloutVerdict::conclude() const
{
    return m_isBad || m_targetSamples < MinTargetSamples ? Judgement::Bad : Judgement::Good;
}

const Finding &RolloutVerdict::finding() const
{
    return m_finding;
}

u64 RolloutVerdict::targetSamples() const
{
    return m_targetSamples;
}

RolloutVerdict::Tally RolloutVerdict::tallyOf(const VersionCounts &counts, Fault fault)
{
    return fault == Fault::Failures ? Tally{counts.observed(), counts.failed()} : Tally{counts.timed, counts.slow};
}

void RolloutVerdict::updateTest(u64 route, const FaultModel &model, const VersionCounts &target, const VersionCounts &others, double bound,
                                TimePoint now)
{
    auto &test = m_tests[{route, model.fault}];
    const auto otherTally = tallyOf(others, model.fault);
    if (test.others.size() > 1 && now - test.others[test.others.size() - 2].at < MinTallyDistance) {
        test.others.pop_back();
    }
    test.others.push_back({now, otherTally});
    // The newest tally from before the long period is the one to subtract.
    while (test.others.size() > 1 && now - test.others[1].at >= LongPeriod) {
        test.others.pop_front();
    }
    const auto tally = tallyOf(target, model.fault);
    const auto hits = static_cast<double>(tally.hits - std::min(tally.hits, test.target.hits));
    const auto samples = static_cast<double>(tally.samples - std::min(tally.samples, test.target.samples));
    const double passes = std::max(0.0, samples - hits);
    test.target = tally;
    if (during(test, LongPeriod, now).samples < MinOtherSamples) {
        return;
    }
    const double share = baseline(test, model, now);
    for (std::size_t i = 0; i < model.excess.size(); ++i) {
        if (model.excess.at(i) <= 0) {
            continue;
        }
        const double worse = std::min((1 + MaxShare) / 2, share + model.excess.at(i));
        auto &sum = test.sums.at(i);
        sum = std::max(0.0, sum + hits * std::log(worse / share) + passes * std::log((1 - worse) / (1 - share)));
        if (sum > m_finding.statistic) {
            m_finding = {model.fault, route, sum, bound, tally.samples, tally.hits, otherTally.samples, otherTally.hits};
        }
    }
}

double RolloutVerdict::baseline(const Test &test, const FaultModel &model, TimePoint now)
{
    const auto whole = during(test, LongPeriod, now);
    const double weight = static_cast<double>(whole.samples) + UsualWeight;
    const double mean = (static_cast<double>(whole.hits) + UsualWeight * model.usualShare) / weight;
    const double average = mean + std::sqrt(mean * (1 - mean) / weight);
    double greatest = average;
    for (const auto &period : ShortPeriods) {
        const auto recent = during(test, period, now);
        greatest = std::max(greatest,
                            (static_cast<double>(recent.hits) + LongWeight * average) / (static_cast<double>(recent.samples) + LongWeight));
    }
    return std::clamp(greatest, MinShare, MaxShare);
}

RolloutVerdict::Tally RolloutVerdict::during(const Test &test, Duration time, TimePoint now)
{
    const auto &newest = test.others.back().tally;
    const auto isWithin = [&](const TallyAt &entry) {
        return now - entry.at < time;
    };
    const auto first = std::find_if(test.others.begin(), test.others.end(), isWithin);
    const auto before = first == test.others.begin() ? Tally{} : std::prev(first)->tally;
    return {newest.samples - before.samples, newest.hits - before.hits};
}

} // namespace burdock::rollout
