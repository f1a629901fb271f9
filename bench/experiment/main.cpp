#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_uint32(seeds, 5, "number of seeds to run, starting at 1");
DEFINE_double(minutes, 60, "simulated minutes");
DEFINE_string(deployments, "errata,badgeworks", "deployments");
DEFINE_string(faults, "none,zone,store,cold", "faults");
DEFINE_string(svg, "", "SVG file to write a bar chart of the weighted costs to");

namespace {

using namespace experiment;

constexpr std::array<std::string_view, 4> FaultNames{"none", "zone", "store", "cold"};

/** @brief Results of one policy choice, one value per seed. */
struct ResultRow
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

std::vector<PolicyChoice> choicesFor(Fault fault)
{
    std::vector<PolicyChoice> choices;
    for (const auto placement : placement::policyNames()) {
        for (const auto *import : {"never", "always", "by-cost"}) {
            choices.push_back({std::string(placement), import, true});
        }
    }
    if (fault == Fault::HalfRestarted) {
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

void addRun(ResultRow &row, const Deployment &deployment, Fault fault, const RunMetrics &metrics)
{
    constexpr double Gibibyte = 1024.0 * 1024.0 * 1024.0;
    const auto &latencies = fault == Fault::None ? metrics.firstTokenMs : metrics.firstTokenMsDuringFault;
    const auto requestCount = static_cast<double>(std::max<u64>(1, fault == Fault::None ? metrics.requests : metrics.requestsDuringFault));
    const auto within
        = std::count_if(latencies.begin(), latencies.end(), [&](double ms) { return ms <= deployment.firstTokenObjectiveMs; });
    row.costs.push_back(metrics.cost(deployment.weights));
    row.p50.push_back(quantile(metrics.firstTokenMs, 0.5));
    row.p95.push_back(quantile(metrics.firstTokenMs, 0.95));
    row.p99.push_back(quantile(metrics.firstTokenMs, 0.99));
    row.recomputed.push_back(static_cast<double>(metrics.recomputedTokens) / static_cast<double>(std::max<u64>(1, metrics.promptTokens)));
    row.linkGib.push_back(static_cast<double>(metrics.linkBytes) / Gibibyte);
    row.refused.push_back(static_cast<double>(metrics.refused + metrics.lost));
    row.withinObjective.push_back(static_cast<double>(within) / requestCount);
}

std::vector<ResultRow> comparePolicies(const Deployment &deployment, Fault fault)
{
    const auto choices = choicesFor(fault);
    std::vector<ResultRow> rows(choices.size());
    std::vector<std::thread> threads;
    const std::size_t threadCount = 4;
    for (std::size_t firstIndex = 0; firstIndex < threadCount; ++firstIndex) {
        threads.emplace_back([&, firstIndex] {
            for (std::size_t i = firstIndex; i < choices.size(); i += threadCount) {
                rows[i].choice = choices[i].name();
                for (u64 seed = 1; seed <= FLAGS_seeds; ++seed) {
                    addRun(rows[i], deployment, fault, Simulation(deployment, choices[i], fault, seed).run(FLAGS_minutes));
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return rows;
}

void printTable(const std::string &deployment, std::string_view fault, const std::vector<ResultRow> &rows)
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

// Returns SVG elements with one bar for each policy choice; its length is the median cost.
std::string renderBarChart(const std::string &title, const std::vector<ResultRow> &rows, u32 top)
{
    constexpr u32 BarHeight = 14;
    constexpr u32 LabelWidth = 220;
    constexpr double BarWidth = 420;
    double maxCost = 1;
    for (const auto &row : rows) {
        maxCost = std::max(maxCost, median(row.costs));
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(0) << "<text x=\"8\" y=\"" << top << "\" font-weight=\"bold\">" << title << "</text>\n";
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto y = top + 6 + static_cast<u32>(i) * (BarHeight + 2);
        const double width = BarWidth * median(rows[i].costs) / maxCost;
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
        const auto deployment = createDeployment(deploymentName);
        for (const auto &faultName : split(FLAGS_faults)) {
            const auto found = std::find(FaultNames.begin(), FaultNames.end(), faultName);
            if (found == FaultNames.end()) {
                std::cerr << "unknown fault: " << faultName << "\n";
                return 2;
            }
            const auto fault = static_cast<Fault>(found - FaultNames.begin());
            const auto rows = comparePolicies(deployment, fault);
            printTable(deploymentName, faultName, rows);
            plots += renderBarChart(deploymentName + ", fault: " + faultName + " (median weighted cost, less is better)", rows, top);
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
