#include <burdock/reading/followed_kind.hpp>
#include <burdock/reading/reading_duty.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <utility>

using namespace burdock;
using namespace burdock::reading;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 20ms;
constexpr Duration ReaderWait = 800ms;

/** @brief Failures of one simulated fleet. */
struct Faults
{
    double lostShare = 0;
    Duration maxDelay = 4ms; ///< of a message
    bool areReadersStopped = false; ///< from `from` on
    bool isStoreDown = false; ///< from `from` on
    double turnedAwayShare = 0; ///< of the entries that the store doesn't serve from `from` on
    double listShare = 0; ///< of the reads that are lists
    double suspendedShare = 0; ///< of the entries, for a second at a time
    Duration from = 10s;
};

/** @brief The decisions of many entries that follow one kind of objects, with a store that changes at random moments. */
class ReadingFleet
{
public:
    ReadingFleet(std::size_t count, const Faults &faults, u32 seed)
        : m_faults(faults)
        , m_random(seed)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("entry-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            m_entries.push_back(Entry{ReadingDuty({}, names[i])});
            m_entries.back().duty.setEntries(names);
            m_index[names[i]] = i;
        }
    }

    void run(Duration length)
    {
        for (; m_now < TimePoint(length); m_now += Step) {
            if (chance(0.01)) {
                m_changes.push_back({m_now, ++m_revision});
            }
            // Objects of other kinds change as well.
            m_revision += chance(0.05) ? 1 : 0;
            deliver();
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                step(i);
            }
        }
    }

    [[nodiscard]] u64 calls() const
    {
        return m_calls;
    }

    [[nodiscard]] u64 falseClaims() const
    {
        return m_falseClaims;
    }

    /** @brief Greatest age of what a running entry knew, after the first two seconds. */
    [[nodiscard]] Duration greatestAge() const
    {
        return m_greatestAge;
    }

private:
    struct Entry
    {
        explicit Entry(ReadingDuty own)
            : duty(std::move(own))
        {
        }

        ReadingDuty duty;
        FollowedKind known;
        std::optional<TimePoint> readStarted; ///< of the watch under way
        u64 readSince = 0; ///< revision from which it began
        TimePoint suspendedUntil{};
        TimePoint nextQuestion{};
        bool isStopped = false;
    };

    enum class Kind : u8 { Question, Answer, Changes };

    struct Message
    {
        Kind kind = Kind::Question;
        std::size_t from = 0;
        std::size_t to = 0;
        TimePoint arrives{};
        TimePoint asked{};
        Confirmation confirmation{};
        u64 since = 0;
        u64 revision = 0;
    };

    [[nodiscard]] bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    struct Change
    {
        TimePoint made;
        u64 revision = 0;
    };

    void send(Message message)
    {
        if (!chance(m_faults.lostShare)) {
            message.arrives = m_now + Duration(std::uniform_int_distribution<i64>(1, m_faults.maxDelay.count())(m_random));
            m_messages.push_back(message);
        }
    }

    void deliver()
    {
        auto messages = std::exchange(m_messages, {});
        for (const auto &message : messages) {
            auto &entry = m_entries[message.to];
            if (entry.isStopped) {
                continue;
            }
            // What arrives at a suspended entry waits in its socket.
            if (message.arrives > m_now || entry.suspendedUntil > m_now) {
                m_messages.push_back(message);
                continue;
            }
            if (message.kind == Kind::Question) {
                if (const auto told = entry.known.confirmation(m_now)) {
                    send({Kind::Answer, message.to, message.from, {}, message.asked, *told, 0, 0});
                }
            } else if (message.kind == Kind::Answer) {
                static_cast<void>(entry.known.noteConfirmation(message.confirmation, message.asked));
            } else {
                static_cast<void>(entry.known.noteChanges(message.since, message.revision));
            }
        }
    }

    void step(std::size_t index)
    {
        auto &entry = m_entries[index];
        const bool isAfter = m_now >= TimePoint(m_faults.from);
        entry.isStopped = entry.isStopped || (isAfter && m_faults.areReadersStopped && entry.duty.isReader());
        if (!entry.isStopped && entry.suspendedUntil <= m_now && chance(m_faults.suspendedShare * toMilliseconds(Step) / 1000)) {
            entry.suspendedUntil = m_now + 1s;
        }
        if (entry.isStopped || entry.suspendedUntil > m_now) {
            return;
        }
        read(index, isAfter && (m_faults.isStoreDown || isTurnedAway(index)));
        ask(index);
        check(entry);
    }

    [[nodiscard]] bool isTurnedAway(std::size_t index) const
    {
        return static_cast<double>(index) < m_faults.turnedAwayShare * static_cast<double>(m_entries.size());
    }

    void read(std::size_t index, bool isRefused)
    {
        auto &entry = m_entries[index];
        if (!entry.readStarted) {
            if (entry.duty.nextRead(entry.known, ReaderWait, m_now) > m_now) {
                return;
            }
            entry.readStarted = m_now;
            entry.readSince = entry.known.revision();
            m_calls += isRefused ? 0 : 1;
        }
        if (isRefused) {
            entry.readStarted.reset();
            return;
        }
        const u64 since = entry.readSince;
        const bool hasChanges = !m_changes.empty() && m_changes.back().revision > since;
        const auto wait = entry.duty.isReader() ? ReaderWait : Duration::zero();
        if (!hasChanges && m_now - *entry.readStarted < wait) {
            return;
        }
        const u64 tellSince = std::min(since, entry.known.unchangedSince());
        const bool mustList = !entry.known.asOf() || chance(m_faults.listShare);
        if (mustList) {
            entry.known.noteListed(m_revision, *entry.readStarted);
        } else if (!hasChanges) {
            entry.known.noteUnchanged(m_revision);
        } else if (entry.known.noteChanges(since, m_revision) == Continuity::New && entry.duty.isReader()) {
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                if (other != index) {
                    send({Kind::Changes, index, other, {}, {}, {}, tellSince, m_revision});
                }
            }
        }
        entry.known.noteComplete(*entry.readStarted);
        entry.readStarted.reset();
    }

    void ask(std::size_t index)
    {
        auto &entry = m_entries[index];
        if (entry.nextQuestion > m_now) {
            return;
        }
        entry.nextQuestion = m_now + ReadingPolicy{}.questionPeriod;
        const bool isOverdue = entry.duty.isOverdue(entry.known, ReaderWait, m_now);
        if (entry.duty.isReader() && !isOverdue) {
            return;
        }
        for (const auto &target : entry.duty.nextToAsk(isOverdue)) {
            send({Kind::Question, index, m_index.at(target), {}, m_now, {}, 0, 0});
        }
    }

    void check(const Entry &entry)
    {
        if (!entry.known.asOf()) {
            return;
        }
        const auto isAfter = [](const Change &change, TimePoint time) {
            return change.made < time;
        };
        const auto next = std::lower_bound(m_changes.begin(), m_changes.end(), *entry.known.asOf(), isAfter);
        const bool misses = next != m_changes.begin() && std::prev(next)->revision > entry.known.revision();
        m_falseClaims += misses ? 1 : 0;
        if (m_now > TimePoint(2s)) {
            m_greatestAge = std::max(m_greatestAge, m_now - *entry.known.asOf());
        }
    }

    Faults m_faults;
    std::mt19937 m_random;
    std::vector<Entry> m_entries;
    std::map<std::string, std::size_t> m_index;
    std::vector<Change> m_changes; ///< of the followed objects
    u64 m_revision = 1; ///< of the store
    std::vector<Message> m_messages;
    TimePoint m_now{};
    u64 m_calls = 0;
    u64 m_falseClaims = 0;
    Duration m_greatestAge{};
};

/** Two waits of a reader, the time for an answer, the delay of the last entry that stands in, and the steps of the simulation between. */
const Duration OldestKnown = 2 * ReaderWait + ReadingPolicy{}.answerTime + ReadingPolicy{}.maxStandInDelay + 2 * Step;

/** Age of an entry's knowledge up to which it serves callers with keys where these must be refused 5 s after they were revoked. */
constexpr Duration KeyAge = 3900ms;

} // namespace

TEST_CASE("a fleet reads the store a fraction as often as if each entry did, and knows as much")
{
    for (const std::size_t count : {1, 4, 11, 31, 68, 300}) {
        CAPTURE(count);
        ReadingFleet fleet(count, {}, 7);
        fleet.run(20s);
        CHECK(fleet.falseClaims() == 0);
        CHECK(fleet.greatestAge() <= OldestKnown);
        if (count >= 31) {
            // Each entry alone would call at least once in 800 ms.
            CHECK(fleet.calls() < count * 25 / 4);
        }
    }
}

// Guards against keys that are accepted because an entry believes what was lost, late, waited in a socket, or came from a suspended entry.
TEST_CASE("no entry claims to know more than it does while messages are lost and late and entries are suspended")
{
    for (u32 seed = 0; seed < 30; ++seed) {
        CAPTURE(seed);
        Faults faults;
        faults.lostShare = 0.3;
        faults.maxDelay = 900ms;
        faults.suspendedShare = 0.3;
        faults.listShare = 0.1;
        ReadingFleet fleet(seed % 2 == 0 ? 31 : 11, faults, seed);
        fleet.run(20s);
        CHECK(fleet.falseClaims() == 0);
    }
}

// Guards against entries that refuse callers because those that read for them have ended.
TEST_CASE("all entries stay current when all readers end at once")
{
    for (const std::size_t count : {11, 31, 68, 300}) {
        CAPTURE(count);
        Faults faults;
        faults.areReadersStopped = true;
        ReadingFleet fleet(count, faults, 3);
        fleet.run(20s);
        CHECK(fleet.falseClaims() == 0);
        CHECK(fleet.greatestAge() < KeyAge);
    }
}

// Guards against entries that refuse callers although the store answers others.
TEST_CASE("entries that the store turns away stay current by what the others know")
{
    for (const std::size_t count : {11, 31, 68, 300}) {
        CAPTURE(count);
        Faults faults;
        faults.turnedAwayShare = 0.5;
        ReadingFleet fleet(count, faults, 5);
        fleet.run(30s);
        CHECK(fleet.falseClaims() == 0);
        CHECK(fleet.greatestAge() < KeyAge);
    }
}

// Guards against keys that stay valid while nobody can read whether they were revoked.
TEST_CASE("what is known grows old at all entries while the store answers none")
{
    Faults faults;
    faults.isStoreDown = true;
    ReadingFleet fleet(31, faults, 9);
    fleet.run(20s);
    CHECK(fleet.falseClaims() == 0);
    CHECK(fleet.greatestAge() >= 10s);
}
