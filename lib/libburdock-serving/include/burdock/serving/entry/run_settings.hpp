#pragma once

#include <burdock/link.pb.h>
#include <burdock/serving/config/snapshot.hpp>
#include <burdock/verdict.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdock::serving {

/** @brief The part of a caller's request that does not depend on the configuration, which can change while the request runs. */
struct RunSpec
{
    std::string customer; ///< name of the authenticated customer
    TimePoint deadline{};
    u64 fingerprint = 0;
    std::vector<u64> features; ///< hashes of the parts of the prompt that other requests may share
    std::optional<schema::PromptWork> prompt; ///< without weight version and block keys, which depend on the settings and the endpoint
    std::optional<schema::ServiceWork> service; ///< without the `repeatable` flag, which depends on the settings
};

/** @brief The settings of a request that are read from one configuration. */
struct RunSettings
{
    std::shared_ptr<const Snapshot> config;
    std::string pool;
    i32 priority = 0;
    std::string weightVersion; ///< only for prompts
    bool isRepeatable = true;
};

/** @brief The settings of a request in a configuration, or the reason why the configuration refuses it. */
[[nodiscard]] std::variant<RunSettings, RefusalReason> resolveRunSettings(const RunSpec &spec,
                                                                          const std::shared_ptr<const Snapshot> &config);

} // namespace burdock::serving
