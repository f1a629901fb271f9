#pragma once

#include <string_view>

namespace doctest {
class Context;
}

/** @brief Excludes the known failing test cases of a program; tools/test sets BURDOCK_PASS_OVER to one line PROGRAM FILTER for each. */
void excludeKnownFailures(doctest::Context &context, std::string_view program);
