#pragma once

#include <burdock/run/body_framing.hpp>
#include <burdock/types.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace burdock::run {

/**
 * @brief Splits a stream of server-sent events into complete events and keeps the id of the last one.
 *
 * An endpoint may break off in the middle of an event and another endpoint continue the stream. As only complete events are forwarded, a
 * caller never sees an event that is joined from two runs.
 */
class SseSplitter
{
public:
    /** @brief Starts with the stream of the next endpoint; the bytes of an incomplete event are dropped. */
    void beginRun();

    /** @brief Appends received bytes; returns the events that they complete. */
    [[nodiscard]] std::string append(std::string_view bytes);

    /** @brief Whether the bytes so far end inside an event. */
    [[nodiscard]] bool isInsideEvent() const;

    /** @brief Whether the end of the body can be the end of the stream, rather than a failure of the endpoint. */
    [[nodiscard]] bool isCompleteAt(BodyFraming framing) const;

    /** @brief Bytes of the incomplete event that are kept. */
    [[nodiscard]] std::size_t incompleteBytes() const;

    /** @brief Number of complete events since beginRun(), empty ones included. */
    [[nodiscard]] u64 eventCount() const;

    /** @brief The last id among the complete events; empty if there was none. */
    [[nodiscard]] const std::string &lastId() const;

private:
    [[nodiscard]] std::size_t scan(std::size_t from);
    void updateLastId(std::string_view events);

    std::string m_incompleteEvent;
    std::string m_lastId;
    bool m_isLineEmpty = true; ///< no byte of the current line has been received
    bool m_isAfterCr = false; ///< the last byte was CR; an LF that follows belongs to the same line end
    bool m_isEventEnd = false; ///< the last line end completed an event
    bool m_hasEvents = false; ///< since beginRun()
    u64 m_eventCount = 0; ///< since beginRun()
};

} // namespace burdock::run
