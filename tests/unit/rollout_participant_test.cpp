#include <burdock/rollout/order_participant.hpp>

#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace burdock;
using namespace burdock::rollout;

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr double Share = 0.1;
constexpr Duration OrderTime = 25s;

OrderRecord makeRecord()
{
    OrderRecord record;
    record.service = "models";
    record.target = "v2";
    record.duration = OrderTime;
    record.revision = 6;
    return record;
}

/** @brief A gateway with its own clock. */
struct Member
{
    explicit Member(u64 number, TimePoint now)
        : name("gateway-" + std::to_string(number))
        , bootId(number + 1)
        , clockOffset(std::chrono::minutes(7 * static_cast<i64>(number)))
        , order(makeRecord(), now + clockOffset)
        , participant(Share, now + clockOffset, TimePoint{})
    {
    }

    [[nodiscard]] TimePoint clock(TimePoint now) const
    {
        return now + clockOffset;
    }

    void answer(u64 count, TimePoint now)
    {
        for (u64 i = 0; i < count; ++i) {
            participant.noteAnswered(clock(now));
        }
    }

    void tell(Member &other, TimePoint sent, TimePoint received) const
    {
        hand(other, participant.news(order, clock(sent)), received);
    }

    void hand(Member &other, const OrderNews &news, TimePoint received) const
    {
        CHECK(other.participant.take(name, bootId, news, other.order, other.clock(received)));
    }

    std::string name;
    u64 bootId;
    Duration clockOffset;
    RolloutOrder order;
    OrderParticipant participant;
};

Observation endAtTarget(End end, TimePoint now)
{
    return {1, Side::Target, 7, end, false, {}, {}, now};
}

Observation answerAtOthers(TimePoint now)
{
    return {1, Side::Others, 9, End::Answered, false, {}, {}, now};
}

} // namespace

// Guards against gateways that go on sending since they keep telling each other that the order is undecided, while no holder says so.
TEST_CASE("gateways that hear only each other stop a second after the last word of the holder")
{
    Member holder(0, Start);
    Member first(1, Start);
    Member second(2, Start);
    first.answer(100, Start);
    second.answer(100, Start);
    TimePoint now = Start;
    for (; now < Start + 1s; now += 50ms) {
        holder.participant.noteOwnWord(holder.bootId, 1, holder.clock(now));
        holder.tell(first, now, now + 1ms);
        first.tell(second, now + 10ms, now + 11ms);
    }
    CHECK(first.participant.maySend(first.clock(now)));
    CHECK(second.participant.maySend(second.clock(now)));
    const auto cutOff = now;
    for (; now < cutOff + 3s; now += 50ms) {
        first.tell(second, now, now + 1ms);
        second.tell(first, now, now + 1ms);
    }
    CHECK_FALSE(first.participant.maySend(first.clock(cutOff + 1s)));
    CHECK_FALSE(second.participant.maySend(second.clock(cutOff + 1s)));
}

// Guards against a gateway that was frozen while the order was reverted, and reads old messages first when it wakes up.
TEST_CASE("a gateway that wakes up sends nothing by the messages of the time before")
{
    Member holder(0, Start);
    Member sleeper(1, Start);
    sleeper.answer(100, Start);
    TimePoint now = Start;
    for (; now < Start + 1s; now += 50ms) {
        holder.participant.noteOwnWord(holder.bootId, 1, holder.clock(now));
        holder.tell(sleeper, now, now + 1ms);
    }
    CHECK(sleeper.participant.maySend(sleeper.clock(now)));
    const auto wakesUp = now + 8s;
    for (; now < Start + 3s; now += 50ms) {
        holder.participant.noteOwnWord(holder.bootId, 1, holder.clock(now));
        holder.tell(sleeper, now, wakesUp);
        CHECK_FALSE(sleeper.participant.maySend(sleeper.clock(wakesUp)));
    }
}

// Guards against a decision that one gateway knows and that an older word of the holder makes the others forget.
TEST_CASE("a decision that is told ends the exposure for good")
{
    Member holder(0, Start);
    Member other(1, Start);
    other.answer(100, Start);
    OrderNews old;
    for (TimePoint now = Start; now < Start + 1s; now += 50ms) {
        holder.participant.noteOwnWord(holder.bootId, 1, holder.clock(now));
        old = holder.participant.news(holder.order, holder.clock(now));
        holder.hand(other, old, now + 1ms);
    }
    holder.order.noteDecided(OrderState::Reverted);
    holder.tell(other, Start + 1s, Start + 1s);
    other.participant.judge(other.name, other.bootId, other.order, other.clock(Start + 1s));
    CHECK((other.order.state() == OrderState::Reverted));
    holder.hand(other, old, Start + 1s);
    CHECK((other.order.state() == OrderState::Reverted));
    CHECK_FALSE(other.participant.maySend(other.clock(Start + 1s)));
}

// Guards against a gateway that waits for the holder's decision although it knows enough to see the fault.
TEST_CASE("a gateway that finds the target bad stops by itself")
{
    Member member(0, Start);
    member.answer(1000, Start);
    TimePoint now = Start;
    for (; now < Start + 3s; now += 100ms) {
        member.participant.noteOwnWord(member.bootId, 1, member.clock(now));
        member.participant.note(endAtTarget(End::Failed, member.clock(now)), member.clock(now));
        for (int i = 0; i < 10; ++i) {
            member.participant.note(answerAtOthers(member.clock(now)), member.clock(now));
        }
        member.participant.judge(member.name, member.bootId, member.order, member.clock(now));
    }
    CHECK(member.participant.verdict().isBad());
    CHECK_FALSE(member.participant.maySend(member.clock(now)));
}

// Guards against evidence that stays where it was observed: with many gateways none sees enough alone.
TEST_CASE("what all gateways saw adds up at each of them")
{
    for (const u64 gateways : {4U, 29U, 68U}) {
        CAPTURE(gateways);
        std::vector<std::unique_ptr<Member>> members;
        for (u64 i = 0; i < gateways; ++i) {
            members.push_back(std::make_unique<Member>(i, Start));
        }
        for (int step = 0; step < 5; ++step) {
            const auto now = Start + step * 500ms;
            for (auto &member : members) {
                const auto end = step == 4 ? End::Failed : End::Answered;
                member->participant.note(endAtTarget(end, member->clock(now)), member->clock(now));
                for (int i = 0; i < 20; ++i) {
                    member->participant.note(answerAtOthers(member->clock(now)), member->clock(now));
                }
            }
            for (const auto &member : members) {
                for (auto &other : members) {
                    if (member != other) {
                        member->tell(*other, now, now);
                        member->tell(*other, now, now);
                    }
                }
            }
            for (auto &member : members) {
                member->participant.judge(member->name, member->bootId, member->order, member->clock(now));
                CHECK(member->participant.verdict().targetSamples() == (static_cast<u64>(step) + 1) * gateways);
                CHECK(member->participant.verdict().isBad() == (step == 4));
            }
        }
    }
}

// Guards against a holder that started late and takes the order for newer than it is: a good version isn't completed in time.
TEST_CASE("a gateway that starts late learns how old the order is")
{
    Member early(0, Start);
    Member late(1, Start + 10s);
    early.tell(late, Start + 10s, Start + 10s);
    CHECK(late.order.deadline() == late.clock(Start + OrderTime));
}

// Guards against gateways that still speak of an earlier order when the same is given again.
TEST_CASE("nothing of the others is taken right after the same order was given again")
{
    Member other(0, Start);
    RolloutOrder order(makeRecord(), Start);
    OrderParticipant participant(Share, Start, Start + 3s);
    OrderNews news;
    news.state = OrderState::Reverted;
    CHECK_FALSE(participant.take(other.name, other.bootId, news, order, Start + 2s));
    CHECK((order.state() == OrderState::Active));
    CHECK(participant.take(other.name, other.bootId, news, order, Start + 3s));
    CHECK((order.state() == OrderState::Reverted));
}

// Guards against the words of a holder that has lost the lease and speaks on.
TEST_CASE("a later holder's word isn't replaced by one of an earlier holder")
{
    Member member(0, Start);
    Member sender(1, Start);
    OrderNews news;
    news.word = UndecidedWord{11, 2, 5s};
    sender.hand(member, news, Start);
    news.word = UndecidedWord{10, 1, 900s};
    sender.hand(member, news, Start + 100ms);
    const auto told = member.participant.news(member.order, member.clock(Start));
    REQUIRE(told.word.has_value());
    CHECK(told.word->token == 2);
}
