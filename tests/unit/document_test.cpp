#include <burdock/clients/block_store.hpp>
#include <burdock/ops/rollout.hpp>
#include <burdock/runtime/http/message.hpp>
#include <burdock/runtime/tracer.hpp>
#include <burdock/schema/change.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/snapshot.hpp>
#include <burdock/serving/entry/prompt_api.hpp>

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <regex>
#include <set>
#include <sstream>

using namespace burdock;

namespace {

const std::string GoodBundle = R"({
  "version": 3, "zones": [{"name": "a"}],
  "pools": [{"name": "p", "cold_limit": 1, "warm_limit": 4, "queue_limit": 8}],
  "models": [{"name": "m", "pool": "p", "weight_version": "v1"}],
  "policy": {"block_bytes": 8192, "bounded_load_percent": 150, "retry_budget_percent": 20, "cache_link_bytes_per_second": 1000000,
             "prefill_tokens_per_second": 20000, "concurrent_weight_loads": 2, "default_deadline_ms": 60000}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto begin = text.find(from);
    REQUIRE(begin != std::string::npos);
    return text.replace(begin, from.size(), to);
}

bool hasFaultAt(const schema::ParseResult<schema::Bundle> &checked, const std::string &path)
{
    for (const auto &fault : checked.faults) {
        if (fault.path == path) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against refusing the new owner of an API key because removing the old owner's record also removes the key's new entry.
TEST_CASE("an API key that moves from one customer to another in one change works for its new owner")
{
    schema::Bundle bundle;
    const auto add = [](schema::Bundle &to, const std::string &name, const std::string &key) {
        auto *customer = to.add_customers();
        customer->set_name(name);
        customer->set_api_key_hash(key);
    };
    add(bundle, "first", "k1");
    add(bundle, "second", "k2");
    const serving::Snapshot before(bundle);
    schema::Change change;
    add(*change.mutable_put(), "second", "k1");
    add(*change.mutable_put(), "first", "k3");
    const serving::Snapshot after(before, change);
    REQUIRE(after.customerByKeyHash("k1") != nullptr);
    CHECK(after.customerByKeyHash("k1")->name() == "second");
    REQUIRE(after.customerByKeyHash("k3") != nullptr);
    CHECK(after.customerByKeyHash("k3")->name() == "first");
    CHECK(after.customerByKeyHash("k2") == nullptr);
    CHECK(before.customerByKeyHash("k1")->name() == "first");
}

TEST_CASE("faults of all kinds are reported at once, without those that only follow from another fault")
{
    const std::string text = R"({"version": "one", "zones": [{"name": "a", "out": 1}, {"name": "a"}], "colour": "red",
        "pools": [{"name": "p", "cold_limit": 4, "warm_limit": 2}],
        "models": [{"name": 5, "pool": "p", "weight_version": "v"}, {"name": "m", "pool": "q", "weight_version": "v"}],
        "customers": [{"name": "c", "api_key_hash": "short"}],
        "policy": {"block_bytes": 8192, "bounded_load_percent": 150, "cache_link_bytes_per_second": 1, "prefill_tokens_per_second": 1,
                   "concurrent_weight_loads": 1, "default_deadline_ms": 1}})";
    const auto checked = schema::parseBundle("b", text);
    REQUIRE_FALSE(checked.document);
    std::set<std::string> paths;
    for (const auto &fault : checked.faults) {
        paths.insert(fault.path);
    }
    CHECK(paths.size() == checked.faults.size());
    const std::set<std::string> expected{
        "$.version",
        "$.zones[0].out",
        "$.zones[1].name",
        "$.colour",
        "$.pools[0].warm_limit",
        "$.models[0].name",
        "$.models[1].pool",
        "$.customers[0].api_key_hash",
        "$.policy.default_deadline_ms",
    };
    CHECK((paths == expected));
}

TEST_CASE("the change between two bundles turns the first into the second, and a signed change does not pass for a bundle")
{
    schema::Bundle before;
    before.set_version(4);
    for (const auto *name : {"a", "b", "c"}) {
        before.add_zones()->set_name(name);
        before.add_customers()->set_name(name);
        before.add_drained_endpoints(name);
    }
    before.mutable_policy()->set_block_bytes(8192);
    auto after = before;
    after.mutable_zones(1)->set_out(true);
    after.mutable_customers()->DeleteSubrange(0, 2);
    after.add_customers()->set_name("d");
    after.mutable_drained_endpoints()->DeleteSubrange(2, 1);
    after.add_models()->set_name("m");
    after.mutable_policy()->set_block_bytes(4096);
    after.set_version(5);
    auto change = schema::changeBetween(before, after);
    change.set_version(5);
    CHECK(change.put().zones_size() == 1);
    CHECK(change.put().customers_size() == 1);
    auto applied = before;
    schema::applyChange(applied, change);
    CHECK(applied.SerializeAsString() == after.SerializeAsString());
    CHECK(schema::changeBetween(after, after).ByteSizeLong() < 8);
    // The signature of a change must not be valid for a bundle with the same bytes.
    const auto key = schema::generateSigningKey();
    const std::vector<std::string> signers{key.publicKey};
    const auto signedChange = schema::sign(change, key.secretKey);
    REQUIRE(signedChange);
    CHECK(schema::hasTrustedSignature(*signedChange, signers));
    schema::SignedBundle forged;
    forged.set_document(signedChange->document());
    forged.set_signature(signedChange->signature());
    forged.set_signer(signedChange->signer());
    CHECK_FALSE(schema::hasTrustedSignature(forged, signers));
}

TEST_CASE("a valid bundle is accepted and survives a round trip through JSON")
{
    const auto checked = schema::parseBundle("b.json", GoodBundle);
    REQUIRE(checked.document.has_value());
    const auto again = schema::parseBundle("b.json", ops::toJson(*checked.document));
    REQUIRE(again.document.has_value());
    CHECK(again.document->SerializeAsString() == checked.document->SerializeAsString());
}

TEST_CASE("all faults are reported at once, each with its path")
{
    const auto wrongTypes = schema::parseBundle(
        "b.json", replaced(replaced(GoodBundle, "\"version\": 3", "\"version\": -3, \"extra\": 1"), "\"name\": \"p\"", "\"name\": 7"));
    CHECK(hasFaultAt(wrongTypes, "$.version"));
    CHECK(hasFaultAt(wrongTypes, "$.extra"));
    CHECK(hasFaultAt(wrongTypes, "$.pools[0].name"));
    CHECK(schema::toString(wrongTypes.faults.front()).starts_with("b.json: $."));

    const auto wrongValues = schema::parseBundle(
        "b.json",
        replaced(replaced(replaced(GoodBundle, "\"pool\": \"p\"", "\"pool\": \"none\""), "\"warm_limit\": 4", "\"warm_limit\": 0"),
                 "\"retry_budget_percent\": 20", "\"retry_budget_percent\": 50"));
    CHECK(hasFaultAt(wrongValues, "$.models[0].pool"));
    CHECK(hasFaultAt(wrongValues, "$.pools[0].warm_limit"));
    CHECK(hasFaultAt(wrongValues, "$.policy.retry_budget_percent"));
    CHECK_FALSE(wrongValues.document.has_value());
}

TEST_CASE("a signature is valid only for its document and signer")
{
    const auto key = schema::generateSigningKey();
    const auto other = schema::generateSigningKey();
    auto bundle = *schema::sign(GoodBundle, key.secretKey);
    const std::vector<std::string> trusted{key.publicKey};
    CHECK(schema::hasTrustedSignature(bundle, trusted));
    CHECK_FALSE(schema::hasTrustedSignature(bundle, std::vector<std::string>{other.publicKey}));
    bundle.set_document(GoodBundle + " ");
    CHECK_FALSE(schema::hasTrustedSignature(bundle, trusted));
    CHECK_FALSE(schema::sign(GoodBundle, "not a key").has_value());
}

TEST_CASE("random bytes and mutated documents are rejected or accepted, but never crash a parser")
{
    std::mt19937 random(7);
    const std::string prompt = R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":5})";
    for (u32 round = 0; round < 5000; ++round) {
        auto bundle = GoodBundle;
        auto body = prompt;
        for (u32 change = 0; change < 1 + round % 4; ++change) {
            bundle[random() % bundle.size()] = static_cast<char>(random());
            body[random() % body.size()] = static_cast<char>(random());
        }
        static_cast<void>(schema::parseBundle("b", bundle));
        static_cast<void>(schema::parseSettings("s", bundle));
        static_cast<void>(schema::parseSignedBundle("g", body));
        static_cast<void>(serving::prompt_api::parse(serving::prompt_api::ApiFormat::Chat, body));
        static_cast<void>(serving::prompt_api::parse(serving::prompt_api::ApiFormat::Completion, body));
        static_cast<void>(runtime::parseTraceparent(body));
        schema::SignedBundle signedBundle;
        static_cast<void>(signedBundle.ParseFromString(bundle));
        static_cast<void>(schema::hasTrustedSignature(signedBundle, std::vector<std::string>{"x"}));
    }
}

TEST_CASE("a block is read back only if it is complete, unaltered and read under its own key")
{
    const cache::BlockKey key{4};
    const std::string payload = "kept cache";
    const auto frame = clients::frameBlock(key, payload);
    CHECK(clients::unframeBlock(key, frame) == payload);
    CHECK_FALSE(clients::unframeBlock(cache::BlockKey{5}, frame).has_value());
    for (std::size_t i = 0; i < frame.size(); ++i) {
        CHECK_FALSE(clients::unframeBlock(key, std::string_view(frame).substr(0, i)).has_value());
        auto altered = frame;
        altered[i] = static_cast<char>(altered[i] ^ 1);
        CHECK_FALSE(clients::unframeBlock(key, altered).has_value());
    }
}

// Guards against alerts that silently never fire because a metric was renamed: every metric in the dashboard and the alerts has to be
// on the operators' page, and every metric on that page has to be named in the code.
TEST_CASE("the dashboard, the alerts and the operators' page name only existing metrics")
{
    const std::filesystem::path root(BURDOCK_SOURCES);
    const auto textOf = [](const std::filesystem::path &path) {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    };
    const std::regex name("burdock_[a-z_]+");
    const auto namesIn = [&name](const std::string &text) {
        std::set<std::string> names;
        for (std::sregex_iterator it(text.begin(), text.end(), name), end; it != end; ++it) {
            names.insert(std::regex_replace(it->str(), std::regex("_(bucket|count|sum)$"), ""));
        }
        return names;
    };
    std::string code;
    for (const auto &file : std::filesystem::recursive_directory_iterator(root / "lib")) {
        if (file.path().extension() == ".cpp") {
            code += textOf(file.path());
        }
    }
    const auto page = textOf(root / "docs" / "OPERATING.md");
    const auto documented = namesIn(page.substr(page.find("## Metrics")));
    const auto inCode = namesIn(code);
    CHECK(documented.size() > 10);
    for (const auto &metric : documented) {
        CHECK_MESSAGE(inCode.count(metric) == 1, metric);
    }
    for (const auto *file : {"alerts.yml", "dashboard.json"}) {
        for (const auto &metric : namesIn(textOf(root / "dist" / "monitoring" / file))) {
            CHECK_MESSAGE(documented.count(metric) == 1, file << ": " << metric);
        }
    }
}

TEST_CASE("a traceparent survives a round trip, and a malformed one is ignored")
{
    const runtime::SpanContext context{"4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"};
    CHECK(runtime::parseTraceparent(runtime::toTraceparent(context)).traceId == context.traceId);
    CHECK(runtime::parseTraceparent("00-xyz").traceId.empty());
    runtime::http::Request request;
    request.target = "/p?a=1&b=22";
    CHECK(std::string(request.path()) == "/p");
    CHECK(std::string(request.query("b")) == "22");
    CHECK(request.query("c").empty());
}

TEST_CASE("the shipped examples are valid")
{
    const std::filesystem::path examples(BURDOCK_EXAMPLES);
    const auto read = [](const std::filesystem::path &path) {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    };
    for (const auto *name : {"errata", "badgeworks"}) {
        const auto checked = schema::parseBundle(name, read(examples / name / "bundle.json"));
        CHECK_MESSAGE(checked.document.has_value(), (checked.faults.empty() ? "" : schema::toString(checked.faults.front())));
    }
    for (const auto *name : {"settings-entry.json", "settings-endpoint.json"}) {
        const auto checked = schema::parseSettings(name, read(examples / name));
        CHECK_MESSAGE(checked.document.has_value(), (checked.faults.empty() ? "" : schema::toString(checked.faults.front())));
    }
}
