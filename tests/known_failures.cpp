#include "known_failures.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <sstream>
#include <string>

void excludeKnownFailures(doctest::Context &context, std::string_view program)
{
    const auto *exclusions = std::getenv("BURDOCK_PASS_OVER");
    std::istringstream stream(exclusions == nullptr ? "" : exclusions);
    for (std::string line; std::getline(stream, line);) {
        const auto separator = line.find(' ');
        if (separator != std::string::npos && line.substr(0, separator) == program) {
            context.addFilter("test-case-exclude", line.substr(separator + 1).c_str());
        }
    }
}
