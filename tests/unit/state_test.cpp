#include <burdock/cache/block_keys.hpp>
#include <burdock/cache/cost_model.hpp>
#include <burdock/cache/export_queue.hpp>
#include <burdock/config/change_history.hpp>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/once/once_state_machine.hpp>
#include <burdock/retry/quarantine.hpp>
#include <burdock/retry/retry_budget.hpp>
#include <burdock/retry/suspect_exchange.hpp>
#include <burdock/run/answer_transfer.hpp>
#include <burdock/verdict.hpp>
#include <burdock/weights/load_slots.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace burdock;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("once: only the attempt whose nonce is in the record runs")
{
    using namespace once;
    const Nonce own{1};
    const Nonce other{2};
    const hash::Digest256 digest{9};
    OnceStateMachine machine(own, digest);
    REQUIRE(machine.start() == Action::CreateRecord);

    SUBCASE("created")
    {
        CHECK(machine.handleClaimResult(StoreResult::Written) == Action::Run);
    }
    SUBCASE("the answer was lost and the record is our own")
    {
        CHECK(machine.handleClaimResult(StoreResult::Unknown) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Claimed, own, digest}) == Action::Run);
        // A second read of the same record must not run the call again.
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Claimed, own, digest}) == Action::Refuse);
    }
    SUBCASE("another attempt has claimed the record")
    {
        CHECK(machine.handleClaimResult(StoreResult::Conflict) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Claimed, other, digest}) == Action::Refuse);
        CHECK((refusalRule(machine.refusal()).verdict == Verdict::MayHaveRun));
    }
    SUBCASE("the call has run")
    {
        CHECK(machine.handleClaimResult(StoreResult::Conflict) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Done, other, digest}) == Action::ReturnRecorded);
    }
    SUBCASE("the record was freed, and only one attempt replaces it")
    {
        CHECK(machine.handleClaimResult(StoreResult::Conflict) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Free, other, digest}) == Action::ReplaceFree);
        CHECK(machine.handleClaimResult(StoreResult::Conflict) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Claimed, other, digest}) == Action::Refuse);
    }
    SUBCASE("the same key with another body")
    {
        CHECK(machine.handleClaimResult(StoreResult::Conflict) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Found, Record{RecordState::Done, other, hash::Digest256{8}}) == Action::Refuse);
        CHECK(machine.refusal() == RefusalReason::KeyReused);
    }
    SUBCASE("the store is unreachable before or after the claim")
    {
        CHECK(machine.handleClaimResult(StoreResult::Unreachable) == Action::Refuse);
        CHECK((refusalRule(machine.refusal()).verdict == Verdict::NotRun));
        CHECK(machine.handleClaimResult(StoreResult::Unknown) == Action::ReadRecord);
        CHECK(machine.handleReadResult(StoreResult::Unreachable, std::nullopt) == Action::RefuseAndRelease);
    }
}

TEST_CASE("a configuration is applied only if it is trusted and newer")
{
    using config::evaluateOffer;
    using config::OfferResult;
    using config::Trust;
    CHECK(evaluateOffer(4, 5, Trust::Trusted) == OfferResult::Accept);
    CHECK(evaluateOffer(5, 5, Trust::Trusted) == OfferResult::AlreadyApplied);
    CHECK(evaluateOffer(6, 5, Trust::Trusted) == OfferResult::Stale);
    CHECK(evaluateOffer(0, 9, Trust::Untrusted) == OfferResult::Untrusted);
}

// When the platform is restored from a backup it loses the latest configuration changes, and operators continue from an older version.
// Processes receive the changes of both histories from peers in any order, but must never mix the two or go back to an older version.
TEST_CASE("configuration steps from any peer in any order leave a process with one history and never an older version")
{
    std::mt19937 random(20261203);
    for (u32 round = 0; round < 300; ++round) {
        // Two histories with a common beginning; each id contains the name of the history and the version.
        const u64 fork = 1 + random() % 5;
        const auto idOf = [fork](u32 branch, u64 version) {
            return (version <= fork ? "common " : branch == 0 ? "lost " : "kept ") + std::to_string(version);
        };
        const auto stepsOf = [&](u32 branch, u64 after, u64 upTo, bool hasWhole) {
            config::Steps steps;
            if (hasWhole) {
                steps.bundle = config::BundleStep{after, idOf(branch, after), "whole"};
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
            const auto evaluation = history.evaluate(steps);
            if (evaluation.offer == config::OfferResult::Accept) {
                history.take(steps, evaluation);
                CHECK(history.version() == steps.version());
            } else {
                CHECK(history.version() == held);
                CHECK((steps.version() <= held || evaluation.offer == config::OfferResult::Gap));
            }
            CHECK(history.version() >= held);
            const auto all = history.since(0, "");
            for (const auto &change : all.changes) {
                // All steps belong to the same branch as the last one.
                const u32 own = history.id() == idOf(0, history.version()) ? 0 : 1;
                CHECK(change.id == idOf(own, change.version));
            }
            // A new peer that applies the exported steps reaches the same version.
            config::ChangeHistory peer;
            if (held > 0 && all.bundle) {
                peer.take(all, peer.evaluate(all));
                CHECK(peer.id() == history.id());
            }
        }
    }
}

TEST_CASE("a peer with the same history gets only changes, others the whole bundle, and a rebase to a later bundle drops older changes")
{
    config::ChangeHistory history;
    config::Steps steps;
    steps.bundle = config::BundleStep{1, "1", "whole"};
    for (u64 version = 2; version <= 9; ++version) {
        steps.changes.push_back({version, std::to_string(version), std::to_string(version - 1), "change"});
    }
    history.take(steps, history.evaluate(steps));
    CHECK(history.since(7, "7").changes.size() == 2);
    CHECK_FALSE(history.since(7, "7").bundle);
    CHECK(history.since(7, "").changes.size() == 2);
    CHECK(history.since(9, "9").changes.empty());
    CHECK(history.since(7, "seven").bundle);
    CHECK(history.since(0, "").bundle);
    CHECK_FALSE(history.rebase({6, "six", "another"}));
    CHECK(history.rebase({6, "6", "later"}));
    CHECK(history.changeCount() == 3);
    CHECK(history.since(2, "2").bundle->version == 6);
    CHECK(history.since(8, "8").changes.size() == 1);
    CHECK(history.id() == "9");
}

TEST_CASE("an answer is reassembled from late, duplicate and out-of-order chunks")
{
    run::AnswerCursor cursor;
    std::string answer;
    const auto take = [&](u64 offset, std::string_view data) {
        const auto use = cursor.accept(offset, data);
        answer += use == run::ChunkStatus::New ? data : std::string_view();
        return use;
    };
    CHECK(take(0, "abc") == run::ChunkStatus::New);
    CHECK(take(6, "ghi") == run::ChunkStatus::Gap);
    CHECK(take(0, "abc") == run::ChunkStatus::Duplicate);
    CHECK(take(1, "bcdef") == run::ChunkStatus::New);
    CHECK(take(6, "ghi") == run::ChunkStatus::New);
    CHECK(answer == "abcdefghi");
}

TEST_CASE("the retransmit buffer keeps unacknowledged data and ignores offsets out of range")
{
    run::RetransmitBuffer buffer(4);
    buffer.append("abcdef");
    CHECK_FALSE(buffer.hasRoom());
    buffer.acknowledge(99);
    CHECK(std::string(buffer.from(0)) == "abcdef");
    buffer.acknowledge(3);
    CHECK(buffer.hasRoom());
    CHECK_FALSE(buffer.holds(2));
    CHECK(std::string(buffer.from(4)) == "ef");
    CHECK(buffer.length() == 6);
}

TEST_CASE("block keys differ by customer, model, adapter and version, even if the concatenated names are equal")
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

TEST_CASE("the cost weights of the deployments lead to different decisions for the same inputs")
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

TEST_CASE("blocks are exported in order of value, within the budget, and only once each")
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

TEST_CASE("customer limits hold in total over all entries, and the state of idle customers is removed")
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

TEST_CASE("a customer can retry after the time given in the refusal")
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

TEST_CASE("a crash that is reported twice counts once, and a record expires although it is exchanged")
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

// Guards against an innocent request that is refused because connections to two endpoints were cut while it was running.
TEST_CASE("a request is held at the third lost endpoint without evidence of a restart, until a trial")
{
    const retry::TrialPolicy policy{retry::LossesToHold, std::chrono::seconds(10)};
    retry::Quarantine quarantine(std::chrono::minutes(30), 100);
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(quarantine.state(7, Start) == retry::SuspectState::Suspect);
    CHECK(quarantine.timeUntilTrial(7, policy, Start) == Duration::zero());
    quarantine.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(quarantine.state(7, Start) == retry::SuspectState::Held);
    const auto soon = Start + std::chrono::seconds(4);
    CHECK_FALSE(quarantine.tryBegin(7, policy, soon));
    CHECK(quarantine.timeUntilTrial(7, policy, soon) == std::chrono::seconds(6));
    CHECK(quarantine.tryBegin(7, policy, Start + std::chrono::seconds(10)));
    CHECK(quarantine.timeUntilTrial(7, policy, Start + std::chrono::seconds(10)) == std::chrono::seconds(10));
}

// Guards against a crashing request that keeps running because the restarts that it caused were reported as losses without evidence.
TEST_CASE("two crashes with evidence quarantine a request, whichever process counted them")
{
    retry::Quarantine sender(std::chrono::minutes(30), 100);
    retry::Quarantine receiver(std::chrono::minutes(30), 100);
    sender.noteCrash(7, Start, retry::CrashEvidence::None);
    sender.noteCrash(7, Start, retry::CrashEvidence::Restart);
    CHECK(sender.state(7, Start) == retry::SuspectState::Suspect);
    receiver.noteCrash(7, Start, retry::CrashEvidence::None);
    receiver.noteCrash(7, Start, retry::CrashEvidence::None);
    CHECK(receiver.merge(sender.record(7, Start), Start));
    CHECK(receiver.record(7, Start).unproven == 1);
    CHECK_FALSE(receiver.merge(sender.record(7, Start), Start));
    sender.noteCrash(7, Start, retry::CrashEvidence::Restart);
    CHECK(receiver.merge(sender.record(7, Start), Start));
    CHECK(receiver.state(7, Start) == retry::SuspectState::Quarantined);
}

// A popular request is running when the connections to three endpoints are reset. It must not be counted as the cause, which would refuse
// it to all callers for minutes.
TEST_CASE("a request that succeeded before does not become a suspect, however many endpoints crash while it runs")
{
    retry::Quarantine quarantine(std::chrono::minutes(2), 3);
    quarantine.noteCrash(7, Start);
    quarantine.noteSuccess(7);
    for (u32 i = 0; i < 3; ++i) {
        quarantine.noteCrash(7, Start);
    }
    CHECK(quarantine.crashes(7, Start) == 0);
    CHECK_FALSE(quarantine.merge({7, 3, Duration::zero()}, Start));
    // The number of successes that are kept equals the capacity for records.
    for (u64 other = 100; other < 103; ++other) {
        quarantine.noteSuccess(other);
    }
    quarantine.noteCrash(7, Start);
    CHECK(quarantine.crashes(7, Start) == 1);
}

// A new request is running at the loss of three endpoints. Without trial runs nothing could clear it, and it would still be refused minutes
// later with all endpoints healthy. A request that does crash endpoints must not crash many of them through trials.
TEST_CASE("a request that was running at crashes gets trial runs, one at a time and with growing intervals")
{
    const retry::TrialPolicy policy;
    retry::Quarantine quarantine(std::chrono::minutes(10), 100);
    for (u32 i = 0; i < policy.crashThreshold; ++i) {
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
    // A trial whose caller disconnects is inconclusive, so the next caller may run one.
    const auto later = Start + std::chrono::minutes(3);
    CHECK(quarantine.tryBegin(7, policy, later));
    CHECK_FALSE(quarantine.tryBegin(7, policy, later));
    quarantine.returnTrial(7, policy, later);
    CHECK(quarantine.tryBegin(7, policy, later));
    quarantine.returnTrial(8, policy, later);
    CHECK(quarantine.tryBegin(8, policy, later));
    quarantine.noteSuccess(7);
    CHECK(quarantine.tryBegin(7, policy, Start + std::chrono::minutes(1)));
}

// Shortly after the start of all gateways, one endpoint is lost while it runs the same prompt for twelve callers. If each of the twelve
// crashes doubled the backoff, the prompt would be refused for an hour, so crashes within a short window count as one.
TEST_CASE("simultaneous crashes delay the next trial once, and only a trial that was started can be returned")
{
    const retry::TrialPolicy policy;
    retry::Quarantine quarantine(std::chrono::hours(2), 100);
    for (u32 i = 0; i < 12; ++i) {
        quarantine.noteCrash(7, Start + std::chrono::milliseconds(10 * i));
    }
    const auto soon = Start + std::chrono::seconds(1);
    quarantine.returnTrial(7, policy, soon);
    CHECK_FALSE(quarantine.tryBegin(7, policy, soon));
    const auto first = Start + std::chrono::seconds(11);
    REQUIRE(quarantine.tryBegin(7, policy, first));
    quarantine.noteCrash(7, first);
    CHECK_FALSE(quarantine.tryBegin(7, policy, first + std::chrono::seconds(11)));
    // A trial that failed at another gateway counts like a local one.
    CHECK(quarantine.merge({7, 14, Duration::zero()}, first + std::chrono::seconds(15)));
    CHECK_FALSE(quarantine.tryBegin(7, policy, first + std::chrono::seconds(40)));
    CHECK(quarantine.tryBegin(7, policy, first + std::chrono::seconds(56)));
}

// A hundred suspects in every heartbeat would multiply control traffic by ten, but a heartbeat that omits a suspect unknown to the peer
// lets a crashing request crash one more endpoint. Covers lost messages and restarted processes.
TEST_CASE("a peer receives every suspect once despite lost messages and restarted processes")
{
    constexpr u64 SenderProcess = 1;
    retry::Quarantine senderQuarantine(std::chrono::minutes(30), 100);
    retry::CrashAttribution senderAttribution{retry::CrashAttributionPolicy{}};
    retry::Quarantine receiverQuarantine(std::chrono::minutes(30), 100);
    retry::CrashAttribution receiverAttribution{retry::CrashAttributionPolicy{}};
    retry::SuspectExchange sender(SenderProcess);
    retry::SuspectExchange receiver(2);
    const auto senderUpdate = [&] {
        return sender.makeUpdate(senderQuarantine, senderAttribution, 1, Start);
    };
    const auto receiverUpdate = [&] {
        return receiver.makeUpdate(receiverQuarantine, receiverAttribution, 1, Start);
    };
    senderQuarantine.noteCrash(7, Start);
    senderQuarantine.noteCrash(8, Start);
    senderAttribution.noteCrash(1, {70, 71}, std::nullopt, Start);
    CHECK(senderUpdate().records.size() == 2); // lost
    CHECK(senderUpdate().features.size() == 2);
    CHECK(senderUpdate().records.size() == 2);
    CHECK(receiver.applyUpdate(receiverQuarantine, receiverAttribution, senderUpdate(), SenderProcess, Start));
    CHECK_FALSE(receiver.applyUpdate(receiverQuarantine, receiverAttribution, senderUpdate(), SenderProcess, Start));
    CHECK_FALSE(sender.applyUpdate(senderQuarantine, senderAttribution, receiverUpdate(), 2, Start));
    CHECK(senderUpdate().records.empty());
    CHECK(senderUpdate().features.empty());
    CHECK(receiverAttribution.observations(0, Start).empty()); // only what a process observed itself is passed on
    senderAttribution.noteCrash(2, {71}, std::nullopt, Start);
    REQUIRE(senderUpdate().features.size() == 1);
    CHECK(senderUpdate().features.front().crashes.size() == 1);
    senderQuarantine.noteCrash(8, Start);
    REQUIRE(senderUpdate().records.size() == 1);
    CHECK(senderUpdate().records.front().crashes == 2);
    CHECK(sender.makeUpdate(senderQuarantine, senderAttribution, 3, Start).records.empty());
    // A restarted receiver has no records, so acknowledgements of its predecessor must not count for it.
    retry::Quarantine restartedReceiverQuarantine(std::chrono::minutes(30), 100);
    retry::CrashAttribution restartedReceiverAttribution{retry::CrashAttributionPolicy{}};
    retry::SuspectExchange restartedReceiver(3);
    static_cast<void>(sender.applyUpdate(senderQuarantine, senderAttribution,
                                         restartedReceiver.makeUpdate(restartedReceiverQuarantine, restartedReceiverAttribution, 1, Start),
                                         3, Start));
    CHECK(senderUpdate().records.size() == 2);
    CHECK(senderUpdate().features.size() == 2);
    CHECK(restartedReceiver.applyUpdate(restartedReceiverQuarantine, restartedReceiverAttribution, senderUpdate(), SenderProcess, Start));
    // A restarted sender starts with new sequence numbers, so acknowledgements for its predecessor must not count for it.
    retry::Quarantine restartedSenderQuarantine(std::chrono::minutes(30), 100);
    retry::CrashAttribution restartedSenderAttribution{retry::CrashAttributionPolicy{}};
    retry::SuspectExchange restartedSender(4);
    restartedSenderQuarantine.noteCrash(9, Start);
    auto acknowledgement = restartedReceiver.makeUpdate(restartedReceiverQuarantine, restartedReceiverAttribution, 1, Start);
    acknowledgement.records.clear();
    static_cast<void>(restartedSender.applyUpdate(restartedSenderQuarantine, restartedSenderAttribution, acknowledgement, 3, Start));
    restartedSenderAttribution.noteCrash(3, {72}, std::nullopt, Start);
    CHECK(restartedSender.makeUpdate(restartedSenderQuarantine, restartedSenderAttribution, 1, Start).records.size() == 1);
    CHECK(restartedSender.makeUpdate(restartedSenderQuarantine, restartedSenderAttribution, 1, Start).features.size() == 1);
}

TEST_CASE("load slots: there are no more holders than slots, and a holder that stops renewing expires by the observer's clock")
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

// When a pool of hundreds of replicas gets new weights, all of them poll the object with the load slots and could use up the read rate
// that the platform allows.
TEST_CASE("667 replicas that wait for three load slots cause fewer than 150 platform reads per second and little delay")
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

TEST_CASE("each refusal reason has its own rule, and only a claimed key, a lost or failed back end or a passed deadline may have run")
{
    for (u32 value = 1; value <= 22; ++value) {
        const auto reason = refusalReasonFrom(value);
        REQUIRE(reason.has_value());
        const auto &rule = refusalRule(*reason);
        CHECK(rule.reason == *reason);
        CHECK(rule.httpStatus >= 400);
        const bool mayHaveRun = *reason == RefusalReason::KeyUnderWay || *reason == RefusalReason::BackEndLost
            || *reason == RefusalReason::DeadlinePassed || *reason == RefusalReason::BackEndFailed;
        CHECK((rule.verdict == Verdict::MayHaveRun) == mayHaveRun);
    }
    CHECK_FALSE(refusalReasonFrom(23).has_value());
}
