#include <burdock/serving/config/config_steps.hpp>

#include <burdock/hash/digest.hpp>

namespace burdock::serving {

std::string stepId(const std::string &bytes)
{
    return std::string(hash::asBytes(hash::plainDigest256(bytes)));
}

std::optional<config::ChangeStep> readChangeStep(const std::string &bytes)
{
    schema::SignedChange signedChange;
    schema::Change change;
    if (!signedChange.ParseFromString(bytes) || !change.ParseFromString(signedChange.document())) {
        return std::nullopt;
    }
    return config::ChangeStep{change.version(), stepId(bytes), change.previous(), bytes};
}

std::optional<config::Steps> toSteps(const schema::ConfigSteps &message)
{
    config::Steps steps;
    if (!message.whole().empty()) {
        steps.bundle = config::BundleStep{message.whole_version(), message.whole_id(), message.whole()};
    }
    for (const auto &bytes : message.changes()) {
        auto change = readChangeStep(bytes);
        if (!change) {
            return std::nullopt;
        }
        steps.changes.push_back(std::move(*change));
    }
    return steps;
}

schema::ConfigSteps toMessage(const config::Steps &steps)
{
    schema::ConfigSteps message;
    if (steps.bundle) {
        message.set_whole(steps.bundle->bytes);
        message.set_whole_version(steps.bundle->version);
        message.set_whole_id(steps.bundle->id);
    }
    for (const auto &change : steps.changes) {
        message.add_changes(change.bytes);
    }
    return message;
}

} // namespace burdock::serving
