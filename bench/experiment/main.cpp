#include "world.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_uint32(seeds, 5, "seeds to run, from 1 on");
DEFINE_double(minutes, 60, "simulated minutes");
DEFINE_string(deployments, "errata,badgeworks", "deployments");
DEFINE_string(faults, "none,zone,store,cold", "faults");
DEFINE_string(svg, "", "file for a plot of the weighted costs");

namespace {

using namespace experiment;

constexpr std::array<std::string_view, 4> FaultNames{"none", "zone", "store", "cold"};

/** @brief Figures of one choice over all seeds. */
struct Row
{
    std::string choice;
    std::vector<double> costs;
    std::vector<double> p50;
    std::vector<double> p95;
    std::vector<double> p99;
    std::vector<double> recomputed;
    std::vector<double> linkGib;
    std::vector<double> refused;
    std::vector<double> withinObjective;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<Choice> choicesFor(Fault fault)
{
    std::vector<Choice> choices;
    for (const auto placement : placement::policyNames()) {
        for (const auto *import : {"never", "always", "by-cost"}) {
            choices.push_back({std::string(placement), import, true});
        }
    }
    if (fault == Fault::HalfTurnCold) {
        choices.push_back({"home-bound-hints", "by-cost", false});
    }
    return choices;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

double median(const std::vector<double> &values)
{
    return quantile(values, 0.5);
}

void add(Row &row, const Deployment &deployment, Fault fault, const Outcome &outcome)
{
    constexpr double Gibibyte = 1024.0 * 1024.0 * 1024.0;
    const auto &counted = fault == Fault::None ? outcome.firstTokenMs : outcome.firstTokenMsDuringFault;
    const auto asked = static_cast<double>(std::max<u64>(1, fault == Fault::None ? outcome.requests : outcome.requestsDuringFault));
    const auto within = std::count_if(counted.begin(), counted.end(), [&](double ms) { return ms <= deployment.objectiveMs; });
    row.costs.push_back(outcome.cost(deployment.weights));
    row.p50.push_back(quantile(outcome.firstTokenMs, 0.5));
    row.p95.push_back(quantile(outcome.firstTokenMs, 0.95));
    row.p99.push_back(quantile(outcome.firstTokenMs, 0.99));
    row.recomputed.push_back(static_cast<double>(outcome.recomputedTokens) / static_cast<double>(std::max<u64>(1, outcome.promptTokens)));
    row.linkGib.push_back(static_cast<double>(outcome.linkBytes) / Gibibyte);
    row.refused.push_back(static_cast<double>(outcome.refused + outcome.lost));
    row.withinObjective.push_back(static_cast<double>(within) / asked);
}

std::vector<Row> compare(const Deployment &deployment, Fault fault)
{
    const auto choices = choicesFor(fault);
    std::vector<Row> rows(choices.size());
    std::vector<std::thread> threads;
    const std::size_t lanes = 4;
    for (std::size_t lane = 0; lane < lanes; ++lane) {
        threads.emplace_back([&, lane] {
            for (std::size_t i = lane; i < choices.size(); i += lanes) {
                rows[i].choice = choices[i].name();
                for (u64 seed = 1; seed <= FLAGS_seeds; ++seed) {
                    add(rows[i], deployment, fault, World(deployment, choices[i], fault, seed).run(FLAGS_minutes));
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return rows;
}

void print(const std::string &deployment, std::string_view fault, const std::vector<Row> &rows)
{
    std::cout << "\n### " << deployment << ", fault: " << fault << "\n\n"
              << "| choice | cost min/median/max | first token p50 | p95 | p99 ms | recomputed share | link GiB | refused or lost | within "
                 "objective |\n"
              << "|---|---|---|---|---|---|---|---|---|\n"
              << std::fixed;
    for (const auto &row : rows) {
        std::cout << "| " << row.choice << " | " << std::setprecision(0) << quantile(row.costs, 0) << " / " << median(row.costs) << " / "
                  << quantile(row.costs, 1) << " | " << median(row.p50) << " | " << median(row.p95) << " | " << median(row.p99) << " | "
                  << std::setprecision(3) << median(row.recomputed) << " | " << std::setprecision(0) << median(row.linkGib) << " | "
                  << median(row.refused) << " | " << std::setprecision(4) << median(row.withinObjective) << " |\n";
    }
}

// A bar for each choice, as long as its median cost.
std::string plot(const std::string &title, const std::vector<Row> &rows, u32 top)
{
    constexpr u32 BarHeight = 14;
    constexpr u32 LabelWidth = 220;
    constexpr double BarWidth = 420;
    double longest = 1;
    for (const auto &row : rows) {
        longest = std::max(longest, median(row.costs));
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(0) << "<text x=\"8\" y=\"" << top << "\" font-weight=\"bold\">" << title << "</text>\n";
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto y = top + 6 + static_cast<u32>(i) * (BarHeight + 2);
        const double width = BarWidth * median(rows[i].costs) / longest;
        out << "<text x=\"8\" y=\"" << y + BarHeight - 3 << "\">" << rows[i].choice << "</text><rect x=\"" << LabelWidth << "\" y=\"" << y
            << "\" width=\"" << width << "\" height=\"" << BarHeight << "\" fill=\"#4878a8\"/><text x=\"" << LabelWidth + width + 4
            << "\" y=\"" << y + BarHeight - 3 << "\">" << median(rows[i].costs) << "</text>\n";
    }
    return out.str();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("compares placement and import policies on the workloads of both deployments");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string plots;
    u32 top = 20;
    for (const auto &deploymentName : split(FLAGS_deployments)) {
        const auto deployment = deploymentNamed(deploymentName);
        for (const auto &faultName : split(FLAGS_faults)) {
            const auto found = std::find(FaultNames.begin(), FaultNames.end(), faultName);
            if (found == FaultNames.end()) {
                std::cerr << "no such fault: " << faultName << "\n";
                return 2;
            }
            const auto fault = static_cast<Fault>(found - FaultNames.begin());
            const auto rows = compare(deployment, fault);
            print(deploymentName, faultName, rows);
            plots += plot(deploymentName + ", fault: " + faultName + " (median weighted cost, less is better)", rows, top);
            top += static_cast<u32>(rows.size()) * 16 + 40;
        }
    }
    if (!FLAGS_svg.empty()) {
        std::ofstream(FLAGS_svg) << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"" << top
                                 << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
                                 << plots << "</svg>\n";
    }
    return 0;
}
