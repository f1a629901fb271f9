#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/config/change_history.hpp>

#include <optional>
#include <string>

/** @brief Converts configuration steps between their messages and the types of burdock::config. */
namespace burdock::serving {

/** @brief Id of a step: the BLAKE2b-256 digest of its bytes. */
[[nodiscard]] std::string stepId(const std::string &bytes);

/** @brief Parses a serialized SignedChange; nothing if it is malformed. Doesn't verify the signature. */
[[nodiscard]] std::optional<config::ChangeStep> readChangeStep(const std::string &bytes);

/** @brief Converts a message to steps; nothing if one of its changes is malformed. Doesn't verify signatures. */
[[nodiscard]] std::optional<config::Steps> toSteps(const schema::ConfigSteps &message);
[[nodiscard]] schema::ConfigSteps toMessage(const config::Steps &steps);

} // namespace burdock::serving
