#pragma once

#include <burdock/types.hpp>

#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace burdock::runtime::detail {

/**
 * @brief Writes lines to a descriptor without ever waiting for its reader.
 *
 * Guards against a reader of the log that stops reading: it shows as a process that hangs in a write. Writing only as much as a
 * pipe surely takes, and counting the lines for which there is no more room, holds for pipes, files and terminals.
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
