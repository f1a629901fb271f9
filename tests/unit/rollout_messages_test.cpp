#include <burdock/platform/http_protocol_codec.hpp>
#include <burdock/schema/rollout_news.hpp>

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <random>

using namespace burdock;
using namespace burdock::rollout;
using platform::HttpProtocolCodec;

namespace {

using namespace std::chrono_literals;

gateway::StoredObject makeObject(const std::string &spec, const std::string &status = "null")
{
    gateway::StoredObject object;
    object.name = "models";
    object.revision = 9;
    object.createdRevision = 5;
    object.spec = boost::json::parse(spec);
    object.status = boost::json::parse(status);
    return object;
}

constexpr const char *Spec = R"({"service":"models","target":"v2","durationS":12.5,"note":"later field"})";

OrderNews makeNews()
{
    OrderNews news;
    news.state = OrderState::Active;
    news.knownFor = 1500ms;
    news.word = UndecidedWord{77, 3, 900s};
    news.evidence[{11, Side::Target}] = {10, 2, 8, 3, {4, 5}};
    news.evidence[{11, Side::Others}] = {100, 1, 99, 25, {}};
    return news;
}

} // namespace

TEST_CASE("an order is read with its state")
{
    const auto fresh = HttpProtocolCodec().readRolloutOrder(makeObject(Spec));
    REQUIRE(fresh.has_value());
    CHECK(fresh->service == "models");
    CHECK(fresh->target == "v2");
    CHECK(fresh->duration == 12500ms);
    CHECK(fresh->createdRevision == 5);
    CHECK(fresh->revision == 9);
    CHECK_FALSE(fresh->state.has_value());
    const auto decided = HttpProtocolCodec().readRolloutOrder(makeObject(Spec, R"({"state":"reverted","target":"v2"})"));
    REQUIRE(decided.has_value());
    CHECK(decided->isDecided());
    const auto status = HttpProtocolCodec().rolloutStatus(OrderState::Completed, "v2");
    CHECK(boost::json::serialize(status) == R"({"state":"completed","target":"v2"})");
}

// Guards against an order that can't be understood and is followed by half.
TEST_CASE("an order that can't be understood isn't read")
{
    for (const auto *spec :
         {R"(null)", R"([])", R"({})", R"({"service":"models","target":"v2"})", R"({"service":"models","target":"","durationS":5})",
          R"({"service":"models","target":7,"durationS":5})", R"({"service":"others","target":"v2","durationS":5})",
          R"({"service":"models","target":"v2","durationS":0})", R"({"service":"models","target":"v2","durationS":-1})",
          R"({"service":"models","target":"v2","durationS":"5"})", R"({"service":"models","target":"v2","durationS":1e300})"}) {
        CAPTURE(spec);
        CHECK_FALSE(HttpProtocolCodec().readRolloutOrder(makeObject(spec)).has_value());
    }
    for (const auto *status : {R"({"state":"done","target":"v2"})", R"("active")", R"({"target":"v2"})", R"(3)"}) {
        CAPTURE(status);
        CHECK_FALSE(HttpProtocolCodec().readRolloutOrder(makeObject(Spec, status)).has_value());
    }
}

TEST_CASE("news of an order survive the way to another entry")
{
    const auto news = makeNews();
    const auto message = schema::toMessage(42, news);
    CHECK(message.order() == 42);
    const auto received = schema::toNews(message);
    REQUIRE(received.has_value());
    CHECK((received->state == news.state));
    CHECK(received->knownFor == news.knownFor);
    REQUIRE(received->word.has_value());
    CHECK(received->word->token == 3);
    CHECK(received->word->toldAt == 900s);
    CHECK((received->evidence == news.evidence));
}

TEST_CASE("news with impossible values are refused")
{
    auto message = schema::toMessage(42, makeNews());
    message.set_state(3);
    CHECK_FALSE(schema::toNews(message).has_value());
    message = schema::toMessage(42, makeNews());
    message.set_known_for_us(~u64{0});
    CHECK_FALSE(schema::toNews(message).has_value());
    message = schema::toMessage(42, makeNews());
    message.mutable_word()->set_told_at_us(~u64{0});
    CHECK_FALSE(schema::toNews(message).has_value());
    message = schema::toMessage(42, makeNews());
    for (int i = 0; i < 100; ++i) {
        message.add_counts()->set_route(static_cast<u64>(i));
    }
    CHECK_FALSE(schema::toNews(message).has_value());
}

// Guards against messages that grow with what there is to tell and no longer fit into a datagram.
TEST_CASE("news of an order are bounded in bytes")
{
    OrderNews news = makeNews();
    for (u64 route = 0; route < 200; ++route) {
        auto &counts = news.evidence[{~route, Side::Target}];
        counts = {1U << 30U, 1U << 29U, 1U << 30U, 1U << 28U, {}};
        for (u64 replica = 0; replica < 500; ++replica) {
            counts.broken.insert(~replica);
        }
    }
    const auto message = schema::toMessage(42, news);
    CHECK(message.ByteSizeLong() < 8000);
    CHECK(schema::toNews(message).has_value());
}

// Guards against a damaged message that stops a gateway or decides about a version.
TEST_CASE("damaged news are refused or have sound values")
{
    std::mt19937 random(1);
    const auto bytes = schema::toMessage(42, makeNews()).SerializeAsString();
    for (int i = 0; i < 20'000; ++i) {
        auto damaged = bytes;
        for (u32 change = 0; change <= random() % 3; ++change) {
            damaged.at(random() % damaged.size()) = static_cast<char>(random());
        }
        if (random() % 4 == 0) {
            damaged.resize(random() % damaged.size());
        }
        schema::RolloutNews message;
        if (!message.ParseFromString(damaged)) {
            continue;
        }
        const auto news = schema::toNews(message);
        if (!news) {
            continue;
        }
        EvidenceTotals totals;
        if (totals.take("gateway", 1, news->evidence)) {
            for (const auto &[cell, counts] : totals.totals()) {
                CHECK(counts.failures <= counts.answers);
            }
        }
    }
}
