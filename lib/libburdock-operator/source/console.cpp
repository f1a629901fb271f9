#include "console.hpp"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace burdock::ops::detail {

namespace {

constexpr Duration PlatformTimeout = std::chrono::seconds(2);

} // namespace

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool writeFile(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary);
    file << content;
    file.close();
    return !file.fail();
}

ExitCode fail(ExitCode code, const std::string &message)
{
    std::cerr << "burdockpaddle: " << message << "\n";
    return code;
}

void printTable(const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows, const Options &options)
{
    if (options.isJson) {
        boost::json::array out;
        for (const auto &row : rows) {
            boost::json::object object;
            for (std::size_t i = 0; i < heading.size(); ++i) {
                object[heading[i]] = row[i];
            }
            out.push_back(std::move(object));
        }
        std::cout << boost::json::serialize(out) << "\n";
        return;
    }
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < heading.size(); ++i) {
        std::size_t width = heading[i].size();
        for (const auto &row : rows) {
            width = std::max(width, row[i].size());
        }
        widths.push_back(width);
    }
    const auto print = [&widths](const std::vector<std::string> &row) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
        }
        std::cout << "\n";
    };
    print(heading);
    std::for_each(rows.begin(), rows.end(), print);
}

PlatformClient::PlatformClient(const Options &options)
    : m_store(runtime::http::parseAddress(options.platform), PlatformTimeout)
    , m_pool(1)
{
}

clients::ObjectStore &PlatformClient::store()
{
    return m_store;
}

ExitCode reportRollout(PlatformClient &client, const RolloutResult &result, const Options &options)
{
    if (result.code != ExitCode::Ok) {
        return fail(result.code, result.detail);
    }
    const auto outdated = client.wait(waitForVersion(client.store(), result.version, std::chrono::milliseconds(options.rolloutTimeoutMs)));
    if (outdated.empty()) {
        printTable({"version", "state"}, {{std::to_string(result.version), "in force everywhere"}}, options);
        return ExitCode::Ok;
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto &status : outdated) {
        rows.push_back({status.vm.name, status.isReachable ? std::to_string(status.number("config_version")) : "unreachable"});
    }
    printTable({"behind", "version"}, rows, options);
    return fail(ExitCode::PartiallyApplied,
                "version " + std::to_string(result.version) + " is accepted, but not yet applied by all processes");
}

} // namespace burdock::ops::detail
