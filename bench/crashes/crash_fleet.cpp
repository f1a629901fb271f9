#include "crash_fleet.hpp"

#include <algorithm>
#include <random>

namespace crashes {

namespace {

using namespace std::chrono_literals;
using burdock::retry::RunPermission;

constexpr Duration Step = 10ms;
constexpr Duration GossipPeriod = 400ms;
constexpr Duration SnapshotPeriod = 2s;
constexpr Duration CrashDelay = 60ms;
constexpr Duration StartDelay = 20ms;
constexpr Duration TimeToStop = 3s;
constexpr u32 CrashesBeforeBound = 5;
constexpr u32 LostOneIn = 10;
constexpr u32 Zones = 4;
constexpr u64 FirstPart = 2;
constexpr u64 CrashingPart = 4;
constexpr u64 FirstDocument = 1000;
constexpr u64 FirstOwn = 1'000'000;
constexpr u64 StartsPerEngine = 1'000'000;

} // namespace

Fleet::Fleet(const FleetParameters &parameters, const burdock::retry::CrashAttributionPolicy &policy, u64 seed)
    : m_parameters(parameters)
    , m_random(seed)
    , m_engines(parameters.engines)
{
    std::vector<std::string> names;
    for (u32 i = 0; i < parameters.gateways; ++i) {
        names.push_back(std::to_string(i));
    }
    for (u32 i = 0; i < parameters.gateways; ++i) {
        m_gateways.push_back({burdock::retry::CrashAttribution(policy), upTo(parameters.slice), {}});
        m_gateways.back().attribution.setMembers(names[i], names);
    }
}

FleetResult Fleet::run(Duration length)
{
    for (m_now = m_start; m_now < m_start + length; m_now += Step) {
        arriveAll();
        crashEngines();
        for (auto &engine : m_engines) {
            advance(engine);
        }
        for (auto &gateway : m_gateways) {
            handleEvents(gateway);
        }
        if ((m_now - m_start) % GossipPeriod == 0us) {
            gossip();
        }
    }
    return m_result;
}

u32 Fleet::draw(double mean)
{
    return mean > 0 ? std::poisson_distribution<u32>(mean)(m_random) : 0;
}

u32 Fleet::below(u32 bound)
{
    return std::uniform_int_distribution<u32>(0, bound - 1)(m_random);
}

Duration Fleet::upTo(Duration longest)
{
    return longest > Duration::zero() ? Duration(below(static_cast<u32>(longest.count()))) : Duration::zero();
}

// Few documents are used often and many seldom.
u64 Fleet::documentPart(u32 count)
{
    const double position = std::uniform_real_distribution<double>(0, 1)(m_random);
    return burdock::retry::partFeature(FirstDocument + 2 * static_cast<u64>(position * position * count));
}

bool Fleet::isLate() const
{
    return m_fifthCrashAt && m_now > *m_fifthCrashAt + TimeToStop;
}

void Fleet::arriveAll()
{
    const double seconds = burdock::toMilliseconds(Step) / 1000;
    for (u32 i = draw(m_parameters.soundPerSecond * seconds); i > 0; --i) {
        arrive({FirstPart, documentPart(m_parameters.documents)}, false);
    }
    const bool isCrashTime = m_now >= m_start + m_parameters.crashesFrom;
    for (u32 i = isCrashTime ? draw(m_parameters.crashingPerSecond * seconds) : 0; i > 0; --i) {
        arrive({FirstPart, documentPart(m_parameters.documentsOfCrashing), CrashingPart}, true);
    }
}

void Fleet::arrive(Features shared, bool isCrashing)
{
    Event event;
    event.at = m_now;
    shared.push_back(burdock::retry::requestFeature(FirstOwn + 2 * ++m_lastOwn));
    event.run.features = std::move(shared);
    event.run.gateway = below(m_parameters.gateways);
    event.run.isCrashing = isCrashing;
    m_gateways[event.run.gateway].events.push_back(std::move(event));
}

void Fleet::crashEngines()
{
    for (const auto &mass : m_parameters.massCrashes) {
        if (m_now != m_start + mass.at) {
            continue;
        }
        const u32 zone = below(Zones);
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const bool isHit = mass.isZone ? i % Zones == zone : std::uniform_real_distribution<double>(0, 1)(m_random) < mass.share;
            if (isHit && m_now >= m_engines[i].upFrom) {
                crash(m_engines[i]);
            }
        }
    }
    const auto from = m_start + m_parameters.crashesFrom;
    if (m_now < from || m_now >= from + m_parameters.randomCrashesFor) {
        return;
    }
    for (u32 i = draw(m_parameters.randomCrashesPerSecond * burdock::toMilliseconds(Step) / 1000); i > 0; --i) {
        if (auto *engine = pickEngine()) {
            crash(*engine);
        }
    }
}

void Fleet::handleEvents(Gateway &gateway)
{
    if (gateway.events.empty()) {
        return;
    }
    if (m_parameters.slice > Duration::zero() && (m_now - m_start + gateway.phase) % m_parameters.slice >= Step) {
        return;
    }
    auto events = std::move(gateway.events);
    gateway.events.clear();
    std::stable_sort(events.begin(), events.end(), [](const Event &left, const Event &right) { return left.at < right.at; });
    for (auto &event : events) {
        if (event.at > m_now) {
            gateway.events.push_back(std::move(event));
        } else {
            handle(gateway, event);
        }
    }
}

void Fleet::handle(Gateway &gateway, const Event &event)
{
    switch (event.kind) {
    case EventKind::Prompt:
        place(gateway, event.run);
        return;
    case EventKind::Progress:
        gateway.attribution.noteProgress(event.run.features, event.run.begun, m_now);
        return;
    case EventKind::Success:
        gateway.attribution.noteSuccess(event.run.features, event.run.begun, m_now);
        return;
    case EventKind::Crash:
        gateway.attribution.noteCrash(event.endpoint, event.run.features, event.run.begun, m_now);
        return;
    case EventKind::Message:
        for (const auto &record : *event.records) {
            gateway.attribution.merge(record, m_now);
        }
        return;
    }
}

void Fleet::place(Gateway &gateway, const Run &prompt)
{
    const auto permission = gateway.attribution.tryBegin(prompt.features, m_now);
    m_result.sound += prompt.isCrashing ? 0 : 1;
    m_result.laterSound += isLate() && !prompt.isCrashing ? 1 : 0;
    if (permission == RunPermission::Refused) {
        m_result.soundRefused += prompt.isCrashing ? 0 : 1;
        m_result.laterSoundRefused += isLate() && !prompt.isCrashing ? 1 : 0;
        return;
    }
    auto *engine = pickEngine();
    if (engine == nullptr) {
        gateway.attribution.returnPermission(prompt.features, m_now);
        return;
    }
    m_result.laterArrivals += isLate() && prompt.isCrashing ? 1 : 0;
    auto run = prompt;
    run.begun = m_now + StartDelay;
    run.end = run.begun + (prompt.isCrashing ? CrashDelay : m_parameters.runTime / 4 + m_parameters.runTime * below(100) / 66);
    engine->runs.push_back(std::move(run));
}

/** @brief Returns a random engine that is up; null if there is none. */
Fleet::Engine *Fleet::pickEngine()
{
    const bool isAnyUp = std::any_of(m_engines.begin(), m_engines.end(), [this](const Engine &engine) { return m_now >= engine.upFrom; });
    while (isAnyUp) {
        auto &engine = m_engines[below(static_cast<u32>(m_engines.size()))];
        if (m_now >= engine.upFrom) {
            return &engine;
        }
    }
    return nullptr;
}

void Fleet::advance(Engine &engine)
{
    const bool hasCrashed
        = std::any_of(engine.runs.begin(), engine.runs.end(), [this](const Run &run) { return run.isCrashing && run.end <= m_now; });
    if (hasCrashed) {
        crash(engine);
        if (++m_result.crashes == CrashesBeforeBound) {
            m_fifthCrashAt = m_now;
        }
        return;
    }
    std::erase_if(engine.runs, [this](Run &run) {
        if (run.end > m_now) {
            noteProgress(run);
            return false;
        }
        Event event;
        event.at = m_now + upTo(m_parameters.answerDelay);
        event.kind = EventKind::Success;
        event.run = std::move(run);
        m_gateways[event.run.gateway].events.push_back(std::move(event));
        return true;
    });
}

void Fleet::noteProgress(Run &run)
{
    if (run.isProgressNoted || m_now - run.begun <= burdock::retry::CrashAttributionPolicy{}.earlyTime) {
        return;
    }
    run.isProgressNoted = true;
    Event event;
    event.at = m_now + upTo(m_parameters.answerDelay);
    event.kind = EventKind::Progress;
    event.run = run;
    m_gateways[run.gateway].events.push_back(std::move(event));
}

void Fleet::crash(Engine &engine)
{
    for (auto &run : engine.runs) {
        Event event;
        event.at = m_now;
        event.kind = EventKind::Crash;
        event.endpoint = engine.starts + StartsPerEngine * static_cast<u64>(&engine - m_engines.data());
        event.run = std::move(run);
        m_gateways[event.run.gateway].events.push_back(std::move(event));
    }
    engine.runs.clear();
    ++engine.starts;
    engine.upFrom = m_now + m_parameters.downtime;
}

// Each message repeats what was observed during the last two periods.
void Fleet::gossip()
{
    for (u32 from = 0; from < m_gateways.size(); ++from) {
        auto records = m_gateways[from].attribution.observationsSince(m_now - 2 * GossipPeriod, m_now);
        if ((m_now - m_start) % SnapshotPeriod == 0us) {
            const auto blamed = m_gateways[from].attribution.blamedRecords(m_now);
            records.insert(records.end(), blamed.begin(), blamed.end());
        }
        if (records.empty()) {
            continue;
        }
        const auto shared = std::make_shared<const Records>(std::move(records));
        for (u32 to = 0; to < m_gateways.size(); ++to) {
            if (to == from || below(LostOneIn) == 0) {
                continue;
            }
            Event event;
            event.at = m_now + upTo(m_parameters.maxMessageDelay);
            event.kind = EventKind::Message;
            event.records = shared;
            m_gateways[to].events.push_back(std::move(event));
        }
    }
}

} // namespace crashes
