#include <burdock/schema/document.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace burdock;

namespace {

namespace json = boost::json;

json::object exampleSettings()
{
    std::ostringstream text;
    text << std::ifstream(std::string(BURDOCK_EXAMPLES) + "/settings-gateway.json").rdbuf();
    return json::parse(text.str()).as_object();
}

schema::ParseResult<schema::GatewaySettings> parseWith(const std::string &key, const json::value &value)
{
    auto settings = exampleSettings();
    settings[key] = value;
    return schema::parseGatewaySettings("settings.json", json::serialize(settings));
}

const std::vector<std::string> Limits{"grace_seconds",  "revocation_ms", "retry_share", "retry_slack", "weights_ms",
                                      "order_pause_ms", "cold_factor",   "cold_slack",  "descriptors", "memory_mb"};

} // namespace

// Guards against a gateway that doesn't start because the platform gives a limit as a fraction.
TEST_CASE("limits of a gateway may be whole numbers or fractions")
{
    for (const auto &key : Limits) {
        CAPTURE(key);
        const double whole = exampleSettings().at(key).to_number<double>();
        CHECK(parseWith(key, whole).document);
        CHECK(parseWith(key, whole + 0.25).document);
        CHECK(parseWith(key, static_cast<i64>(whole) + 1).document);
    }
    const auto parsed = parseWith("retry_slack", 38.26);
    REQUIRE(parsed.document);
    CHECK(parsed.document->retry_slack() == doctest::Approx(38.26));
}

// Guards against limits that the checks let through now that they may be fractions.
TEST_CASE("limits of a gateway that are no number, negative or out of range are refused with the key's name")
{
    const std::vector<json::value> bad{"5000", true, nullptr, json::array{5000}, -1, -0.5, 1e12};
    for (const auto &key : Limits) {
        for (const auto &value : bad) {
            CAPTURE(key);
            CAPTURE(json::serialize(value));
            const auto parsed = parseWith(key, value);
            CHECK_FALSE(parsed.document);
            REQUIRE(parsed.faults.size() == 1);
            CHECK(parsed.faults[0].path == "$." + key);
        }
    }
}

// Guards against a gateway that doesn't start, or follows orders by a senseless share, where the platform gives the settings of roll-outs.
TEST_CASE("the settings of roll-outs are optional, and the share is checked")
{
    const auto without = schema::parseGatewaySettings("settings.json", json::serialize(exampleSettings()));
    REQUIRE(without.document);
    CHECK(without.document->contracts().empty());
    CHECK(parseWith("contracts", json::array{}).document);
    CHECK(parseWith("contracts", json::array{"base", "rollout", "unknown"}).document);
    CHECK(parseWith("expose_share", json::array{}).document);
    CHECK(parseWith("expose_share", json::array{0.1}).document);
    CHECK_FALSE(parseWith("expose_share", json::array{1.5}).document);
    CHECK_FALSE(parseWith("expose_share", json::array{-0.1}).document);
    CHECK_FALSE(parseWith("expose_share", json::array{0.1, 0.2}).document);
}
