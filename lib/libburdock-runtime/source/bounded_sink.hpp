#pragma once

#include <burdock/types.hpp>

#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace burdock::runtime::detail {

/**
 * @brief Writes log lines to a file descriptor without blocking.
 *
 * If the reader of the log stops reading, a blocking write would hang the process. The sink therefore writes only as much as a pipe
 * is sure to accept, and drops and counts the lines that don't fit into its buffer. This works for pipes, files and terminals.
 */
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(int descriptor);

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    [[nodiscard]] bool isWritable() const;
    void append(std::string_view line);
    void writePending();

    int m_descriptor;
    std::string m_pending;
    u64 m_dropped = 0;
};

} // namespace burdock::runtime::detail
