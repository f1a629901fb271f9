#include <burdock/schema/crash_features.hpp>

namespace burdock::schema {

namespace {

u32 toAgeMs(Duration age)
{
    return static_cast<u32>(toMilliseconds(age));
}

} // namespace

CrashFeature toMessage(const retry::FeatureRecord &record)
{
    CrashFeature message;
    message.set_feature(record.feature);
    for (const auto &crash : record.crashes) {
        auto *out = message.add_crashes();
        out->set_endpoint(crash.endpoint);
        out->set_age_ms(toAgeMs(crash.age));
        out->set_early(crash.isEarly);
        out->set_repeated_run(crash.repeatedRun);
    }
    if (record.clearedAge) {
        message.set_cleared_age_ms(toAgeMs(*record.clearedAge));
    }
    return message;
}

retry::FeatureRecord toRecord(const CrashFeature &message)
{
    retry::FeatureRecord record;
    record.feature = message.feature();
    for (const auto &crash : message.crashes()) {
        record.crashes.push_back({crash.endpoint(), std::chrono::milliseconds(crash.age_ms()), crash.early(), crash.repeated_run()});
    }
    if (message.has_cleared_age_ms()) {
        record.clearedAge = std::chrono::milliseconds(message.cleared_age_ms());
    }
    return record;
}

} // namespace burdock::schema
