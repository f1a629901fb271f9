#include <burdock/run/sse_splitter.hpp>

#include <utility>

namespace burdock::run {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view LineEnds = "\r\n";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

void SseSplitter::beginRun()
{
    m_incompleteEvent.clear();
    m_isLineEmpty = true;
    m_isAfterCr = false;
    m_isEventEnd = false;
    m_hasEvents = false;
    m_eventCount = 0;
}

std::string SseSplitter::append(std::string_view bytes)
{
    const auto scanned = m_incompleteEvent.size();
    m_incompleteEvent += bytes;
    const auto end = scan(scanned);
    std::string complete = m_incompleteEvent.substr(0, end);
    m_incompleteEvent.erase(0, end);
    m_hasEvents = m_hasEvents || complete.find_first_not_of(LineEnds) != std::string::npos;
    updateLastId(complete);
    return complete;
}

bool SseSplitter::isInsideEvent() const
{
    return m_incompleteEvent.find_first_not_of(LineEnds) != std::string::npos;
}

// Where only the end of the connection ends the body, an endpoint that failed before its first event looks like one that had none.
bool SseSplitter::isCompleteAt(BodyFraming framing) const
{
    return !isInsideEvent() && (m_hasEvents || framing != BodyFraming::UntilClose);
}

std::size_t SseSplitter::incompleteBytes() const
{
    return m_incompleteEvent.size();
}

u64 SseSplitter::eventCount() const
{
    return m_eventCount;
}

const std::string &SseSplitter::lastId() const
{
    return m_lastId;
}

// Returns the position after the last blank line, which ends an event. Lines end with LF, CR or CR LF.
std::size_t SseSplitter::scan(std::size_t from)
{
    std::size_t end = 0;
    for (std::size_t i = from; i < m_incompleteEvent.size(); ++i) {
        const char byte = m_incompleteEvent[i];
        const bool isSecondHalf = byte == '\n' && m_isAfterCr;
        m_isAfterCr = byte == '\r';
        if (byte != '\n' && byte != '\r') {
            m_isLineEmpty = false;
            continue;
        }
        // The LF of a CR LF that ended an event belongs to that event.
        m_isEventEnd = isSecondHalf ? m_isEventEnd : m_isLineEmpty;
        m_eventCount += m_isEventEnd && !isSecondHalf ? 1 : 0;
        m_isLineEmpty = true;
        if (m_isEventEnd) {
            end = i + 1;
        }
    }
    return end;
}

void SseSplitter::updateLastId(std::string_view events)
{
    while (!events.empty()) {
        const auto end = events.find_first_of(LineEnds);
        const auto line = events.substr(0, end);
        if (line.substr(0, IdField.size()) == IdField) {
            m_lastId = trimmed(line.substr(IdField.size()));
        }
        events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
    }
}

} // namespace burdock::run
