#include <burdock/endpoints/peer_loads.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using endpoints::Load;
using endpoints::PeerLoads;

namespace {

constexpr u64 Endpoint = 7;
constexpr TimePoint Now(std::chrono::hours(1));

void report(PeerLoads &peers, const std::string &entry)
{
    PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.loads[Endpoint] = Load{1, 0, 0};
    peers.apply(entry, report, Now);
}

} // namespace

// Guards against tables that whoever reaches the port fills with entries that don't exist.
TEST_CASE("few unlisted entries are heard, and all that are listed")
{
    constexpr u32 Strangers = 1000;
    constexpr std::size_t MaxHeard = 100;
    PeerLoads peers(std::chrono::seconds(1));
    peers.setListed({"a", "b"});
    report(peers, "just-started");
    for (u32 i = 0; i < Strangers; ++i) {
        report(peers, "stranger-" + std::to_string(i));
    }
    report(peers, "a");
    report(peers, "b");
    CHECK(peers.peerCount() <= MaxHeard);
    CHECK(peers.at(Endpoint).running == peers.peerCount());
    CHECK(peers.peerCount() > 3);
    // The strangers' reports expire together.
    peers.expire(Now + std::chrono::seconds(1));
    report(peers, "b");
    CHECK(peers.peerCount() == 1);
}
