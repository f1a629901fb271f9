#include <support/wait_until.hpp>

#include <thread>

namespace support {

namespace {

constexpr Duration Poll = std::chrono::milliseconds(10);

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration patience)
{
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(Poll);
    }
    return true;
}

} // namespace support
