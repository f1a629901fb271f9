#pragma once

#include <burdock/types.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace support {

using namespace burdock;

/** @brief How a connection ends after the answer. */
enum class EarlyEnd : u8 {
    Reset, ///< the rest of the request isn't read, nor is the second half of the answer sent
    Close, ///< once the request has been read
};

/**
 * @brief An endpoint that answers, without a length, as soon as it has read the head of a request.
 *
 * It takes in little before it reads, as a link with a small window does, so that the sender of a long request still waits.
 */
class EarlyEndpoint
{
public:
    /** @param pause between the halves */
    EarlyEndpoint(std::string firstHalf, std::string secondHalf, EarlyEnd end, Duration pause = std::chrono::milliseconds(100));
    ~EarlyEndpoint();
    EarlyEndpoint(const EarlyEndpoint &) = delete;
    EarlyEndpoint &operator=(const EarlyEndpoint &) = delete;

    [[nodiscard]] std::string address() const;
    /** @brief Number of requests whose head was read. */
    [[nodiscard]] u32 requests() const;

private:
    void acceptLoop();
    void serve(int descriptor);

    const std::string m_firstHalf;
    const std::string m_secondHalf;
    const EarlyEnd m_end;
    const Duration m_pause;
    int m_listener;
    u16 m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<u32> m_requests{0};
    std::thread m_acceptor;
};

} // namespace support
