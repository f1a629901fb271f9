#pragma once

#include <string>
#include <string_view>

namespace burdock::run {

/**
 * @brief Cuts a stream of server-sent events into whole events and remembers the id of the last one.
 *
 * Guards against an event that is joined from two runs: it shows when an endpoint breaks off in the middle of an event and
 * another one goes on. Passing on only whole events holds, as what was broken is never seen by the caller.
 */
class SseSplitter
{
public:
    /** @brief Takes bytes as they come; returns the whole events that they complete. */
    [[nodiscard]] std::string append(std::string_view bytes);

    /** @brief Takes out the bytes of an event that has no end yet. */
    [[nodiscard]] std::string takeIncompleteEvent();

    /** @brief The id of the last whole event; empty if there was none. */
    [[nodiscard]] const std::string &lastId() const;

private:
    void noteIds(std::string_view events);

    std::string m_rest;
    std::string m_lastId;
};

} // namespace burdock::run
