#include <burdock/endpoints/placement_turns.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burdock::endpoints {

namespace {

/** Time in which the weight of an arrival halves. */
constexpr Duration ArrivalHalfLife = std::chrono::seconds(2);
constexpr double Ln2 = 0.6931471805599453;
constexpr double PrefillSmoothing = 0.05;
constexpr double MicrosecondsPerSecond = 1e6;
/** Share of an engine's room that may be used between two reports; arrivals are uneven. */
constexpr double RoomShare = 0.5;
/** A report travels and waits to be read besides the time until it is sent. */
constexpr double ReportAgeFactor = 1.5;
constexpr u64 HashSteps = 1U << 16U;

} // namespace

PlacementTurns::PlacementTurns(u64 own)
    : m_own(own)
{
}

void PlacementTurns::setEntries(std::size_t entries, Duration reportPeriod)
{
    m_entries = std::max<std::size_t>(1, entries);
    m_reportPeriod = reportPeriod;
}

void PlacementTurns::noteArrival(Duration prefillTime, TimePoint now)
{
    const double halfLives = static_cast<double>((now - m_lastArrival).count()) / static_cast<double>(ArrivalHalfLife.count());
    m_recentArrivals = m_recentArrivals * std::exp2(-halfLives) + 1;
    m_lastArrival = now;
    m_meanPrefillTime += fromMilliseconds(PrefillSmoothing * toMilliseconds(prefillTime - m_meanPrefillTime));
}

std::unordered_set<u64> PlacementTurns::openEngines(std::vector<EngineRoom> rooms, Duration tolerance, TimePoint now) const
{
    std::sort(rooms.begin(), rooms.end(), [](const EngineRoom &left, const EngineRoom &right) { return left.delay < right.delay; });
    // Prompts that arrive at all entries until the next reports and that no faster engine takes.
    double unseen = arrivalsPerSecond(now) * static_cast<double>(m_entries - 1) * ReportAgeFactor
        * static_cast<double>(m_reportPeriod.count()) / MicrosecondsPerSecond;
    std::unordered_set<u64> open;
    for (auto first = rooms.begin(); first != rooms.end();) {
        const auto last = std::find_if(first, rooms.end(), [&](const EngineRoom &room) { return room.delay - first->delay >= tolerance; });
        const auto count = static_cast<double>(last - first);
        const double borne
            = std::accumulate(first, last, 0.0, [this](double sum, const EngineRoom &room) { return sum + promptsBorne(room); });
        const double taken = unseen <= borne ? 1.0 : borne / unseen;
        // Of the entries, this share finds at least one of the engines open.
        const double share = 1 - std::pow(1 - taken, 1 / count);
        for (; first != last; ++first) {
            if (isOpen(first->engine, share, now)) {
                open.insert(first->engine);
            }
        }
        unseen *= 1 - taken;
    }
    return open;
}

bool PlacementTurns::isOpen(u64 engine, double share, TimePoint now) const
{
    const auto period = static_cast<u64>(now.time_since_epoch().count() / std::max<i64>(1, m_reportPeriod.count()));
    const u64 hashed = hash::mix64(engine ^ hash::mix64(m_own ^ hash::mix64(period)));
    return static_cast<double>(hashed % HashSteps) < share * static_cast<double>(HashSteps);
}

double PlacementTurns::promptsBorne(const EngineRoom &room) const
{
    const double begins = toMilliseconds(std::max(Duration::zero(), room.slack)) / std::max(1.0, toMilliseconds(m_meanPrefillTime));
    return std::max(1.0, RoomShare * std::min(static_cast<double>(room.freeSlots), begins));
}

double PlacementTurns::arrivalsPerSecond(TimePoint now) const
{
    const double halfLives = static_cast<double>((now - m_lastArrival).count()) / static_cast<double>(ArrivalHalfLife.count());
    const double decayed = m_recentArrivals * std::exp2(-halfLives);
    return decayed * Ln2 * MicrosecondsPerSecond / static_cast<double>(ArrivalHalfLife.count());
}

} // namespace burdock::endpoints
