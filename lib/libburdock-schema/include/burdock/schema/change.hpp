#pragma once

#include <burdock/bundle.pb.h>

/** @brief Computes and applies changes of a bundle. */
namespace burdock::schema {

/** @brief Computes the change from one bundle to another. The caller sets `version` and `previous`. */
[[nodiscard]] Change changeBetween(const Bundle &before, const Bundle &after);

/** @brief Applies a change to a bundle in place, including its version. */
void applyChange(Bundle &bundle, const Change &change);

} // namespace burdock::schema
