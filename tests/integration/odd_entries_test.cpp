#include <support/gateway_deployment.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** @brief Entries of another writer, none of which names an endpoint that can be used. */
std::vector<std::string> oddEntries()
{
    constexpr std::size_t Levels = 100'000;
    const auto entry = [](const std::string &address, const std::string &slots, const std::string &rest) {
        return fmt::format(R"({{"service":"plain","address":{},"zone":"zone-a","version":"v1","slots":{},"state":"in_service"{}}})",
                           address, slots, rest);
    };
    const std::string address = R"("127.0.0.1:9")";
    const auto nested = std::string(Levels, '[') + std::string(Levels, ']');
    std::string nestedObjects;
    std::string ends;
    for (std::size_t i = 0; i < 1000; ++i) {
        nestedObjects += R"({"]":)";
        ends += '}';
    }
    std::vector<std::string> entries{
        nested,
        entry(address, "8", R"(,"note":)" + nested),
        entry(address, "8", R"(,"coldLeftMs":)" + nestedObjects + "1" + ends),
        entry(address, "1e99999999999", ""),
        entry(address, "4294967296", ""),
        entry(address, "18446744073709551616", ""),
        entry(address, "8", R"(,"coldLeftMs":1e400)"),
        entry(address, "8", R"(,"coldLeftMs":1e99999999999)"),
        entry(address, "8", R"(,"coldLeftMs":-1)"),
        entry(address, "8", R"(,"born":1e99999999999)"),
        entry(address, "8", R"(,"models":3)"),
        "\"\xff\xfe\"",
        "1e99999999999",
        R"({"service":"\udc80\udcfe","address":"127.0.0.1:9","zone":"zone-a","state":"in_service"})",
        entry(address, "8", R"(,"note":"\ud800")"),
        entry(address, "8", R"(,"\udfff":1)"),
        entry(address, "8", R"(,"note":"\q")"),
        entry(address, "8", ",\"note\":\"\x01\""),
    };
    for (const std::string port : {"70000", "65536", "99999999999999999999", "-1", "", "0", "80x", " 80"}) {
        entries.push_back(entry("\"127.0.0.1:" + port + "\"", "8", ""));
    }
    for (const std::string other : {R"("10.0.0.999:80")", R"("host:80")", "80", "null", R"(":80")"}) {
        entries.push_back(entry(other, "8", ""));
    }
    return entries;
}

bool isServed(GatewayDeployment &gateway)
{
    static u32 s_calls = 0;
    GatewayCall call;
    call.attempt = fmt::format("odd-{}", ++s_calls);
    call.path = "/once/" + call.attempt;
    return gateway.call(call).response.status == 200;
}

} // namespace

// Guards against an entry that ends the gateways that read it, or keeps them from following the others.
TEST_CASE("an odd entry among those of the endpoints neither ends a gateway nor keeps it from following the list")
{
    const Replica replica([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::completeResponse(request, 200, "done"));
        return ConnectionAction::Keep;
    });
    GatewayDeployment gateway;
    gateway.setUpService("plain", {&replica});
    REQUIRE(GatewayDeployment::waitFor([&gateway] { return isServed(gateway); }));
    u32 number = 0;
    for (const auto &odd : oddEntries()) {
        const auto shown = odd.substr(0, 120);
        CAPTURE(shown);
        const auto previous = fmt::format("r{}", number + 1);
        const auto next = fmt::format("r{}", number + 2);
        gateway.store().putText("servers", "odd", odd);
        gateway.registerReplica(next, "plain", replica.address());
        gateway.store().erase("servers", previous);
        const bool isFollowed = GatewayDeployment::waitFor([&gateway, &previous, &next] {
            const auto log = gateway.log();
            return log.find("\"endpoint_seen\",\"endpoint\":\"" + next + "\"") != std::string::npos
                && log.find("\"endpoint_gone\",\"endpoint\":\"" + previous + "\"") != std::string::npos;
        });
        REQUIRE(isFollowed);
        // Nothing is sent to the address of the odd entry, where nobody would answer.
        for (u32 i = 0; i < 3; ++i) {
            CHECK(isServed(gateway));
        }
        ++number;
    }
    CHECK(gateway.log().find("\"endpoint\":\"odd\",\"address\"") == std::string::npos);
    CHECK(gateway.log().find("unreachable") == std::string::npos);
    // A gateway that starts reads the entry in a list.
    for (const auto &odd : oddEntries()) {
        const auto shown = odd.substr(0, 120);
        CAPTURE(shown);
        gateway.store().putText("servers", "odd", odd);
        gateway.restart();
        gateway.awaitReady();
        CHECK(GatewayDeployment::waitFor([&gateway] { return isServed(gateway); }));
    }
}
