#include "bundle_commands.hpp"
#include "console.hpp"

#include <burdock/ops/explain.hpp>
#include <burdock/schema/document.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace burdock::ops::detail {

namespace {

using Arguments = std::vector<std::string>;

ExitCode checkGatewaySettings(const Arguments &arguments, const Options & /*options*/)
{
    const auto text = readFile(arguments[0]);
    if (!text) {
        return fail(ExitCode::BadInput, arguments[0] + " can't be read");
    }
    const auto parsed = schema::parseGatewaySettings(arguments[0], *text);
    for (const auto &fault : parsed.faults) {
        std::cerr << schema::toString(fault) << "\n";
    }
    if (!parsed.document) {
        return ExitCode::BadInput;
    }
    std::cout << arguments[0] << ": settings of gateway " << parsed.document->name() << " are well formed\n";
    return ExitCode::Ok;
}

// Reads a file, or all files of a directory.
std::optional<std::string> readLogs(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
        return readFile(path);
    }
    std::string all;
    for (const auto &entry : std::filesystem::directory_iterator(path, error)) {
        all += readFile(entry.path().string()).value_or("");
        all += "\n";
    }
    return error ? std::nullopt : std::optional(all);
}

ExitCode explain(const Arguments &arguments, const Options &options)
{
    const auto text = readLogs(arguments[1]);
    if (!text) {
        return fail(ExitCode::BadInput, arguments[1] + " can't be read");
    }
    std::istringstream logs(*text);
    const auto timeline = explainRequest(arguments[0], logs);
    if (timeline.empty()) {
        return fail(ExitCode::BadInput, "no events of request " + arguments[0] + " in " + arguments[1]);
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto &line : timeline) {
        rows.push_back({std::to_string(line.unixMs), line.vm, line.isContext ? "around" : "request", line.event, line.details});
    }
    printTable({"unix_ms", "vm", "of", "event", "details"}, rows, options);
    return ExitCode::Ok;
}

} // namespace

void addGatewayCommands(std::vector<std::unique_ptr<Command>> &commands)
{
    const auto add = commandAdder(commands);
    add({"gateway check", "gateway check SETTINGS", "Checks the settings file of a gateway and names all its faults.",
         "gateway check gateway.json"},
        1, checkGatewaySettings);
    add({"explain", "explain REQUEST-ID LOG",
         "Tells the story of one request from processes' logs, in order of time; LOG is a file, or a folder of files.",
         "explain 9c41d07be2a35f68 logs/"},
        2, explain);
}

} // namespace burdock::ops::detail
