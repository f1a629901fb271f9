#pragma once

#include <standins/replica.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <sys/types.h>

namespace support {

using namespace burdock;

/** @brief An answer that never ends: how it begins, and what follows again and again. */
struct EndlessAnswer
{
    std::function<std::string(const standins::ReceivedRequest &)> begin;
    std::string repeated;
};

/** @brief An endpoint in trouble, and how many of its answers were written until their connection was closed. */
class EndlessEndpoint
{
public:
    explicit EndlessEndpoint(const EndlessAnswer &answer);

    [[nodiscard]] const standins::Replica &replica() const;
    [[nodiscard]] u32 begun() const;
    [[nodiscard]] u32 closed() const;

private:
    standins::ConnectionAction serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection);

    EndlessAnswer m_answer;
    std::atomic<u32> m_begun{0};
    std::atomic<u32> m_closed{0};
    standins::Replica m_replica;
};

/** @brief The most memory that a process has had, in KiB. */
[[nodiscard]] u64 peakKib(pid_t pid);

} // namespace support
