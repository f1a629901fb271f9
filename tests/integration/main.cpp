#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <pass_over.hpp>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    doctest::Context context(argc, argv);
    passOver(context, BURDOCK_TEST_NAME);
    return context.run();
}
