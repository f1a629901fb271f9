#include <burdock/runtime/worker_pool.hpp>

#include <algorithm>

namespace burdock::runtime {

namespace {

constexpr u32 MaxDefaultThreads = 4;

u32 threadCount(u32 configured)
{
    return configured > 0 ? configured : std::clamp<u32>(std::thread::hardware_concurrency(), 1, MaxDefaultThreads);
}

} // namespace

WorkerPool::WorkerPool(u32 threads)
    : m_context(static_cast<int>(threadCount(threads)))
    , m_work(boost::asio::make_work_guard(m_context))
{
    for (u32 i = 0; i < threadCount(threads); ++i) {
        m_threads.emplace_back([this] { m_context.run(); });
    }
}

WorkerPool::~WorkerPool()
{
    stop();
    wait();
}

boost::asio::io_context &WorkerPool::context()
{
    return m_context;
}

void WorkerPool::stop()
{
    m_context.stop();
}

void WorkerPool::wait()
{
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace burdock::runtime
