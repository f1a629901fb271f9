#include <burdock/schema/endpoint_limits.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::schema {

namespace {

/** Longer ages are treated as this one. */
constexpr Duration MaxAge = std::chrono::hours(1);

} // namespace

EndpointLimit toMessage(const limits::NamedLimit &record, TimePoint now)
{
    EndpointLimit message;
    message.set_endpoint(record.endpoint);
    message.set_start_time_ms(record.startTimeMs);
    message.set_version(record.version);
    if (record.perSecond) {
        message.set_per_second(*record.perSecond);
    }
    message.set_age_us(static_cast<u64>(std::clamp(now - record.confirmedAt, Duration::zero(), MaxAge).count()));
    return message;
}

std::optional<limits::NamedLimit> toRecord(const EndpointLimit &message, TimePoint now)
{
    const bool isPossible = !message.has_per_second() || (std::isfinite(message.per_second()) && message.per_second() >= 0);
    if (!isPossible) {
        return std::nullopt;
    }
    const Duration age(static_cast<i64>(std::min<u64>(message.age_us(), static_cast<u64>(MaxAge.count()))));
    const auto perSecond = message.has_per_second() ? std::optional(message.per_second()) : std::nullopt;
    return limits::NamedLimit{message.endpoint(), message.start_time_ms(), message.version(), perSecond, now - age, now};
}

} // namespace burdock::schema
