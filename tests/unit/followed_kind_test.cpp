#include <burdock/reading/followed_kind.hpp>
#include <burdock/reading/reading_duty.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace burdock;
using namespace burdock::reading;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time)
{
    return TimePoint(time);
}

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back("entry-" + std::to_string(i));
    }
    return all;
}

} // namespace

TEST_CASE("changes that another entry tells continue what is known, or show that something in between is missing")
{
    FollowedKind kind;
    CHECK(kind.noteChanges(1, 2) == Continuity::Gap);
    kind.noteListed(10, at(1s));
    CHECK_FALSE(kind.isBehind());
    CHECK(kind.noteChanges(10, 12) == Continuity::New);
    CHECK(kind.noteChanges(8, 12) == Continuity::Known);
    CHECK(kind.noteChanges(9, 13) == Continuity::New);
    CHECK(kind.noteChanges(14, 15) == Continuity::Gap);
    CHECK(kind.isBehind());
    CHECK(kind.revision() == 13);
    CHECK(kind.noteChanges(13, 15) == Continuity::New);
    CHECK_FALSE(kind.isBehind());
}

// Guards against keys that count as confirmed by an answer that was late, or came from an entry that was suspended.
TEST_CASE("an age that another entry tells counts from the question")
{
    FollowedKind kind;
    kind.noteListed(10, at(1s));
    CHECK(kind.noteConfirmation({5, 10, 20, 400ms}, at(2s)) == at(1600ms));
    CHECK(kind.revision() == 20);
    CHECK(kind.asOf() == at(1600ms));
    CHECK_FALSE(kind.noteConfirmation({5, 10, 20, 1s}, at(2s)));
    CHECK(kind.asOf() == at(1600ms));
}

// Guards against keys that count as confirmed although the change that revoked one was lost on the way.
TEST_CASE("an entry that misses a change isn't confirmed by one that knows it")
{
    FollowedKind kind;
    kind.noteListed(10, at(1s));
    CHECK_FALSE(kind.noteConfirmation({5, 15, 20, 0ms}, at(2s)));
    CHECK(kind.isBehind());
    CHECK(kind.asOf() == at(1s));
    CHECK(kind.noteChanges(10, 20) == Continuity::New);
    CHECK(kind.noteConfirmation({5, 15, 20, 0ms}, at(2s)) == at(2s));
}

// Guards against entries that believe one which listed the objects later and doesn't know what was removed before.
TEST_CASE("an entry that has listed later confirms nothing, and is no reason to read at once")
{
    FollowedKind kind;
    kind.noteListed(10, at(1s));
    CHECK_FALSE(kind.noteConfirmation({11, 0, 20, 0ms}, at(2s)));
    CHECK_FALSE(kind.isBehind());
    kind.noteUnchanged(12);
    CHECK(kind.noteConfirmation({11, 0, 20, 0ms}, at(2s)) == at(2s));
}

// Guards against an entry that goes back to an older state, but still says that it is as current as before.
TEST_CASE("a list that is older than what was known makes all that is known as old as the list")
{
    FollowedKind kind;
    kind.noteListed(10, at(1s));
    CHECK(kind.noteChanges(10, 12) == Continuity::New);
    CHECK(kind.noteConfirmation({5, 12, 13, 0ms}, at(3s)) == at(3s));
    kind.noteListed(11, at(2s));
    CHECK(kind.revision() == 11);
    CHECK(kind.asOf() == at(2s));
}

TEST_CASE("changes continue what is known since the last change, however far other kinds of objects have moved the revision")
{
    FollowedKind reader;
    reader.noteListed(10, at(1s));
    reader.noteUnchanged(45);
    CHECK(reader.unchangedSince() == 10);
    CHECK(reader.noteChanges(45, 50) == Continuity::New);
    CHECK(reader.unchangedSince() == 50);
}

TEST_CASE("a list ends what others told of changes that the store doesn't have")
{
    FollowedKind kind;
    kind.noteListed(10, at(1s));
    kind.noteToldOf(~u64{0});
    CHECK(kind.isBehind());
    kind.noteListed(11, at(2s));
    CHECK_FALSE(kind.isBehind());
    CHECK(kind.revision() == 11);
}

TEST_CASE("few entries read for all, the same ones by the list of each, and few entries all read for themselves")
{
    for (const std::size_t count : {1, 4, 7, 8, 11, 31, 68, 300}) {
        CAPTURE(count);
        std::size_t readers = 0;
        FollowedKind kind;
        kind.noteListed(1, at(0s));
        for (const auto &name : names(count)) {
            ReadingDuty duty({}, name);
            duty.setEntries(names(count));
            readers += duty.isReader() ? 1 : 0;
            CHECK(duty.isShared() == (count >= 8));
            const bool readsAtOnce = duty.nextRead(kind, 800ms, at(100ms)) <= at(100ms);
            CHECK(readsAtOnce == (!duty.isShared() || duty.isReader()));
        }
        CHECK(readers == (count < 8 ? 0 : std::max<std::size_t>(2, (count + 15) / 16)));
    }
}

// Guards against entries that never read again after the readers have ended.
TEST_CASE("entries read for themselves, one after the other, when nobody confirms what they know")
{
    FollowedKind kind;
    kind.noteListed(1, at(0s));
    std::vector<TimePoint> reads;
    for (const auto &name : names(31)) {
        ReadingDuty duty({}, name);
        duty.setEntries(names(31));
        if (!duty.isReader()) {
            reads.push_back(duty.nextRead(kind, 800ms, at(100ms)));
            CHECK_FALSE(duty.isOverdue(kind, 800ms, at(1800ms)));
            CHECK(duty.isOverdue(kind, 800ms, at(2s)));
        }
    }
    std::sort(reads.begin(), reads.end());
    CHECK(reads.front() == at(2200ms));
    CHECK(reads[1] == at(2240ms));
    CHECK(reads.back() == at(2600ms));
}

TEST_CASE("readers are asked in turn, and any entry in turn if they confirm nothing")
{
    ReadingDuty duty({}, "entry-0");
    duty.setEntries(names(31));
    std::set<std::string> asked;
    const auto ask = [&](int times, bool isAnyOverdue) {
        for (int i = 0; i < times; ++i) {
            const auto next = duty.nextToAsk(isAnyOverdue);
            asked.insert(next.begin(), next.end());
        }
    };
    ask(20, false);
    CHECK(asked.size() <= 2);
    ask(20, true);
    CHECK(asked.size() == 30);
    CHECK(asked.count("entry-0") == 0);
}

TEST_CASE("an entry that isn't in the list of entries reads for itself")
{
    ReadingDuty duty({}, "new");
    duty.setEntries(names(31));
    CHECK_FALSE(duty.isShared());
    CHECK(duty.nextToAsk(false).empty());
}

// Guards against relying on readers that are gone, and against an entry that hears hardly anybody and waits for others to read.
TEST_CASE("readers are chosen among the entries that are there, and an entry that hears too few reads for itself")
{
    const auto all = names(8);
    const std::vector<std::string> present(all.begin(), all.begin() + 3);
    std::size_t readers = 0;
    for (const auto &name : present) {
        ReadingDuty duty({}, name);
        duty.setEntries(present, all.size());
        CHECK(duty.isShared());
        readers += duty.isReader() ? 1 : 0;
        duty.setEntries({present[0], present[1]}, all.size());
        CHECK_FALSE(duty.isShared());
    }
    CHECK(readers == 2);
}
