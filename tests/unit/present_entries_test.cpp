#include <burdock/reading/present_entries.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace std::chrono_literals;
using reading::PresentEntries;
using Names = std::vector<std::string>;

namespace {

constexpr Duration ReportPeriod = 100ms;
constexpr TimePoint Start(1h);

/** @brief The entries a, own and z, listed at the start. */
class ThreeEntries
{
public:
    ThreeEntries()
        : entries("own")
    {
        entries.setListed({"a", "own", "z"}, ReportPeriod, Start);
        CHECK(entries.changed(Start) == Names{"a", "own", "z"});
    }

    PresentEntries entries;
};

} // namespace

// Guards against entries of lost VMs that are relied on to read the store for the others.
TEST_CASE("a listed entry that isn't heard any more isn't there, until it is heard again")
{
    ThreeEntries three;
    three.entries.noteHeard("a", Start + 1900ms);
    CHECK_FALSE(three.entries.changed(Start + 1999ms));
    CHECK(three.entries.changed(Start + 2s) == Names{"a", "own"});
    CHECK_FALSE(three.entries.changed(Start + 2001ms));
    three.entries.noteHeard("z", Start + 3s);
    CHECK(three.entries.changed(Start + 3s) == Names{"a", "own", "z"});
}

// Guards against an entry that counts as new each time the list is read.
TEST_CASE("being listed again doesn't bring an entry back, but a new one is there at once")
{
    ThreeEntries three;
    three.entries.setListed({"a", "new", "own", "z"}, ReportPeriod, Start + 2s);
    CHECK(three.entries.changed(Start + 2s) == Names{"new", "own"});
}

TEST_CASE("an entry that isn't listed isn't there, even if it is heard")
{
    ThreeEntries three;
    three.entries.noteHeard("stranger", Start + 1s);
    three.entries.setListed({"own", "z"}, ReportPeriod, Start + 1s);
    CHECK(three.entries.changed(Start + 1s) == Names{"own", "z"});
}

// Guards against large fleets, which are heard rarely, whose entries all count as lost.
TEST_CASE("entries that report rarely may be silent for longer")
{
    ThreeEntries three;
    three.entries.setListed({"a", "own", "z"}, 5s, Start);
    CHECK_FALSE(three.entries.changed(Start + 19s));
    CHECK(three.entries.changed(Start + 20s) == Names{"own"});
}
