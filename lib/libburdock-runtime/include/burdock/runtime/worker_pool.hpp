#pragma once

#include <burdock/types.hpp>

#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace burdock::runtime {

/** @brief Threads that run one Asio context. */
class WorkerPool
{
public:
    /** @param threads zero means one for each processor, at most four */
    explicit WorkerPool(u32 threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    [[nodiscard]] boost::asio::io_context &context();

    /** @brief Ends all work; handlers that have not run are dropped. */
    void stop();

    /** @brief Waits until stop() was called, here or on another thread. */
    void wait();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

} // namespace burdock::runtime
