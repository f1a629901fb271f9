#include "known_failures.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <sstream>
#include <string>

void excludeKnownFailures(doctest::Context &context, std::string_view program)
{
    const auto *lines = std::getenv("BURDOCK_PASS_OVER");
    std::istringstream stream(lines == nullptr ? "" : lines);
    for (std::string line; std::getline(stream, line);) {
        const auto space = line.find(' ');
        if (space != std::string::npos && line.substr(0, space) == program) {
            context.addFilter("test-case-exclude", line.substr(space + 1).c_str());
        }
    }
}
