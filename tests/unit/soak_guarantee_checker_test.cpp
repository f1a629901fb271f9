#include "guarantee_checker.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace burdock;
using namespace soak;

namespace {

using namespace std::chrono_literals;

constexpr u32 Gateway = 2;
constexpr const char *Guarantee = "a gateway never reverts to an older configuration: ";

TimePoint at(Duration since)
{
    return TimePoint(std::chrono::hours(1)) + since;
}

/** @brief Calls through a gateway that restarts between configuration versions 2 and 3. Version n adds key-n and removes its predecessor.
 */
class Scenario
{
public:
    Scenario()
    {
        m_checker.noteKeyAdded("key-1", 1, at(0ms));
        rotateKey("key-1", "key-2", 2, at(100ms));
        rotateKey("key-2", "key-3", 3, at(200ms));
    }

    void disturbGateway()
    {
        m_disturbances.begin(gatewaySubject(Gateway), DisturbanceKind::Unplanned, at(0ms));
    }

    void executeCall(const std::string &key, Duration since, u32 incarnation = 1)
    {
        const auto attempt = send(key, since, incarnation);
        m_checker.noteExecution({attempt, "plain-0", "desk", 0, at(since + 1ms), at(since + 1ms)});
        m_checker.noteOutcome(attempt, {200, true, "done " + attempt, false, at(since + 2ms)});
    }

    void refuseCall(const std::string &key, Duration since, u32 incarnation = 1)
    {
        m_checker.noteOutcome(send(key, since, incarnation), {401, true, "", false, at(since + 2ms)});
    }

    [[nodiscard]] std::size_t rollbackCount() const
    {
        const auto all = m_checker.violations();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const std::string &line) { return line.rfind(Guarantee, 0) == 0; }));
    }

private:
    void rotateKey(const std::string &oldKey, const std::string &newKey, u64 version, TimePoint when)
    {
        m_checker.noteKeyAdded(newKey, version, when);
        m_checker.noteKeyRemoved(oldKey, version, when);
    }

    std::string send(const std::string &key, Duration since, u32 incarnation)
    {
        const auto attempt = "c0-" + std::to_string(++m_callCount);
        const auto startedAt = incarnation == 1 ? at(-1s) : at(150ms);
        m_checker.noteSent(attempt, {CallKind::Read, Gateway, incarnation, startedAt, key, at(since)});
        return attempt;
    }

    Disturbances m_disturbances{1s};
    GuaranteeChecker m_checker{Bounds(), m_disturbances};
    u32 m_callCount = 0;
};

} // namespace

TEST_CASE("the soak does not conclude that a gateway knows of the removal of a key which it refused before it knew the key")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.executeCall("key-1", 250ms);
    scenario.refuseCall("key-2", 300ms);
    scenario.executeCall("key-2", 700ms);
    scenario.refuseCall("key-2", 1100ms);
    scenario.executeCall("key-3", 1200ms);
    CHECK(scenario.rollbackCount() == 0);
}

TEST_CASE("the soak detects a gateway that admits a key again after it admitted and then refused it")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.executeCall("key-2", 300ms);
    scenario.refuseCall("key-2", 400ms);
    scenario.executeCall("key-2", 700ms);
    CHECK(scenario.rollbackCount() == 1);
}

TEST_CASE("the soak detects a gateway that admits a key again after it refused it while undisturbed for long")
{
    Scenario scenario;
    scenario.refuseCall("key-2", 3000ms);
    scenario.executeCall("key-2", 3300ms);
    CHECK(scenario.rollbackCount() == 1);
}

TEST_CASE("the soak detects a gateway that admits a key of an older version without having refused it")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.executeCall("key-3", 300ms);
    scenario.executeCall("key-1", 600ms);
    CHECK(scenario.rollbackCount() == 1);
}

TEST_CASE("the soak detects a gateway that admits an older key after it admitted a newer one and refused the older one")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.executeCall("key-2", 300ms);
    scenario.refuseCall("key-1", 310ms);
    scenario.executeCall("key-1", 700ms);
    CHECK(scenario.rollbackCount() == 1);
}

TEST_CASE("the soak detects a gateway that admits a key again which it refused although it started with it")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.refuseCall("key-2", 300ms, 2);
    scenario.executeCall("key-2", 700ms, 2);
    CHECK(scenario.rollbackCount() == 1);
}

TEST_CASE("the soak allows a restarted gateway to know an older configuration than before its restart")
{
    Scenario scenario;
    scenario.disturbGateway();
    scenario.executeCall("key-3", 300ms, 1);
    scenario.executeCall("key-2", 700ms, 2);
    CHECK(scenario.rollbackCount() == 0);
}
