#pragma once

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
    /** @brief Appends received bytes; returns the events that they complete. */
    [[nodiscard]] std::string append(std::string_view bytes);

    /** @brief Removes and returns the bytes of an event that is not complete yet. */
    [[nodiscard]] std::string takeIncompleteEvent();

    /** @brief The bytes received of an event that is not complete yet. */
    [[nodiscard]] const std::string &incompleteEvent() const;

    /** @brief Whether the bytes so far end inside an event. */
    [[nodiscard]] bool isInsideEvent() const;

    /** @brief The last id among the complete events; empty if there was none. */
    [[nodiscard]] const std::string &lastId() const;

private:
    void updateLastId(std::string_view events);

    std::string m_incompleteEvent;
    std::string m_lastId;
};

} // namespace burdock::run
