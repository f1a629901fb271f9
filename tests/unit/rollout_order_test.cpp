#include <burdock/rollout/rollout_order.hpp>
#include <burdock/rollout/rollout_table.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace burdock::rollout;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr Duration OrderTime = 12s;

OrderRecord makeRecord(u64 revision, std::optional<OrderState> state = std::nullopt)
{
    OrderRecord record;
    record.service = "models";
    record.target = "v2";
    record.duration = OrderTime;
    record.createdRevision = 5;
    record.revision = revision;
    record.state = state;
    record.stateTarget = state ? "v2" : "";
    return record;
}

Evidence makeEvidence(u64 targetAnswers, u64 targetFailures)
{
    Evidence evidence;
    evidence[{1, Side::Others}] = {1000, 10, 0, 0, {}};
    evidence[{1, Side::Target}] = {targetAnswers, targetFailures, 0, 0, {}};
    return evidence;
}

RolloutVerdict makeVerdict(u64 targetAnswers, u64 targetFailures)
{
    RolloutVerdict verdict;
    verdict.update(makeEvidence(targetAnswers, targetFailures), Start);
    return verdict;
}

RolloutTable makeTable()
{
    RolloutTable table;
    table.observe(makeRecord(6), Start);
    table.noteServing("models", "v1", Start);
    return table;
}

} // namespace

TEST_CASE("an order is told as active, and completed three seconds before the deadline")
{
    RolloutOrder order(makeRecord(6), Start);
    CHECK((order.dueWrite() == OrderState::Active));
    order.noteWriting();
    order.noteWritten(OrderState::Active, 7, Start + OrderTime);
    CHECK_FALSE(order.dueWrite().has_value());
    const auto verdict = makeVerdict(200, 2);
    order.decide(verdict, Start + OrderTime - 3001ms);
    CHECK((order.state() == OrderState::Active));
    order.decide(verdict, Start + OrderTime - 3s);
    CHECK((order.state() == OrderState::Completed));
    CHECK((order.dueWrite() == OrderState::Completed));
}

TEST_CASE("a bad version is reverted at once")
{
    RolloutOrder order(makeRecord(6, OrderState::Active), Start);
    CHECK((order.targetUse(Start) == TargetUse::Limited));
    order.decide(makeVerdict(30, 20), Start + 1s);
    CHECK((order.state() == OrderState::Reverted));
    CHECK((order.targetUse(Start + 1s) == TargetUse::None));
}

// Guards against a version that nothing is known of and that all traffic is moved to.
TEST_CASE("a version that fewer than twenty requests reached is reverted at the deadline")
{
    for (const u64 answers : {0U, 19U, 20U}) {
        RolloutOrder order(makeRecord(6, OrderState::Active), Start);
        order.decide(makeVerdict(answers, 0), Start + OrderTime);
        CHECK((order.state() == (answers < 20 ? OrderState::Reverted : OrderState::Completed)));
    }
}

// Guards against the end of the other replicas while the status may not have been written: all traffic goes to the target too early.
TEST_CASE("all traffic moves to the target only once the decision stands in the record")
{
    RolloutOrder order(makeRecord(6, OrderState::Active), Start);
    order.decide(makeVerdict(200, 2), Start + OrderTime);
    CHECK((order.targetUse(Start + OrderTime) == TargetUse::None));
    order.noteWriting();
    order.noteWritten(OrderState::Completed, 7, Start + OrderTime);
    CHECK((order.targetUse(Start + OrderTime) == TargetUse::Only));
}

// Guards against a service without replicas to use, as a completed order still lies there when its replicas are replaced by later ones.
TEST_CASE("a completed order doesn't keep later versions out")
{
    RolloutOrder order(makeRecord(6, OrderState::Completed), Start);
    CHECK((order.targetUse(Start + 4s) == TargetUse::Only));
    CHECK((order.targetUse(Start + 6s) == TargetUse::Unrestricted));
}

// Guards against a second write on top of one that was carried out without an answer.
TEST_CASE("after a write without an answer nothing is written before the record was read")
{
    RolloutOrder order(makeRecord(6, OrderState::Active), Start);
    order.decide(makeVerdict(30, 20), Start + 1s);
    REQUIRE((order.dueWrite() == OrderState::Reverted));
    order.noteWriting();
    CHECK(order.mustRead());
    CHECK_FALSE(order.dueWrite().has_value());
    SUBCASE("it wasn't carried out")
    {
        order.observe(makeRecord(6, OrderState::Active), Start);
        CHECK((order.dueWrite() == OrderState::Reverted));
    }
    SUBCASE("it was carried out")
    {
        order.observe(makeRecord(7, OrderState::Reverted), Start);
        CHECK_FALSE(order.dueWrite().has_value());
        CHECK((order.state() == OrderState::Reverted));
    }
}

// Guards against a holder that wakes up late and overwrites the decision of its successor.
TEST_CASE("a decision in the record wins over what this gateway has decided")
{
    RolloutOrder order(makeRecord(6, OrderState::Active), Start);
    order.decide(makeVerdict(30, 20), Start + 1s);
    order.noteWriting();
    order.noteConflict();
    CHECK_FALSE(order.dueWrite().has_value());
    order.observe(makeRecord(8, OrderState::Completed), Start);
    CHECK((order.state() == OrderState::Completed));
    CHECK_FALSE(order.dueWrite().has_value());
    order.decide(makeVerdict(30, 20), Start + 2s);
    order.noteDecided(OrderState::Reverted);
    CHECK((order.state() == OrderState::Completed));
    CHECK_FALSE(order.dueWrite().has_value());
}

// Guards against late lists that bring back the state before a decision.
TEST_CASE("a decision stays when an older record is read")
{
    RolloutOrder order(makeRecord(9, OrderState::Reverted), Start);
    CHECK((order.observe(makeRecord(6), Start) == RolloutOrder::Change::None));
    CHECK((order.state() == OrderState::Reverted));
    CHECK((order.observe(makeRecord(10, OrderState::Active), Start) == RolloutOrder::Change::None));
    CHECK((order.state() == OrderState::Reverted));
}

TEST_CASE("a state that is about another target says nothing of this order")
{
    auto record = makeRecord(6, OrderState::Completed);
    record.stateTarget = "v1";
    RolloutOrder order(record, Start);
    CHECK((order.state() == OrderState::Active));
    CHECK((order.dueWrite() == OrderState::Active));
}

TEST_CASE("the same order given again after its decision begins anew")
{
    RolloutTable table;
    table.observe(makeRecord(6, OrderState::Reverted), Start);
    table.noteServing("models", "v1", Start);
    CHECK((table.rule("models", Start).use == TargetUse::None));
    CHECK((table.observe(makeRecord(9), Start + 30s) == RolloutTable::Event::Replaced));
    table.noteServing("models", "v1", Start + 30s);
    CHECK((table.rule("models", Start + 30s).use == TargetUse::Limited));
    CHECK(table.find("models")->deadline() == Start + 30s + OrderTime);
}

TEST_CASE("a gateway that learnt of the order later goes by the deadline of those that knew it before")
{
    RolloutOrder order(makeRecord(6), Start);
    order.noteKnownSince(Start - 5s);
    order.noteKnownSince(Start + 5s);
    CHECK(order.deadline() == Start - 5s + OrderTime);
}

// Guards against a version of unknown soundness that gets a share like any other since the operator has named another one.
TEST_CASE("the target of an order that is replaced by another gets nothing until its deadline")
{
    auto table = makeTable();
    auto record = makeRecord(8);
    record.target = "v3";
    CHECK((table.observe(record, Start + 2s) == RolloutTable::Event::Replaced));
    table.noteServing("models", "v1", Start + 2s);
    const auto rule = table.rule("models", Start + 2s);
    CHECK(rule.target == "v3");
    CHECK((rule.use == TargetUse::Limited));
    CHECK(rule.excluded.count("v2") == 1);
    CHECK(table.rule("models", Start + OrderTime).excluded.empty());
}

// Guards against a service with a tenth of its traffic left: the version that serves becomes a target and is limited as such.
TEST_CASE("an order back to the version that serves doesn't limit it")
{
    auto table = makeTable();
    table.noteServing("models", "v2", Start + 1s);
    auto record = makeRecord(8);
    record.target = "v1";
    table.observe(record, Start + 2s);
    table.noteServing("models", "v1", Start + 2s);
    table.noteServing("models", "v2", Start + 2s);
    const auto rule = table.rule("models", Start + 2s);
    CHECK((rule.use == TargetUse::Unrestricted));
    CHECK(rule.excluded.count("v2") == 1);
}

TEST_CASE("an order that is withdrawn, or can't be read any more, leaves its target without traffic until the deadline")
{
    auto table = makeTable();
    CHECK((table.remove("models", Start + 1s) == RolloutTable::Event::Withdrawn));
    CHECK((table.rule("models", Start + 1s).use == TargetUse::None));
    CHECK_FALSE(table.find("models")->dueWrite().has_value());
    table.find("models")->decide(makeVerdict(30, 20), Start + 1s);
    CHECK((table.find("models")->state() == OrderState::Active));
    table.removeOld(Start + OrderTime);
    CHECK((table.rule("models", Start + OrderTime).use == TargetUse::Unrestricted));
    CHECK(table.find("models") == nullptr);
}

TEST_CASE("an order whose target has no replica is reverted at the deadline and restricts nothing")
{
    auto table = makeTable();
    CHECK((table.rule("models", Start).use == TargetUse::Limited));
    table.find("models")->decide(makeVerdict(0, 0), Start + OrderTime - 3s);
    CHECK((table.find("models")->state() == OrderState::Reverted));
}

TEST_CASE("services without an order are not restricted")
{
    auto table = makeTable();
    CHECK((table.rule("others", Start).use == TargetUse::Unrestricted));
    CHECK((table.remove("others", Start) == RolloutTable::Event::Known));
}
