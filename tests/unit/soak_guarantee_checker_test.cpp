#include "guarantee_checker.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace burdock;
using namespace soak;

namespace {

using namespace std::chrono_literals;

constexpr u32 Gateway = 2;
constexpr const char *Promise = "a configuration never goes back: ";

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::hours(1)) + since;
}

/** @brief What a caller sees of a gateway that starts anew between the configurations 2 and 3; each has a key of its own. */
class Story
{
public:
    Story()
    {
        m_ledger.noteKeyAdded("key-1", 1, at(0ms));
        change("key-1", "key-2", 2, at(100ms));
        change("key-2", "key-3", 3, at(200ms));
    }

    void disturbGateway()
    {
        m_disturbances.begin(gatewaySubject(Gateway), Plan::Unplanned, at(0ms));
    }

    void runs(const std::string &key, Duration since, u32 incarnation = 1)
    {
        const auto attempt = send(key, since, incarnation);
        m_ledger.noteBegun({attempt, "plain-0", "desk", 0, at(since + 1ms), at(since + 1ms)});
        m_ledger.noteEnded(attempt, {200, true, "done " + attempt, false, at(since + 2ms)});
    }

    void isRefused(const std::string &key, Duration since, u32 incarnation = 1)
    {
        m_ledger.noteEnded(send(key, since, incarnation), {401, true, "", false, at(since + 2ms)});
    }

    [[nodiscard]] std::size_t timesBack() const
    {
        const auto all = m_ledger.violations();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const std::string &line) { return line.rfind(Promise, 0) == 0; }));
    }

private:
    void change(const std::string &old, const std::string &fresh, u64 version, TimePoint when)
    {
        m_ledger.noteKeyAdded(fresh, version, when);
        m_ledger.noteKeyRemoved(old, version, when);
    }

    std::string send(const std::string &key, Duration since, u32 incarnation)
    {
        const auto attempt = "c0-" + std::to_string(++m_calls);
        const auto startedAt = incarnation == 1 ? at(-1s) : at(150ms);
        m_ledger.noteSent(attempt, {CallKind::Read, Gateway, incarnation, startedAt, key, at(since)});
        return attempt;
    }

    Disturbances m_disturbances{1s};
    Ledger m_ledger{Bounds(), m_disturbances};
    u32 m_calls = 0;
};

} // namespace

TEST_CASE("the soak takes a key that a gateway refused before it heard of it for no knowledge of its removal")
{
    Story story;
    story.disturbGateway();
    story.runs("key-1", 250ms);
    story.isRefused("key-2", 300ms);
    story.runs("key-2", 700ms);
    story.isRefused("key-2", 1100ms);
    story.runs("key-3", 1200ms);
    CHECK(story.timesBack() == 0);
}

TEST_CASE("the soak notices a gateway that runs a key again which it ran and then refused")
{
    Story story;
    story.disturbGateway();
    story.runs("key-2", 300ms);
    story.isRefused("key-2", 400ms);
    story.runs("key-2", 700ms);
    CHECK(story.timesBack() == 1);
}

TEST_CASE("the soak notices a gateway that runs a key again which it refused while it was left alone for long")
{
    Story story;
    story.isRefused("key-2", 3000ms);
    story.runs("key-2", 3300ms);
    CHECK(story.timesBack() == 1);
}

TEST_CASE("the soak notices a gateway that runs a key of an older version, though it refused none")
{
    Story story;
    story.disturbGateway();
    story.runs("key-3", 300ms);
    story.runs("key-1", 600ms);
    CHECK(story.timesBack() == 1);
}

TEST_CASE("the soak notices a gateway that refused an older key after it ran a newer one, and runs one between")
{
    Story story;
    story.disturbGateway();
    story.runs("key-2", 300ms);
    story.isRefused("key-1", 310ms);
    story.runs("key-1", 700ms);
    CHECK(story.timesBack() == 1);
}

TEST_CASE("the soak notices a gateway that runs a key again which it refused though it started with it")
{
    Story story;
    story.disturbGateway();
    story.isRefused("key-2", 300ms, 2);
    story.runs("key-2", 700ms, 2);
    CHECK(story.timesBack() == 1);
}

TEST_CASE("the soak lets a gateway that started anew know less than its predecessor")
{
    Story story;
    story.disturbGateway();
    story.runs("key-3", 300ms, 1);
    story.runs("key-2", 700ms, 2);
    CHECK(story.timesBack() == 0);
}
