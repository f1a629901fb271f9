#include <burdock/serving/link_messages.hpp>

#include <burdock/schema/crash_features.hpp>

namespace burdock::serving {

const schema::RunRef *runRefOf(const schema::LinkMessage &message)
{
    switch (message.body_case()) {
    case schema::LinkMessage::kRunRequest:
        return &message.run_request().ref();
    case schema::LinkMessage::kRunAccepted:
        return &message.run_accepted().ref();
    case schema::LinkMessage::kRunHead:
        return &message.run_head().ref();
    case schema::LinkMessage::kRunChunk:
        return &message.run_chunk().ref();
    case schema::LinkMessage::kRunEnd:
        return &message.run_end().ref();
    case schema::LinkMessage::kRunRefused:
        return &message.run_refused().ref();
    case schema::LinkMessage::kRunAck:
        return &message.run_ack().ref();
    case schema::LinkMessage::kRunResume:
        return &message.run_resume().ref();
    case schema::LinkMessage::kRunCancel:
        return &message.run_cancel().ref();
    default:
        return nullptr;
    }
}

const schema::EndpointLoad *endpointLoadOf(const schema::LinkMessage &message)
{
    if (message.has_heartbeat() && message.heartbeat().has_load()) {
        return &message.heartbeat().load();
    }
    if (message.has_run_accepted() && message.run_accepted().has_load()) {
        return &message.run_accepted().load();
    }
    if (message.has_run_end() && message.run_end().has_load()) {
        return &message.run_end().load();
    }
    if (message.has_run_refused() && message.run_refused().has_load()) {
        return &message.run_refused().load();
    }
    return nullptr;
}

membership::ReportedLoad toReportedLoad(const schema::EndpointLoad &load)
{
    membership::ReportedLoad reported;
    reported.running = load.running();
    reported.queued = load.queued();
    reported.limit = load.limit();
    reported.isLeaving = load.leaving();
    reported.loaded.assign(load.loaded().begin(), load.loaded().end());
    return reported;
}

void addSuspectUpdate(schema::Heartbeat &heartbeat, const retry::SuspectUpdate &update)
{
    for (const auto &record : update.records) {
        auto *suspect = heartbeat.add_suspects();
        suspect->set_fingerprint(record.fingerprint);
        suspect->set_crashes(record.crashes);
        suspect->set_age_ms(static_cast<u32>(toMilliseconds(record.age)));
        suspect->set_unproven(record.unproven);
    }
    for (const auto &record : update.features) {
        *heartbeat.add_crash_features() = schema::toMessage(record);
    }
    heartbeat.set_suspects_up_to(update.lastSequence);
    heartbeat.set_crash_features_up_to(update.lastFeatureSequence);
    heartbeat.set_crash_features_heard(update.acknowledgedFeatureSequence);
    heartbeat.set_suspects_heard(update.acknowledgedSequence);
    heartbeat.set_suspects_heard_boot_id(update.acknowledgedProcess);
}

retry::SuspectUpdate toSuspectUpdate(const schema::Heartbeat &heartbeat)
{
    retry::SuspectUpdate update;
    for (const auto &suspect : heartbeat.suspects()) {
        update.records.push_back(
            {suspect.fingerprint(), suspect.crashes(), std::chrono::milliseconds(suspect.age_ms()), suspect.unproven()});
    }
    for (const auto &feature : heartbeat.crash_features()) {
        update.features.push_back(schema::toRecord(feature));
    }
    update.lastSequence = heartbeat.suspects_up_to();
    update.lastFeatureSequence = heartbeat.crash_features_up_to();
    update.acknowledgedFeatureSequence = heartbeat.crash_features_heard();
    update.acknowledgedSequence = heartbeat.suspects_heard();
    update.acknowledgedProcess = heartbeat.suspects_heard_boot_id();
    return update;
}

std::string weightName(std::string_view model, std::string_view version)
{
    return std::string(model) + "@" + std::string(version);
}

} // namespace burdock::serving
