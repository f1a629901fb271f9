#pragma once

#include <burdock/link.pb.h>
#include <burdock/serving/config/snapshot.hpp>
#include <burdock/verdict.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdock::serving {

/** @brief A caller's request on its way to an endpoint: what stays the same whatever configuration comes into force meanwhile. */
struct RunSpec
{
    std::string customer; ///< by name, as the caller has proved it
    TimePoint deadline{};
    u64 fingerprint = 0;
    std::optional<schema::PromptWork> prompt; ///< without weight version and block keys, which follow from terms and endpoint
    std::optional<schema::ServiceWork> service; ///< without the word whether it is repeatable, which follows from the terms
};

/** @brief What one configuration says of a request. */
struct RunTerms
{
    std::shared_ptr<const Snapshot> config;
    std::string pool;
    i32 priority = 0;
    std::string weightVersion; ///< of a prompt
    bool isRepeatable = true;
};

/** @brief The terms of a request in a configuration, or the reason for which it is refused there. */
[[nodiscard]] std::variant<RunTerms, RefusalReason> readTerms(const RunSpec &spec, const std::shared_ptr<const Snapshot> &config);

} // namespace burdock::serving
