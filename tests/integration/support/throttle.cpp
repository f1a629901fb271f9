#include <support/throttle.hpp>

#include <csignal>
#include <ctime>

namespace support {

namespace {

using Clock = std::chrono::steady_clock;

/** The processor time that the process gets: so much of each period. Sanitizers make it several times slower. */
#ifdef __SANITIZE_ADDRESS__
constexpr auto Slice = std::chrono::milliseconds(30);
#else
constexpr auto Slice = std::chrono::milliseconds(4);
#endif
constexpr auto Period = std::chrono::milliseconds(100);
constexpr auto PollInterval = std::chrono::microseconds(300);

} // namespace

Throttle::Throttle(ChildProcess &process)
    : m_process(process)
    , m_thread([this] { run(); })
{
}

Throttle::~Throttle()
{
    m_isStopping = true;
    m_thread.join();
    m_process.signal(SIGCONT);
}

void Throttle::run()
{
    while (!m_isStopping) {
        const auto periodEnd = Clock::now() + Period;
        const auto used = processorTime() + Slice;
        m_process.signal(SIGCONT);
        while (processorTime() < used && Clock::now() < periodEnd) {
            std::this_thread::sleep_for(PollInterval);
        }
        m_process.signal(SIGSTOP);
        std::this_thread::sleep_until(periodEnd);
    }
}

std::chrono::nanoseconds Throttle::processorTime() const
{
    clockid_t clock = 0;
    timespec time{};
    if (::clock_getcpuclockid(m_process.pid(), &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace support
