#pragma once

#include <burdock/types.hpp>

#include <mutex>

namespace burdock::runtime {

/** @brief Levels of the locks, in the order in which they may be acquired; docs/CONCURRENCY.md gives the reasons. */
enum class LockLevel : u8 {
    ConfigOffer = 0,
    Config = 1,
    Membership = 2,
    Admission = 3,
    Runs = 4,
    Run = 5,
    Leaf = 6,
};

namespace detail {

/** @brief Aborts if this thread already holds a lock of the same or a higher level; called in debug builds only. */
void noteLocking(LockLevel level);
void noteUnlocking(LockLevel level);

} // namespace detail

/** @brief A mutex with a level in the lock order, which is checked in debug builds. */
template <LockLevel Level>
class OrderedMutex
{
public:
    void lock()
    {
#ifndef NDEBUG
        detail::noteLocking(Level);
#endif
        m_mutex.lock();
    }

    void unlock()
    {
        m_mutex.unlock();
#ifndef NDEBUG
        detail::noteUnlocking(Level);
#endif
    }

private:
    std::mutex m_mutex;
};

} // namespace burdock::runtime
