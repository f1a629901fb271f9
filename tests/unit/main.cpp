#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <pass_over.hpp>

int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    passOver(context, BURDOCK_TEST_NAME);
    return context.run();
}
