#include <burdock/cache/block_keys.hpp>
#include <burdock/cache/cost_model.hpp>
#include <burdock/cache/export_queue.hpp>
#include <burdock/config/change_history.hpp>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/once/once_machine.hpp>
#include <burdock/retry/quarantine.hpp>
#include <burdock/retry/retry_budget.hpp>
#include <burdock/retry/suspect_exchange.hpp>
#include <burdock/run/answer_tail.hpp>
#include <burdock/verdict.hpp>
#include <burdock/weights/load_slots.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace burdock;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("once: only the attempt whose nonce stands in the record runs")
{
    using namespace once;
    const Nonce own{1};
    const Nonce other{2};
    const hash::Digest256 digest{9};
    OnceMachine machine(own, digest);
    REQUIRE(machine.start() == Action::CreateRecord);

    SUBCASE("created")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Written) == Action::Run);
    }
    SUBCASE("the answer was lost, and the record is ours")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Unknown) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Claimed, own, digest}) == Action::Run);
        // Being asked again must not run it again.
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Claimed, own, digest}) == Action::Refuse);
    }
    SUBCASE("another attempt has it")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Conflict) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Claimed, other, digest}) == Action::Refuse);
        CHECK((refusalRule(machine.refusal()).verdict == Verdict::MayHaveRun));
    }
    SUBCASE("it ran")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Conflict) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Done, other, digest}) == Action::ReturnRecorded);
    }
    SUBCASE("it was freed, and is taken over once")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Conflict) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Free, other, digest}) == Action::ReplaceFree);
        CHECK(machine.claimAnswered(StoreAnswer::Conflict) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Claimed, other, digest}) == Action::Refuse);
    }
    SUBCASE("another body under the same key")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Conflict) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Found, Record{RecordState::Done, other, hash::Digest256{8}}) == Action::Refuse);
        CHECK(machine.refusal() == RefusalReason::KeyReused);
    }
    SUBCASE("the store is out of reach before or after the claim")
    {
        CHECK(machine.claimAnswered(StoreAnswer::Unreachable) == Action::Refuse);
        CHECK((refusalRule(machine.refusal()).verdict == Verdict::NotRun));
        CHECK(machine.claimAnswered(StoreAnswer::Unknown) == Action::ReadRecord);
        CHECK(machine.readAnswered(StoreAnswer::Unreachable, std::nullopt) == Action::RefuseAndRelease);
    }
}

TEST_CASE("a configuration is taken over only if it is trusted and newer")
{
    using config::evaluateOffer;
    using config::OfferResult;
    using config::Trust;
    CHECK(evaluateOffer(4, 5, Trust::Trusted) == OfferResult::Accept);
    CHECK(evaluateOffer(5, 5, Trust::Trusted) == OfferResult::AlreadyApplied);
    CHECK(evaluateOffer(6, 5, Trust::Trusted) == OfferResult::Stale);
    CHECK(evaluateOffer(0, 9, Trust::Untrusted) == OfferResult::Untrusted);
}

// Operators change the configuration, the platform loses the latest changes in a restoration, and operators go on from what is left.
// Processes hear of all this from peers, in any order. None may hold a mixture of two histories, and none may go back.
TEST_CASE("steps from anywhere in any order leave a process with one history, and never an older version")
{
    std::mt19937 random(20261203);
    for (u32 round = 0; round < 300; ++round) {
        // Two histories that part after a common beginning; ids name history and version.
        const u64 fork = 1 + random() % 5;
        const auto idOf = [fork](u32 branch, u64 version) {
            return (version <= fork ? "common " : branch == 0 ? "lost " : "kept ") + std::to_string(version);
        };
        const auto stepsOf = [&](u32 branch, u64 after, u64 upTo, bool hasWhole) {
            config::Steps steps;
            if (hasWhole) {
                steps.whole = config::BundleStep{after, idOf(branch, after), "whole"};
            }
            for (u64 version = after + 1; version <= upTo; ++version) {
                steps.changes.push_back({version, idOf(branch, version), idOf(branch, version - 1), "change"});
            }
            return steps;
        };
        config::ChangeHistory history;
        for (u32 i = 0; i < 30; ++i) {
            const u32 branch = random() % 2;
            const u64 after = 1 + random() % 8;
            const auto steps = stepsOf(branch, after, after + random() % 6, random() % 2 == 0);
            const auto held = history.version();
            const auto judgement = history.evaluate(steps);
            if (judgement.offer == config::OfferResult::Accept) {
                history.take(steps, judgement);
                CHECK(history.version() == steps.version());
            } else {
                CHECK(history.version() == held);
                CHECK((steps.version() <= held || judgement.offer == config::OfferResult::Gap));
            }
            CHECK(history.version() >= held);
            const auto all = history.since(0, "");
            for (const auto &change : all.changes) {
                // Every step held is of the branch that the last one is of.
                const u32 own = history.id() == idOf(0, history.version()) ? 0 : 1;
                CHECK(change.id == idOf(own, change.version));
            }
            // What it hands on brings a newcomer, and one that holds any of its versions, to where it is.
            config::ChangeHistory peer;
            if (held > 0 && all.whole) {
                peer.take(all, peer.evaluate(all));
                CHECK(peer.id() == history.id());
            }
        }
    }
}

TEST_CASE("a peer of the same history gets changes alone, another one the whole bundle, and a later whole bundle shortens the rest")
{
    config::ChangeHistory history;
    config::Steps steps;
    steps.whole = config::BundleStep{1, "1", "whole"};
    for (u64 version = 2; version <= 9; ++version) {
        steps.changes.push_back({version, std::to_string(version), std::to_string(version - 1), "change"});
    }
    history.take(steps, history.evaluate(steps));
    CHECK(history.since(7, "7").changes.size() == 2);
    CHECK_FALSE(history.since(7, "7").whole);
    CHECK(history.since(7, "").changes.size() == 2);
    CHECK(history.since(9, "9").changes.empty());
    CHECK(history.since(7, "seven").whole);
    CHECK(history.since(0, "").whole);
    CHECK_FALSE(history.rebase({6, "six", "another"}));
    CHECK(history.rebase({6, "6", "later"}));
    CHECK(history.changeCount() == 3);
    CHECK(history.since(2, "2").whole->version == 6);
    CHECK(history.since(8, "8").changes.size() == 1);
    CHECK(history.id() == "9");
}

TEST_CASE("an answer is put together from chunks that come late, twice and out of order")
{
    run::AnswerCursor cursor;
    std::string answer;
    const auto take = [&](u64 offset, std::string_view data) {
        const auto use = cursor.accept(offset, data);
        answer += use == run::ChunkUse::Deliver ? data : std::string_view();
        return use;
    };
    CHECK(take(0, "abc") == run::ChunkUse::Deliver);
    CHECK(take(6, "ghi") == run::ChunkUse::Gap);
    CHECK(take(0, "abc") == run::ChunkUse::Duplicate);
    CHECK(take(1, "bcdef") == run::ChunkUse::Deliver);
    CHECK(take(6, "ghi") == run::ChunkUse::Deliver);
    CHECK(answer == "abcdefghi");
}

TEST_CASE("the tail keeps what was not acknowledged, and ignores offsets out of range")
{
    run::AnswerTail tail(4);
    tail.append("abcdef");
    CHECK_FALSE(tail.hasRoom());
    tail.acknowledge(99);
    CHECK(std::string(tail.from(0)) == "abcdef");
    tail.acknowledge(3);
    CHECK(tail.hasRoom());
    CHECK_FALSE(tail.holds(2));
    CHECK(std::string(tail.from(4)) == "ef");
    CHECK(tail.length() == 6);
}

TEST_CASE("block keys differ by customer, model, adapter and version, also for names that join to the same text")
{
    const std::string prompt(4096, 'p');
    const auto keys = [&](std::string_view customer, std::string_view model, std::string_view adapter, std::string_view version) {
        return cache::blockKeys({customer, model, adapter, version}, prompt, 1024);
    };
    const auto base = keys("ab", "c", "", "1");
    CHECK(base.size() == 4);
    CHECK(base == keys("ab", "c", "", "1"));
    for (const auto &other : {keys("a", "bc", "", "1"), keys("ab", "", "c", "1"), keys("ab", "c", "1", ""), keys("ab", "c", "", "2")}) {
        for (std::size_t i = 0; i < base.size(); ++i) {
            CHECK(other[i] != base[i]);
        }
    }
}

TEST_CASE("the deployments' weights lead to different decisions on the same facts")
{
    cache::ImportInputs facts;
    facts.tokens = 4096;
    facts.bytes = 128ULL << 20U;
    facts.linkBytesPerSecond = 300'000'000;
    facts.prefillTokensPerSecond = 20'000;
    CHECK(cache::CostBasedImport({1, 300, 1}).shouldImport(facts));
    CHECK_FALSE(cache::CostBasedImport({4, 30, 0.5}).shouldImport(facts));
    facts.linkBytesPerSecond = 2'000'000'000;
    CHECK(cache::CostBasedImport({4, 30, 0.5}).shouldImport(facts));
}

TEST_CASE("exports go most valuable first, within the budget, and each block once")
{
    cache::ExportQueue queue(2, limits::TokenBucket(100, 100));
    queue.add({{1}, 100, 5, 0.5});
    queue.add({{2}, 100, 9, 0.5});
    queue.add({{2}, 100, 9, 0.5});
    queue.add({{3}, 100, 1, 0.5});
    CHECK(queue.size() == 2);
    CHECK(queue.take(Start)->key == cache::BlockKey{2});
    CHECK_FALSE(queue.take(Start).has_value());
    CHECK(queue.take(Start + std::chrono::seconds(1))->key == cache::BlockKey{1});
}

TEST_CASE("limits hold in sum over all entries, and idle customers are forgotten")
{
    u32 admitted = 0;
    for (u32 entry = 0; entry < 4; ++entry) {
        limits::CustomerLimits limits(std::chrono::seconds(10));
        limits.setEntryCount(4);
        for (u32 i = 0; i < 1000; ++i) {
            admitted += limits.tryAdmit("a", {20, 20}, Start + std::chrono::milliseconds(i * 10)) ? 0 : 1;
        }
        CHECK(limits.size() == 1);
        static_cast<void>(limits.tryAdmit("b", {20, 20}, Start + std::chrono::minutes(5)));
        CHECK(limits.size() == 1);
    }
    CHECK(admitted <= 20 + 20 * 10);
    CHECK(admitted >= 20 * 10);
}

TEST_CASE("a refused customer is told when to come back")
{
    limits::CustomerLimits limits(std::chrono::seconds(10));
    CHECK_FALSE(limits.tryAdmit("a", {2, 1}, Start).has_value());
    const auto refusal = limits.tryAdmit("a", {2, 1}, Start);
    REQUIRE(refusal.has_value());
    CHECK_FALSE(limits.tryAdmit("a", {2, 1}, Start + refusal->retryAfter).has_value());
}

TEST_CASE("retries stay within their share of requests")
{
    retry::RetryBudget budget(20, 10);
    u32 retries = 0;
    for (u32 i = 0; i < 1000; ++i) {
        budget.noteRequest();
        retries += budget.trySpend() ? 1 : 0;
        retries += budget.trySpend() ? 1 : 0;
    }
    CHECK(retries <= 200 + 10);
    CHECK(retries >= 200);
}

TEST_CASE("a crash told twice counts once, and a record dies though it is passed round")
{
    retry::Quarantine one(std::chrono::minutes(30), 100);
    retry::Quarantine two(std::chrono::minutes(30), 100);
    one.noteCrash(7, Start);
    for (u32 minute = 0; minute < 60; ++minute) {
        const auto now = Start + std::chrono::minutes(minute);
        for (const auto &record : one.records(now)) {
            two.merge(record, now);
        }
        for (const auto &record : two.records(now)) {
            one.merge(record, now);
        }
        CHECK(one.state(7, now) == (minute <= 30 ? retry::SuspectState::Suspect : retry::SuspectState::Clear));
    }
    one.noteCrash(8, Start);
    one.noteCrash(8, Start);
    CHECK(one.state(8, Start) == retry::SuspectState::Quarantined);
}

// Guards against an innocent request that is refused because connections to two endpoints were cut under it.
TEST_CASE("lost endpoints of which none is seen to restart hold a request back at the third, until a trial")
{
    const retry::TrialPolicy policy{retry::LossesToHold, std::chrono::seconds(10)};
    retry::Quarantine quarantine(std::chrono::minutes(30), 100);
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(quarantine.state(7, Start) == retry::SuspectState::Suspect);
    CHECK(quarantine.untilTrial(7, policy, Start) == Duration::zero());
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(quarantine.state(7, Start) == retry::SuspectState::Held);
    const auto soon = Start + std::chrono::seconds(4);
    CHECK_FALSE(quarantine.tryBegin(7, policy, soon));
    CHECK(quarantine.untilTrial(7, policy, soon) == std::chrono::seconds(6));
    CHECK(quarantine.tryBegin(7, policy, Start + std::chrono::seconds(10)));
    CHECK(quarantine.untilTrial(7, policy, Start + std::chrono::seconds(10)) == std::chrono::seconds(10));
}

// Guards against a poisonous request that goes on because the restarts it caused were told as mere losses.
TEST_CASE("two crashes with evidence quarantine a request, whoever counted them")
{
    retry::Quarantine told(std::chrono::minutes(30), 100);
    retry::Quarantine heard(std::chrono::minutes(30), 100);
    told.noteCrash(7, Start, retry::CrashEvidence::None);
    told.noteCrash(7, Start, retry::CrashEvidence::Restart);
    CHECK(told.state(7, Start) == retry::SuspectState::Suspect);
    heard.noteCrash(7, Start, retry::CrashEvidence::None);
    heard.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(heard.merge(told.record(7, Start), Start));
    CHECK(heard.record(7, Start).unproven == 1);
    CHECK_FALSE(heard.merge(told.record(7, Start), Start));
    told.noteCrash(7, Start, retry::CrashEvidence::Restart);
    CHECK(heard.merge(told.record(7, Start), Start));
    CHECK(heard.state(7, Start) == retry::SuspectState::Quarantined);
}

// Readers fetch the same page all day. Connections to three endpoints are reset under it, and for minutes everybody who asks for
// the page is refused. Cause: the request was under way at each reset, and counted as what crashed the endpoints.
TEST_CASE("a request that has ended well before is no suspect, however often endpoints crash under it")
{
    retry::Quarantine quarantine(std::chrono::minutes(2), 3);
    quarantine.noteCrash(7, Start);
    quarantine.noteSuccess(7);
    for (u32 i = 0; i < 3; ++i) {
        quarantine.noteCrash(7, Start);
    }
    CHECK(quarantine.crashes(7, Start) == 0);
    CHECK_FALSE(quarantine.merge({7, 3, Duration::zero()}, Start));
    // As many successes are remembered as there may be records.
    for (u64 other = 100; other < 103; ++other) {
        quarantine.noteSuccess(other);
    }
    quarantine.noteCrash(7, Start);
    CHECK(quarantine.crashes(7, Start) == 1);
}

// Three endpoints break off under a page that nobody had fetched before; minutes later, with all endpoints sound, it is still refused.
// Cause: no run was tried that could have cleared it. And a request that does crash endpoints must not crash many by such trials.
TEST_CASE("a request that was under way at crashes is tried again, one at a time and ever more seldom")
{
    const retry::TrialPolicy policy;
    retry::Quarantine quarantine(std::chrono::minutes(10), 100);
    for (u32 i = 0; i < policy.crashes; ++i) {
        CHECK(quarantine.tryBegin(7, policy, Start));
        quarantine.noteCrash(7, Start);
    }
    u32 trials = 0;
    for (auto now = Start; now < Start + std::chrono::minutes(1); now += std::chrono::milliseconds(100)) {
        if (quarantine.tryBegin(7, policy, now)) {
            CHECK_FALSE(quarantine.tryBegin(7, policy, now));
            quarantine.noteCrash(7, now);
            ++trials;
        }
    }
    CHECK(trials == 2);
    // A trial whose caller leaves tells nothing, and the next caller gets it.
    const auto later = Start + std::chrono::minutes(3);
    CHECK(quarantine.tryBegin(7, policy, later));
    CHECK_FALSE(quarantine.tryBegin(7, policy, later));
    quarantine.giveBack(7, policy, later);
    CHECK(quarantine.tryBegin(7, policy, later));
    quarantine.giveBack(8, policy, later);
    CHECK(quarantine.tryBegin(8, policy, later));
    quarantine.noteSuccess(7);
    CHECK(quarantine.tryBegin(7, policy, Start + std::chrono::minutes(1)));
}

// All gateways have just started, and one endpoint breaks off under twelve callers who send the same prompt at once. Twelve crashes
// of one moment are one sign; were each to double the pause, the prompt would be refused for an hour.
TEST_CASE("crashes of one moment put off the next trial once, and only a trial that was taken is given back")
{
    const retry::TrialPolicy policy;
    retry::Quarantine quarantine(std::chrono::hours(2), 100);
    for (u32 i = 0; i < 12; ++i) {
        quarantine.noteCrash(7, Start + std::chrono::milliseconds(10 * i));
    }
    const auto soon = Start + std::chrono::seconds(1);
    quarantine.giveBack(7, policy, soon);
    CHECK_FALSE(quarantine.tryBegin(7, policy, soon));
    const auto first = Start + std::chrono::seconds(11);
    REQUIRE(quarantine.tryBegin(7, policy, first));
    quarantine.noteCrash(7, first);
    CHECK_FALSE(quarantine.tryBegin(7, policy, first + std::chrono::seconds(11)));
    // A trial that failed at another gateway counts like one of this one's.
    CHECK(quarantine.merge({7, 14, Duration::zero()}, first + std::chrono::seconds(15)));
    CHECK_FALSE(quarantine.tryBegin(7, policy, first + std::chrono::seconds(40)));
    CHECK(quarantine.tryBegin(7, policy, first + std::chrono::seconds(56)));
}

// A hundred suspects in every heartbeat multiply control traffic by ten; a beat that drops what the peer has not heard lets a
// poisonous request crash one more endpoint. Messages are lost and processes replaced meanwhile.
TEST_CASE("a peer hears of every suspect once, through lost messages and new processes")
{
    constexpr u64 Entry = 1;
    retry::Quarantine told(std::chrono::minutes(30), 100);
    retry::Quarantine heard(std::chrono::minutes(30), 100);
    retry::SuspectExchange teller(Entry);
    retry::SuspectExchange hearer(2);
    const auto tell = [&] {
        return teller.news(told, 1, Start);
    };
    const auto answer = [&] {
        return hearer.news(heard, 1, Start);
    };
    told.noteCrash(7, Start);
    told.noteCrash(8, Start);
    CHECK(tell().records.size() == 2); // lost
    CHECK(tell().records.size() == 2);
    CHECK(hearer.take(heard, tell(), Entry, Start));
    CHECK_FALSE(hearer.take(heard, tell(), Entry, Start));
    CHECK_FALSE(teller.take(told, answer(), 2, Start));
    CHECK(tell().records.empty());
    told.noteCrash(8, Start);
    REQUIRE(tell().records.size() == 1);
    CHECK(tell().records.front().crashes == 2);
    CHECK(teller.news(told, 3, Start).records.empty());
    // A new process at the hearing end knows nothing, and must not be taken to have heard what its predecessor did.
    retry::Quarantine empty(std::chrono::minutes(30), 100);
    retry::SuspectExchange successor(3);
    static_cast<void>(teller.take(told, successor.news(empty, 1, Start), 3, Start));
    CHECK(tell().records.size() == 2);
    CHECK(successor.take(empty, tell(), Entry, Start));
    // A new process at the telling end starts counting again; what was confirmed to its predecessor says nothing about it.
    retry::Quarantine anew(std::chrono::minutes(30), 100);
    retry::SuspectExchange heir(4);
    anew.noteCrash(9, Start);
    auto confirmation = successor.news(empty, 1, Start);
    confirmation.records.clear();
    static_cast<void>(heir.take(anew, confirmation, 3, Start));
    CHECK(heir.news(anew, 1, Start).records.size() == 1);
}

TEST_CASE("load slots: no more holders than slots, and a holder that stands still lapses on the observer's clock")
{
    weights::LoadSlots slots(2, std::chrono::seconds(10));
    slots.observe({{"a", 1}, {"b", 4}}, Start);
    CHECK_FALSE(slots.claim("c", Start).has_value());
    slots.observe({{"a", 1}, {"b", 5}}, Start + std::chrono::seconds(10));
    const auto claimed = slots.claim("c", Start + std::chrono::seconds(10));
    REQUIRE(claimed.has_value());
    CHECK(claimed->size() == 2);
    CHECK(claimed->front().endpoint == "b");
    CHECK(slots.release("b").size() == 1);
}

// New weights for a pool of hundreds: all of its replicas poll the object that holds the slots, and use up the platform's reads.
TEST_CASE("667 replicas that wait for three slots cost the platform less than 150 reads a second, and few seconds")
{
    constexpr u32 Replicas = 667;
    constexpr double LoadSeconds = 1.5;
    std::mt19937 random(20261203);
    struct Waiting
    {
        double next = 0;
    };
    std::vector<Waiting> waiting(Replicas);
    std::vector<double> slots(3, 0.0);
    u32 reads = 0;
    double now = 0;
    double end = 0;
    while (!waiting.empty()) {
        const auto first = std::min_element(waiting.begin(), waiting.end(), [](const auto &l, const auto &r) { return l.next < r.next; });
        now = first->next;
        ++reads;
        const auto slot = std::min_element(slots.begin(), slots.end());
        if (*slot <= now) {
            *slot = now + LoadSeconds;
            end = *slot;
            waiting.erase(first);
            continue;
        }
        const auto pause = weights::LoadSlots::pollDelay(fromMilliseconds(now * 1000));
        first->next += toMilliseconds(pause) / 1000 * (0.5 + std::uniform_real_distribution<>()(random));
    }
    MESSAGE("reads " << reads << " in " << end << " s");
    CHECK(reads / end < 150);
    CHECK(end < Replicas / 3.0 * LoadSeconds + 15);
}

TEST_CASE("each refusal reason has a row of its own, and only a claim or a loss may have run")
{
    for (u32 value = 1; value <= 21; ++value) {
        const auto reason = refusalReasonFrom(value);
        REQUIRE(reason.has_value());
        const auto &rule = refusalRule(*reason);
        CHECK(rule.reason == *reason);
        CHECK(rule.httpStatus >= 400);
        const bool mayHaveRun
            = *reason == RefusalReason::KeyUnderWay || *reason == RefusalReason::BackEndLost || *reason == RefusalReason::DeadlinePassed;
        CHECK((rule.verdict == Verdict::MayHaveRun) == mayHaveRun);
    }
    CHECK_FALSE(refusalReasonFrom(22).has_value());
}
