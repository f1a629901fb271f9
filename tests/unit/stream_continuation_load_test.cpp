#include <burdock/endpoints/endpoint_table.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <pcg_random.hpp>

using namespace burdock;
using namespace burdock::endpoints;
using namespace std::chrono_literals;

namespace {

constexpr u32 EngineCount = 12;
constexpr u32 OldEngineCount = 2;
constexpr u64 PrefillTokensPerMs = 112;
constexpr u32 ContinuationOneIn = 20;
constexpr Duration Step = 1ms;
constexpr Duration RunTime = 500ms;
constexpr Duration SimulatedTime = 30s;
constexpr Duration Target = 400ms;

/** @brief Load that exceeds what the engines can take. */
struct Overload
{
    u64 prefill = 0; ///< tokens per prompt
    u64 memory = 0; ///< tokens per prompt and answer
    u64 engineMemory = 0;
    u32 percentOfCapacity = 0;
};

struct Shares
{
    u32 newSent = 0;
    u32 newBegun = 0;
    u32 continuedSent = 0;
    u32 continuedBegun = 0;

    [[nodiscard]] double newShare() const
    {
        return static_cast<double>(newBegun) / newSent;
    }

    [[nodiscard]] double continuedShare() const
    {
        return static_cast<double>(continuedBegun) / continuedSent;
    }
};

/** @brief Twelve engines, two of them with an older version, under more prompts than they can take; some continue streams of the old
 * version. */
class Simulation
{
public:
    explicit Simulation(const Overload &load)
        : m_load(load)
        , m_table(Policy{})
        , m_random(7)
    {
        m_table.setServiceLimits("engines", load.engineMemory, 0);
        for (u32 i = 0; i < EngineCount; ++i) {
            Registration registration;
            registration.id = "engine-" + std::to_string(i);
            registration.service = "engines";
            registration.address = "10.0.0.1:80";
            registration.zone = "zone-0";
            registration.slots = 128;
            registration.softwareVersion = i < OldEngineCount ? "v1" : "v2";
            m_table.setRegistration(registration, TimePoint(1h));
        }
        m_oldSoftware = m_table.find("engine-0")->software;
    }

    Shares run()
    {
        const double prefillsPerMs = static_cast<double>(EngineCount * PrefillTokensPerMs) / static_cast<double>(m_load.prefill);
        const u64 promptsInMemory = EngineCount * (m_load.engineMemory / m_load.memory);
        const double runsPerMs = static_cast<double>(promptsInMemory) / toMilliseconds(RunTime);
        const double capacityPerMs = std::min(prefillsPerMs, runsPerMs);
        const double arrivalsPerMs = capacityPerMs * m_load.percentOfCapacity / 100.0;
        double due = 0;
        for (Duration time = 0ms; time < SimulatedTime; time += Step) {
            const auto now = TimePoint(1h) + time;
            endDue(now);
            for (due += arrivalsPerMs * 2 * randomFraction(); due >= 1; due -= 1) {
                arrive(now);
            }
        }
        return m_shares;
    }

private:
    struct Event
    {
        std::string endpoint;
        Selection selection;
        bool isFirstEvent = false;
        TimePoint sentAt;
    };

    double randomFraction()
    {
        return static_cast<double>(m_random(1'000'000)) / 1'000'000.0;
    }

    void arrive(TimePoint now)
    {
        const bool isContinuation = m_random(ContinuationOneIn) == 0;
        SelectionRequest request;
        request.service = "engines";
        request.affinityHash = m_random();
        request.memory = m_load.memory;
        request.prefill = [this](const Endpoint &) {
            return m_load.prefill;
        };
        request.target = Target;
        request.software = isContinuation ? std::optional(m_oldSoftware) : std::nullopt;
        const auto selection = m_table.choose(request, now);
        const bool hasBegun = selection.reason == SelectionFailure::None;
        ++(isContinuation ? m_shares.continuedSent : m_shares.newSent);
        if (!hasBegun) {
            return;
        }
        ++(isContinuation ? m_shares.continuedBegun : m_shares.newBegun);
        m_table.noteSent(selection.id, selection.cost, now);
        auto &freeAt = m_freeAt[selection.id];
        freeAt = std::max(freeAt, now) + Duration(static_cast<i64>(1000 * selection.cost.prefill / PrefillTokensPerMs));
        m_events.emplace(freeAt, Event{selection.id, selection, true, now});
        m_events.emplace(freeAt + RunTime, Event{selection.id, selection, false, now});
    }

    void endDue(TimePoint now)
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = m_events.extract(m_events.begin()).mapped();
            if (event.isFirstEvent) {
                m_table.noteFirstEvent(event.endpoint, event.selection, now - event.sentAt, DelaySample::Ignore, now);
            } else {
                m_table.noteEnd(event.endpoint, event.selection.startTimeMs, {event.selection.cost.memory, 0}, Outcome::Answered, now);
            }
            m_table.noteHeard(event.endpoint, now);
        }
    }

    Overload m_load;
    EndpointTable m_table;
    pcg32 m_random;
    u64 m_oldSoftware = 0;
    std::map<std::string, TimePoint> m_freeAt;
    std::multimap<TimePoint, Event> m_events;
    Shares m_shares;
};

} // namespace

// Guards against refusing nearly all streams that callers take up, since new prompts fill the few engines that may continue them.
TEST_CASE("under overload, streams that only two engines may continue go on at least half as often as new ones begin")
{
    for (const u32 percent : {110, 130, 200}) {
        const Overload byTime{4'000, 4'050, 1'000'000, percent};
        const auto slow = Simulation(byTime).run();
        CHECK(slow.newShare() < 1);
        CHECK(slow.continuedShare() >= slow.newShare() / 2);
        MESSAGE(percent << " % of the capacity, bound by time: new " << slow.newShare() << ", continued " << slow.continuedShare());
        const Overload byMemory{200, 4'000, 40'000, percent};
        const auto full = Simulation(byMemory).run();
        CHECK(full.newShare() < 1);
        CHECK(full.continuedShare() >= full.newShare() / 2);
        MESSAGE(percent << " % of the capacity, bound by memory: new " << full.newShare() << ", continued " << full.continuedShare());
    }
}
