#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace burdock::runtime {

/** @brief Threads that run an Asio I/O context. */
class WorkerPool
{
public:
    /** @param threads number of threads; 0 means one per processor, but at most 4 */
    explicit WorkerPool(u32 threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    [[nodiscard]] boost::asio::io_context &context();

    /** @brief Stops the context; handlers that have not run are dropped. */
    void stop();

    /** @brief Waits until stop() has been called on any thread and the workers have ended. */
    void wait();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

} // namespace burdock::runtime
