#include <burdock/limits/named_limits.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace burdock::limits {

namespace {

/** How long the record of an endpoint that isn't known is kept, as its registration may arrive later. */
constexpr Duration UnknownEndpointRetention = std::chrono::seconds(60);

double rateOf(const std::optional<double> &perSecond)
{
    return perSecond.value_or(std::numeric_limits<double>::infinity());
}

void change(NamedLimit &record, std::optional<double> perSecond, TimePoint now)
{
    record.perSecond = perSecond;
    record.changedAt = now;
    ++record.version;
}

} // namespace

NamedLimits::NamedLimits(const NamedLimitPolicy &policy)
    : m_policy(policy)
{
}

bool NamedLimits::noteResponse(u64 endpoint, u64 startTimeMs, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto found = m_records.find(endpoint);
    const bool isKnown = found != m_records.end() && found->second.startTimeMs >= startTimeMs;
    if (isKnown && found->second.startTimeMs > startTimeMs) {
        return false;
    }
    if (!isKnown) {
        if (!perSecond) {
            return m_records.erase(endpoint) > 0;
        }
        m_records[endpoint] = NamedLimit{endpoint, startTimeMs, 1, perSecond, now, now};
        return true;
    }
    auto &record = found->second;
    if (perSecond) {
        return noteNamed(record, *perSecond, sentAt, now);
    }
    const bool isLifted = record.perSecond && sentAt >= record.confirmedAt;
    if (isLifted) {
        change(record, std::nullopt, now);
    }
    return isLifted;
}

// A response may have waited on its way while a later one was received. So it raises a limit only if its request was sent afterwards.
bool NamedLimits::noteNamed(NamedLimit &record, double perSecond, TimePoint sentAt, TimePoint now) const
{
    if (record.perSecond == perSecond) {
        record.confirmedAt = now;
        return false;
    }
    const bool isLater = sentAt >= std::max(record.confirmedAt, record.changedAt);
    if (!isLater && perSecond > rateOf(record.perSecond)) {
        return false;
    }
    change(record, perSecond, now);
    record.confirmedAt = now;
    return true;
}

bool NamedLimits::merge(const NamedLimit &record, TimePoint now)
{
    auto &known = m_records.try_emplace(record.endpoint, NamedLimit{record.endpoint, 0, 0, std::nullopt, {}, {}}).first->second;
    const auto order = std::tie(record.startTimeMs, record.version);
    const auto knownOrder = std::tie(known.startTimeMs, known.version);
    if (order < knownOrder) {
        return false;
    }
    const bool isSame = order == knownOrder;
    const auto before = known.startTimeMs == record.startTimeMs ? known.perSecond : std::nullopt;
    const auto confirmedBefore = isSame ? known.confirmedAt : TimePoint{};
    if (!isSame || rateOf(record.perSecond) < rateOf(known.perSecond)) {
        known = record;
        known.changedAt = now;
    }
    known.confirmedAt = std::max(confirmedBefore, std::min(record.confirmedAt, now));
    return known.perSecond != before;
}

const NamedLimit *NamedLimits::find(u64 endpoint) const
{
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? nullptr : &found->second;
}

// An endpoint may name no limit any more only because nobody asks it. So one whose limit wasn't confirmed for long gets some requests, but
// not many at once, as it may still be in need.
std::optional<double> NamedLimits::allowedPerSecond(u64 endpoint, TimePoint now) const
{
    const auto *record = find(endpoint);
    if (record == nullptr || !record->perSecond) {
        return std::nullopt;
    }
    const bool isConfirmed = now - record->confirmedAt < m_policy.confirmationLifetime;
    if (isConfirmed && *record->perSecond > 0) {
        return record->perSecond;
    }
    return std::clamp(*record->perSecond, m_policy.minTrialsPerSecond, m_policy.maxTrialsPerSecond);
}

std::vector<NamedLimit> NamedLimits::inForceOrChangedSince(TimePoint time) const
{
    std::vector<NamedLimit> records;
    for (const auto &[endpoint, record] : m_records) {
        if (record.perSecond || record.changedAt >= time) {
            records.push_back(record);
        }
    }
    return records;
}

std::size_t NamedLimits::inForceCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

void NamedLimits::noteInstance(u64 endpoint, u64 startTimeMs)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.startTimeMs < startTimeMs) {
        m_records.erase(found);
    }
}

void NamedLimits::expire(const std::function<bool(u64 endpoint)> &isKnown, TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const auto touchedAt = std::max(entry.second.confirmedAt, entry.second.changedAt);
        return !isKnown(entry.first) && now - touchedAt >= UnknownEndpointRetention;
    });
}

} // namespace burdock::limits
