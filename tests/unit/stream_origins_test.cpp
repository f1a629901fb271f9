#include <burdock/endpoints/software_history.hpp>
#include <burdock/membership/rendezvous.hpp>
#include <burdock/run/software_record.hpp>
#include <burdock/run/stream_origins.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time)
{
    return TimePoint(time);
}

std::vector<std::string> entryNames(u32 count)
{
    std::vector<std::string> names;
    for (u32 i = 0; i < count; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    return names;
}

} // namespace

TEST_CASE("origins of streams are remembered for a time and up to a number, and the first record of a stream counts")
{
    run::StreamOrigins origins(10s, 3);
    origins.note(1, 100, at(0s));
    origins.note(1, 200, at(1s));
    CHECK(origins.find(1) == 100);
    CHECK(origins.find(2) == std::nullopt);
    origins.note(2, 100, at(9s));
    origins.note(3, 100, at(11s));
    CHECK(origins.find(1) == std::nullopt);
    CHECK(origins.find(2) == 100);
    origins.note(4, 100, at(12s));
    origins.note(5, 100, at(12s));
    CHECK(origins.find(2) == std::nullopt);
    CHECK(origins.find(5) == 100);
}

// Guards against continuing a stream with software of which it is only likely that it began it.
TEST_CASE("a stream continues with the recorded software, or with the only one that can have begun it")
{
    run::OriginKnowledge known;
    known.isNamed = true;
    CHECK(run::softwareToContinueWith(known) == std::nullopt);
    known.haveAllAnswered = true;
    CHECK(run::softwareToContinueWith(known) == std::nullopt);
    known.soleAllAlong = 100;
    CHECK(run::softwareToContinueWith(known) == 100);
    known.haveAllAnswered = false;
    CHECK(run::softwareToContinueWith(known) == std::nullopt);
    known.recorded = 300;
    CHECK(run::softwareToContinueWith(known) == 300);
    run::OriginKnowledge unnamed;
    CHECK(run::softwareToContinueWith(unnamed) == std::nullopt);
    unnamed.soleAllAlong = 100;
    CHECK(run::softwareToContinueWith(unnamed) == 100);
}

// Guards against taking a version for the only one although another one served until a moment ago.
TEST_CASE("the software of a service is the only one once no endpoint has had another for the given time")
{
    endpoints::SoftwareHistory history;
    CHECK(history.sole("s", at(0s)) == std::nullopt);
    history.set("a", "s", 100, at(0s));
    history.set("b", "s", 100, at(0s));
    history.set("c", "other", 300, at(0s));
    CHECK(history.sole("s", at(0s)) == 100);
    history.set("b", "s", 200, at(5s));
    CHECK(history.sole("s", at(5s)) == std::nullopt);
    history.remove("a", at(7s));
    CHECK(history.sole("s", at(7s)) == std::nullopt);
    CHECK(history.sole("s", at(7s) + 1us) == 200);
    history.remove("a", at(9s));
    CHECK(history.sole("s", at(8s)) == 200);
    history.remove("b", at(10s));
    CHECK(history.sole("s", at(11s)) == std::nullopt);
}

// Guards against asking other entries than those that were told, because the lists of entries differ by one that joins or leaves.
TEST_CASE("entries whose lists differ by one name agree on all responsible entries but one")
{
    constexpr std::size_t Responsible = 3;
    std::map<std::string, u32> shares;
    for (const u32 count : {4, 68, 300}) {
        const auto names = entryNames(count);
        for (u64 key = 1; key <= 200; ++key) {
            const auto all = membership::responsibleMembers(key, names, Responsible);
            REQUIRE(all.size() == Responsible);
            auto fewer = names;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(key % count));
            const auto without = membership::responsibleMembers(key, fewer, Responsible);
            const std::set<std::string> known(all.begin(), all.end());
            const auto common = std::count_if(without.begin(), without.end(), [&](const auto &name) { return known.count(name) > 0; });
            CHECK(common >= 2);
            shares[all.front()] += count == 4 ? 1 : 0;
        }
    }
    for (const auto &name : entryNames(4)) {
        CHECK(shares[name] > 20);
    }
    CHECK(membership::responsibleMembers(1, {}, Responsible).empty());
    CHECK(membership::responsibleMembers(1, entryNames(2), Responsible).size() == 2);
}

// Guards against a version that is forgotten while streams that began with it can still be taken up, or of which only one entry knows.
TEST_CASE("software is recorded before it is used, and removed once no endpoint has had it for as long as a stream can be old")
{
    constexpr Duration Retention = 10s;
    run::SoftwareRecord record;
    CHECK(record.next({100}, std::nullopt, Retention, at(0s)) == run::SoftwareSet{100});
    record.noteStored({100}, 5, at(0s));
    CHECK_FALSE(record.next({100}, std::nullopt, Retention, at(60s)));
    CHECK(record.next({200}, std::nullopt, Retention, at(60s)) == run::SoftwareSet{100, 200});
    record.noteStored({100, 200}, 6, at(60s));
    CHECK_FALSE(record.next({200}, run::SoftwareSet{100, 200}, Retention, at(80s)));
    CHECK(record.next({200}, run::SoftwareSet{200}, Retention, at(80s)) == run::SoftwareSet{200});
    // Another entry has just recorded 300, of which this one hasn't heard otherwise.
    record.noteStored({100, 200, 300}, 7, at(80s));
    CHECK_FALSE(record.next({200}, run::SoftwareSet{200}, Retention, at(89s)));
    CHECK(record.next({200, 300}, run::SoftwareSet{200, 300}, Retention, at(90s)) == run::SoftwareSet{200, 300});
    // Read again unchanged, the record is as old as before.
    record.noteStored({100, 200, 300}, 7, at(95s));
    CHECK(record.next({}, run::SoftwareSet{}, Retention, at(95s)) == run::SoftwareSet{});
}

// Guards against software that came and went between two reads of the list.
TEST_CASE("software that was only seen counts as gone at that time")
{
    endpoints::SoftwareHistory history;
    history.set("a", "s", 100, at(0s));
    history.noteSeen("s", 200, at(5s));
    CHECK(history.registered("s") == std::set<u64>{100});
    CHECK(history.softwareSince("s", at(5s)) == std::set<u64>{100, 200});
    CHECK(history.softwareSince("s", at(6s)) == std::set<u64>{100});
    CHECK(history.sole("s", at(5s)) == std::nullopt);
    CHECK(history.registered("other").empty());
}
