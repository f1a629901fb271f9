#include <support/wait_until.hpp>

#include <thread>

namespace support {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(10);

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace support
