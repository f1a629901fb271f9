#include <burdock/schema/document.hpp>

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace burdock;

namespace {

const std::filesystem::path Root(BURDOCK_SOURCES);

std::string readText(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string gatewaySources()
{
    std::string code;
    for (const auto *folder : {"lib/libburdock-gateway/source", "lib/libburdock-runtime/source", "platform/source"}) {
        for (const auto &file : std::filesystem::directory_iterator(Root / folder)) {
            if (file.path().extension() == ".cpp") {
                code += readText(file.path());
            }
        }
    }
    return code + readText(Root / "main/daemon/source/run_gateway.cpp");
}

std::set<std::string> matches(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        for (std::size_t group = 1; group < it->size(); ++group) {
            if ((*it)[group].matched) {
                found.insert((*it)[group].str());
            }
        }
    }
    return found;
}

std::string section(const std::string &page, const std::string &heading)
{
    const auto begin = page.find("## " + heading);
    return page.substr(begin, page.find("\n## ", begin + 1) - begin);
}

} // namespace

// Guards against an event that is renamed only in the code: operators who search the logs for the documented name find nothing and
// conclude that the event did not occur.
TEST_CASE("the operations page of the gateway lists exactly the events that the code writes")
{
    const std::regex eventPattern(R"re((?:event|write)\(\s*(?:runtime::)?LogLevel::\w+,\s*(?:\w+ \? )?"([a-z_]+)"(?: : "([a-z_]+)")?)re");
    auto code = matches(gatewaySources(), eventPattern);
    code.insert("log_dropped"); // written by the log sink itself
    const auto logs = section(readText(Root / "docs/OPERATIONS.md"), "Logs");
    for (const auto &event : code) {
        CHECK_MESSAGE(logs.find("`" + event + "`") != std::string::npos, event << " is not on the page");
    }
    CHECK(code.size() > 30);
    std::set<std::string> listed;
    for (const auto &row : matches(logs, std::regex(R"re(\n\| (`[^|]+`) \|)re"))) {
        listed.merge(matches(row, std::regex("`([a-z_]+)`")));
    }
    CHECK(listed.size() > 30);
    for (const auto &event : listed) {
        CHECK_MESSAGE(code.count(event) == 1, event << " is not in the code");
    }
}

TEST_CASE("the operations page of the gateway lists exactly the metrics of the code")
{
    const auto listed = matches(section(readText(Root / "docs/OPERATIONS.md"), "Metrics"), std::regex("(burdock_[a-z_]+)"));
    const auto counted = matches(gatewaySources(), std::regex("\"(burdock_[a-z_]+)\""));
    CHECK(listed.size() > 10);
    for (const auto &metric : listed) {
        CHECK_MESSAGE(counted.count(metric) == 1, metric << " is not in the code");
    }
    for (const auto &metric : counted) {
        CHECK_MESSAGE(listed.count(metric) == 1, metric << " is not on the page");
    }
}

// Guards against a refusal reason that is renamed only in the code, so that it can't be looked up on the page.
TEST_CASE("the operations page of the gateway lists exactly the refusal reasons of the code")
{
    auto code = matches(gatewaySources(), std::regex(R"re(\{\d{3}, (?:\w+ \? )?"([a-z_]+)"(?: : "([a-z_]+)")?)re"));
    const auto selectionFailures = matches(readText(Root / "lib/libburdock/source/endpoints/endpoint_table.cpp"),
                                           std::regex(R"re(NoChoiceNames\{"none", "(\w+)", "(\w+)", "(\w+)", "(\w+)", "(\w+)"\})re"));
    CHECK(selectionFailures.size() == 5);
    code.insert(selectionFailures.begin(), selectionFailures.end());
    const auto logs = section(readText(Root / "docs/OPERATIONS.md"), "Logs");
    const auto begin = logs.find("`reason` of `refused`:");
    REQUIRE(begin != std::string::npos);
    const auto reasons = logs.substr(begin, logs.find("All 503 mean", begin) - begin);
    auto listed = matches(reasons, std::regex("`([a-z_]+)`"));
    listed.erase("reason");
    listed.erase("refused");
    CHECK(code.size() > 15);
    CHECK(listed == code);
}

TEST_CASE("gateway settings are validated and all faults are reported")
{
    const auto validSettings = readText(Root / "dist/examples/settings-gateway.json");
    CHECK(schema::parseGatewaySettings("example", validSettings).document.has_value());
    const auto result = schema::parseGatewaySettings("bad", R"({"name":"","zone":"z","callers_listen":"nowhere","grace_seconds":0})");
    CHECK_FALSE(result.document.has_value());
    std::set<std::string> paths;
    for (const auto &fault : result.faults) {
        paths.insert(fault.path);
    }
    for (const auto *path : {"$.name", "$.callers_listen", "$.grace_seconds", "$.platform", "$.weights_ms"}) {
        CHECK_MESSAGE(paths.count(path) == 1, path);
    }
    CHECK_FALSE(schema::parseGatewaySettings("bad", R"({"unknown":1})").document.has_value());
}
