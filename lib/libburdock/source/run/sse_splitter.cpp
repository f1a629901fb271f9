#include <burdock/run/sse_splitter.hpp>

#include <algorithm>
#include <utility>

namespace burdock::run {

namespace {

constexpr std::string_view IdField = "id:";

// The position behind the last blank line, which ends an event.
std::size_t endOfWholeEvents(std::string_view bytes)
{
    const auto plain = bytes.rfind("\n\n");
    const auto carriage = bytes.rfind("\r\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t carriageEnd = carriage == std::string_view::npos ? 0 : carriage + 4;
    return std::max(plainEnd, carriageEnd);
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
    m_rest += bytes;
    const auto end = endOfWholeEvents(m_rest);
    std::string whole = m_rest.substr(0, end);
    m_rest.erase(0, end);
    noteIds(whole);
    return whole;
}

std::string SseSplitter::takeIncompleteEvent()
{
    return std::exchange(m_rest, {});
}

const std::string &SseSplitter::lastId() const
{
    return m_lastId;
}

void SseSplitter::noteIds(std::string_view events)
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
