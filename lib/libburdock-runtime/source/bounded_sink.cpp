#include "bounded_sink.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace burdock::runtime::detail {

namespace {

/** Limit of the buffered lines; further lines are dropped and counted. */
constexpr std::size_t MaxPendingBytes = 256 * 1024;
/** A pipe that poll() reports as writable accepts at least this much without blocking. */
constexpr std::size_t MaxWriteBytes = 4096;

} // namespace

BoundedSink::BoundedSink(int descriptor)
    : m_descriptor(descriptor)
{
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    append(std::string_view(message.payload.data(), message.payload.size()));
}

void BoundedSink::flush_()
{
    writePending();
    if (m_dropped > 0 && m_pending.empty()) {
        const u64 dropped = m_dropped;
        m_dropped = 0;
        append(R"({"level":"warning","event":"log_dropped","lines":)" + std::to_string(dropped) + "}");
        writePending();
    }
}

bool BoundedSink::isWritable() const
{
    pollfd request{m_descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

void BoundedSink::append(std::string_view line)
{
    if (m_pending.size() + line.size() + 1 > MaxPendingBytes) {
        ++m_dropped;
        return;
    }
    m_pending += line;
    m_pending += '\n';
}

void BoundedSink::writePending()
{
    std::size_t written = 0;
    while (written < m_pending.size() && isWritable()) {
        const auto size = ::write(m_descriptor, m_pending.data() + written, std::min(MaxWriteBytes, m_pending.size() - written));
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    m_pending.erase(0, written);
}

} // namespace burdock::runtime::detail
