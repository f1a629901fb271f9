#pragma once

#include <burdock/bundle.pb.h>

/** @brief Changes of a bundle. */
namespace burdock::schema {

/** @brief What leads from one bundle to another; version and previous step are left to the caller. */
[[nodiscard]] Change changeBetween(const Bundle &before, const Bundle &after);

/** @brief Changes a bundle in place, its version included. */
void applyChange(Bundle &bundle, const Change &change);

} // namespace burdock::schema
