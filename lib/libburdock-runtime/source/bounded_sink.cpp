#include "bounded_sink.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace burdock::runtime::detail {

namespace {

/** Bytes of lines that wait for the reader; further lines are counted and left out. */
constexpr std::size_t MaxPendingBytes = 256 * 1024;
/** A writable pipe takes at least this much without blocking. */
constexpr std::size_t WriteBytes = 4096;

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
    pollfd waiting{m_descriptor, POLLOUT, 0};
    return ::poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
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
        const auto size = ::write(m_descriptor, m_pending.data() + written, std::min(WriteBytes, m_pending.size() - written));
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    m_pending.erase(0, written);
}

} // namespace burdock::runtime::detail
