#include "stall_monitor.hpp"

#include <algorithm>
#include <chrono>

namespace soak {

namespace {

constexpr Duration LookPause = std::chrono::milliseconds(20);

} // namespace

Stillness::Stillness()
    : m_thread([this] { watch(); })
{
}

Stillness::~Stillness()
{
    m_isOver = true;
    m_thread.join();
}

Duration Stillness::longest() const
{
    return m_longest;
}

void Stillness::watch()
{
    auto last = std::chrono::steady_clock::now();
    while (!m_isOver) {
        std::this_thread::sleep_for(LookPause);
        const auto now = std::chrono::steady_clock::now();
        const auto late = std::chrono::duration_cast<Duration>(now - last) - LookPause;
        m_longest = std::max(m_longest.load(), late);
        last = now;
    }
}

} // namespace soak
