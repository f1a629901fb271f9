#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/config/change_history.hpp>

#include <optional>
#include <string>

/** @brief Steps of configuration between their messages and what decisions are made on. */
namespace burdock::serving {

/** @brief Identifies a step: the BLAKE2b-256 of its bytes. */
[[nodiscard]] std::string stepId(const std::string &bytes);

/** @brief Reads a serialized SignedChange; nothing if it is malformed. Says nothing about its signature. */
[[nodiscard]] std::optional<config::ChangeStep> readChangeStep(const std::string &bytes);

/** @brief Reads a message; nothing if it is malformed. */
[[nodiscard]] std::optional<config::Steps> toSteps(const schema::ConfigSteps &message);
[[nodiscard]] schema::ConfigSteps toMessage(const config::Steps &steps);

} // namespace burdock::serving
