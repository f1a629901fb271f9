#include <burdock/run/sse_splitter.hpp>

#include <algorithm>
#include <utility>

namespace burdock::run {

namespace {

constexpr std::string_view IdField = "id:";

// Returns the position after the last blank line, which ends an event.
std::size_t endOfCompleteEvents(std::string_view bytes)
{
    const auto lfBreak = bytes.rfind("\n\n");
    const auto crlfBreak = bytes.rfind("\r\n\r\n");
    const std::size_t lfEnd = lfBreak == std::string_view::npos ? 0 : lfBreak + 2;
    const std::size_t crlfEnd = crlfBreak == std::string_view::npos ? 0 : crlfBreak + 4;
    return std::max(lfEnd, crlfEnd);
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

std::string SseSplitter::append(std::string_view bytes)
{
    m_incompleteEvent += bytes;
    const auto end = endOfCompleteEvents(m_incompleteEvent);
    std::string complete = m_incompleteEvent.substr(0, end);
    m_incompleteEvent.erase(0, end);
    updateLastId(complete);
    return complete;
}

std::string SseSplitter::takeIncompleteEvent()
{
    return std::exchange(m_incompleteEvent, {});
}

const std::string &SseSplitter::incompleteEvent() const
{
    return m_incompleteEvent;
}

bool SseSplitter::isInsideEvent() const
{
    return m_incompleteEvent.find_first_not_of("\r\n") != std::string::npos;
}

const std::string &SseSplitter::lastId() const
{
    return m_lastId;
}

void SseSplitter::updateLastId(std::string_view events)
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        const auto line = events.substr(0, end);
        if (line.substr(0, IdField.size()) == IdField) {
            m_lastId = trimmed(line.substr(IdField.size()));
        }
        events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
    }
}

} // namespace burdock::run
