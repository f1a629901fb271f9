#include <read_json.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace burdock;
using platform::detail::readJsonObject;
using platform::detail::withoutUnreadableValues;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

// Guards against one value that hides all others of the same text.
TEST_CASE("values that can't be read are read as null, and all others as they are")
{
    for (const std::string &odd : {nested(33), nested(100'000), std::string("1e99999999999"), std::string("-1e-99999999999"),
                                   std::string("1.2.3"), std::string("+5"), std::string(R"("\ud800")"), std::string(R"("\udc80\udcfe")"),
                                   std::string(R"("\q")"), std::string(R"("x\u12")"), std::string("\"\x01\"")}) {
        const auto shown = odd.substr(0, 40);
        CAPTURE(shown);
        const auto object = readJsonObject(R"({"a":{"b":[1,-2.5e3,true,"x]}\"\\"]},"odd":)" + odd + R"(,"last":{"c":false}})");
        REQUIRE(object);
        CHECK(boost::json::serialize(object->at("a")) == R"({"b":[1,-2.5E3,true,"x]}\"\\"]})");
        CHECK((odd.front() == '[' || object->at("odd").is_null()));
        const auto stored = readJsonObject(R"({"items":[{"name":"x","spec":{"a":1,"odd":)" + odd + R"(}},{"spec":{"a":2}}]})");
        REQUIRE(stored);
        CHECK(boost::json::serialize(stored->at("items")) == R"([{"name":"x","spec":null},{"spec":{"a":2}}])");
        CHECK(boost::json::serialize(object->at("last")) == R"({"c":false})");
    }
    const auto bytes = readJsonObject("{\"odd\":\"\xff\",\"last\":1}");
    REQUIRE(bytes);
    CHECK(bytes->at("last") == 1);
}

TEST_CASE("a text that isn't a JSON object as a whole is not read")
{
    for (const std::string text :
         {"", "[1]", "{", "{\"a\":1", "{\"a\" 1}", "{\"a\":1}}", "{\"a\":1e99999999999", "\"", "{\"a\":\"\\", "]]]"}) {
        CAPTURE(text);
        CHECK_FALSE(readJsonObject(text));
    }
}

TEST_CASE("text without unreadable values stays as it is")
{
    for (const std::string &text :
         {std::string(R"({"a":[1,2.5,-3e-7,true,false,null,"e1.5","\"[{"]})"), std::string(" { } "), nested(32)}) {
        CAPTURE(text);
        CHECK(withoutUnreadableValues(text) == text);
    }
}
