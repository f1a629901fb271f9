#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <known_failures.hpp>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    doctest::Context context(argc, argv);
    excludeKnownFailures(context, BURDOCK_TEST_NAME);
    return context.run();
}
