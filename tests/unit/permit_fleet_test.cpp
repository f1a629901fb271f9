#include <burdock/hash/digest.hpp>
#include <burdock/limits/endpoint_permits.hpp>

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>

using namespace burdock;
using namespace burdock::limits;

namespace {

using namespace std::chrono_literals;

constexpr u64 Endpoint = 0x9e3779b97f4a7c15;
constexpr u64 StartTime = 1;
constexpr Duration Housekeeping = 100ms;
constexpr Duration RunTime = 20ms;
constexpr Duration AnswerTimeout = 40ms;
constexpr Duration MaxDelay = 4ms; ///< of a message
constexpr Duration MaxClockSkew = 30ms;
constexpr Duration Window = 4s;
/** Time after the limit was named, or after a disturbance, from which requests count. */
constexpr Duration TimeToReact = 3s;
constexpr double MinUsedShare = 0.8;

/** @brief How the requests are spread over the gateways. */
enum class Shape : u8 {
    Even,
    Skewed, ///< nine in ten come at one gateway
};

struct Parameters
{
    u32 gateways = 4;
    double limit = 3;
    double offered = 30; ///< requests a second over all gateways
    Shape shape = Shape::Even;
    Duration runFor = 20s;
    u64 seed = 1;
};

/** @brief What keeps a gateway from the others. */
struct Trouble
{
    u32 gateway = 0;
    Duration from{};
    Duration until = 1h;
    bool isDead = false;
    bool isFrozen = false; ///< messages to it wait until the end
    bool hearsNothing = false;
    bool isUnheard = false;
};

/** @brief Gateways that share one endpoint with a limit, with the messages between them. */
class Fleet
{
public:
    explicit Fleet(const Parameters &parameters, std::vector<Trouble> troubles = {})
        : m_parameters(parameters)
        , m_troubles(std::move(troubles))
        , m_random(parameters.seed)
        , m_limit(parameters.limit)
    {
        std::vector<u64> names;
        for (u32 i = 0; i < parameters.gateways; ++i) {
            names.push_back(hash::hash64("gateway-" + std::to_string(i)));
        }
        for (const u64 name : names) {
            auto &gateway = m_gateways.emplace_back(std::make_unique<Gateway>(name));
            gateway->skew = Duration(static_cast<i64>(m_random() % static_cast<u64>(MaxClockSkew.count())));
            gateway->permits.coordinators().setEntries(names, reportPeriod());
        }
    }

    /** @brief Gives a gateway a list with only the first gateways. */
    void setKnown(u32 gateway, u32 count)
    {
        std::vector<u64> names;
        for (u32 i = 0; i < count; ++i) {
            names.push_back(m_gateways[i]->name);
        }
        m_gateways[gateway]->permits.coordinators().setEntries(names, reportPeriod());
    }

    /** @brief Sets the limit that the endpoint names from a moment on; nothing for none. */
    void nameFrom(Duration time, std::optional<double> limit)
    {
        schedule(time, [this, limit] { m_limit = limit; });
    }

    void run()
    {
        for (u32 i = 0; i < m_gateways.size(); ++i) {
            schedule(randomUpTo(reportPeriod()), [this, i] { report(i); });
            schedule(randomUpTo(Housekeeping), [this, i] { housekeep(i); });
            scheduleArrival(i);
        }
        while (!m_events.empty() && m_events.top().time < m_parameters.runFor) {
            const auto event = m_events.top();
            m_events.pop();
            m_time = event.time;
            event.action();
        }
    }

    [[nodiscard]] std::size_t sentIn(Duration from, Duration until) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_sent.begin(), m_sent.end(), [&](Duration time) { return time >= from && time < until; }));
    }

    [[nodiscard]] std::size_t mostInWindow(Duration after) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < m_sent.size(); ++last) {
            while (m_sent[first] <= m_sent[last] - Window || m_sent[first] < after) {
                if (first == last) {
                    break;
                }
                ++first;
            }
            most = std::max(most, m_sent[last] < after ? 0 : last - first + 1);
        }
        return most;
    }

    [[nodiscard]] std::size_t sentBy(u32 gateway) const
    {
        return m_gateways[gateway]->sent;
    }

    /** @brief The gateway that the first one takes for the coordinator. */
    [[nodiscard]] u32 coordinator() const
    {
        u32 best = 0;
        for (u32 i = 1; i < m_gateways.size(); ++i) {
            const auto rank = [](u64 name) {
                return hash::mix64(name ^ hash::mix64(Endpoint));
            };
            best = rank(m_gateways[i]->name) > rank(m_gateways[best]->name) ? i : best;
        }
        return best;
    }

    /** @brief Sets the priority of the requests of one gateway, and what share of all requests comes there. */
    void setPriority(u32 gateway, u32 priority)
    {
        m_gateways[gateway]->priority = priority;
    }

private:
    struct Gateway
    {
        explicit Gateway(u64 ownName)
            : name(ownName)
            , permits(ownName)
        {
        }
        u64 name;
        EndpointPermits permits;
        Duration skew{};
        u32 priority = 1;
        std::size_t sent = 0;
        std::vector<std::function<void()>> waiting; ///< messages while it is frozen
    };
    struct Report
    {
        u64 sender = 0;
        std::vector<NamedLimit> records;
        CoordinatorVotes votes;
    };
    struct Event
    {
        Duration time{};
        u64 order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    [[nodiscard]] TimePoint now() const
    {
        return TimePoint(1h + m_time);
    }

    [[nodiscard]] Duration randomUpTo(Duration limit)
    {
        return Duration(static_cast<i64>(m_random() % static_cast<u64>(limit.count() + 1)));
    }

    [[nodiscard]] Duration reportPeriod() const
    {
        return std::max<Duration>(400ms, 1500us * static_cast<i64>(m_parameters.gateways));
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_time + delay, m_order++, std::move(action)});
    }

    [[nodiscard]] bool has(u32 gateway, bool Trouble::*kind) const
    {
        return std::any_of(m_troubles.begin(), m_troubles.end(), [&](const Trouble &trouble) {
            return trouble.gateway == gateway && trouble.*kind && m_time >= trouble.from && m_time < trouble.until;
        });
    }

    [[nodiscard]] bool isRunning(u32 gateway) const
    {
        return !has(gateway, &Trouble::isDead) && !has(gateway, &Trouble::isFrozen);
    }

    void send(u32 from, u32 to, std::function<void()> handle)
    {
        if (from != to && (has(from, &Trouble::isUnheard) || has(to, &Trouble::hearsNothing))) {
            return;
        }
        schedule(1ms + randomUpTo(MaxDelay), [this, to, handle = std::move(handle)] {
            if (has(to, &Trouble::isFrozen)) {
                m_gateways[to]->waiting.push_back(handle);
            } else if (!has(to, &Trouble::isDead)) {
                handle();
            }
        });
    }

    // The messages that wait are handled before anything else when a gateway wakes.
    void wake(u32 index)
    {
        for (const auto &handle : std::exchange(m_gateways[index]->waiting, {})) {
            handle();
        }
    }

    void housekeep(u32 index)
    {
        schedule(Housekeeping, [this, index] { housekeep(index); });
        if (isRunning(index)) {
            wake(index);
            m_gateways[index]->permits.update(now());
        }
    }

    void report(u32 index)
    {
        schedule(reportPeriod(), [this, index] { report(index); });
        if (!isRunning(index)) {
            return;
        }
        auto &sender = *m_gateways[index];
        const auto records = sender.permits.limits().inForceOrChangedSince(now() - 10s);
        const auto votes = sender.permits.votes(now());
        const auto content = std::make_shared<const Report>(Report{sender.name, records, votes});
        for (u32 other = 0; other < m_gateways.size(); ++other) {
            if (other != index) {
                send(index, other, [this, other, content] { applyReport(other, *content); });
            }
        }
    }

    void applyReport(u32 index, const Report &report)
    {
        auto &receiver = m_gateways[index]->permits;
        receiver.coordinators().noteHeard(report.sender, now());
        receiver.coordinators().noteVotes(report.sender, report.votes);
        for (const auto &record : report.records) {
            receiver.limits().merge(record, now());
        }
    }

    void scheduleArrival(u32 index)
    {
        const bool isSkewed = m_parameters.shape == Shape::Skewed && m_parameters.gateways > 1;
        const double even = m_parameters.offered / static_cast<double>(m_parameters.gateways);
        const double others = 0.1 * m_parameters.offered / static_cast<double>(m_parameters.gateways - 1);
        const double rate = !isSkewed ? even : index == 0 ? 0.9 * m_parameters.offered : others;
        std::exponential_distribution<double> gap(rate);
        schedule(fromMilliseconds(1000 * gap(m_random)), [this, index] {
            scheduleArrival(index);
            if (isRunning(index)) {
                wake(index);
                arrive(index, true);
            }
        });
    }

    void arrive(u32 index, bool mayAsk)
    {
        auto &gateway = *m_gateways[index];
        const auto timeOfDay = 24h + m_time + gateway.skew;
        const auto permission = gateway.permits.tryTake({Endpoint, gateway.priority, timeOfDay, mayAsk}, now());
        if (permission == Permission::Granted) {
            sendRequest(index);
        } else if (permission == Permission::MustAsk) {
            ask(index);
        }
    }

    void ask(u32 index)
    {
        const auto coordinator = m_gateways[index]->permits.coordinators().coordinatorOf(Endpoint, now());
        const auto found
            = std::find_if(m_gateways.begin(), m_gateways.end(), [&](const auto &gateway) { return gateway->name == coordinator; });
        const auto other = static_cast<u32>(found - m_gateways.begin());
        auto isAnswered = std::make_shared<bool>(false);
        const auto record = *m_gateways[index]->permits.limits().find(Endpoint);
        send(index, other, [this, index, other, record, isAnswered] {
            m_gateways[other]->permits.limits().merge(record, now());
            const auto reply = m_gateways[other]->permits.answer(Endpoint, m_gateways[index]->priority, now());
            send(other, index, [this, index, reply, isAnswered] {
                if (!std::exchange(*isAnswered, true)) {
                    m_gateways[index]->permits.noteReply(Endpoint, reply, now());
                    arrive(index, false);
                }
            });
        });
        schedule(AnswerTimeout, [this, index, isAnswered] {
            if (!std::exchange(*isAnswered, true)) {
                m_gateways[index]->permits.noteReply(Endpoint, {false, 200ms}, now());
            }
        });
    }

    void sendRequest(u32 index)
    {
        m_sent.push_back(m_time);
        ++m_gateways[index]->sent;
        schedule(RunTime, [this, index, sentAt = now()] {
            if (isRunning(index)) {
                m_gateways[index]->permits.limits().noteResponse(Endpoint, StartTime, m_limit, sentAt, now());
            }
        });
    }

    Parameters m_parameters;
    std::vector<Trouble> m_troubles;
    std::mt19937_64 m_random;
    std::optional<double> m_limit;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::priority_queue<Event> m_events;
    u64 m_order = 0;
    Duration m_time{};
    std::vector<Duration> m_sent;
};

std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * toMilliseconds(Window) / 1000 + 5);
}

std::size_t leastUsed(double limit, Duration time)
{
    return static_cast<std::size_t>(MinUsedShare * limit * toMilliseconds(time) / 1000);
}

void checkKeptAndUsed(const Parameters &parameters)
{
    CAPTURE(parameters.gateways);
    CAPTURE(parameters.limit);
    CAPTURE(parameters.offered);
    CAPTURE(static_cast<u32>(parameters.shape));
    Fleet fleet(parameters);
    fleet.run();
    CHECK(fleet.mostInWindow(TimeToReact) <= allowed(parameters.limit));
    CHECK(fleet.sentIn(TimeToReact, parameters.runFor) >= leastUsed(parameters.limit, parameters.runFor - TimeToReact));
}

void checkKept(const Parameters &parameters, const std::vector<Trouble> &troubles)
{
    CAPTURE(parameters.gateways);
    CAPTURE(parameters.limit);
    CAPTURE(parameters.seed);
    Fleet fleet(parameters, troubles);
    fleet.run();
    CHECK(fleet.mostInWindow(TimeToReact) <= allowed(parameters.limit));
}

Duration runTimeFor(double limit)
{
    return limit < 1 ? 63s : limit < 10 ? 23s : 8s;
}

} // namespace

// Guards against a limit that each gateway keeps alone, and against allowances that lie unused at gateways with few callers.
TEST_CASE("gateways keep the limit of an endpoint together and use it, however many they are and wherever callers come")
{
    for (const u32 gateways : {1U, 4U, 29U, 68U}) {
        for (const double limit : {0.5, 3.0, 200.0}) {
            for (const double load : {1.5, 10.0}) {
                for (const auto shape : {Shape::Even, Shape::Skewed}) {
                    checkKeptAndUsed({gateways, limit, load * limit, shape, runTimeFor(limit), 1});
                }
            }
        }
    }
}

// Guards against a sum that grows with the number of gateways, and against limits below it that nobody may use.
TEST_CASE("three hundred gateways keep the limit of an endpoint together and use it")
{
    checkKeptAndUsed({300, 0.5, 30, Shape::Even, 13s, 1});
    checkKeptAndUsed({300, 3, 5, Shape::Skewed, 13s, 1});
    checkKeptAndUsed({300, 200, 300, Shape::Even, 6s, 1});
}

// Guards against two gateways that both issue the permits of an endpoint while they don't agree on who does.
TEST_CASE("the limit holds while the coordinator of its endpoint dies, stands still, is cut off one way or knows too few others")
{
    for (const u32 gateways : {2U, 4U, 29U}) {
        for (const double limit : {0.5, 3.0, 200.0}) {
            for (u64 seed = 0; seed < 3; ++seed) {
                const Parameters parameters{gateways, limit, 10 * limit, Shape::Even, 20s, seed};
                const u32 coordinator = Fleet(parameters).coordinator();
                checkKept(parameters, {{.gateway = coordinator, .from = 6s, .until = 12s, .isDead = true}});
                checkKept(parameters, {{.gateway = coordinator, .from = 6s, .until = 11s, .isFrozen = true}});
                checkKept(parameters, {{.gateway = coordinator, .from = 6s, .until = 6800ms, .isFrozen = true}});
                checkKept(parameters, {{.gateway = coordinator, .from = 6s, .until = 14s, .hearsNothing = true}});
                checkKept(parameters, {{.gateway = coordinator, .from = 6s, .until = 14s, .isUnheard = true}});
                Fleet fleet(parameters, {{.gateway = coordinator, .from = 0s, .hearsNothing = true}});
                fleet.setKnown(coordinator, 1);
                fleet.run();
                CHECK(fleet.mostInWindow(TimeToReact) <= allowed(limit));
            }
        }
    }
}

// Guards against halves of a fleet that each use the whole limit.
TEST_CASE("the limit holds while half of the gateways hear nothing of the others")
{
    for (const u32 gateways : {4U, 29U}) {
        std::vector<Trouble> troubles;
        for (u32 i = 0; i < gateways / 2; ++i) {
            troubles.push_back({.gateway = i, .from = 5s, .until = 14s, .hearsNothing = true, .isUnheard = true});
        }
        for (const double limit : {0.5, 3.0, 200.0}) {
            checkKept({gateways, limit, 10 * limit, Shape::Even, 20s, 1}, troubles);
        }
    }
}

// Guards against permits that end with the gateway that issued them.
TEST_CASE("the limit is used again after the coordinator of its endpoint died")
{
    for (const u32 gateways : {4U, 29U, 68U}) {
        const Parameters parameters{gateways, 3, 30, Shape::Even, 40s, 1};
        Fleet fleet(parameters, {{.gateway = Fleet(parameters).coordinator(), .from = 6s, .isDead = true}});
        fleet.run();
        CHECK(fleet.sentIn(10s, 40s) >= leastUsed(3, 30s));
    }
}

// Guards against gateways that keep to a limit that has changed or ended.
TEST_CASE("all gateways learn that a limit has risen, fallen and ended")
{
    for (const u32 gateways : {4U, 68U}) {
        Fleet fleet({gateways, 3, 400, Shape::Even, 40s, 1});
        fleet.nameFrom(10s, 100);
        fleet.nameFrom(20s, 3);
        fleet.nameFrom(30s, std::nullopt);
        fleet.run();
        CHECK(fleet.sentIn(13s, 20s) >= leastUsed(100, 7s));
        CHECK(fleet.sentIn(23s, 27s) <= allowed(3));
        CHECK(fleet.sentIn(33s, 40s) >= leastUsed(400, 7s));
    }
}

// Guards against urgent requests that find the limit used up by less urgent ones.
TEST_CASE("urgent requests get permits before others")
{
    Fleet fleet({4, 5, 16, Shape::Even, 43s, 1});
    fleet.setPriority(2, 0);
    fleet.run();
    // The urgent gateway has four requests a second, less than the limit.
    CHECK(static_cast<double>(fleet.sentBy(2)) >= MinUsedShare * 4 * 40);
    CHECK(fleet.sentIn(TimeToReact, 43s) >= leastUsed(5, 40s));
}
