#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <known_failures.hpp>

int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    excludeKnownFailures(context, BURDOCK_TEST_NAME);
    return context.run();
}
