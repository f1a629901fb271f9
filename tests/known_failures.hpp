#pragma once

#include <string_view>

namespace doctest {
class Context;
}

/** @brief Leaves out a program's cases that tools/test passes over; they come in BURDOCK_PASS_OVER, a line each: PROGRAM FILTER. */
void excludeKnownFailures(doctest::Context &context, std::string_view program);
