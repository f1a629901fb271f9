#pragma once

#include <burdock/retry/crash_attribution.hpp>

#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace crashes {

using burdock::Duration;
using burdock::TimePoint;
using burdock::u32;
using burdock::u64;

/** @brief Many engines that crash at the same moment for a reason outside their requests. */
struct MassCrash
{
    Duration at{};
    double share = 0.3; ///< of the engines
    bool isZone = false; ///< all of the engines of one of the zones, in place of a random share of all
};

/** @brief A simulated deployment, its load and what crashes its engines. */
struct FleetParameters
{
    u32 gateways = 4;
    u32 engines = 12;
    double soundPerSecond = 150;
    double crashingPerSecond = 4; ///< prompts with a part that crashes engines
    Duration crashesFrom = std::chrono::seconds(3); ///< of the prompts that crash engines, and of the random crashes
    Duration runTime = std::chrono::milliseconds(1500);
    u32 documents = 200;
    u32 documentsOfCrashing = 200; ///< the crashing prompts use only so many of them
    std::vector<MassCrash> massCrashes;
    double randomCrashesPerSecond = 0; ///< of single engines, for a reason outside their requests
    Duration randomCrashesFor = std::chrono::seconds(10);
    Duration downtime = std::chrono::seconds(4);
    /** Gateways with little processor time handle what has arrived only once in each slice; zero if at once. */
    Duration slice{};
    /** Maximum time until a gateway has read the rest of an answer that has ended; the loss of a connection is noticed without it. */
    Duration answerDelay{};
    Duration maxMessageDelay{};
};

/** @brief What happened to the requests of a simulated deployment. */
struct FleetResult
{
    u32 crashes = 0; ///< by prompts
    u32 laterArrivals = 0; ///< of crashing prompts, over three seconds after the fifth of these crashes
    u32 laterSound = 0; ///< sound prompts since then
    u32 laterSoundRefused = 0;
    u32 sound = 0; ///< all sound prompts
    u32 soundRefused = 0;
};

/** @brief Simulated gateways that place prompts on engines, some of which crash, and tell each other what they observe. */
class Fleet
{
public:
    Fleet(const FleetParameters &parameters, const burdock::retry::CrashAttributionPolicy &policy, u64 seed);

    FleetResult run(Duration length);

private:
    using Features = burdock::retry::CrashAttribution::Features;
    using Records = std::vector<burdock::retry::FeatureRecord>;

    struct Run
    {
        Features features;
        u32 gateway = 0;
        TimePoint begun{};
        TimePoint end{};
        bool isCrashing = false;
        bool isProgressNoted = false;
    };
    struct Engine
    {
        u64 starts = 0;
        TimePoint upFrom{};
        std::vector<Run> runs;
    };
    enum class EventKind : burdock::u8 {
        Prompt,
        Progress,
        Success,
        Crash,
        Message,
    };
    /** @brief Something that a gateway handles once it has processor time. */
    struct Event
    {
        TimePoint at{};
        EventKind kind = EventKind::Prompt;
        Run run;
        u64 endpoint = 0; ///< of a crash
        std::shared_ptr<const Records> records; ///< of a message; it goes to many gateways
    };
    struct Gateway
    {
        burdock::retry::CrashAttribution attribution;
        Duration phase{}; ///< of its slices
        std::vector<Event> events;
    };

    [[nodiscard]] u32 draw(double mean);
    [[nodiscard]] u32 below(u32 bound);
    [[nodiscard]] Duration upTo(Duration longest);
    [[nodiscard]] u64 documentPart(u32 count);
    [[nodiscard]] bool isLate() const;
    void arrive(Features shared, bool isCrashing);
    void arriveAll();
    void crashEngines();
    void handleEvents(Gateway &gateway);
    void handle(Gateway &gateway, const Event &event);
    void place(Gateway &gateway, const Run &prompt);
    [[nodiscard]] Engine *pickEngine();
    void advance(Engine &engine);
    void noteProgress(Run &run);
    void crash(Engine &engine);
    void gossip();

    FleetParameters m_parameters;
    pcg32 m_random;
    std::vector<Engine> m_engines;
    std::vector<Gateway> m_gateways;
    TimePoint m_start{std::chrono::seconds(1000)};
    TimePoint m_now{};
    u64 m_lastOwn = 0;
    std::optional<TimePoint> m_fifthCrashAt;
    FleetResult m_result;
};

} // namespace crashes
