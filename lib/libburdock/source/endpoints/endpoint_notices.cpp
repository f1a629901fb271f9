#include <burdock/endpoints/endpoint_notices.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

/** Parts into which the spread is divided. */
constexpr u64 SpreadSteps = 1024;

} // namespace

EndpointNotices::EndpointNotices(const NoticePolicy &policy, u64 own)
    : m_policy(policy)
    , m_own(own)
{
}

void EndpointNotices::setEntryCount(std::size_t count)
{
    m_entryCount = std::max<std::size_t>(1, count);
}

void EndpointNotices::noteAnswer(u64 endpoint, u64 startTimeMs, const Notice &notice, TimePoint sentAt, TimePoint now)
{
    auto found = m_records.find(endpoint);
    const bool isKnown = found != m_records.end() && found->second.startTimeMs >= startTimeMs;
    if (isKnown && found->second.startTimeMs > startTimeMs) {
        return;
    }
    const bool asksForRest = notice.rest && *notice.rest > Duration::zero();
    if (!isKnown) {
        if (!asksForRest && !notice.isLeaving) {
            m_records.erase(endpoint);
            return;
        }
        found = m_records.insert_or_assign(endpoint, Record{startTimeMs, {}, {}, {}}).first;
    }
    auto &record = found->second;
    if (notice.isLeaving) {
        record.leavesUntil = now + m_policy.leavingLifetime;
    }
    if (asksForRest) {
        const auto returnsAt = now + std::min(*notice.rest, m_policy.maxRest) + returnDelay(endpoint);
        record.returnsAt = std::max(record.returnsAt.value_or(returnsAt), returnsAt);
        record.trialSentAt.reset();
    } else if (record.returnsAt && sentAt >= *record.returnsAt) {
        record.returnsAt.reset();
        record.trialSentAt.reset();
    }
}

void EndpointNotices::noteSent(u64 endpoint, TimePoint now)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.returnsAt && now >= *found->second.returnsAt) {
        found->second.trialSentAt = now;
    }
}

bool EndpointNotices::mayUse(u64 endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    return found == m_records.end() || !isInForce(found->second, now);
}

bool EndpointNotices::isLeaving(u64 endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && found->second.leavesUntil && now < *found->second.leavesUntil;
}

std::optional<TimePoint> EndpointNotices::returnOf(u64 endpoint) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end() || !found->second.returnsAt) {
        return std::nullopt;
    }
    const auto &record = found->second;
    return record.trialSentAt ? std::max(*record.returnsAt, *record.trialSentAt + m_policy.trialTimeout) : *record.returnsAt;
}

std::size_t EndpointNotices::countInForce(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [&](const auto &entry) { return isInForce(entry.second, now); }));
}

void EndpointNotices::noteInstance(u64 endpoint, u64 startTimeMs)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.startTimeMs != startTimeMs) {
        m_records.erase(found);
    }
}

void EndpointNotices::expire(const std::function<bool(u64 endpoint)> &isKnown, TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        // A rest that has ended still wants its trial, unless the endpoint is gone.
        const bool awaitsTrial = entry.second.returnsAt && isKnown(entry.first);
        return !awaitsTrial && !isInForce(entry.second, now);
    });
}

// Endpoints in need refuse many entries at the same moment, whose rests then end together.
Duration EndpointNotices::returnDelay(u64 endpoint) const
{
    const auto others = static_cast<i64>(m_entryCount - 1);
    const auto spread = std::min(m_policy.returnSpreadPerEntry * others, m_policy.maxReturnSpread);
    const u64 step = hash::mix64(m_own + hash::mix64(endpoint)) % SpreadSteps;
    return spread * static_cast<i64>(step) / static_cast<i64>(SpreadSteps);
}

bool EndpointNotices::isInForce(const Record &record, TimePoint now) const
{
    if (record.leavesUntil && now < *record.leavesUntil) {
        return true;
    }
    const bool rests = record.returnsAt && now < *record.returnsAt;
    const bool isTried = record.trialSentAt && now < *record.trialSentAt + m_policy.trialTimeout;
    return rests || isTried;
}

} // namespace burdock::endpoints
