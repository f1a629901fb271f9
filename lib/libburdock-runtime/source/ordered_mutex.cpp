#include <burdock/runtime/ordered_mutex.hpp>

#include <cstdio>
#include <cstdlib>

namespace burdock::runtime::detail {

namespace {

thread_local u32 s_heldLevels = 0;

u32 bitOf(LockLevel level)
{
    return 1U << static_cast<u32>(level);
}

} // namespace

void noteLocking(LockLevel level)
{
    if (s_heldLevels >= bitOf(level)) {
        std::fputs("lock order violation, see docs/CONCURRENCY.md\n", stderr);
        std::abort();
    }
    s_heldLevels |= bitOf(level);
}

void noteUnlocking(LockLevel level)
{
    s_heldLevels &= ~bitOf(level);
}

} // namespace burdock::runtime::detail
