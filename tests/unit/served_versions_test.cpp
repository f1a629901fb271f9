#include <burdock/cache/part_retirement.hpp>
#include <burdock/endpoints/peer_loads.hpp>
#include <burdock/weights/kept_promise.hpp>
#include <burdock/weights/served_versions.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <random>

using namespace burdock;
using namespace burdock::weights;
using namespace std::chrono_literals;

namespace {

constexpr const char *Model = "m";
constexpr Duration Step = 50ms;
constexpr u64 OldVersion = 1;
constexpr u64 NewVersion = 2;

/** @brief Entries that promise which versions they use, and one that frees, with late and lost reports. */
class Fleet
{
public:
    Fleet(std::size_t entries, double lostShare, u32 seed)
        : m_served(entries)
        , m_suspendedUntil(entries)
        , m_peers(1500ms)
        , m_lostShare(lostShare)
        , m_random(seed)
        , m_boots(entries, 1)
    {
        for (std::size_t i = 1; i < entries; ++i) {
            m_others.push_back("entry-" + std::to_string(i));
        }
    }

    void run(const std::vector<TimePoint> &engineChanges, std::optional<TimePoint> oldEngineReturns, Duration length)
    {
        for (TimePoint now{}; now < TimePoint(length); now += Step) {
            const auto oldEngines = std::count_if(engineChanges.begin(), engineChanges.end(), [now](TimePoint at) { return at > now; });
            const bool isOldServed = oldEngines > 0 || (oldEngineReturns && now >= *oldEngineReturns);
            for (std::size_t i = 0; i < m_served.size(); ++i) {
                step(i, isOldServed, now);
            }
            m_peers.expire(now);
            if (!m_freed && isFreed(now)) {
                m_freed = now;
            }
        }
    }

    /** @brief When parts of the old version were freed; nothing if they weren't. */
    [[nodiscard]] std::optional<TimePoint> freed() const
    {
        return m_freed;
    }

    /** @brief When an entry last requested a fetch of such a part, also after they were freed. */
    [[nodiscard]] TimePoint lastFetch() const
    {
        return m_lastFetch;
    }

private:
    void step(std::size_t index, bool isOldServed, TimePoint now)
    {
        if (chance(m_lostShare * 0.01)) {
            m_suspendedUntil[index] = now + 2s;
        }
        if (now < m_suspendedUntil[index]) {
            return;
        }
        auto &served = m_served[index];
        if (index > 0 && chance(m_lostShare * 0.005)) {
            // A restarted entry knows nothing of before, but hears the promises of others before it may fetch.
            served = {};
            ++m_boots[index];
            served.notePromise(Model, m_served[0].promises().empty() ? 0 : m_served[0].promises().at(Model));
        }
        // Each entry learns of changes at endpoints late, by up to a second.
        const bool seesOld = isOldServed || chance(0.05);
        served.noteLowestServed(Model, seesOld ? OldVersion : NewVersion);
        if (isOldServed && served.mayFetch(Model, OldVersion)) {
            m_lastFetch = now;
        }
        if (index == 0 || chance(m_lostShare)) {
            return;
        }
        endpoints::PeerLoads::Report report;
        report.bootId = m_boots[index];
        report.sequence = ++m_sequence;
        report.lowestVersions = served.promises();
        m_peers.apply(m_others[index - 1], std::move(report), now);
    }

    [[nodiscard]] bool isFreed(TimePoint now)
    {
        const auto &own = m_served[0].promises();
        const auto promised = std::min(own.empty() ? 0 : own.at(Model), m_peers.lowestVersionInUse(m_others, Model));
        m_promise.note(promised, m_peers.generation(), now);
        return promised > OldVersion && m_retirement.mayFreeUnused(m_promise.since(), now);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    std::vector<ServedVersions> m_served;
    std::vector<TimePoint> m_suspendedUntil;
    std::vector<std::string> m_others;
    endpoints::PeerLoads m_peers;
    cache::PartRetirement m_retirement{cache::RetirementPolicy{}};
    double m_lostShare;
    std::mt19937 m_random;
    std::vector<u64> m_boots; ///< of each entry
    u64 m_sequence = 0;
    KeptPromise m_promise;
    std::optional<TimePoint> m_freed;
    TimePoint m_lastFetch{};
};

std::vector<TimePoint> rollout(u32 engines)
{
    std::vector<TimePoint> changes;
    for (u32 i = 0; i < engines; ++i) {
        changes.push_back(TimePoint(Duration(150ms) * i));
    }
    return changes;
}

} // namespace

TEST_CASE("an entry keeps to its own promise and to those of others")
{
    ServedVersions served;
    CHECK(served.mayFetch(Model, 1));
    served.noteLowestServed(Model, 2);
    CHECK_FALSE(served.mayFetch(Model, 1));
    CHECK(served.mayFetch(Model, 2));
    served.noteLowestServed(Model, 1);
    CHECK_FALSE(served.mayFetch(Model, 1));
    served.notePromise(Model, 3);
    CHECK_FALSE(served.mayFetch(Model, 2));
    CHECK(served.mayFetch("other", 1));
    CHECK(served.promises() == ServedVersions::VersionsByModel{{Model, 2}});
}

TEST_CASE("parts of older weights are freed soon after the last of 50 engines has loaded newer ones")
{
    for (const std::size_t entries : {1, 4, 11, 31, 68, 300}) {
        CAPTURE(entries);
        Fleet fleet(entries, 0, 1);
        fleet.run(rollout(50), std::nullopt, 30s);
        REQUIRE(fleet.freed());
        CHECK(*fleet.freed() < TimePoint(150ms * 50) + 5s);
    }
}

// Guards against a prompt that runs on reused memory because its part was freed in the store during the fetch, while reports are lost,
// entries are suspended, and an engine returns with the older weights.
TEST_CASE("no part of older weights is freed while an entry may still have it fetched")
{
    const cache::RetirementPolicy policy;
    u32 freedFleets = 0;
    for (u32 seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed % 2 == 0 ? 11 : 31, 0.3, seed);
        const auto returns = TimePoint(Duration(7500ms) + Duration(100ms) * seed);
        fleet.run(rollout(50), returns, 40s);
        freedFleets += fleet.freed() ? 1 : 0;
        CHECK((!fleet.freed() || *fleet.freed() >= fleet.lastFetch() + policy.maxFetchTime));
    }
    CHECK(freedFleets > 0);
}

TEST_CASE("a promise counts anew after an entry has restarted, and after a pause between the checks")
{
    KeptPromise promise;
    promise.note(2, 7, TimePoint(1s));
    promise.note(2, 7, TimePoint(1500ms));
    CHECK(promise.since() == TimePoint(1s));
    promise.note(2, 8, TimePoint(2s));
    CHECK(promise.since() == TimePoint(2s));
    promise.note(2, 8, TimePoint(4s));
    CHECK(promise.since() == TimePoint(4s));
    promise.note(0, 8, TimePoint(4500ms));
    CHECK_FALSE(promise.since());
}

// Guards against parts that are freed while an entry that wasn't heard from still has them fetched.
TEST_CASE("nothing is freed by the promises of entries while one isn't heard from")
{
    endpoints::PeerLoads peers(1500ms);
    endpoints::PeerLoads::Report report;
    report.bootId = 1;
    report.sequence = 1;
    report.lowestVersions = {{Model, 2}};
    peers.apply("a", report, TimePoint(1s));
    CHECK(peers.lowestVersionInUse({"a"}, Model) == 2);
    CHECK(peers.lowestVersionInUse({"a", "b"}, Model) == 0);
    report.lowestVersions.clear();
    peers.apply("b", report, TimePoint(1s));
    CHECK(peers.lowestVersionInUse({"a", "b"}, Model) == 0);
}
