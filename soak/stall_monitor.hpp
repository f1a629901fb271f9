#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <thread>

namespace soak {

using namespace burdock;

/** @brief Measures for how long the soak itself stood still, which tells a machine that paused from gateways that don't serve. */
class Stillness
{
public:
    Stillness();
    ~Stillness();
    Stillness(const Stillness &) = delete;
    Stillness &operator=(const Stillness &) = delete;

    [[nodiscard]] Duration longest() const;

private:
    void watch();

    std::atomic<bool> m_isOver{false};
    std::atomic<Duration> m_longest{Duration::zero()};
    std::thread m_thread;
};

} // namespace soak
